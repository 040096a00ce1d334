//! A single attempt to run a subquery on a replica.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

use crate::answer;
use crate::hooks::{self, Hooks, Observer, Versions};
use crate::refusal::{Refusal, RunStatus};
use crate::request::ErrorReplies;
use crate::state::Core;

/// Counts a request's attempts that may have run, including abandoned ones.
#[derive(Debug, Default)]
pub(crate) struct RunCounter {
    /// Attempts that may have run.
    runs: AtomicU32,
    /// Whether an upstream has refused an attempt.
    refused: AtomicBool,
}

impl RunCounter {
    /// Counts an attempt; called before it is sent.
    pub(crate) fn add(&self) {
        self.runs.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether at least one attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.runs.load(Ordering::Relaxed) > 0
    }

    /// Whether at least one attempt may have reached an upstream.
    pub(crate) fn may_have_arrived(&self) -> bool {
        self.may_have_run() || self.refused.load(Ordering::Relaxed)
    }

    /// Sets in a refusal what the earlier attempts of its request have done.
    pub(crate) fn qualify(&self, refusal: Refusal) -> Refusal {
        Refusal {
            run: match self.may_have_run() {
                true => RunStatus::Unknown,
                false => refusal.run,
            },
            arrived: refusal.arrived || self.may_have_arrived(),
            ..refusal
        }
    }

    /// Records the failure of an attempt.
    fn record_failure(&self, error: &upstream::Error) {
        if error.not_run() {
            self.runs.fetch_sub(1, Ordering::Relaxed);
            self.refused.fetch_or(error.answered(), Ordering::Relaxed);
        }
    }
}

/// Capacity of a replica that is reserved for one attempt. Dropping it before a result abandons
/// the attempt.
pub(crate) struct Reservation<R: Runtime, U, H: Hooks> {
    pub(crate) core: Arc<Core<R, U, H>>,
    pub(crate) replica: Arc<topology::Replica>,
    pub(crate) purpose: hooks::Purpose,
    /// Deadline of the attempt. On a cold replica the dispatch lease may end before the query's
    /// deadline.
    pub(crate) deadline: Timestamp,
    /// Start id of the process that the attempt must reach; `None` allows any process.
    pub(crate) start_id: Option<u64>,
    /// Whether the replica was in cold start when it was selected.
    pub(crate) cold: bool,
    /// When the subquery was handed to a connection, in nanoseconds; zero if it wasn't.
    pub(crate) sent: Arc<AtomicU64>,
    pub(crate) health: Arc<health::Health>,
    started: Timestamp,
    /// A reply that takes longer, or an attempt abandoned after at least this time, is slow.
    slow_after: Duration,
    /// Replicated service of the shard.
    shard_service: Arc<str>,
    route: Arc<str>,
    /// Whether no result was recorded yet.
    pending: bool,
}

/// What an attempt is made for.
#[derive(Clone, Copy)]
pub(crate) struct Origin<'a> {
    pub(crate) purpose: hooks::Purpose,
    /// A reply that takes longer is slow.
    pub(crate) slow_after: Duration,
    pub(crate) shard_service: &'a Arc<str>,
    pub(crate) route: &'a Arc<str>,
}

