//! Logs decisions and failed attempts of the query engine, and counts attempts.

use marigoldloom_limits::fingerprint::{Fingerprint, Strikes};
use marigoldloom_query::hooks::{Decision, FinishedAttempt, Observer, Purpose};
use marigoldloom_telemetry::metrics::Metrics;

/// Logs each decision of the engine and each failed attempt, and counts all attempts.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    metrics: Metrics,
}

impl DecisionLog {
    /// Creates an observer that counts attempts in `metrics`.
    pub const fn new(metrics: Metrics) -> Self {
        Self { metrics }
    }
}

impl Observer for DecisionLog {
    fn attempt_finished(&self, attempt: &FinishedAttempt<'_>) {
        let reason = purpose_label(attempt.purpose);
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

    fn strike_added(&self, fingerprint: Fingerprint, strikes: Strikes) {
        tracing::info!(
            fingerprint = format_args!("{:016x}", fingerprint.0),
            strikes = strikes.count,
            "an upstream ended while it ran the request"
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

const fn purpose_label(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::First => "first",
        Purpose::Hedge => "hedge",
        Purpose::Retry => "retry",
    }
}
