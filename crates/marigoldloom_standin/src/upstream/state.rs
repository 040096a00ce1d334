//! State of a stand-in upstream and its admission of queries.

use std::collections::BTreeMap;

use async_channel::{Receiver, Sender};
use marigoldloom_http::message as http;
use marigoldloom_records::service;
use marigoldloom_runtime::time;
use marigoldloom_upstream::message;

use super::{Counters, Faults, Overload, Settings};

/// A query as received.
pub(super) struct Query {
    pub(super) id: message::SubqueryId,
    pub(super) shard: u32,
    pub(super) snapshot: service::Snapshot,
    pub(super) route: String,
    pub(super) key: Option<String>,
    pub(super) text: String,
}

/// Decision on a query at its arrival. The variants' names are sent in refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The query may run.
    Admit,
    /// The upstream is draining.
    Draining,
    /// The upstream doesn't hold the snapshot.
    WrongSnapshot,
    /// The upstream doesn't hold the shard.
    WrongShard,
    /// The queue is full.
    Shed,
    /// The upstream is cold and its cold slots are taken; it fails the query.
    Overloaded,
    /// The upstream crashes.
    Crash,
}

/// How a run of a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOutcome {
    Completed,
    Failed,
    Overdue,
    Cancelled,
}

pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) counters: Counters,
    slots: u32,
    cold_slots: u32,
    queue: u32,
    overload: Overload,
    warm_after: u32,
    dataset: Dataset,
    start_id: u64,
    /// Number of answers that are left until the upstream is warm.
    cold_left: u32,
    draining: bool,
    stopped: bool,
    /// Number of queries that wait for a slot or run.
    admitted: u32,
    running: u32,
    /// Channels of the running queries, closed to cancel a query.
    cancels: BTreeMap<message::SubqueryId, Sender<()>>,
    /// Reported load and the time at which it was read.
    load_sample: (time::Timestamp, u32),
    /// Answer to the previous query, for the fault `crossed`.
    pub(super) last_answer: Option<http::Response>,
}

/// What the upstream holds according to its settings.
struct Dataset {
    snapshot: service::Snapshot,
    shards: Vec<u32>,
}

impl State {
    pub(super) fn new(settings: &Settings, start_id: u64) -> Self {
        let snapshot = service::Snapshot {
            version: settings.version.clone(),
            epoch: settings.epoch,
        };
        Self {
            faults: Faults::default(),
            counters: Counters::default(),
            slots: settings.slots,
            cold_slots: settings.cold_slots,
            queue: settings.queue,
            overload: settings.overload,
            warm_after: settings.warm_after,
            dataset: Dataset {
                snapshot,
                shards: settings.shards.clone(),
            },
            start_id,
            cold_left: if settings.cold {
                settings.warm_after
            } else {
                0
            },
            draining: false,
            stopped: false,
            admitted: 0,
            running: 0,
            cancels: BTreeMap::new(),
            load_sample: (time::Timestamp::ZERO, 0),
            last_answer: None,
        }
    }

    /// Decides on a query at its arrival and counts the decision. The caller must call
    /// [`State::release`] for an admitted one.
    pub(super) fn admit(&mut self, query: &Query, connections: usize) -> Decision {
        let decision = self.decide(query);
        let counters = &mut self.counters;
        counters.received += 1;
        counters.peak_connections = counters.peak_connections.max(connections);
        match decision {
            Decision::Admit => self.admitted += 1,
            Decision::Draining => counters.drained += 1,
            Decision::WrongSnapshot => counters.wrong_snapshot += 1,
            Decision::WrongShard => counters.wrong_shard += 1,
            Decision::Shed => counters.shed += 1,
            Decision::Overloaded => counters.failed += 1,
            Decision::Crash => (),
        }
        decision
    }

    fn decide(&mut self, query: &Query) -> Decision {
        let crash_text = self.faults.crash_text.as_deref();
        match () {
            () if self.draining => Decision::Draining,
            () if !self.holds_snapshot(&query.snapshot) => Decision::WrongSnapshot,
            () if !self.shards().contains(&query.shard) => Decision::WrongShard,
            () if self.is_cold() && self.admitted >= self.cold_slots => self.overload(),
            () if self.admitted >= self.slots + self.queue => Decision::Shed,
            () if crash_text.is_some_and(|text| query.text.contains(text)) => self.crash_on(query),
            () => Decision::Admit,
        }
    }

