//! What this instance knows of each upstream from its own requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, upstream};

mod estimate;
pub mod table;

use estimate::Estimate;

/// Failures or lost races in a row that eject an upstream.
const EJECT_AFTER: u32 = 3;

/// Time of the first ejection; it doubles with each failed probe.
const EJECT_BASE: Duration = Duration::from_secs(1);

/// Longest ejection.
const EJECT_CAP: Duration = Duration::from_secs(30);

/// Time without work after an upstream shed load.
const SHED_PAUSE: Duration = Duration::from_millis(20);

/// Time in which an upstream's load report counts.
const REPORT_LIFE: Duration = Duration::from_millis(500);

/// Weight of a new result in the share of failures.
const RESULT_WEIGHT: f64 = 0.2;

/// No process restarts faster than this. An upstream that was not heard for longer may
/// have restarted unnoticed.
const RESTART_LEAST: Duration = Duration::from_millis(100);

/// Time without any reply after which an upstream that owes one counts as silent. Upstreams
/// that stand still for a moment do so for 250 ms.
const SILENCE: Duration = Duration::from_millis(400);

/// Least time between two requests to a silent upstream.
const SILENT_PROBE: Duration = Duration::from_millis(500);

/// When a cold upstream counts as warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmup {
    /// Successful replies that report `ready`, in a row.
    pub successes: u32,
    /// Least time in cold start.
    pub settle: Duration,
}

impl Default for Warmup {
    fn default() -> Self {
        Self {
            successes: 8,
            settle: Duration::from_secs(2),
        }
    }
}

/// How an instance learns that an upstream is in cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ColdStart {
    /// It is assumed after each sign of a new process, until replies show otherwise.
    #[default]
    Assumed,
    /// Upstreams announce it; nothing is assumed.
    Announced,
}

/// What an instance observes of its upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// How it learns that an upstream is in cold start.
    pub cold_start: ColdStart,
    /// Whether it looks at the age of running requests. Needless where requests that lost a
    /// race are abandoned, because each of them counts as a slow reply.
    pub ages: bool,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Ready,
    /// In cold start.
    Cold,
    /// Ejected or silent, and one request may probe it now.
    Probe,
    /// Ejected or silent.
    Ejected,
    /// Another upstream has its address, so that nothing sent there reaches it.
    Absent,
}

/// Why an upstream counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub enum ColdCause {
    /// First seen.
    #[display("first seen")]
    FirstSeen,
    /// A connection to it failed.
    #[display("a connection failed")]
    Connection,
    /// It reported another start id.
    #[display("its start id changed")]
    Restarted,
    /// Its failure domain returned.
    #[display("its failure domain returned")]
    DomainReturned,
    /// It reported cold start.
    #[display("it reports cold start")]
    Reported,
}

impl ColdCause {
    /// Whether peers' word for the process no longer counts anywhere: the process is the
    /// same, so that its start id does not show the change.
    pub const fn withdraws(self) -> bool {
        matches!(self, Self::DomainReturned | Self::Reported)
    }
}

/// A change of an upstream's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Takes no work until the time has passed.
    Ejected {
        /// Failures in a row.
        failures: u32,
        /// Time without work.
        pause: Duration,
    },
    /// Takes work again.
    Readmitted,
    /// Is in cold start.
    Cold(ColdCause),
    /// Left cold start.
    Warm {
        /// Replies in cold start.
        successes: u32,
        /// Time in cold start.
        after: Duration,
        /// Start id of the process.
        start: u64,
    },
    /// Another instance brought the process out of cold start.
    Vouched {
        /// Start id of the process.
        start: u64,
    },
}

