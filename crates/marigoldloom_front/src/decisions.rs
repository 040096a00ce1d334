//! Logs decisions and failed attempts of the query engine, counts attempts, and passes on what other
//! instances must know.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_limits::fingerprint::{Fingerprint, Silence};
use marigoldloom_moves::window;
use marigoldloom_peers::exchange::{Entry, Exchange};
use marigoldloom_query::answer::Reason;
use marigoldloom_query::hooks::{
    Decision, FinishedAttempt, Observer, OpenAttempt, Purpose, StrikeChange,
};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::metrics::Metrics;

use crate::exchange::PeerExchange;
use crate::moves::Moves;
use crate::strikes;

/// Latency of a slow reply during a version move, as a multiple of the delay before a hedge.
const SLOW_FACTOR: u32 = 2;

/// Logs each decision of the engine and each failed attempt, and counts all attempts. Passes
/// attempts to the version moves, and strikes to the other instances.
pub(crate) struct DecisionLog<R> {
    pub(crate) metrics: Metrics,
    pub(crate) moves: Moves<R>,
    pub(crate) exchange: PeerExchange<R>,
    /// Name under which this process publishes its strikes.
    pub(crate) writer: Arc<str>,
    /// Strikes that must be saved on the platform.
    pub(crate) saved: async_channel::Sender<Entry>,
}

impl<R: Runtime> DecisionLog<R> {
    fn observe_version(&self, attempt: &FinishedAttempt<'_>) {
        let origin = window::Origin {
            service: attempt.shard_service,
            route: attempt.route,
            version: attempt.version,
        };
        let failed = match attempt.failure {
            None => false,
            Some(Reason::Failed | Reason::Lost | Reason::TimedOut | Reason::Mismatch) => true,
            // The upstream has not run the request.
            Some(_) => return self.moves.discard(origin),
        };
        self.moves.observe(&window::Attempt {
            origin,
            failed,
            slow: attempt
                .slow_after
                .map(|limit| is_slow(attempt.latency, limit)),
        });
    }
}

/// Returns whether a reply is slow enough to tell against the version of its upstream.
fn is_slow(latency: Duration, limit: Duration) -> bool {
    latency > limit * SLOW_FACTOR
}

const fn origin<'a>(attempt: &OpenAttempt<'a>) -> window::Origin<'a> {
    window::Origin {
        service: attempt.shard_service,
        route: attempt.route,
        version: attempt.version,
    }
}

impl<R: Runtime> Observer for DecisionLog<R> {
    fn attempt_started(&self, attempt: &OpenAttempt<'_>) {
        self.moves.begin(origin(attempt));
    }

    fn attempt_abandoned(&self, attempt: &OpenAttempt<'_>) {
        match attempt.slow_after {
            // It would have been slow, whatever its result.
            Some(limit) if is_slow(attempt.latency, limit) => {
                self.moves.observe(&window::Attempt {
                    origin: origin(attempt),
                    failed: false,
                    slow: Some(true),
                });
            }
            _ => self.moves.discard(origin(attempt)),
        }
    }

    fn attempt_finished(&self, attempt: &FinishedAttempt<'_>) {
        self.observe_version(attempt);
        let reason = purpose_label(attempt.purpose);
        let ok = attempt.failure.is_none();
        self.metrics.record_subquery(attempt.service, reason, ok);
        let Some(failure) = attempt.failure else {
            return;
        };
        tracing::info!(
            request = attempt.request,
            upstream = attempt.upstream,
            version = attempt.version,
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
            total = change.total.count,
            trials = change.total.trials,
            evidence = change.evidence,
            "strikes of a request changed"
        );
        let entry = strikes::entry(change.fingerprint, change.own, &self.writer);
        self.exchange.publish(entry);
        let saved = strikes::saved_entry(change).map(|entry| self.saved.try_send(entry));
        if let Some(Err(error)) = saved {
            tracing::warn!(fingerprint = %change.fingerprint, %error, "strikes are not saved");
        }
    }

    fn silence_changed(&self, fingerprint: Fingerprint, silence: Silence) {
        tracing::info!(%fingerprint, silent = silence.silent, "silent upstreams of a request changed");
        let entry = strikes::silence_entry(fingerprint, silence, &self.writer);
        self.exchange.publish(entry);
    }

    fn decision_made(&self, decision: &Decision<'_>) {
        self.metrics.record_decision(decision.kind);
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