    fn overload(&mut self) -> Decision {
        self.counters.cold_excess += 1;
        match self.overload {
            Overload::Crash => Decision::Crash,
            Overload::Fail => {
                self.go_cold();
                Decision::Overloaded
            }
        }
    }

    /// Counts the query as one that ran: it crashes the upstream while it runs.
    fn crash_on(&mut self, query: &Query) -> Decision {
        let (key, cold) = (query.key.as_deref(), self.is_cold());
        self.counters
            .start(&query.route, key, self.running + 1, cold);
        Decision::Crash
    }

    fn holds_snapshot(&self, snapshot: &service::Snapshot) -> bool {
        let version = self.faults.version.as_ref();
        let epoch = self.faults.epoch.unwrap_or(self.dataset.snapshot.epoch);
        snapshot.version == *version.unwrap_or(&self.dataset.snapshot.version)
            && snapshot.epoch == epoch
    }

    fn shards(&self) -> &[u32] {
        let faulty = self.faults.shards.as_deref();
        faulty.unwrap_or(&self.dataset.shards)
    }

    /// Counts an admitted query as running. The returned channel is closed when the query is
    /// cancelled.
    pub(super) fn start(&mut self, query: &Query, now: time::WallTime) -> Receiver<()> {
        let (sender, cancelled) = async_channel::bounded(1);
        self.cancels.insert(query.id, sender);
        self.running += 1;
        let cold = self.is_cold();
        let key = query.key.as_deref();
        self.counters.start(&query.route, key, self.running, cold);
        self.counters.last_run = now;
        cancelled
    }

    /// Counts the end of a query that ran.
    pub(super) fn finish(&mut self, id: message::SubqueryId, outcome: RunOutcome) {
        self.cancels.remove(&id);
        self.running = self.running.saturating_sub(1);
        match outcome {
            RunOutcome::Completed => {
                self.counters.completed += 1;
                self.cold_left = self.cold_left.saturating_sub(1);
            }
            RunOutcome::Failed => self.counters.failed += 1,
            RunOutcome::Overdue => self.counters.overdue += 1,
            RunOutcome::Cancelled => self.counters.cancelled += 1,
        }
    }

    /// Frees the place of an admitted query, whether it ran or not.
    pub(super) fn release(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Cancels a query if it runs.
    pub(super) fn cancel(&mut self, id: message::SubqueryId) {
        self.counters.cancels += 1;
        if let Some(sender) = self.cancels.remove(&id) {
            sender.close();
        }
    }

    /// Returns whether this query meets the faults' conditions other than `share`.
    pub(super) fn affects(&self, query: &Query) -> bool {
        let faults = &self.faults;
        let route = faults.route.as_ref();
        let text = faults.text.as_ref();
        route.is_none_or(|route| *route == query.route)
            && text.is_none_or(|text| query.text.contains(text.as_str()))
            && self.running >= faults.running
    }

    /// Returns the upstream's report, whose load is at most `max_age` old.
    pub(super) fn report(
        &mut self,
        now: time::Timestamp,
        max_age: std::time::Duration,
    ) -> message::Report {
        if now.since(self.load_sample.0) >= max_age {
            self.load_sample = (now, self.admitted);
        }
        let state = match () {
            () if self.draining => message::State::Draining,
            () if self.is_cold() => message::State::Cold,
            () => message::State::Ready,
        };
        let faults = &self.faults;
        message::Report {
            load: faults.load.unwrap_or(self.load_sample.1),
            capacity: faults.capacity.unwrap_or(self.slots),
            start_id: self.start_id,
            state: faults.state.unwrap_or(state),
            pause_ms: 0,
        }
    }

    pub(super) const fn is_cold(&self) -> bool {
        self.cold_left > 0
    }

    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    /// Makes the upstream cold, or starts its warm-up anew.
    pub(super) const fn go_cold(&mut self) {
        self.cold_left = self.warm_after;
    }

    pub(super) const fn drain(&mut self) {
        self.draining = true;
    }

    /// Counts a crash; the upstream is cold afterwards and has the new start id.
    pub(super) fn crash(&mut self, start_id: u64) {
        self.counters.crashes += 1;
        self.start_id = start_id;
        self.go_cold();
    }

    /// Prevents a restart after a crash.
    pub(super) const fn stop(&mut self) {
        self.stopped = true;
    }

    pub(super) const fn is_stopped(&self) -> bool {
        self.stopped
    }
}
