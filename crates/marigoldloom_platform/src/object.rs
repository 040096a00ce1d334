//! Objects, their keys, versions and revisions, and the results of lists and watches.

use std::fmt;

use derive_more::derive;
use serde::{Deserialize, Serialize};

/// Maximum size of an object's value, in bytes of JSON.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Position of a write in the platform's global order. It increases with each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Number of writes to one object since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
pub struct Version(pub u64);

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Key {
    /// Kind of the object: a record kind or `claims`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
}

impl Key {
    /// Creates a key.
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as stored by the platform.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Object {
    /// Kind and name.
    #[serde(flatten)]
    pub key: Key,
    /// Number of writes to this object since it was created.
    pub version: Version,
    /// Revision of its last write.
    pub revision: Revision,
    /// The stored JSON value.
    pub value: serde_json::Value,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Revision up to which the list includes every write.
    pub revision: Revision,
    /// The objects, ordered by name.
    pub objects: Vec<Object>,
}

/// A write or deletion as returned by a watch.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Change {
    /// Kind and name.
    #[serde(flatten)]
    pub key: Key,
    /// Revision of the write.
    pub revision: Revision,
    /// The object after the write; absent if it was deleted.
    pub object: Option<Object>,
}

/// Result of a watch: the writes after the revision that it started from.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Changes {
    /// Revision up to which the changes include every write of the watched kinds.
    pub revision: Revision,
    /// The writes in ascending order of revision.
    pub changes: Vec<Change>,
}
