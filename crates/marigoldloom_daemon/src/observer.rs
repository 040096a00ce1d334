//! Turns reports of the query engine into metrics, decision events, evidence for version moves,
//! and shared map entries.

use std::sync::Arc;

use marigoldloom_limits::fingerprint;
use marigoldloom_moves::moves;
use marigoldloom_peers::dispatch_lease::DispatchLease;
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::platform;
use marigoldloom_query::answer::Reason;
use marigoldloom_query::hooks;
use marigoldloom_routing::health;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time;
use marigoldloom_telemetry::{event, metrics};
use serde::{Deserialize, Serialize};

use crate::warm_entries;

/// Crash strikes of one instance against a request fingerprint, as instances exchange them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Strike {
    /// Number of strikes that the instance added.
    pub count: u32,
    /// Time of the latest strike, in milliseconds since the Unix epoch.
    pub latest: time::WallTime,
}

/// Returns the name of a strike's entry: the fingerprint and the instance that added it.
pub fn strike_name(fingerprint: fingerprint::Fingerprint, instance: &str) -> Arc<str> {
    Arc::from(format!("{fingerprint}/{instance}"))
}

/// Parses the fingerprint, the instance and the strike from an entry; `None` if it is malformed.
pub fn parse_strike(entry: &Entry) -> Option<(fingerprint::Fingerprint, &str, Strike)> {
    let (fingerprint, instance) = entry.name.split_once('/')?;
    let strike = serde_json::from_str(entry.value.as_deref()?).ok()?;
    Some((fingerprint.parse().ok()?, instance, strike))
}

/// Receives the reports of one instance's query engine.
#[derive(Clone)]
pub struct Observer<R, X, L, M> {
    pub(crate) rt: R,
    pub(crate) instance: Arc<str>,
    pub(crate) exchange: X,
    pub(crate) leases: L,
    pub(crate) moves: M,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) events: event::Events,
}

impl<R, P, X, L> hooks::Observer for Observer<R, X, L, moves::Moves<R, P, X>>
where
    R: Runtime,
    P: platform::Platform,
    X: Exchange,
    L: DispatchLease,
{
    fn request_finished(&self, finished: &hooks::FinishedRequest<'_>) {
        let outcome = move_outcome(finished.outcome);
        if let (Some(version), Some(outcome)) = (finished.version, outcome) {
            let (service, route) = (finished.service, finished.route);
            self.moves
                .observe(service, route, version, outcome, finished.latency);
        }
    }

    fn attempt_finished(&self, attempt: &hooks::FinishedAttempt<'_>) {
        let reason = match attempt.purpose {
            hooks::Purpose::First => "first",
            hooks::Purpose::Hedge => "hedge",
            hooks::Purpose::Retry => "retry",
        };
        let ok = attempt.failure.is_none();
        self.metrics.record_subquery(attempt.service, reason, ok);
    }

    fn decision_made(&self, decision: &hooks::Decision<'_>) {
        if decision.kind == event::Kind::Warm {
            self.leases.release(decision.subject);
        }
        self.events.record(
            self.rt.wall(),
            decision.kind,
            decision.subject,
            decision.cause,
            decision.evidence.clone(),
        );
    }

    fn warmup_finished(&self, service: &str, upstream: &str, start: u64) {
        let now = self.rt.wall();
        warm_entries::publish(&self.exchange, now, service, upstream, Some(start));
    }

    fn cold_start_began(&self, service: &str, upstream: &str, cause: health::ColdCause) {
        if cause.invalidates_reports() {
            let now = self.rt.wall();
            warm_entries::publish(&self.exchange, now, service, upstream, None);
        }
    }

    fn strikes_changed(&self, change: &hooks::StrikeChange<'_>) {
        let (fingerprint, strikes) = (change.fingerprint, change.own);
        let strike = Strike {
            count: strikes.count,
            latest: strikes.latest,
        };
        let value = serde_json::to_string(&strike).ok().map(Arc::from);
        self.exchange.publish(Entry {
            space: Space::Strike,
            name: strike_name(fingerprint, &self.instance),
            stamp: strikes.latest.0,
            value,
            expires: Some(strikes.latest + fingerprint::QUARANTINE),
        });
    }
}

/// Returns the request's outcome as evidence about its version; `None` if the version didn't
/// cause the outcome, that is, if the request didn't run or its replicas were unavailable or cold.
fn move_outcome(outcome: hooks::RequestOutcome) -> Option<moves::RequestOutcome> {
    match outcome {
        hooks::RequestOutcome::Full => Some(moves::RequestOutcome::Ok),
        hooks::RequestOutcome::Partial(reason) | hooks::RequestOutcome::Failed(reason) => {
            match reason {
                Reason::NoReplica | Reason::Cold => None,
                _ => Some(moves::RequestOutcome::Failed),
            }
        }
        hooks::RequestOutcome::NotRun => None,
    }
}
