//! Reasons for rejecting a request before it reaches the query engine.

use derive_more::derive;
use http::StatusCode;

/// Why a request is rejected before it reaches the query engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub(crate) enum Rejection {
    /// The instance has no configuration yet.
    #[display("no configuration is known yet")]
    NotReady,
    /// No route matches the host and path.
    #[display("no route fits")]
    NoRoute,
    /// The request has no id, no host or no target that can be forwarded.
    #[display("the request has no id or no target")]
    Malformed,
    /// The body exceeds the configured limit.
    #[display("the body is longer than the limit")]
    BodyTooLong,
    /// The body ended early or could not be read.
    #[display("the body ended early")]
    Truncated,
    /// The forwarding instance routed the request with another version of the configuration.
    #[display("another instance routed the request by another configuration")]
    OtherVersion,
}

impl Rejection {
    /// HTTP status of the response.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed | Self::Truncated => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OtherVersion => StatusCode::CONFLICT,
        }
    }
}