/// An upstream's health at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Own requests that run, and abandoned ones that may still run.
    pub in_flight: u32,
    /// Estimated latency; zero if unknown.
    pub latency: Duration,
    /// For how long the upstream has answered nothing although it owes an answer; zero if ages
    /// aren't observed.
    pub waiting: Duration,
    /// Share of recent replies that were failures, between 0 and 1.
    pub failing: f64,
    /// Whether it takes work.
    pub standing: Standing,
    /// Whether it is in cold start; it may be ejected besides.
    pub cold: bool,
    /// Whether it shed load a moment ago.
    pub shedding: bool,
    /// Whether it answered lately, so that an unnoticed restart is ruled out.
    pub confirmed: bool,
    /// Load over capacity as it reported a moment ago, between 0 and 1.
    pub reported: f64,
    /// Start id of the process that these figures are about, if it is known.
    pub start: Option<u64>,
}

/// Health of one upstream.
#[derive(Debug)]
pub struct Health {
    inner: Mutex<Inner>,
    freed: event_listener::Event,
}

#[derive(Debug)]
struct Inner {
    observation: Observation,
    running: Vec<Timestamp>,
    held: Vec<Timestamp>,
    latency: Estimate,
    failing: f64,
    failures: u32,
    ejections: u32,
    ejected: Option<Timestamp>,
    absent: bool,
    probing: bool,
    cold: Option<Cold>,
    start: Option<u64>,
    /// Process that showed a sign of a restart, so that peers' word for it doesn't count.
    doubted: Option<u64>,
    heard: Option<Timestamp>,
    report: Option<(Timestamp, message::Report)>,
    shed: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Cold {
    since: Timestamp,
    successes: u32,
}

impl Health {
    /// Creates the health of an upstream that is seen for the first time. It counts as cold
    /// unless upstreams announce their cold start.
    pub fn new(now: Timestamp, observation: Observation) -> Self {
        let cold_start = observation.cold_start;
        let fresh = Cold {
            since: now,
            successes: 0,
        };
        let inner = Inner {
            observation,
            running: Vec::new(),
            held: Vec::new(),
            latency: Estimate::new(now),
            failing: 0.0,
            failures: 0,
            ejections: 0,
            ejected: None,
            absent: false,
            probing: false,
            cold: (cold_start == ColdStart::Assumed).then_some(fresh),
            start: None,
            doubted: None,
            heard: None,
            report: None,
            shed: Timestamp::ZERO,
        };
        Self {
            inner: Mutex::new(inner),
            freed: event_listener::Event::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The health at `now`.
    pub fn view(&self, now: Timestamp) -> View {
        self.lock().view(now)
    }

    /// Completes when a request on the upstream ends and may leave room for another.
    pub fn freed(&self) -> event_listener::EventListener {
        self.freed.listen()
    }

    /// Ends the request that was sent at `sent`: its place is free, and the first waiter hears of it.
    fn end(&self, sent: Timestamp) -> MutexGuard<'_, Inner> {
        let mut inner = self.lock();
        if let Some(index) = inner.running.iter().position(|at| *at == sent) {
            inner.running.swap_remove(index);
        }
        inner.probing = false;
        self.freed.notify(1);
        inner
    }

    /// Counts a request that is about to be sent, if the upstream still stands as in
    /// `seen` and fewer than `room` requests run. Checked under one lock, so that two
    /// requests can't take the last place.
    pub fn begin(&self, now: Timestamp, seen: &View, room: u32) -> bool {
        let mut inner = self.lock();
        let view = inner.view(now);
        let process = view.start == seen.start || view.cold;
        let same = view.standing == seen.standing && view.cold == seen.cold && process;
        if !same || view.in_flight >= room {
            return false;
        }
        inner.running.push(now);
        inner.probing |= inner.ejected.is_some();
        true
    }

    /// Counts a reply to the request that was sent at `sent`. Returns the changes of standing, if any.
    pub fn succeed(
        &self,
        now: Timestamp,
        sent: Timestamp,
        report: &message::Report,
        warmup: &Warmup,
    ) -> Vec<Change> {
        let mut inner = self.end(sent);
        inner.latency.sample(now, now.since(sent));
        inner.failing *= 1.0 - RESULT_WEIGHT;
        inner.failures = 0;
        inner.ejections = 0;
        inner.absent = false;
        let readmitted = inner.ejected.take().map(|_| Change::Readmitted);
        let chilled = inner.hear(now, report);
        let warmed = inner.warm_up(now, report, warmup);
        [readmitted, chilled, warmed]
            .into_iter()
            .flatten()
            .collect()
    }

    /// Counts a failure of the request that was sent at `sent`. A subquery that may still run
    /// keeps its place until `deadline`.
    pub fn fail(
        &self,
        now: Timestamp,
        sent: Timestamp,
        deadline: Timestamp,
        error: &upstream::Error,
    ) -> Vec<Change> {
        let mut inner = self.end(sent);
        inner.failing += (1.0 - inner.failing) * RESULT_WEIGHT;
        if error.answered() {
            inner.heard = Some(now);
        }
        let heard = error.report().and_then(|r| inner.hear(now, &r));
        let may_run = !error.not_run() && !matches!(error, upstream::Error::Failed { .. });
        let (ejected, chilled) = match error {
            upstream::Error::Refused { refusal, .. } => (inner.refused(now, *refusal), None),
            upstream::Error::Unreachable | upstream::Error::Lost => {
                (inner.miss(now), inner.chill(now, ColdCause::Connection))
            }
            upstream::Error::Failed { .. }
            | upstream::Error::TimedOut
            | upstream::Error::Mismatch => (inner.miss(now), None),
        };
        if may_run {
            inner.hold(now, deadline);
        }
        [heard, ejected, chilled].into_iter().flatten().collect()
    }

    /// Counts a request, sent at `sent`, that was abandoned. It may still run until `deadline`. If it took
    /// longer than `patience`, it counts as a slow reply and towards ejection, because an
    /// upstream that loses every race would otherwise never be measured.
    pub fn abandon(
        &self,
        now: Timestamp,
        sent: Timestamp,
        patience: Duration,
        deadline: Timestamp,
    ) -> Option<Change> {
        let mut inner = self.end(sent);
        inner.hold(now, deadline);
        match now.since(sent) {
            e if e >= patience => {
                let slow = e.max(inner.latency.at(now));
                inner.latency.sample(now, slow);
                inner.miss(now)
            }
            _ => None,
        }
    }

    /// Marks the upstream as cold.
    pub fn chill(&self, now: Timestamp, cause: ColdCause) -> Option<Change> {
        self.lock().chill(now, cause)
    }

    /// Takes the upstream out of cold start if it is the process `start`, which another
    /// instance brought out of cold start.
    ///
    /// A process that showed a sign of a restart to this instance is not taken out; its
    /// successor is. If the process was never seen here, the first connection finds out
    /// whether it still runs.
    pub fn vouch(&self, start: u64) -> Option<Change> {
        let mut inner = self.lock();
        let doubted = inner.doubted == Some(start);
        let possible = inner.start == Some(start) || inner.start == inner.doubted;
        if inner.cold.is_none() || doubted || !possible {
            return None;
        }
        inner.start = Some(start);
        inner.cold = None;
        self.freed.notify(usize::MAX);
        Some(Change::Vouched { start })
    }

    /// Marks the upstream as cold if `start` differs from its last known start id.
    pub fn restarted(&self, now: Timestamp, start: u64) -> Option<Change> {
        let mut inner = self.lock();
        match inner.start {
            Some(known) if known == start => None,
            _ => {
                inner.start = Some(start);
                inner.chill(now, ColdCause::Restarted)
            }
        }
    }
}

impl Inner {
    fn view(&mut self, now: Timestamp) -> View {
        self.held.retain(|until| *until > now);
        let held = u32::try_from(self.held.len()).unwrap_or(u32::MAX);
        View {
            in_flight: u32::try_from(self.running.len())
                .unwrap_or(u32::MAX)
                .saturating_add(held),
            latency: self.latency.at(now),
            waiting: self.waiting(now),
            failing: self.failing,
            standing: self.standing(now),
            cold: self.cold.is_some(),
            shedding: self.shed > now,
            confirmed: self.heard.is_some_and(|at| now.since(at) < RESTART_LEAST),
            reported: self.reported(now),
            start: self.start,
        }
    }

