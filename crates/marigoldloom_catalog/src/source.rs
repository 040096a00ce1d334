//! Where the catalog's records come from.

use std::sync::Arc;

use derive_more::derive;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::fleet::Member;
use crate::replica::Replica;

/// Kinds of records that the catalog follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The configuration.
    #[display("configuration")]
    Configuration,
    /// Replicas.
    #[display("replicas")]
    Replicas,
    /// Failure domains that take no new work.
    #[display("evacuations")]
    Evacuations,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Replicas, Self::Evacuations];
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// A replica.
    Replica(Replica),
    /// A failure domain that takes no new work.
    Evacuation,
    /// A record that can't be used, with the reason.
    Invalid(Invalid),
}

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display, derive::Error)]
#[serde(rename_all = "snake_case")]
#[display("field {field}: {problem}")]
pub struct Invalid {
    /// Field.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Position in the platform's sequence of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// All records of a kind at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Names and records.
    pub records: Vec<(Arc<str>, Record)>,
    /// Revision of the listing.
    pub revision: Revision,
}

/// A changed record; none if it was removed.
pub type Change = (Arc<str>, Option<Record>);

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Changes {
    /// Changed records, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub revision: Revision,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// The changes since the revision are no longer known; list again.
    #[display("the changes since the given revision are no longer available")]
    Compacted,
    /// The platform refused the call.
    #[display("the platform refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No complete response came.
    #[display("no response from the platform: {reason}")]
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// The response can't be read.
    #[display("the platform's response can't be read: {reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

/// Reads records from the platform and keeps the tier's own there. Each call counts against the platform's rates.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all records of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits for changes of a kind after `since`. Returns with none once the platform's own
    /// wait limit passes.
    fn watch(
        &self,
        kind: Kind,
        since: Revision,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Asks for something small at a small price, to learn whether the platform answers at all. The
    /// platform may keep the connections of an instance that it no longer answers.
    fn check(&self) -> impl Future<Output = Result<(), Error>> + Send;

    /// Registers an instance of the tier, or renews what it registered before.
    fn register(&self, own: &Member) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the registered instances. The list may be seconds old.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, Error>> + Send;
}
