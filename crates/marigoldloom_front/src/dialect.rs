//! How callers and upstreams spell what the tier needs to know.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use marigoldloom_upstream::message;

/// What a caller says about its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Id of the request, different for each of the caller's attempts.
    pub id: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
}

/// What an upstream says with a response, beside the response itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mark {
    /// Id of the request that it answers.
    pub echo: Option<String>,
    /// Proof that the upstream made the response.
    pub signature: Option<HeaderValue>,
    /// Whether it states that it did not run the request.
    pub refused: bool,
    /// Whether another process than the one addressed answered.
    pub misdirected: bool,
    /// Its load.
    pub report: message::Report,
}

/// Names and formats of headers.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads what a caller says about its request.
    fn caller(&self, headers: &HeaderMap) -> Caller;

    /// States how long the sender waits.
    fn limit(&self, headers: &mut HeaderMap, left: Duration);

    /// Addresses an attempt to the process `instance`, which has `left` to answer.
    fn address(&self, headers: &mut HeaderMap, instance: &str, left: Duration);

    /// Reads what an upstream says with a response.
    fn mark(&self, status: StatusCode, headers: &HeaderMap) -> Mark;

    /// States the parts of an answer and how many are missing.
    fn cover(&self, headers: &mut HeaderMap, signatures: &[HeaderValue], missing: usize);

    /// Tells a caller when to try again.
    fn retry_after(&self, headers: &mut HeaderMap, pause: Duration);
}
