//! Results of dispatched requests.

use serde::{Deserialize, Serialize};

/// Maximum length of a body that is kept in a claim, in bytes.
///
/// A later attempt gets the status without a longer body. A recorded body adds to every write of
/// its bucket until the claim expires, a day later.
pub const BODY_LIMIT: usize = 1_024;

/// The response of the upstream that ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body; `None` if it was too long, or its bucket too large, to record it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Response {
    /// Returns the response as it is recorded, without a body longer than [`BODY_LIMIT`].
    pub(crate) fn without_long_body(&self) -> Self {
        let is_short = |body: &String| body.len() <= BODY_LIMIT;
        Self {
            status: self.status,
            body: self.body.clone().filter(is_short),
        }
    }
}

/// How a dispatch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// An upstream ran the request and answered.
    Finished(Response),
    /// No byte of the request was sent to an upstream, or the upstream said that it didn't run it.
    NotRun,
    /// A part of the request was sent and no answer came.
    Lost,
}

/// How a request ended, as recorded in its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedOutcome {
    /// The request ran.
    Finished(Response),
    /// The request was dispatched and no answer came.
    Lost,
}
