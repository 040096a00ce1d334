//! Tracks the health of each upstream from this instance's own requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

mod estimate;
mod notice;
pub mod table;

use estimate::Estimate;
use notice::Notice;

/// Consecutive failures, or requests abandoned as slow, after which an upstream is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Length of the first ejection; each failed probe doubles it.
const BASE_EJECTION: Duration = Duration::from_secs(1);

/// Maximum length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time for which an upstream gets no requests after it shed load.
const SHED_PAUSE: Duration = Duration::from_millis(20);

/// Time for which an upstream's load report is used.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Weight of a new result in the moving average of the failure rate.
const RESULT_WEIGHT: f64 = 0.2;

/// Minimum time that a process needs to restart. An upstream that has not replied for this
/// long may have restarted unnoticed.
const MIN_RESTART_TIME: Duration = Duration::from_millis(100);

/// Time without any reply after which an upstream with a pending request counts as silent.
/// It exceeds the pauses of 250 ms that healthy upstreams make at times.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between two requests to a silent upstream.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Conditions under which a cold upstream counts as warm; all must be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// Consecutive successful replies that report `ready`.
    pub successes: u32,
    /// Minimum time in cold start.
    pub min_time: Duration,
}

impl Default for Warmup {
    fn default() -> Self {
        Self {
            successes: 8,
            min_time: Duration::from_secs(2),
        }
    }
}

/// How an instance learns that an upstream is in cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdStart {
    /// Cold start is assumed after each sign of a new process, until replies show otherwise.
    #[default]
    Assumed,
    /// Upstreams report cold start themselves; it is never assumed.
    Announced,
}

/// Selects the signals from which an instance derives the health of its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// How the instance learns that an upstream is in cold start.
    pub cold_start: ColdStart,
    /// Whether an upstream counts as silent when pending requests get no reply. Not needed
    /// where requests that lose to a hedge are abandoned, because a late one then counts as
    /// a slow reply.
    pub detect_silence: bool,
}

/// Whether requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Requests may be sent.
    Ready,
    /// In cold start; the cold-start limits apply.
    Cold,
    /// Ejected or silent, but one request may be sent now as a probe.
    Probe,
    /// Ejected or silent; no probe is due.
    Ejected,
    /// Another upstream now uses its address, so requests sent there can't reach it.
    AddressReused,
    /// It has said that it leaves, or that it wants no requests for a time.
    Unwilling,
}

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub enum ColdCause {
    /// The upstream was seen for the first time.
    #[display("first seen")]
    FirstSeen,
    /// A connection to the upstream failed.
    #[display("a connection failed")]
    Connection,
    /// The upstream reported a different start id.
    #[display("its start id changed")]
    Restarted,
    /// The upstream's failure domain takes work again.
    #[display("its failure domain returned")]
    DomainReturned,
    /// The upstream reported cold start.
    #[display("it reports cold start")]
    Reported,
}

impl ColdCause {
    /// Whether earlier reports that the process is warm become invalid on all instances. The
    /// process keeps its start id, so the id alone doesn't invalidate them.
    pub const fn invalidates_reports(self) -> bool {
        matches!(self, Self::DomainReturned | Self::Reported)
    }
}

/// A change in an upstream's availability or cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream gets no requests until `pause` has passed.
    Ejected {
        /// Consecutive failures.
        failures: u32,
        /// Length of the ejection.
        pause: Duration,
    },
    /// An ejected upstream gets requests again.
    Readmitted,
    /// The upstream entered cold start.
    Cold(ColdCause),
    /// The upstream left cold start.
    Warm {
        /// Consecutive successful replies during cold start.
        successes: u32,
        /// Time in cold start.
        after: Duration,
        /// Start id of the process.
        start_id: u64,
    },
    /// Another instance reported that the process has left cold start.
    ReportedWarm {
        /// Start id of the process.
        start_id: u64,
    },
    /// The upstream says that it leaves. It gets no more requests.
    Leaving,
    /// The upstream wants no requests from this instance for a time.
    Paused {
        /// Length of that time.
        pause: Duration,
    },
    /// The upstream has replied after such a time.
    Resumed,
}

