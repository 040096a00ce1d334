//! Logs decisions and failed attempts of the query engine, counts attempts, and passes on what other
//! instances must know.

use std::sync::Arc;

use marigoldloom_peers::exchange::{Entry, Exchange};
use marigoldloom_query::hooks::{Decision, FinishedAttempt, Observer, Purpose, StrikeChange};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::metrics::Metrics;

use crate::exchange::PeerExchange;
use crate::strikes;

/// Logs each decision of the engine and each failed attempt, and counts all attempts. Passes
/// strikes to the other instances.
pub(crate) struct DecisionLog<R> {
    pub(crate) metrics: Metrics,
    pub(crate) exchange: PeerExchange<R>,
    /// Name under which this process publishes its strikes.
    pub(crate) writer: Arc<str>,
    /// Strikes that must be saved on the platform.
    pub(crate) saved: async_channel::Sender<Entry>,
}

impl<R: Runtime> Observer for DecisionLog<R> {
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

    fn strikes_changed(&self, change: &StrikeChange<'_>) {
        tracing::info!(
            fingerprint = %change.fingerprint,
            upstream = change.upstream,
            own = change.own.count,
            total = change.total,
            "strikes of a request changed"
        );
        let entry = strikes::entry(change.fingerprint, change.own, &self.writer);
        self.exchange.publish(entry);
        let saved = strikes::saved_entry(change).map(|entry| self.saved.try_send(entry));
        if let Some(Err(error)) = saved {
            tracing::warn!(fingerprint = %change.fingerprint, %error, "strikes are not saved");
        }
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
