//! A failure domain and whether operators have taken it out of service.

use serde::{Deserialize, Serialize};

use crate::record;

/// Configuration of a failure domain, written by operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FailureDomain {
    /// Schema version of this record; at most [`record::SCHEMA`].
    pub schema: u32,
    /// Name, unique within the kind.
    pub name: String,
    /// Region that the failure domain belongs to.
    pub region: String,
    /// Whether the failure domain receives new work.
    pub state: State,
    /// Fields that this build does not know, kept when the record is written back.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// Whether a failure domain receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The failure domain receives work.
    Active,
    /// Taken out of service by operators: it receives no new work, and running work finishes.
    Out,
}

impl record::Record for FailureDomain {
    const KIND: record::Kind = record::Kind::FailureDomain;

    fn name(&self) -> &str {
        &self.name
    }

    fn schema(&self) -> u32 {
        self.schema
    }

    fn check(&self) -> Result<(), record::Invalid> {
        let checker = record::Checker {
            kind: Self::KIND,
            name: &self.name,
        };
        checker.check_name("region", &self.region)
    }
}
