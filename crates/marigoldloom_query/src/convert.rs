//! Conversions between the types of admission control and those of the engine.

use marigoldloom_limits::admission;

use crate::answer::{Answer, Reason};
use crate::refusal::{Kind, Refusal};

/// Converts an admission rejection to the refusal that the caller receives.
pub fn refusal(rejection: &admission::Rejection) -> Refusal {
    Refusal::not_run(Kind::Overloaded).with_retry_after(rejection.retry_after)
}

/// Converts the result of a request to the outcome that is reported to admission control.
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
