//! Validation of the keys and values of writes, shared by the implementations of the platform.

use derive_more::derive;
use marigoldloom_records::record;

use crate::object;
use crate::platform;

/// Why a write is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub(crate) enum Refusal {
    /// The value is larger than [`object::VALUE_LIMIT`].
    #[display("the value has {len} bytes, more than {}", object::VALUE_LIMIT)]
    ValueTooLarge {
        /// Size of the value, in bytes of JSON.
        len: usize,
    },
    /// The kind or the name is not a valid name.
    #[display("{key} is not a valid key")]
    InvalidKey {
        /// The refused key.
        key: object::Key,
    },
}

impl From<Refusal> for platform::Error {
    fn from(refusal: Refusal) -> Self {
        Self::Refused {
            reason: refusal.to_string(),
        }
    }
}

/// Refuses keys that can't be used in the platform's URL paths.
pub(crate) fn check_key(key: &object::Key) -> Result<(), Refusal> {
    match record::is_name(&key.kind) && record::is_name(&key.name) {
        true => Ok(()),
        false => Err(Refusal::InvalidKey { key: key.clone() }),
    }
}

/// Returns the size of a value in bytes of JSON, or refuses a value that is too large.
pub(crate) fn check_value(value: &serde_json::Value) -> Result<usize, Refusal> {
    match value.to_string().len() {
        len if len > object::VALUE_LIMIT => Err(Refusal::ValueTooLarge { len }),
        len => Ok(len),
    }
}
