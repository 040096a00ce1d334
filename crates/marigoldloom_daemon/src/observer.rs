//! Turns what the query engine reports into metrics, events, evidence and strikes.

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

use crate::warmth;

/// A strike as instances exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Strike {
    /// Strikes that the instance gave.
    pub count: u32,
    /// When it gave the last one, in wall-clock milliseconds.
    pub latest: time::WallTime,
}

/// Name of a strike's entry: the fingerprint and the instance that gave it.
pub fn strike_name(print: fingerprint::Fingerprint, instance: &str) -> Arc<str> {
    Arc::from(format!("{:016x}/{instance}", print.0))
}

/// Reads a strike from its entry; none if the entry has another shape.
pub fn parse_strike(entry: &Entry) -> Option<(fingerprint::Fingerprint, &str, Strike)> {
    let (print, instance) = entry.name.split_once('/')?;
    let print = u64::from_str_radix(print, 16).ok()?;
    let strike = serde_json::from_str(entry.value.as_deref()?).ok()?;
    Some((fingerprint::Fingerprint(print), instance, strike))
}

/// Follows the engine of one instance.
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
        let ending = ending(finished.outcome);
        if let (Some(version), Some(ending)) = (finished.version, ending) {
            let (service, route) = (finished.service, finished.route);
            self.moves
                .observe(service, route, version, ending, finished.latency);
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
        warmth::tell(&self.exchange, now, service, upstream, Some(start));
    }

    fn cold_start_began(&self, service: &str, upstream: &str, cause: health::ColdCause) {
        if cause.invalidates_reports() {
            let now = self.rt.wall();
            warmth::tell(&self.exchange, now, service, upstream, None);
        }
    }

    fn strike_added(&self, print: fingerprint::Fingerprint, strikes: fingerprint::Strikes) {
        let strike = Strike {
            count: strikes.count,
            latest: strikes.latest,
        };
        let value = serde_json::to_string(&strike).ok().map(Arc::from);
        self.exchange.publish(Entry {
            space: Space::Strike,
            name: strike_name(print, &self.instance),
            stamp: strikes.latest.0,
            value,
            expires: Some(strikes.latest + fingerprint::QUARANTINE),
        });
    }
}

/// What a request says about its version; nothing if the tier or the fleet is to blame.
fn ending(verdict: hooks::RequestOutcome) -> Option<moves::RequestOutcome> {
    match verdict {
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
