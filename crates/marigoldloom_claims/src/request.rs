//! Non-idempotent requests and their idempotency keys.

use derive_more::derive;
use marigoldloom_records::record;
use marigoldloom_runtime::time;
use xxhash_rust::xxh3;

use crate::refusal;

/// Maximum length of a caller's idempotency key, in bytes.
pub const KEY_LIMIT: usize = 128;

/// An idempotency key within its tenant and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive::Display)]
#[display("{_0}")]
pub struct Key(String);

impl Key {
    /// Prefixes the caller's key with tenant and service, so that tenants can't see each other's
    /// outcomes.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::InvalidKey`] unless each part is a valid name ([`record::is_name`])
    /// and `key` has at most [`KEY_LIMIT`] bytes.
    pub fn new(tenant: &str, service: &str, key: &str) -> Result<Self, refusal::Refusal> {
        let parts = [tenant, service, key];
        match parts.into_iter().all(record::is_name) && key.len() <= KEY_LIMIT {
            true => Ok(Self(parts.join("/"))),
            false => Err(refusal::Refusal::InvalidKey),
        }
    }

    /// Returns the key with its prefix, as `tenant/service/key`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the index of the bucket that holds the key's claim.
    pub(crate) fn bucket_index(&self, buckets: u32) -> u32 {
        let index = xxh3::xxh3_64(self.0.as_bytes()) % u64::from(buckets);
        u32::try_from(index).unwrap_or(0)
    }
}

/// Whether the caller may have sent the same key before.
///
/// While the platform is unreachable, an instance can't know whether another one has already run
/// the request. Then only an attempt that is known to be the first can be refused as not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptKind {
    /// The caller states that it sends the key for the first time.
    First {
        /// Wall-clock time before which the caller sends the key nowhere else.
        ///
        /// The caller must state it: a request can wait in a socket while the process is
        /// paused, so its arrival time doesn't tell its age.
        until: time::WallTime,
    },
    /// The key may have been sent before.
    #[default]
    Repeated,
}

/// A request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Idempotency key.
    pub key: Key,
    /// Hash of route and body; tells a repeated request from another one with the same key.
    pub hash: u64,
    /// Whether the caller may have sent the key before.
    pub kind: AttemptKind,
}
