//! What admission and the engine tell each other about a request.

use marigoldloom_limits::admission;

use crate::answer::{Answer, Reason};
use crate::refusal::{Kind, Refusal};

/// The refusal of a request that was not admitted.
pub fn refusal(rejection: &admission::Rejection) -> Refusal {
    Refusal::not_run(Kind::Overloaded).with_retry_after(rejection.retry_after)
}

/// What the end of a request says about the load.
pub fn outcome(result: &Result<Answer, Refusal>) -> admission::Outcome {
    let reason = match result {
        Ok(answer) => answer.coverage.missing.first().map(|m| m.reason),
        Err(refusal) => refusal.reason,
    };
    match reason {
        Some(Reason::Overloaded | Reason::TimedOut) => admission::Outcome::Overloaded,
        None if result.is_ok() => admission::Outcome::Finished,
        _ => admission::Outcome::Abandoned,
    }
}
