//! Priority classes of requests.

use derive_more::derive;
use serde::{Deserialize, Serialize};

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Quick lookups that a user waits for.
    #[display("interactive")]
    Interactive,
    /// Ordinary queries; the class of a request that names none.
    #[default]
    #[display("standard")]
    Standard,
    /// Exports and other work that can wait.
    #[display("bulk")]
    Bulk,
}

impl Class {
    /// Every class, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Bulk];

    /// The class's name in headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Bulk => "bulk",
        }
    }

    /// Returns the class with this name, or none if there is no such class.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == name)
    }
}
