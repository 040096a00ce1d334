//! Bucket objects: each holds the claims whose keys hash to the same bucket index.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_platform::object;
use marigoldloom_records::record;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

use crate::outcome;

/// Object kind of the buckets on the platform.
pub const KIND: &str = "claims";

/// Time for which a claim is kept. A key that is used again later counts as new.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum estimated size of a bucket, in bytes. A tenth of the platform's limit stays spare.
pub const SIZE_LIMIT: usize = object::VALUE_LIMIT / 10 * 9;

/// Bucket size in estimated bytes from which outcomes are recorded without their bodies, so that
/// bodies leave room for claims.
pub const MAX_SIZE_WITH_BODIES: usize = SIZE_LIMIT / 2;

/// Upper bound of the JSON bytes of a claim with a recorded status, without its key and body.
const CLAIM_OVERHEAD: usize = 192;

/// A bucket as stored on the platform.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Bucket {
    /// Schema version of the bucket.
    pub schema: u32,
    /// Claims by idempotency key.
    #[serde(default)]
    pub claims: BTreeMap<String, Claim>,
    /// Fields that this build doesn't know; kept when the bucket is rewritten.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// The exclusive right of one attempt to dispatch a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Claim {
    /// Hash of the request, in hexadecimal.
    pub request: String,
    /// Random token of the attempt that owns the claim, in hexadecimal.
    pub attempt: String,
    /// When the claim was made, in wall-clock milliseconds.
    pub at_ms: time::WallTime,
    /// How the request ended; `None` until that is recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<outcome::RecordedOutcome>,
    /// Fields that this build doesn't know; kept when the bucket is rewritten.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// The value of a bucket object is malformed or has a newer schema than this build supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the claim bucket can't be decoded")]
pub struct Unreadable;

/// Returns the key of the object that holds bucket `index`.
pub fn object_key(index: u32) -> object::Key {
    object::Key::new(KIND, format!("bucket-{index:05}"))
}

impl Bucket {
    /// Creates an empty bucket with this build's schema version.
    pub fn new() -> Self {
        Self {
            schema: record::SCHEMA,
            ..Self::default()
        }
    }

    /// Decodes the value of a bucket object.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] if the value is malformed or has a newer schema. The caller must not
    /// overwrite such a bucket.
    pub fn decode(value: &serde_json::Value) -> Result<Self, Unreadable> {
        match Self::deserialize(value) {
            Ok(bucket) if bucket.schema <= record::SCHEMA => Ok(bucket),
            _ => Err(Unreadable),
        }
    }

    /// Encodes the bucket as the value of its object.
    pub fn encode(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Removes the claims that are older than [`RETENTION`].
    pub(crate) fn remove_expired(&mut self, now: time::WallTime) {
        self.claims.retain(|_, c| now.since(c.at_ms) < RETENTION);
    }

    /// Estimates the size of the encoded claims, in bytes; never below their true size.
    pub fn size(&self) -> usize {
        let claims = self.claims.iter();
        claims.map(|(key, claim)| claim_size(key, claim)).sum()
    }

    /// Returns whether a new claim on `key` fits within [`SIZE_LIMIT`].
    pub(crate) fn has_room(&self, key: &str) -> bool {
        self.size() + CLAIM_OVERHEAD + key.len() <= SIZE_LIMIT
    }

    /// Returns the claim on `key` if the attempt with `token` owns it.
    pub(crate) fn owned_claim(&mut self, key: &str, token: &str) -> Option<&mut Claim> {
        let claim = self.claims.get_mut(key);
        claim.filter(|claim| claim.attempt == token)
    }

    /// Records the outcome of a claim that the attempt with `token` owns. The body is left out
    /// from [`MAX_SIZE_WITH_BODIES`] on.
    ///
    /// Returns whether the bucket has changed.
    pub(crate) fn record_outcome(
        &mut self,
        key: &str,
        token: &str,
        recorded: &outcome::RecordedOutcome,
    ) -> bool {
        let keep_body = self.size() < MAX_SIZE_WITH_BODIES;
        match self.owned_claim(key, token) {
            Some(claim) if claim.outcome.is_none() => {
                claim.outcome = Some(match (keep_body, recorded.clone()) {
                    (false, outcome::RecordedOutcome::Finished(response)) => {
                        let status = response.status;
                        let body = None;
                        outcome::RecordedOutcome::Finished(outcome::Response { status, body })
                    }
                    (_, recorded) => recorded,
                });
                true
            }
            _ => false,
        }
    }
}

fn claim_size(key: &str, claim: &Claim) -> usize {
    let body = match &claim.outcome {
        Some(outcome::RecordedOutcome::Finished(response)) => {
            response.body.as_deref().map_or(0, escaped_len)
        }
        _ => 0,
    };
    CLAIM_OVERHEAD + key.len() + body + extra_size(&claim.extra)
}

fn escaped_len(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX / 2, |json| json.len())
}

fn extra_size(extra: &record::Extra) -> usize {
    match extra.is_empty() {
        true => 0,
        false => serde_json::to_string(extra).map_or(0, |json| json.len()),
    }
}
