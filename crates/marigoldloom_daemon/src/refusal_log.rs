//! Records refused requests as decision events, so that operators can look up the reason.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_http::message;
use marigoldloom_query::refusal::Kind;
use marigoldloom_query::request::Request;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_telemetry::event;
use serde_json::{Value, json};

use crate::refusal;

/// Maximum number of refusals recorded per [`PERIOD`]. Thousands per second under overload would
/// displace all other decisions from the event ring; metrics count every refusal.
const EVENTS_PER_PERIOD: u32 = 20;

/// Length of the window that [`EVENTS_PER_PERIOD`] applies to.
const PERIOD: Duration = Duration::from_secs(1);

/// Refusals that the query engine records itself, with its own evidence.
const ENGINE_KINDS: [Kind; 3] = [Kind::Unavailable, Kind::Crashed, Kind::Quarantined];

/// Records the refusals of one instance.
pub(crate) struct RefusalLog<R> {
    rt: R,
    events: event::Events,
    window: Mutex<Window>,
}

/// Number of refusals since the start of a window.
#[derive(Clone, Copy, Debug)]
struct Window {
    start: Timestamp,
    count: u32,
}

impl<R: Runtime> RefusalLog<R> {
    pub(crate) fn new(rt: R, events: event::Events) -> Self {
        let window = Window {
            start: rt.now(),
            count: 0,
        };
        Self {
            rt,
            events,
            window: Mutex::new(window),
        }
    }

    /// Records the refusal of `request`, unless the engine records it or the limit is reached;
    /// `outcome` is the name of the refusal's kind.
    pub(crate) fn record(&self, request: &Request, outcome: &str, response: &message::Response) {
        let is_engine_kind = ENGINE_KINDS
            .into_iter()
            .any(|k| refusal::kind_name(k) == outcome);
        if response.status().is_success() || is_engine_kind || !self.admit() {
            return;
        }
        let body: Value = response.json().unwrap_or_default();
        let error = &body["error"];
        let evidence = json!({
            "service": &*request.service,
            "route": &*request.route,
            "tenant": &*request.tenant,
            "class": request.class,
            "kind": error["kind"],
            "run": error["run"],
            "retry_after_ms": error["retry_after_ms"],
        });
        let cause = error["message"].as_str().unwrap_or(outcome);
        let (at, kind) = (self.rt.wall(), event::Kind::Refused);
        self.events.record(at, kind, &request.id.0, cause, evidence);
    }

    fn admit(&self) -> bool {
        let now = self.rt.now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.start) >= PERIOD {
            *window = Window {
                start: now,
                count: 0,
            };
        }
        window.count = window.count.saturating_add(1);
        window.count <= EVENTS_PER_PERIOD
    }
}