/// An upstream's health at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Requests of this instance that run, and abandoned ones that may still run.
    pub in_flight: u32,
    /// Estimated latency; zero before the first reply.
    pub latency: Duration,
    /// Age of the oldest request that was sent after the latest reply and is still pending;
    /// zero if there is none or [`Observation::detect_silence`] is off.
    pub silence: Duration,
    /// Moving average of the share of requests that failed, between 0 and 1.
    pub failure_rate: f64,
    /// Whether requests may be sent.
    pub availability: Availability,
    /// Whether it is in cold start. An ejected upstream can be cold, too.
    pub cold: bool,
    /// Whether it gets no requests because it shed load a moment ago.
    pub shedding: bool,
    /// Whether it replied recently enough to rule out an unnoticed restart.
    pub answered_recently: bool,
    /// Load divided by capacity from its latest report, between 0 and 1; zero if the report
    /// is out of date.
    pub reported_load: f64,
    /// Start id of the process that this view describes, if known.
    pub start_id: Option<u64>,
    /// When it takes requests again after a time without; `None` if it leaves or takes them now.
    pub resumes_at: Option<Timestamp>,
}

/// Tracks the health of one upstream.
#[derive(Debug)]
pub struct Health {
    inner: Mutex<Inner>,
    slot_freed: event_listener::Event,
}

#[derive(Debug)]
struct Inner {
    observation: Observation,
    /// Send times of the running requests.
    running: Vec<Timestamp>,
    /// Deadlines of requests that were abandoned or failed but may still run and so occupy a
    /// slot.
    abandoned: Vec<Timestamp>,
    latency: Estimate,
    failure_rate: f64,
    failures: u32,
    ejections: u32,
    /// End of the current ejection; set until a request succeeds.
    ejected: Option<Timestamp>,
    address_reused: bool,
    probing: bool,
    cold: Option<Cold>,
    start_id: Option<u64>,
    /// Start id of a process that may have restarted, so peers' reports that it is warm are
    /// ignored.
    untrusted_id: Option<u64>,
    last_reply: Option<Timestamp>,
    report: Option<(Timestamp, message::Report)>,
    /// Set once there are signs that the process has ended.
    ended: Option<Ended>,
    /// Until when no requests are sent because the upstream shed load.
    shed: Timestamp,
    notice: Notice,
}

/// What this instance has seen since the process of an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// No reply.
    Silent,
    /// A reply, for the first time then: another process runs.
    Replaced(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Timestamp,
    successes: u32,
}

