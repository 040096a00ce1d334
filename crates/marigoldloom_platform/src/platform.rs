//! The [`Platform`] trait and its errors.

use derive_more::derive;

use crate::object;

/// Precondition of a write on the object's current state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(object::Version),
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// The condition does not hold; nothing was written.
    #[display("the object has changed")]
    Conflict {
        /// The current object; none if it does not exist.
        current: Option<Box<object::Object>>,
    },
    /// The platform refused the request; nothing was written.
    #[display("the platform refused the request: {reason}")]
    Refused {
        /// The reason given by the platform.
        reason: String,
    },
    /// The request did not reach the platform; nothing was written.
    #[display("the platform can't be reached")]
    Unreachable,
    /// No response was received; a write may have taken effect.
    #[display("no answer from the platform; a write may have taken effect")]
    OutcomeUnknown,
    /// The platform no longer retains the changes since the given revision; the caller must
    /// list again.
    #[display("the changes since the given revision are no longer available")]
    Compacted,
}

/// The platform's object API. Each call counts towards the platform's rate limits.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads an object; returns none if it does not exist.
    fn get(
        &self,
        key: &object::Key,
    ) -> impl Future<Output = Result<Option<object::Object>, Error>> + Send;

    /// Reads all objects of a kind.
    fn list(&self, kind: &str) -> impl Future<Output = Result<object::Listing, Error>> + Send;

    /// Writes an object if `condition` holds.
    fn put(
        &self,
        key: &object::Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> impl Future<Output = Result<object::Object, Error>> + Send;

    /// Deletes an object if `condition` holds.
    fn delete(
        &self,
        key: &object::Key,
        condition: Condition,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the writes to objects of `kinds` after `since`, and waits for one if there is
    /// none yet.
    ///
    /// Returns no changes if none occurs within the platform's wait limit.
    fn watch(
        &self,
        kinds: &[&str],
        since: object::Revision,
    ) -> impl Future<Output = Result<object::Changes, Error>> + Send;
}
