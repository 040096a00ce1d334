//! Decision events: what an instance decided, why, and on what evidence.
//!
//! Operators read them to understand automatic actions of the tier. They are kept in a
//! ring buffer, so a repeating fault can't exhaust memory.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::derive;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

/// Capacity of an instance's event ring; the oldest events are dropped first.
pub const RING_LEN: usize = 4_096;

/// Kind of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An upstream was ejected: it gets no requests for a while.
    #[display("upstream ejected")]
    Ejected,
    /// An ejected upstream gets requests again.
    #[display("upstream readmitted")]
    Readmitted,
    /// An upstream leaves or wants no requests for a time.
    #[display("upstream unwilling")]
    Unwilling,
    /// An upstream takes requests again after a time without.
    #[display("upstream willing")]
    Willing,
    /// An upstream is in cold start and gets less load.
    #[display("upstream in cold start")]
    ColdStart,
    /// An upstream finished its cold start.
    #[display("upstream warm")]
    Warm,
    /// Hedging stopped because its budget is used up.
    #[display("hedging stopped")]
    HedgingStopped,
    /// The new version's traffic share in a version move changed.
    #[display("share changed")]
    ShareChanged,
    /// A version move was rolled back.
    #[display("move taken back")]
    TakenBack,
    /// A version move is complete.
    #[display("move done")]
    MoveDone,
    /// A request was refused.
    #[display("request refused")]
    Refused,
    /// Requests with a fingerprint are refused because upstreams crashed while running them.
    #[display("fingerprint refused")]
    Quarantined,
    /// The membership state of an instance changed.
    #[display("member changed")]
    MemberChanged,
    /// A configuration record took effect.
    #[display("configuration applied")]
    Configured,
    /// A configuration record is invalid and was not applied.
    #[display("configuration refused")]
    ConfigRefused,
    /// This instance started a graceful shutdown.
    #[display("draining")]
    Draining,
}

/// One decision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Event {
    /// Sequence number of the event on its instance, starting at 1.
    pub number: u64,
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: time::WallTime,
    /// Kind of the decision.
    pub kind: Kind,
    /// Subject of the decision: an upstream, a move, a request id or an instance.
    pub subject: String,
    /// Reason, in one sentence for the operator.
    pub cause: String,
    /// Values that the decision is based on.
    pub evidence: serde_json::Value,
}

/// Ring buffer of an instance's events. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Events {
    ring: Arc<Mutex<Ring>>,
}

#[derive(Debug, Default)]
struct Ring {
    next: u64,
    events: VecDeque<Event>,
}

impl Events {
    /// Creates an empty ring.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a decision and logs it.
    pub fn record(
        &self,
        at: time::WallTime,
        kind: Kind,
        subject: &str,
        cause: &str,
        evidence: serde_json::Value,
    ) {
        tracing::info!(%kind, subject, cause, %evidence, "decision");
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.next += 1;
        if ring.events.len() == RING_LEN {
            ring.events.pop_front();
        }
        let number = ring.next;
        ring.events.push_back(Event {
            number,
            at_ms: at,
            kind,
            subject: subject.to_owned(),
            cause: cause.to_owned(),
            evidence,
        });
    }

    /// Returns the events with a sequence number above `number`, oldest first.
    pub fn after(&self, number: u64) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let later = ring.events.iter().filter(|e| e.number > number);
        later.cloned().collect()
    }
}
