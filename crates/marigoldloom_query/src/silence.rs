//! Requests that got no response from an upstream, until it is known whether the upstream crashed.
//!
//! A crash may leave connections open. A slow upstream is silent in the same way, so only other signs
//! of a crash count: its address refuses connections, its record vanishes, or the record names
//! another process.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_limits::fingerprint::{FatalRun, Fingerprint, Silence};
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::{self, Timestamp, WallTime};
use marigoldloom_upstream::upstream::Upstream;

use crate::hooks::{Hooks, Observer};
use crate::state::Core;

/// Time after a run without a response in which the end of its upstream is a strike. Records lapse
/// about 4 s after a crash, and a process is back after some seconds.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// Time that an upstream has to respond to another request before its address is tried.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of runs that are watched. The oldest are dropped first.
const MAX_SUSPECTS: usize = 512;

/// A run of a request on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) fingerprints: [Option<Fingerprint>; 2],
    /// Service that the request was sent to.
    pub(crate) service: Arc<str>,
    pub(crate) replica: Arc<topology::Replica>,
    /// Whether an upstream has run the request without a crash.
    pub(crate) survived: Arc<AtomicBool>,
}

impl Run {
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        self.fingerprints.into_iter().flatten()
    }
}

/// A run that got no response.
#[derive(Clone, Debug)]
pub(crate) struct Suspect {
    pub(crate) run: Run,
    pub(crate) health: Arc<health::Health>,
    /// When the request was sent.
    pub(crate) sent: Timestamp,
    /// When the run was given up.
    pub(crate) since: Timestamp,
    pub(crate) end: End,
}

/// Why a run got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Its time was over.
    TimedOut,
    /// Its connection was lost, but the upstream's address accepts new ones.
    Lost,
    /// Its caller left, so that nothing is known.
    Abandoned,
}

/// What is known about the upstream of a run that got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Its process has ended.
    Ended,
    /// It leaves, or is no longer known for another reason than its own record.
    Left,
    /// Neither of them.
    Unknown,
}

impl Suspect {
    fn fate(&self, topology: &topology::Topology) -> Fate {
        let replica = &self.run.replica;
        let Some(service) = topology.service(&self.run.service) else {
            return Fate::Left;
        };
        match service.upstreams().get(&replica.target.name) {
            None if self.has_replied() => Fate::Left,
            None => Fate::Ended,
            Some(current) if current.target != replica.target => Fate::Ended,
            Some(current) if is_restart(replica, current) => Fate::Ended,
            Some(current) if !current.usable => Fate::Left,
            Some(_) => Fate::Unknown,
        }
    }

    /// Whether the upstream may have crashed under the request.
    fn is_silent(&self) -> bool {
        self.end != End::Abandoned && !self.has_replied()
    }

    fn has(&self, fingerprint: Fingerprint) -> bool {
        self.run.fingerprints().any(|f| f == fingerprint)
    }

    fn is_same_process(&self, replica: &topology::Replica) -> bool {
        self.run.replica.target == replica.target && self.run.replica.born == replica.born
    }

    /// Whether the upstream has responded to another request since.
    fn has_replied(&self) -> bool {
        self.health.last_reply().is_some_and(|at| at > self.since)
    }
}

/// Whether `after` is a later process than `before`.
fn is_restart(before: &topology::Replica, after: &topology::Replica) -> bool {
    matches!((before.born, after.born), (Some(a), Some(b)) if a != b)
}

/// The runs that got no response and are still watched.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    inner: Mutex<Vec<Suspect>>,
    /// Numbers of silent upstreams that the other instances know of.
    published: Mutex<BTreeMap<Fingerprint, u32>>,
}

impl Suspects {
    fn lock(&self) -> MutexGuard<'_, Vec<Suspect>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of upstreams that have been silent since they got the request.
    fn count(&self, fingerprint: Fingerprint) -> u32 {
        let inner = self.lock();
        let silent = inner.iter().filter(|s| s.has(fingerprint) && s.is_silent());
        let names: BTreeSet<_> = silent.map(|s| &s.run.replica.target.name).collect();
        u32::try_from(names.len()).unwrap_or(u32::MAX)
    }

    /// Returns `count` if the other instances know of another number.
    fn unpublished(&self, fingerprint: Fingerprint, count: u32) -> Option<u32> {
        let published = self.published.lock();
        let mut published = published.unwrap_or_else(PoisonError::into_inner);
        let known = match count {
            0 => published.remove(&fingerprint),
            _ => published.insert(fingerprint, count),
        };
        Some(count).filter(|count| *count != known.unwrap_or_default())
    }

