//! Logs what the engine decides.

use marigoldloom_query::hooks::{Attempt, Decision, Observer, Purpose};

/// Writes one line for each decision of the engine, and one for each attempt that failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Decisions;

impl Observer for Decisions {
    fn attempted(&self, attempt: &Attempt<'_>) {
        let Some(failure) = attempt.failure else {
            return;
        };
        tracing::info!(
            request = attempt.request,
            upstream = attempt.upstream,
            service = attempt.service,
            purpose = purpose(attempt.purpose),
            latency_ms = attempt.latency.as_millis(),
            reason = %failure,
            "attempt failed"
        );
    }

    fn decided(&self, decision: &Decision<'_>) {
        tracing::info!(
            kind = %decision.kind,
            subject = decision.subject,
            cause = decision.cause,
            evidence = %decision.evidence,
            "decision"
        );
    }
}

const fn purpose(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::First => "first",
        Purpose::Hedge => "hedge",
        Purpose::Retry => "retry",
    }
}
