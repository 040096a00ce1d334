//! Records of the platform and the interface for reading them.

use std::sync::Arc;

use derive_more::derive;
use marigoldloom_records::version_move::{Order, Phase};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::fleet::Member;
use crate::replica::Replica;

/// Kinds of platform records that the catalog keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operators' configuration; the platform has one record of this kind.
    #[display("configuration")]
    Configuration,
    /// Replicas of all services, one record each.
    #[display("replicas")]
    Replicas,
    /// Failure domains that get no new work, one record each.
    #[display("evacuations")]
    Evacuations,
    /// Orders to move a service's traffic to a version, one record for each service.
    #[display("version moves")]
    Moves,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Configuration,
        Self::Replicas,
        Self::Evacuations,
        Self::Moves,
    ];
}

/// One decoded record of the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A version of the operators' configuration.
    Configuration(Box<Configuration>),
    /// A replica as it announces itself.
    Replica(Replica),
    /// A failure domain that gets no new work; the record's name is the domain's name.
    Evacuation,
    /// An order to move a service's traffic to a version.
    Move(Order),
    /// A record that could not be decoded.
    Invalid(Invalid),
}

/// Why a record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display, derive::Error)]
#[serde(rename_all = "snake_case")]
#[display("field {field}: {problem}")]
pub struct Invalid {
    /// Name of the first invalid field as the platform writes it, or of the object that holds it.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// Position in the platform's sequence of changes; a later change has a greater revision.
///
/// When the platform comes back from an older copy, it gives out the numbers after that copy again, and
/// its era rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
#[display("{era}.{number}")]
pub struct Revision {
    /// Era of the platform; 0 if it states none.
    pub era: u64,
    /// Number of the change within the era.
    pub number: u64,
}

/// All records of a kind at one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Names and records, without an order.
    pub records: Vec<(Arc<str>, Record)>,
    /// Revision that a watch continues from; records may already include later changes.
    pub revision: Revision,
    /// Whether the list couldn't be read to its end. Records that aren't in it stay as they are.
    #[serde(default)]
    pub partial: bool,
}

/// The name of a changed record and its new value, which is `None` if the record was removed.
pub type Change = (Arc<str>, Option<Record>);

/// Changes of one kind after a revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Changes {
    /// Changed records, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// The platform no longer has the changes after the given revision; list the kind again.
    #[display("the changes since the given revision are no longer available")]
    Compacted,
    /// The platform answered with an HTTP status other than success.
    #[display("the platform refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No complete response arrived.
    #[display("no response from the platform: {reason}")]
    Unreachable {
        /// The connection error or timeout.
        reason: String,
    },
    /// The response could not be decoded, or the request could not be encoded.
    #[display("the platform's response can't be read: {reason}")]
    Malformed {
        /// The decoding error.
        reason: String,
    },
    /// The response, or the revision that a write depends on, is of another era than the latest one.
    #[display("era {era} of the platform isn't the latest one")]
    OtherEra {
        /// The era.
        era: u64,
    },
}

/// An entry of the instances' control state that is saved on the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedEntry {
    /// Name of the entry.
    pub name: Arc<str>,
    /// What was saved.
    pub content: String,
}

/// Client of the platform: reads its records and registers instances of the tier there. The
/// platform limits the rate of calls.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all records of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits for changes of a kind after `since`. Returns no changes when the platform's wait
    /// limit passes without one. Fails with [`Error::Compacted`] if `since` isn't of the latest era.
    fn watch(
        &self,
        kind: Kind,
        since: Revision,
    ) -> impl Future<Output = Result<Changes, Error>> + Send;

    /// Checks with a cheap call whether the platform answers. Open connections don't show that:
    /// the platform may keep them while it no longer answers this instance.
    fn check(&self) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the latest era of the platform that its answers or [`Source::note_era`] stated.
    fn era(&self) -> u64;

    /// Records an era of the platform that another instance knows. Answers to later calls are not of an
    /// earlier one.
    fn note_era(&self, era: u64);

    /// Registers the instance `own`, or updates its earlier registration.
    fn register(&self, own: &Member) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes the phase of a version move as the status of its order. Fails if the order's record
    /// has another revision by now, or if the platform's era has changed since it was read.
    fn set_phase(
        &self,
        order: &Order,
        phase: Phase,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Saves an entry of the instances' control state that must outlive all of them. An entry with
    /// the same name is replaced.
    fn save_entry(
        &self,
        name: &str,
        content: &str,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes a saved entry.
    fn remove_entry(&self, name: &str) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the names and contents of all saved entries.
    fn saved_entries(&self) -> impl Future<Output = Result<Vec<SavedEntry>, Error>> + Send;

    /// Lists the registered instances. The list may be a few seconds old.
    fn members(&self) -> impl Future<Output = Result<Vec<Member>, Error>> + Send;
}