/// The replica selected for an attempt, before capacity is reserved on it.
pub(crate) struct SelectedReplica {
    pub(crate) replica: Arc<topology::Replica>,
    pub(crate) health: Arc<health::Health>,
    pub(crate) view: health::View,
    /// Attempts of this instance that may run on the replica at a time.
    pub(crate) request_limit: u32,
    /// Minimum time between two requests of this instance; `None` if no pace is in force.
    pub(crate) own_interval: Option<Duration>,
    pub(crate) deadline: Timestamp,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Reservation<R, U, H> {
    /// Reserves capacity for an attempt. Returns `None` if another attempt took it since the
    /// replica was selected.
    pub(crate) fn reserve(
        core: &Arc<Core<R, U, H>>,
        selected: SelectedReplica,
        origin: Origin<'_>,
    ) -> Option<Self> {
        let now = core.rt.now();
        let name = &selected.replica.target.name;
        let due = selected
            .own_interval
            .is_none_or(|interval| core.pacer.take(name, now, interval));
        let taken = due
            && selected
                .health
                .try_begin(now, &selected.view, selected.request_limit);
        if !taken {
            return None;
        }
        let reservation = Self {
            core: Arc::clone(core),
            replica: selected.replica,
            purpose: origin.purpose,
            deadline: selected.deadline,
            start_id: selected.view.start_id.filter(|_| !selected.view.cold),
            cold: selected.view.cold,
            sent: Arc::default(),
            health: selected.health,
            started: now,
            slow_after: origin.slow_after,
            shard_service: Arc::clone(origin.shard_service),
            route: Arc::clone(origin.route),
            pending: true,
        };
        let observer = core.hooks.observer();
        observer.attempt_started(&reservation.open_attempt());
        Some(reservation)
    }

    /// Sends the subquery and waits for the reply until the attempt's deadline.
    pub(crate) async fn send(
        mut self,
        mut subquery: message::Subquery,
        run_counter: Arc<RunCounter>,
        error_replies: ErrorReplies,
    ) -> Result<message::Reply, upstream::Error> {
        subquery.deadline = self.deadline;
        let admit = || {
            let admitted = self.may_send(&subquery);
            if admitted {
                let now = self.core.rt.now().as_nanos();
                self.sent.store(now, Ordering::Relaxed);
            }
            admitted
        };
        let upstream = &self.core.upstream;
        let reply = upstream.send(&self.replica.target, &subquery, admit);
        let reply = runtime::timeout_at(&self.core.rt, self.deadline, reply).await;
        let result = reply.unwrap_or(Err(upstream::Error::TimedOut));
        let result = result.and_then(|reply| check_status(reply, error_replies));
        if let Err(error) = &result {
            run_counter.record_failure(error);
        }
        self.record_result(&subquery, &result);
        result
    }

    /// Whether the subquery may still be sent to the replica, which may have changed since it was
    /// selected: the attempt may have waited for a connection.
    fn may_send(&self, subquery: &message::Subquery) -> bool {
        let versions = self.core.hooks.versions();
        let first = self.purpose == hooks::Purpose::First;
        let filter = versions.filter(&self.shard_service, subquery.request.hash(), first);
        let allowed = filter.prefers(&self.replica) || filter.allows(&self.replica);
        let usable = self.core.is_usable(&subquery.service, &self.replica);
        allowed && usable && !self.health.is_unwilling(self.core.rt.now())
    }

    fn record_result(
        &mut self,
        subquery: &message::Subquery,
        result: &Result<message::Reply, upstream::Error>,
    ) {
        self.pending = false;
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
                    .record_failure(now, self.started, self.deadline, error)
            }
        };
        self.report_changes(&changes);
        self.core
            .hooks
            .observer()
            .attempt_finished(&hooks::FinishedAttempt {
                request: &subquery.request.0,
                service: &subquery.service,
                shard_service: &self.shard_service,
                route: &subquery.route,
                upstream: &self.replica.target.name,
                version: &self.replica.version,
                purpose: self.purpose,
                latency,
                slow_after: (!self.cold).then_some(self.slow_after),
                failure: result.as_ref().err().map(answer::Reason::from),
            });
    }
}

impl<R: Runtime, U, H: Hooks> Reservation<R, U, H> {
    fn open_attempt(&self) -> hooks::OpenAttempt<'_> {
        hooks::OpenAttempt {
            shard_service: &self.shard_service,
            route: &self.route,
            version: &self.replica.version,
            latency: self.core.rt.now().since(self.started),
            slow_after: (!self.cold).then_some(self.slow_after),
        }
    }

    fn report_changes(&self, changes: &[health::Change]) {
        for change in changes {
            self.core.handle_change(&self.replica.target.name, change);
        }
    }
}

impl<R: Runtime, U, H: Hooks> Drop for Reservation<R, U, H> {
    fn drop(&mut self) {
        if self.pending {
            let now = self.core.rt.now();
            let changes =
                self.health
                    .record_abandoned(now, self.started, self.slow_after, self.deadline);
            self.report_changes(changes.as_slice());
            let observer = self.core.hooks.observer();
            observer.attempt_abandoned(&self.open_attempt());
        }
    }
}

/// Turns a response whose status isn't a success into a failure, unless the caller gets it.
fn check_status(
    reply: message::Reply,
    error_replies: ErrorReplies,
) -> Result<message::Reply, upstream::Error> {
    match reply.error_status() {
        Some(status) if error_replies == ErrorReplies::Discard => Err(upstream::Error::Failed {
            status: status.as_u16(),
            report: Some(reply.report),
            reply: None,
        }),
        _ => Ok(reply),
    }
}
