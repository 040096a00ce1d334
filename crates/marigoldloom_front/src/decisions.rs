//! Logs and counts what the engine does.

use marigoldloom_query::hooks::{Decision, FinishedAttempt, Observer, Purpose};
use marigoldloom_telemetry::metrics::Metrics;

/// Writes one line for each decision of the engine, and one for each attempt that failed.
#[derive(Clone, Debug)]
pub struct Decisions {
    metrics: Metrics,
}

impl Decisions {
    /// Counts attempts in `metrics`.
    pub const fn new(metrics: Metrics) -> Self {
        Self { metrics }
    }
}

impl Observer for Decisions {
    fn attempt_finished(&self, attempt: &FinishedAttempt<'_>) {
        let reason = purpose(attempt.purpose);
        let ok = attempt.failure.is_none();
        self.metrics.record_subquery(attempt.service, reason, ok);
        let Some(failure) = attempt.failure else {
            return;
        };
        tracing::info!(
            request = attempt.request,
            upstream = attempt.upstream,
            service = attempt.service,
            purpose = reason,
            latency_ms = attempt.latency.as_millis(),
            reason = %failure,
            "attempt failed"
        );
    }

    fn decision_made(&self, decision: &Decision<'_>) {
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