    /// Keeps the place of a subquery that may still run on a cold upstream. A warm one
    /// has room for what a cancellation leaves for a moment.
    fn hold(&mut self, now: Timestamp, deadline: Timestamp) {
        if self.cold.is_some() && deadline > now {
            self.held.push(deadline);
        }
    }

    fn standing(&self, now: Timestamp) -> Standing {
        match (self.ejected, self.cold) {
            (Some(until), _) if until > now && self.absent => Standing::Absent,
            (Some(until), _) if until > now || self.probing => Standing::Ejected,
            _ if self.waiting(now) >= SILENCE => self.silent(now),
            (_, Some(_)) => Standing::Cold,
            (Some(_), None) => Standing::Probe,
            (None, None) => Standing::Ready,
        }
    }

    /// An answer that was lost while later ones came says nothing.
    fn waiting(&self, now: Timestamp) -> Duration {
        let heard = self.heard.unwrap_or(Timestamp::ZERO);
        let owed = self.running.iter().filter(|sent| **sent > heard).min();
        let owed = owed.filter(|_| self.observation.ages);
        owed.map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    /// How an upstream stands that is silent.
    fn silent(&self, now: Timestamp) -> Standing {
        let latest = self.running.iter().max();
        match latest.is_none_or(|sent| now.since(*sent) >= SILENT_PROBE) {
            true => Standing::Probe,
            false => Standing::Ejected,
        }
    }

    fn reported(&self, now: Timestamp) -> f64 {
        match self.report {
            Some((at, report)) if now.since(at) < REPORT_LIFE && report.capacity > 0 => {
                (f64::from(report.load) / f64::from(report.capacity)).min(1.0)
            }
            _ => 0.0,
        }
    }

    fn hear(&mut self, now: Timestamp, report: &message::Report) -> Option<Change> {
        self.heard = Some(now);
        self.report = Some((now, *report));
        let known = self.start.replace(report.start_id);
        match known {
            Some(start) if start != report.start_id => self.chill(now, ColdCause::Restarted),
            _ if self.cold.is_none() && report.state == message::State::Cold => {
                self.chill(now, ColdCause::Reported)
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
        let start = report.start_id;
        if successes < warmup.successes || after < warmup.settle {
            return None;
        }
        self.cold = None;
        self.doubted = None;
        Some(Change::Warm {
            successes,
            after,
            start,
        })
    }

    fn chill(&mut self, now: Timestamp, cause: ColdCause) -> Option<Change> {
        let announced = self.observation.cold_start == ColdStart::Announced;
        if announced && cause != ColdCause::Reported {
            return None;
        }
        let fresh = self.cold.is_none();
        if cause != ColdCause::Restarted {
            self.doubted = self.start;
        }
        self.cold = Some(Cold {
            since: now,
            successes: 0,
        });
        fresh.then_some(Change::Cold(cause))
    }

    fn refused(&mut self, now: Timestamp, refusal: upstream::Refusal) -> Option<Change> {
        match refusal {
            upstream::Refusal::Shed => self.shed = now + SHED_PAUSE,
            upstream::Refusal::Draining => return Some(self.eject(now)),
            upstream::Refusal::Misdirected => {
                self.absent = true;
                return Some(self.eject(now));
            }
            upstream::Refusal::SnapshotGone
            | upstream::Refusal::ShardGone
            | upstream::Refusal::Expired
            | upstream::Refusal::Restarted => {}
        }
        None
    }

    fn miss(&mut self, now: Timestamp) -> Option<Change> {
        self.failures += 1;
        if let Some(cold) = &mut self.cold {
            cold.successes = 0;
        }
        match self.ejected {
            Some(until) if until > now => None,
            None if self.failures < EJECT_AFTER => None,
            _ => Some(self.eject(now)),
        }
    }

    fn eject(&mut self, now: Timestamp) -> Change {
        let pause = EJECT_BASE
            .saturating_mul(1 << self.ejections.min(8))
            .min(EJECT_CAP);
        self.ejections += 1;
        self.ejected = Some(now + pause);
        Change::Ejected {
            failures: self.failures,
            pause,
        }
    }
}
