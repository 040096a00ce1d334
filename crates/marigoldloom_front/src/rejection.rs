//! Reasons for rejecting a request before it reaches the query engine.

use derive_more::derive;
use http::StatusCode;

use crate::receive_limit::Exceeded;

/// Number of characters of a caller's value that are logged.
const LOGGED_LEN: usize = 120;

/// Why a request is rejected before it reaches the query engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub(crate) enum Rejection {
    /// The instance has no view of the platform's records yet.
    #[display("records that requests need aren't known yet")]
    NotReady,
    /// No route matches the host and path.
    #[display("no route fits host {host:?} and path {path:?}")]
    NoRoute {
        /// Start of the host.
        host: String,
        /// Start of the path.
        path: String,
    },
    /// The route of the request could not be decoded.
    #[display("the configuration's route {route:?} can't be used")]
    UnusableRoute {
        /// Start of the route's name.
        route: String,
    },
    /// The request has no host.
    #[display("the request to {target:?} has no host or an invalid one")]
    NoHost {
        /// Start of the target.
        target: String,
    },
    /// The request has no target that can be forwarded.
    #[display("the target {target:?} has no path")]
    NoPath {
        /// Start of the target.
        target: String,
    },
    /// The request has no id.
    #[display("the request to {target:?} has no id")]
    NoId {
        /// Start of the target.
        target: String,
    },
    /// The body exceeds the configured limit.
    #[display("the body is longer than {limit} bytes")]
    BodyTooLong {
        /// Largest number of bytes.
        limit: usize,
    },
    /// The bodies of other requests take all memory for them.
    #[display("bodies of requests take all of the {limit} bytes for them")]
    NoMemory {
        /// The limit in bytes.
        limit: usize,
    },
    /// Too many bytes of the body's framing arrived.
    #[display("the body's framing has {_0}")]
    Framing(Exceeded),
    /// The body ended early or could not be read.
    #[display("the body ended early")]
    Truncated,
    /// The forwarding instance routed the request with another version of the configuration.
    #[display("another instance routed the request by another configuration")]
    OtherVersion,
}

impl Rejection {
    /// HTTP status of the response.
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::NotReady | Self::NoMemory { .. } | Self::UnusableRoute { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute { .. } => StatusCode::NOT_FOUND,
            Self::NoHost { .. }
            | Self::NoPath { .. }
            | Self::NoId { .. }
            | Self::Framing(_)
            | Self::Truncated => StatusCode::BAD_REQUEST,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OtherVersion => StatusCode::CONFLICT,
        }
    }
}

/// Returns the start of `value`, of which log lines contain at most [`LOGGED_LEN`] characters.
pub(crate) fn start_of(value: impl ToString) -> String {
    value.to_string().chars().take(LOGGED_LEN).collect()
}
