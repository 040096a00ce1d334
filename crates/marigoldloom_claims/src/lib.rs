//! At-most-once execution of requests that must not run twice.
//!
//! Before a request is dispatched, a claim on its idempotency key is written to
//! the platform by a conditional update. Only the attempt that owns the claim
//! dispatches the request, once. Without a claim the request is refused.
//!
//! An attempt is one sending of an idempotency key by the caller.

pub mod bucket;
pub mod claims;
pub mod outcome;
pub mod refusal;
pub mod request;

mod in_flight;
mod queue;
mod writer;