impl Health {
    /// Creates the health of an upstream that is seen for the first time. It starts out cold
    /// under [`ColdStart::Assumed`].
    pub fn new(now: Timestamp, observation: Observation) -> Self {
        let cold_start = observation.cold_start;
        let cold = Cold {
            since: now,
            successes: 0,
        };
        let inner = Inner {
            observation,
            running: Vec::new(),
            abandoned: Vec::new(),
            latency: Estimate::new(now),
            failure_rate: 0.0,
            failures: 0,
            ejections: 0,
            ejected: None,
            address_reused: false,
            probing: false,
            cold: (cold_start == ColdStart::Assumed).then_some(cold),
            start_id: None,
            untrusted_id: None,
            last_reply: None,
            report: None,
            ended: None,
            shed: Timestamp::ZERO,
            notice: Notice::default(),
        };
        Self {
            inner: Mutex::new(inner),
            slot_freed: event_listener::Event::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the health at `now`.
    pub fn view(&self, now: Timestamp) -> View {
        self.lock().view(now)
    }

    /// Returns whether the upstream wants no requests at `now`.
    pub fn is_unwilling(&self, now: Timestamp) -> bool {
        self.lock().notice.is_unwilling(now)
    }

    /// Returns until when the upstream may be cold because its process has ended and another one has
    /// started, which stays cold for `time`. Returns `None` without signs of that.
    pub fn restarted_until(&self, now: Timestamp, time: Duration) -> Option<Timestamp> {
        let since = match self.lock().ended? {
            Ended::Silent => now,
            Ended::Replaced(at) => at,
        };
        Some(since + time).filter(|end| *end > now)
    }

    /// Returns when the latest response arrived; `None` if there was none.
    pub fn last_reply(&self) -> Option<Timestamp> {
        self.lock().last_reply
    }

    /// Returns a listener that completes when a slot may have become free for another request.
    pub fn slot_freed(&self) -> event_listener::EventListener {
        self.slot_freed.listen()
    }

    /// Frees the slot of the request that was sent at `sent` and notifies the first waiter.
    fn end_request(&self, sent: Timestamp) -> MutexGuard<'_, Inner> {
        let mut inner = self.lock();
        if let Some(index) = inner.running.iter().position(|at| *at == sent) {
            inner.running.swap_remove(index);
        }
        inner.probing = false;
        self.slot_freed.notify(1);
        inner
    }

    /// Counts a request that is about to be sent. Returns false and counts nothing if the
    /// availability has changed since `seen` or `limit` requests are in flight. Both are
    /// checked under one lock, so that two requests can't take the last slot.
    pub fn try_begin(&self, now: Timestamp, seen: &View, limit: u32) -> bool {
        let mut inner = self.lock();
        let view = inner.view(now);
        let same_process = view.start_id == seen.start_id || view.cold;
        let same = view.availability == seen.availability && view.cold == seen.cold && same_process;
        if !same || view.in_flight >= limit {
            return false;
        }
        inner.running.push(now);
        inner.probing |= inner.ejected.is_some();
        true
    }

    /// Records a successful reply to the request that was sent at `sent`. Returns the changes
    /// that follow from it.
    pub fn record_success(
        &self,
        now: Timestamp,
        sent: Timestamp,
        report: &message::Report,
        warmup: &Warmup,
    ) -> Vec<Change> {
        let mut inner = self.end_request(sent);
        inner.latency.sample(now, now.since(sent));
        if inner.ended == Some(Ended::Silent) {
            inner.ended = Some(Ended::Replaced(now));
        }
        inner.failure_rate *= 1.0 - RESULT_WEIGHT;
        inner.failures = 0;
        inner.ejections = 0;
        inner.address_reused = false;
        let readmitted = inner.ejected.take().map(|_| Change::Readmitted);
        let turned_cold = inner.record_report(now, report);
        let notice = inner.notice.update(now, report);
        let turned_warm = inner.warm_up(now, report, warmup);
        [readmitted, turned_cold, notice, turned_warm]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Records a failure of the request that was sent at `sent`. Returns the changes that
    /// follow from it. On a cold upstream, a subquery that may still run keeps its slot until
    /// `deadline`.
    pub fn record_failure(
        &self,
        now: Timestamp,
        sent: Timestamp,
        deadline: Timestamp,
        error: &upstream::Error,
    ) -> Vec<Change> {
        let mut inner = self.end_request(sent);
        inner.failure_rate += (1.0 - inner.failure_rate) * RESULT_WEIGHT;
        if error.answered() {
            inner.last_reply = Some(now);
        }
        let reported = error.report().and_then(|r| inner.record_report(now, &r));
        let notice = error.report().and_then(|r| inner.notice.update(now, &r));
        let may_run = !error.not_run() && !matches!(error, upstream::Error::Failed { .. });
        let (ejected, turned_cold) = match error {
            upstream::Error::Refused { refusal, .. } => (inner.handle_refusal(now, *refusal), None),
            upstream::Error::Unreachable | upstream::Error::Lost | upstream::Error::Ended => (
                inner.count_failure(now),
                inner.mark_cold(now, ColdCause::Connection),
            ),
            upstream::Error::Failed { .. }
            | upstream::Error::TimedOut
            | upstream::Error::Mismatch => (inner.count_failure(now), None),
        };
        inner.note_end(error);
        if may_run {
            inner.keep_slot(now, deadline);
        }
        [reported, notice, ejected, turned_cold]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Records that the request sent at `sent` was abandoned; it may still run until
    /// `deadline`. If it was abandoned after at least `slow_after`, it counts as a slow reply
    /// and towards ejection. Otherwise an upstream that is always slower than the hedges would
    /// never be measured.
    pub fn record_abandoned(
        &self,
        now: Timestamp,
        sent: Timestamp,
        slow_after: Duration,
        deadline: Timestamp,
    ) -> Option<Change> {
        let mut inner = self.end_request(sent);
        inner.keep_slot(now, deadline);
        match now.since(sent) {
            elapsed if elapsed >= slow_after => {
                let slow = elapsed.max(inner.latency.at(now));
                inner.latency.sample(now, slow);
                inner.count_failure(now)
            }
            _ => None,
        }
    }

    /// Marks the upstream as cold. Under [`ColdStart::Announced`], only [`ColdCause::Reported`]
    /// has an effect. Returns a change if it was not cold before.
    pub fn mark_cold(&self, now: Timestamp, cause: ColdCause) -> Option<Change> {
        self.lock().mark_cold(now, cause)
    }

    /// Ends the cold start of the process with the start id `start_id`, which another instance
    /// reported as warm.
    ///
    /// The report is ignored if this process may have restarted. A report on another process than
    /// the last known one is accepted only if that one may have restarted. If this instance has
    /// seen no process of the upstream, the report is accepted: the upstream client then sends
    /// only to the process with this start id.
    pub fn mark_warm(&self, start_id: u64) -> Option<Change> {
        let mut inner = self.lock();
        let untrusted = inner.untrusted_id == Some(start_id);
        let possible = inner.start_id == Some(start_id) || inner.start_id == inner.untrusted_id;
        if inner.cold.is_none() || untrusted || !possible {
            return None;
        }
        inner.start_id = Some(start_id);
        inner.cold = None;
        self.slot_freed.notify(usize::MAX);
        Some(Change::ReportedWarm { start_id })
    }

    /// Records the start id `start_id` and marks the upstream as cold if the id has changed or
    /// was not known.
    pub fn record_start_id(&self, now: Timestamp, start_id: u64) -> Option<Change> {
        let mut inner = self.lock();
        match inner.start_id {
            Some(known) if known == start_id => None,
            _ => {
                inner.start_id = Some(start_id);
                inner.mark_cold(now, ColdCause::Restarted)
            }
        }
    }
}

impl Inner {
    fn view(&mut self, now: Timestamp) -> View {
        self.abandoned.retain(|until| *until > now);
        let abandoned = u32::try_from(self.abandoned.len()).unwrap_or(u32::MAX);
        View {
            in_flight: u32::try_from(self.running.len())
                .unwrap_or(u32::MAX)
                .saturating_add(abandoned),
            latency: self.latency.at(now),
            silence: self.silence(now),
            failure_rate: self.failure_rate,
            availability: self.availability(now),
            cold: self.cold.is_some(),
            shedding: self.shed > now,
            answered_recently: self
                .last_reply
                .is_some_and(|at| now.since(at) < MIN_RESTART_TIME),
            reported_load: self.reported_load(now),
            start_id: self.start_id,
            resumes_at: self.notice.resumes_at(now),
        }
    }

    /// Keeps the slot of a subquery that may still run, if the upstream is cold. A warm
    /// upstream can bear the short time until the cancellation takes effect.
    fn keep_slot(&mut self, now: Timestamp, deadline: Timestamp) {
        if self.cold.is_some() && deadline > now {
            self.abandoned.push(deadline);
        }
    }

    fn availability(&self, now: Timestamp) -> Availability {
        match (self.ejected, self.cold) {
            _ if self.notice.is_unwilling(now) => Availability::Unwilling,
            (Some(until), _) if until > now && self.address_reused => Availability::AddressReused,
            (Some(until), _) if until > now || self.probing => Availability::Ejected,
            _ if self.silence(now) >= SILENCE_TIMEOUT => self.silent_availability(now),
            (_, Some(_)) => Availability::Cold,
            (Some(_), None) => Availability::Probe,
            (None, None) => Availability::Ready,
        }
    }

    /// Returns the age of the oldest pending request sent after the latest reply. Older requests
    /// don't count: the upstream has replied since, so it isn't silent.
    fn silence(&self, now: Timestamp) -> Duration {
        let last_reply = self.last_reply.unwrap_or(Timestamp::ZERO);
        let oldest = self.running.iter().filter(|sent| **sent > last_reply).min();
        let oldest = oldest.filter(|_| self.observation.detect_silence);
        oldest.map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    /// Returns the availability of a silent upstream.
    fn silent_availability(&self, now: Timestamp) -> Availability {
        let latest = self.running.iter().max();
        match latest.is_none_or(|sent| now.since(*sent) >= SILENT_PROBE_INTERVAL) {
            true => Availability::Probe,
            false => Availability::Ejected,
        }
    }

    fn reported_load(&self, now: Timestamp) -> f64 {
        match self.report {
            Some((at, report)) if now.since(at) < REPORT_TTL && report.capacity > 0 => {
                (f64::from(report.load) / f64::from(report.capacity)).min(1.0)
            }
            _ => 0.0,
        }
    }

    fn record_report(&mut self, now: Timestamp, report: &message::Report) -> Option<Change> {
        self.last_reply = Some(now);
        self.report = Some((now, *report));
        let known = self.start_id.replace(report.start_id);
        if known.is_some_and(|id| id != report.start_id) {
            self.notice = Notice::default();
        }
        match known {
            Some(id) if id != report.start_id => self.mark_cold(now, ColdCause::Restarted),
            _ if self.cold.is_none() && report.state == message::State::Cold => {
                self.mark_cold(now, ColdCause::Reported)
            }
            _ => None,
        }
    }

    fn warm_up(
        &mut self,
        now: Timestamp,
        report: &message::Report,
        warmup: &Warmup,
    ) -> Option<Change> {
        let cold = self.cold.as_mut()?;
        match report.state {
            message::State::Ready => cold.successes += 1,
            message::State::Cold | message::State::Draining => cold.successes = 0,
        }
        let (successes, after) = (cold.successes, now.since(cold.since));
        let start_id = report.start_id;
        if successes < warmup.successes || after < warmup.min_time {
            return None;
        }
        self.cold = None;
        self.untrusted_id = None;
        Some(Change::Warm {
            successes,
            after,
            start_id,
        })
    }

    fn mark_cold(&mut self, now: Timestamp, cause: ColdCause) -> Option<Change> {
        let announced = self.observation.cold_start == ColdStart::Announced;
        if announced && cause != ColdCause::Reported {
            return None;
        }
        let was_warm = self.cold.is_none();
        if cause != ColdCause::Restarted {
            self.untrusted_id = self.start_id;
        }
        self.cold = Some(Cold {
            since: now,
            successes: 0,
        });
        was_warm.then_some(Change::Cold(cause))
    }

    /// Records whether `error` shows that the process has ended: no connection can be opened after one was
    /// lost, or repeatedly.
    fn note_end(&mut self, error: &upstream::Error) {
        let refused = *error == upstream::Error::Unreachable;
        if *error == upstream::Error::Ended || refused && self.failures >= EJECTION_THRESHOLD {
            self.ended = Some(Ended::Silent);
        }
    }

    fn handle_refusal(&mut self, now: Timestamp, refusal: upstream::Refusal) -> Option<Change> {
        match refusal {
            upstream::Refusal::Shed => self.shed = now + SHED_PAUSE,
            upstream::Refusal::Draining => return Some(self.eject(now)),
            upstream::Refusal::Misdirected => {
                self.address_reused = true;
                return Some(self.eject(now));
            }
            upstream::Refusal::SnapshotGone
            | upstream::Refusal::ShardGone
            | upstream::Refusal::Expired
            | upstream::Refusal::Withheld
            | upstream::Refusal::Restarted => {}
        }
        None
    }

    fn count_failure(&mut self, now: Timestamp) -> Option<Change> {
        self.failures += 1;
        if let Some(cold) = &mut self.cold {
            cold.successes = 0;
        }
        match self.ejected {
            Some(until) if until > now => None,
            None if self.failures < EJECTION_THRESHOLD => None,
            _ => Some(self.eject(now)),
        }
    }

    fn eject(&mut self, now: Timestamp) -> Change {
        let pause = BASE_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected = Some(now + pause);
        Change::Ejected {
            failures: self.failures,
            pause,
        }
    }
}
