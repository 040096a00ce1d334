//! Names and formats of the headers that callers and upstreams use.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use marigoldloom_upstream::message;

/// Information from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Id of the request, different for each attempt of the caller; `None` if it is missing.
    pub id: Option<String>,
    /// How long the caller waits for the response; `None` if it doesn't say.
    pub timeout: Option<Duration>,
}

/// Information from the status and headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response answers; `None` if it is missing.
    pub request_id: Option<String>,
    /// Signature that proves that the upstream created the response.
    pub signature: Option<HeaderValue>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the response comes from another process than the request was addressed to.
    pub misdirected: bool,
    /// The upstream's load; the default if it is missing.
    pub report: message::Report,
}

/// Reads and writes headers in the names and formats of callers and upstreams.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn parse_caller(&self, headers: &HeaderMap) -> Caller;

    /// Sets how long the sender waits for the response.
    fn set_timeout(&self, headers: &mut HeaderMap, left: Duration);

    /// Sets the process `instance` as the only one to answer an attempt, and `left` as the time
    /// it has.
    fn set_target(&self, headers: &mut HeaderMap, instance: &str, left: Duration);

    /// Parses the status and headers of an upstream's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;

    /// Sets the signatures of the parts of a merged answer and the number of missing parts.
    fn set_coverage(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize);

    /// Sets the time after which a caller may retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, pause: Duration);
}
