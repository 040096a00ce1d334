//! One attempt at one subquery on one replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

use crate::answer;
use crate::hooks::{self, Hooks, Observer};
use crate::state::Core;

/// Counts attempts that may have run. Attempts that are abandoned stay counted.
#[derive(Debug, Default)]
pub(crate) struct Trace(AtomicU32);

impl Trace {
    /// Counts an attempt that is about to be sent.
    pub(crate) fn begin(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether any attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }
}

/// A place on a replica that was reserved for an attempt. Dropping it gives the place back.
pub(crate) struct Place<R: Runtime, U, H: Hooks> {
    pub(crate) core: Arc<Core<R, U, H>>,
    pub(crate) replica: Arc<topology::Replica>,
    pub(crate) purpose: hooks::Purpose,
    /// When the attempt must have ended; earlier than the query's on a cold replica.
    pub(crate) until: Timestamp,
    /// Process that the attempt is meant for; none for whichever runs.
    pub(crate) start: Option<u64>,
    /// Whether the replica was in cold start.
    pub(crate) cold: bool,
    health: Arc<health::Health>,
    started: Timestamp,
    patience: Duration,
    open: bool,
}

/// A replica that was chosen, before its place is reserved.
pub(crate) struct Choice {
    pub(crate) replica: Arc<topology::Replica>,
    pub(crate) health: Arc<health::Health>,
    pub(crate) view: health::View,
    pub(crate) room: u32,
    /// Least time from one request of this instance to the next, if the replica is paced.
    pub(crate) gap: Option<Duration>,
    pub(crate) until: Timestamp,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Place<R, U, H> {
    /// Reserves the place; none if it was taken meanwhile.
    pub(crate) fn reserve(
        core: &Arc<Core<R, U, H>>,
        choice: Choice,
        purpose: hooks::Purpose,
        patience: Duration,
    ) -> Option<Self> {
        let now = core.rt.now();
        let name = &choice.replica.target.name;
        let due = choice.gap.is_none_or(|gap| core.paces.take(name, now, gap));
        let taken = due && choice.health.try_begin(now, &choice.view, choice.room);
        taken.then(|| Self {
            core: Arc::clone(core),
            replica: choice.replica,
            purpose,
            until: choice.until,
            start: choice.view.start_id.filter(|_| !choice.view.cold),
            cold: choice.view.cold,
            health: choice.health,
            started: now,
            patience,
            open: true,
        })
    }

    /// Sends the subquery and waits for the reply until the place's time ends.
    pub(crate) async fn send(
        mut self,
        mut subquery: message::Subquery,
        trace: Arc<Trace>,
    ) -> Result<message::Reply, upstream::Error> {
        subquery.deadline = self.until;
        let reply = self.core.upstream.send(&self.replica.target, &subquery);
        let reply = runtime::timeout_at(&self.core.rt, self.until, reply).await;
        let result = reply.unwrap_or(Err(upstream::Error::TimedOut));
        if result.as_ref().is_err_and(upstream::Error::not_run) {
            trace.0.fetch_sub(1, Ordering::Relaxed);
        }
        self.settle(&subquery, &result);
        result
    }

    fn settle(
        &mut self,
        subquery: &message::Subquery,
        result: &Result<message::Reply, upstream::Error>,
    ) {
        self.open = false;
        let now = self.core.rt.now();
        let latency = now.since(self.started);
        let changes = match result {
            Ok(reply) => {
                self.core.ramps.record_success(&self.replica.target.name);
                let warmup = &self.core.settings.warmup;
                self.health
                    .record_success(now, self.started, &reply.report, warmup)
            }
            Err(error) => {
                self.core.ramps.reset(&self.replica.target.name);
                self.health
                    .record_failure(now, self.started, self.until, error)
            }
        };
        self.report(&changes);
        self.core.hooks.observer().attempted(&hooks::Attempt {
            request: &subquery.request.0,
            service: &subquery.service,
            upstream: &self.replica.target.name,
            purpose: self.purpose,
            latency,
            failure: result.as_ref().err().map(answer::Reason::from),
        });
    }
}

impl<R: Runtime, U, H: Hooks> Place<R, U, H> {
    fn report(&self, changes: &[health::Change]) {
        for change in changes {
            self.core.changed(&self.replica.target.name, change);
        }
    }
}

impl<R: Runtime, U, H: Hooks> Drop for Place<R, U, H> {
    fn drop(&mut self) {
        if self.open {
            let now = self.core.rt.now();
            let changes =
                self.health
                    .record_abandoned(now, self.started, self.patience, self.until);
            self.report(changes.as_slice());
        }
    }
}
