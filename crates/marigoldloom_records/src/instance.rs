//! An instance of marigoldloom as registered with the platform.

use std::net;

use serde::{Deserialize, Serialize};

use crate::record;

/// An instance as registered with the platform. The platform's list may be out of date.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Instance {
    /// Schema version of this record; at most [`record::SCHEMA`].
    pub schema: u32,
    /// Name, unique within the kind.
    pub name: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
    /// Address on which the instance serves the peer protocol.
    pub peer: net::SocketAddr,
    /// Whether the instance is in service or draining.
    pub state: State,
    /// Fields that this build does not know, kept when the record is written back.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// Whether an instance or an upstream is in service or draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Draining: it receives no new work, and running work finishes.
    Leaving,
}

impl record::Record for Instance {
    const KIND: record::Kind = record::Kind::Instance;

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
        checker.check_name("domain", &self.domain)
    }
}