    /// Removes the runs for which `keep` returns false, and returns them.
    fn take(&self, keep: impl Fn(&Suspect) -> bool) -> Vec<Suspect> {
        let mut inner = self.lock();
        let (kept, taken) = inner.drain(..).partition(keep);
        *inner = kept;
        taken
    }
}

impl<R: Runtime, U: Upstream, H: Hooks> Core<R, U, H> {
    /// Watches the upstream of a run that got no response.
    pub(crate) fn suspect(self: &Arc<Self>, suspect: Suspect) {
        let mut suspects = self.suspects.lock();
        if suspects.len() >= MAX_SUSPECTS {
            suspects.remove(0);
        }
        suspects.push(suspect.clone());
        drop(suspects);
        self.resolve_suspects();
        if suspect.end != End::Abandoned {
            let core = Arc::clone(self);
            self.rt
                .spawn(async move { core.check_address(&suspect).await });
        }
    }

    /// Tries the address of an upstream that stays silent.
    async fn check_address(&self, suspect: &Suspect) {
        self.rt.sleep(CHECK_DELAY).await;
        let replica = &suspect.run.replica;
        if suspect.has_replied() || suspect.run.survived.load(Ordering::Relaxed) {
            return;
        }
        self.publish_silence(&suspect.run);
        // The address of a lost connection has been tried already.
        if suspect.end == End::TimedOut && self.upstream.has_ended(&replica.target).await {
            let ended = self.suspects.take(|s| !s.is_same_process(replica));
            self.settle(&ended, "its address refuses connections");
        }
    }
}

impl<R: Runtime, U, H: Hooks> Core<R, U, H> {
    /// Counts the end of the upstream of `run` as a strike, unless another upstream has run the
    /// request without a crash.
    pub(crate) fn record_end(&self, run: &Run, sent: Timestamp, evidence: &'static str) {
        if run.survived.load(Ordering::Relaxed) {
            return;
        }
        let age = time::millis(self.rt.now().since(sent));
        let fatal = FatalRun {
            upstream: &run.replica.target.name,
            sent: WallTime(self.rt.wall().0.saturating_sub(age)),
        };
        for fingerprint in run.fingerprints() {
            self.add_strike(fingerprint, Some(fatal), evidence);
        }
    }

    /// Settles the runs whose upstreams are known to have ended or left, or that are no longer
    /// watched.
    pub(crate) fn resolve_suspects(&self) {
        if self.suspects.lock().is_empty() {
            return;
        }
        let Some(topology) = self.topology() else {
            return;
        };
        let ended = self.suspects.take(|s| s.fate(&topology) != Fate::Ended);
        self.settle(&ended, "its record is gone or names another process");
        let now = self.rt.now();
        let over = self
            .suspects
            .take(|s| s.fate(&topology) == Fate::Unknown && now.since(s.since) < WATCH_TIME);
        for suspect in &over {
            self.publish_silence(&suspect.run);
        }
    }

    /// Counts strikes for runs whose upstreams have ended.
    fn settle(&self, ended: &[Suspect], evidence: &'static str) {
        for suspect in ended {
            self.record_end(&suspect.run, suspect.sent, evidence);
            self.publish_silence(&suspect.run);
        }
    }

    /// Forgets the silent runs of a request after a run without a crash.
    pub(crate) fn clear_silence(&self, fingerprint: Fingerprint) {
        let cleared = self.suspects.take(|s| !s.has(fingerprint));
        for suspect in &cleared {
            self.publish_silence(&suspect.run);
        }
    }

    fn publish_silence(&self, run: &Run) {
        for fingerprint in run.fingerprints() {
            let count = self.suspects.count(fingerprint);
            if let Some(silent) = self.suspects.unpublished(fingerprint, count) {
                let latest = self.rt.wall();
                let silence = Silence { silent, latest };
                let observer = self.hooks.observer();
                observer.silence_changed(fingerprint, silence);
            }
        }
    }

    /// Number of strikes against `fingerprint` and of upstreams that may have crashed under it, over
    /// all instances.
    pub(crate) fn suspected_count(&self, fingerprint: Fingerprint) -> u32 {
        let now = self.rt.wall();
        let silent = self.crash_tracker.silent_count(now, fingerprint);
        self.strike_count(fingerprint) + silent + self.suspects.count(fingerprint)
    }
}
