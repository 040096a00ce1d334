//! Entries of the shared map, the control state that is replicated to all instances.
//!
//! Each entry has a stamp. Of two entries with the same space and name, the one with the greater
//! stamp wins; with equal stamps, the one with the greater value. Merging is therefore
//! commutative, associative and idempotent, and an entry never reverts to an older state.

use std::sync::Arc;

use derive_more::derive;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

/// Namespace of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Space {
    /// Configuration records. The name is `kind/name`; the stamp is the platform's revision.
    #[display("config")]
    Config,
    /// Members. The name is the instance's name; the stamp combines its incarnation and state.
    #[display("member")]
    Member,
    /// Final decisions to take a version move back. The name is the move's; the stamp is 1.
    #[display("verdict")]
    Verdict,
    /// Counters that one instance keeps for one version move; only that instance writes them.
    #[display("evidence")]
    Evidence,
    /// Upstream crashes per request fingerprint, as one instance observed them; only that
    /// instance writes them.
    #[display("strike")]
    Strike,
    /// Upstream processes that an instance has brought out of cold start. The name is
    /// `service/upstream`; the value is the process's start id. Only the instances in the
    /// service's home set need these entries.
    #[display("warm")]
    Warm,
}

impl Space {
    /// All spaces, in the order of their numbers in messages.
    pub const ALL: [Self; 6] = [
        Self::Config,
        Self::Member,
        Self::Verdict,
        Self::Evidence,
        Self::Strike,
        Self::Warm,
    ];

    /// The spaces whose entries are sent only to the recipients that their writer has set.
    pub const TARGETED: [Self; 2] = [Self::Evidence, Self::Warm];

    /// The spaces whose entries are sent to every instance and whose hashes are compared in
    /// probes.
    pub const GLOBAL: [Self; 4] = [Self::Config, Self::Member, Self::Verdict, Self::Strike];

    /// Whether the space is one of [`Self::TARGETED`].
    pub fn is_targeted(self) -> bool {
        Self::TARGETED.contains(&self)
    }

    /// Number of the space in messages.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// The space with this number; `None` if this build doesn't know it.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|space| space.number() == number)
    }
}

/// One entry of the shared map.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Namespace of the name.
    pub space: Space,
    /// Name, unique in the space.
    pub name: Arc<str>,
    /// Version of the entry: a greater stamp replaces a smaller one.
    pub stamp: u64,
    /// Value as JSON; `None` if the entry was deleted.
    pub value: Option<Arc<str>>,
    /// Wall-clock time at which every instance removes the entry, in milliseconds; `None` if
    /// it doesn't expire.
    pub expires: Option<time::WallTime>,
}

/// Read and write access to the shared map.
pub trait Exchange: Clone + Send + Sync + 'static {
    /// Merges an entry into the local map and sends it to other instances.
    fn publish(&self, entry: Entry);

    /// The entries of `space` whose names start with `prefix`, ordered by name.
    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry>;
}
