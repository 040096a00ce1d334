//! HTTP protocol of the platform's object API, shared by the client and the stand-in; see
//! `docs/platform-protocol.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::object::{Object, Revision};
use crate::platform;

/// Path prefix of objects.
pub const OBJECTS_PATH: &str = "/v1/objects";

/// Path of watches.
pub const WATCH_PATH: &str = "/v1/watch";

/// Request header with the version that the object must have.
pub const IF_MATCH: &str = "if-match";

/// Request header that, with the value `*`, requires that the object does not exist.
pub const IF_NONE_MATCH: &str = "if-none-match";

/// Body of every response that is not a success.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ErrorBody {
    /// Description of the failure.
    pub error: Failure,
}

/// Description of a failure.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Failure {
    /// Kind of the failure, which selects the client's error.
    pub kind: FailureKind,
    /// Human-readable reason.
    #[serde(default)]
    pub message: String,
    /// The current object, for a conflict; absent if it does not exist.
    #[serde(default)]
    pub current: Option<Box<Object>>,
}

/// Kind of a failure, with the HTTP status of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// 404: the object does not exist.
    Absent,
    /// 412: the condition does not hold; nothing was written.
    Conflict,
    /// 400 or 405: the request is invalid; nothing was written.
    Refused,
    /// 410: the changes since the given revision are no longer retained.
    Compacted,
    /// 503: the platform is unavailable; nothing was written.
    Unavailable,
    /// 503: the server's connection limit is reached; nothing was written.
    TooManyConnections,
    /// A kind that this build does not know.
    #[serde(other)]
    Other,
}

/// Query parameters of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct WatchQuery {
    /// Revision after which changes are returned.
    pub since: Revision,
    /// Watched kinds, separated by commas.
    pub kinds: String,
    /// Longest wait, in milliseconds; the platform may wait less. If absent, the platform's
    /// own limit applies.
    pub wait_ms: Option<u64>,
}

impl WatchQuery {
    /// Returns the longest wait that the client requests; [`Duration::MAX`] if it sets none.
    pub fn wait(&self) -> Duration {
        self.wait_ms.map_or(Duration::MAX, Duration::from_millis)
    }
}

/// Body of a successful deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Deleted {}

impl Failure {
    /// Converts the failure of a response with status 4xx or 503 into the client's error.
    pub fn into_error(self) -> platform::Error {
        match self.kind {
            FailureKind::Conflict => platform::Error::Conflict {
                current: self.current,
            },
            FailureKind::Compacted => platform::Error::Compacted,
            FailureKind::Unavailable | FailureKind::TooManyConnections => {
                platform::Error::Unreachable
            }
            FailureKind::Absent | FailureKind::Refused | FailureKind::Other => {
                platform::Error::Refused {
                    reason: self.message,
                }
            }
        }
    }
}
