//! Counts crashes of upstreams per request, and refuses requests that caused too many.
//!
//! A fingerprint is a hash of what a caller repeats, with or without the service that the request is
//! routed to. Each crash while a request runs is a strike against its fingerprints. Without this
//! limit, a caller that repeats a crashing request would take down one upstream after another.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Number of strikes at which a fingerprint is refused.
pub const STRIKE_LIMIT: u32 = 3;

/// Time for which a fingerprint is refused after its latest strike. Strikes of an instance count
/// until this time has passed since the latest of them.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// Time for which an upstream that is silent after a run counts like a strike. It is known by then
/// whether it crashed.
pub const SILENCE_TIME: Duration = Duration::from_secs(5);

/// Time after which a request may be tried again that is refused because of silent upstreams.
pub const SILENCE_PAUSE: Duration = Duration::from_secs(1);

/// Time from the latest strike until a refused request is tried again, on one upstream. There are
/// no further trials, so that a request that does crash upstreams takes down no more than two.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];

/// Additional delay of a trial for each instance with later strikes, which tries first.
const TRIAL_STAGGER: Duration = Duration::from_secs(15);

/// Time by which an instance without strikes of its own tries a refused request later than one with
/// strikes, and the greatest additional delay. The latter differs between instances, so that the
/// others know of the trial before their own is due.
const BYSTANDER_DELAY: Duration = Duration::from_secs(5);
const BYSTANDER_SPREAD: Duration = Duration::from_secs(5);

/// Origin of strikes that were saved, by instances that may have ended since.
pub const SAVED_ORIGIN: &str = "saved";

/// Time between two reports by different instances of the same end of an upstream.
const SAME_END: Duration = Duration::from_millis(300);

/// Largest difference between the clocks of two instances at which their reports are compared.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// Number of ends of upstreams that are kept for each fingerprint and instance.
const MAX_ENDS: usize = 8;

/// Maximum number of fingerprints with strikes, each for own strikes and for those of peers. The
/// oldest are dropped first.
const MAX_STRUCK: usize = 4_096;

/// Maximum number of harmless fingerprints in each of two generations.
const MAX_HARMLESS: usize = 32_768;

/// Hash of a request's destination and body. Its text form has 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request from what identifies its destination and its body.
    pub fn new(destination: &[&str], body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in destination.iter().map(|d| d.as_bytes()).chain([body]) {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The end of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct End {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// When an instance noticed it.
    pub at: time::WallTime,
}

/// A run under which an upstream ended.
#[derive(Clone, Copy, Debug)]
pub struct FatalRun<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// When the request was sent to it.
    pub sent: time::WallTime,
}

impl FatalRun<'_> {
    fn end(&self, now: time::WallTime) -> End {
        End {
            upstream: xxh3::xxh3_64(self.upstream.as_bytes()),
            at: now,
        }
    }

    /// Whether the run was under way when the upstream ended with `end`.
    fn ended_with(&self, end: End, now: time::WallTime) -> bool {
        let under_way = end.at >= self.sent && end.at.since(now) <= CLOCK_TOLERANCE;
        under_way && end.upstream == self.end(now).upstream
    }
}

/// Strikes against one fingerprint that one instance recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Strikes {
    /// Number of upstreams that crashed. Zero states that a run ended without a crash, which
    /// cancels the earlier strikes of all instances.
    pub count: u32,
    /// When the latest of them crashed, when the latest trial began, or when the run ended.
    pub latest: time::WallTime,
    /// Random number of the process that recorded them.
    #[serde(default)]
    pub origin: u64,
    /// Number of trials of the refused request that this instance began.
    #[serde(default)]
    pub trials: u32,
    /// The latest of these crashes whose upstreams are known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<End>,
}

impl Strikes {
    /// Order in which instances try a refused request, the greatest first. They often notice the end of
    /// an upstream within the same millisecond.
    const fn rank(&self) -> (time::WallTime, u64) {
        (self.latest, self.origin)
    }
}

/// Upstreams that one instance sent a request to and that have been silent since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Silence {
    /// Number of upstreams.
    pub silent: u32,
    /// When the number changed.
    pub latest: time::WallTime,
}

/// What is known about a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It ran without a crash and has no strikes.
    Harmless,
    /// Nothing is known about it, or it has fewer strikes than the limit.
    Unknown,
    /// It is refused for this time.
    Quarantined(Duration),
}

/// Records strikes by fingerprint and by the instance that recorded them, and the fingerprints
/// that are harmless.
#[derive(Debug)]
pub struct CrashTracker {
    /// Random number of this process.
    origin: u64,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    own: BTreeMap<Fingerprint, OwnStrikes>,
    peers: BTreeMap<Fingerprint, BTreeMap<Arc<str>, Strikes>>,
    silence: BTreeMap<Fingerprint, BTreeMap<Arc<str>, Silence>>,
    /// Harmless fingerprints of the current generation.
    harmless: BTreeSet<Fingerprint>,
    /// Harmless fingerprints of the previous generation.
    harmless_before: BTreeSet<Fingerprint>,
    /// Fingerprints whose canary runs.
    canaries: BTreeSet<Fingerprint>,
}

#[derive(Clone, Debug, Default)]
struct OwnStrikes {
    strikes: Strikes,
    /// Whether the one retry after a lost connection has been used.
    retried: bool,
}

impl CrashTracker {
    /// Creates a tracker without fingerprints. `origin` is a random number.
    pub fn new(origin: u64) -> Self {
        Self {
            origin,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is known about `fingerprint`.
    pub fn status(&self, now: time::WallTime, fingerprint: Fingerprint) -> Status {
        let inner = self.lock();
        let Strikes { count, latest, .. } = inner.total(now, fingerprint);
        match count {
            0 if inner.is_harmless(fingerprint) => Status::Harmless,
            n if n < STRIKE_LIMIT => Status::Unknown,
            _ => Status::Quarantined(QUARANTINE.saturating_sub(now.since(latest))),
        }
    }

    /// Returns the number of strikes against `fingerprint`, over all instances.
    pub fn strike_count(&self, now: time::WallTime, fingerprint: Fingerprint) -> u32 {
        self.total(now, fingerprint).count
    }

    /// Returns the strikes against `fingerprint`, over all instances.
    pub fn total(&self, now: time::WallTime, fingerprint: Fingerprint) -> Strikes {
        self.lock().total(now, fingerprint)
    }

    /// Records a strike. Returns all strikes of this instance against `fingerprint`, to be sent
    /// to peers; `None` if the end of the upstream under `run` has been counted already.
    pub fn add_strike(
        &self,
        now: time::WallTime,
        fingerprint: Fingerprint,
        run: Option<FatalRun<'_>>,
    ) -> Option<Strikes> {
        let mut inner = self.lock();
        let ends = inner.total(now, fingerprint).ends;
        if run.is_some_and(|run| ends.iter().any(|end| run.ended_with(*end, now))) {
            return None;
        }
        inner.harmless.remove(&fingerprint);
        inner.harmless_before.remove(&fingerprint);
        inner.evict_oldest();
        let exonerated = inner.exonerated_at(fingerprint);
        let own = inner.own.entry(fingerprint).or_default();
        if expired(now, own.strikes.latest) || own.strikes.latest <= exonerated {
            *own = OwnStrikes::default();
        }
        own.strikes.count += 1;
        own.strikes.origin = self.origin;
        // Strikes of several requests may be counted in another order than their times.
        own.strikes.latest = own.strikes.latest.max(now);
        own.strikes.ends.extend(run.map(|run| run.end(now)));
        let excess = own.strikes.ends.len().saturating_sub(MAX_ENDS);
        own.strikes.ends.drain(..excess);
        Some(own.strikes.clone())
    }

    /// Merges the strikes that the instance `origin` recorded, unless later ones are known.
    pub fn merge(&self, origin: &str, fingerprint: Fingerprint, strikes: Strikes) {
        let mut inner = self.lock();
        inner.evict_oldest();
        let origins = inner.peers.entry(fingerprint).or_default();
        let known = origins.entry(Arc::from(origin)).or_default();
        if strikes.latest >= known.latest {
            *known = strikes;
        }
    }

    /// Sets the number of upstreams that were silent after a run at the instance `origin`, unless a
    /// later one is known.
    pub fn merge_silence(&self, origin: &str, fingerprint: Fingerprint, silence: Silence) {
        let mut inner = self.lock();
        if inner.silence.len() >= MAX_STRUCK {
            inner.silence.pop_first();
        }
        let origins = inner.silence.entry(fingerprint).or_default();
        let known = origins.entry(Arc::from(origin)).or_default();
        if silence.latest >= known.latest {
            *known = silence;
        }
        origins.retain(|_, s| s.silent > 0);
        if origins.is_empty() {
            inner.silence.remove(&fingerprint);
        }
    }

    /// Returns the number of upstreams that have been silent after runs at other instances.
    pub fn silent_count(&self, now: time::WallTime, fingerprint: Fingerprint) -> u32 {
        let inner = self.lock();
        let origins = inner.silence.get(&fingerprint);
        let live = origins.into_iter().flat_map(BTreeMap::values);
        let live = live.filter(|s| now.since(s.latest) < SILENCE_TIME);
        live.map(|s| s.silent).sum()
    }

    /// Uses the one retry that a fingerprint has after a lost connection. Returns false if it has
    /// been used. A fingerprint without strikes of this instance may always retry.
    pub fn take_retry(&self, fingerprint: Fingerprint) -> bool {
        let mut inner = self.lock();
        match inner.own.get_mut(&fingerprint) {
            Some(own) if own.strikes.count > 0 => !mem::replace(&mut own.retried, true),
            _ => true,
        }
    }

    /// Records that a request ran on one shard without a crash. Also gives the fingerprint
    /// its retry back: another request with the same fingerprint may have used it.
    pub fn mark_harmless(&self, fingerprint: Fingerprint) {
        let mut inner = self.lock();
        if let Some(own) = inner.own.get_mut(&fingerprint) {
            own.retried = false;
        }
        if inner.harmless.len() >= MAX_HARMLESS {
            inner.harmless_before = mem::take(&mut inner.harmless);
        }
        inner.harmless.insert(fingerprint);
    }

    /// Records that an upstream ran the request without a crash, so that all strikes against its
    /// fingerprint came from crashes that other requests caused. Returns the record to be sent to
    /// peers; `None` if there were no strikes.
    pub fn clear_strikes(&self, now: time::WallTime, fingerprint: Fingerprint) -> Option<Strikes> {
        self.mark_harmless(fingerprint);
        let mut inner = self.lock();
        let Strikes { count, latest, .. } = inner.total(now, fingerprint);
        if count == 0 {
            return None;
        }
        let strikes = Strikes {
            count: 0,
            // Later than each strike even if the clocks of the instances differ.
            latest: now.max(latest + Duration::from_millis(1)),
            ..Strikes::default()
        };
        inner.own.insert(
            fingerprint,
            OwnStrikes {
                strikes: strikes.clone(),
                retried: false,
            },
        );
        Some(strikes)
    }

    /// Returns the time until an instance may try a refused request, or until it is no longer
    /// refused if there are no further trials.
    pub fn refusal_time(&self, now: time::WallTime, fingerprint: Fingerprint) -> Duration {
        let total = self.total(now, fingerprint);
        let age = now.since(total.latest);
        match trial_delay(total.trials) {
            Some(delay) if age < delay => delay - age,
            // Another instance may know of the trial's result.
            Some(_) => SILENCE_PAUSE,
            None => QUARANTINE.saturating_sub(age),
        }
    }

    /// Begins a trial of a request of which all fingerprints in `refused` are refused, if this
    /// instance may try it: instances with later strikes have let their time for it pass. Instances
    /// without strikes come last; there may be no other. Returns all strikes of this instance against
    /// each fingerprint, to be sent to peers; `None` if no trial is due.
    ///
    /// The last fingerprint decides the order of the instances. Each fingerprint may order them
    /// differently, and no instance would come first for all of them.
    pub fn begin_trial(
        &self,
        now: time::WallTime,
        refused: &[Fingerprint],
    ) -> Option<Vec<(Fingerprint, Strikes)>> {
        let mut inner = self.lock();
        let wait = inner.trial_wait(*refused.last()?, self.origin);
        if !refused.iter().all(|f| inner.is_trial_due(now, *f, wait)) {
            return None;
        }
        let begun = refused.iter().map(|fingerprint| {
            // The record of a trial needs strikes: without them it would clear those of others.
            let known = match inner.own_strikes(*fingerprint) {
                Some(own) => own.clone(),
                None => Strikes {
                    trials: 0,
                    ..inner.total(now, *fingerprint)
                },
            };
            let strikes = Strikes {
                trials: known.trials + 1,
                latest: known.latest.max(now),
                origin: self.origin,
                ..known
            };
            let own = inner.own.entry(*fingerprint).or_default();
            own.strikes = strikes.clone();
            (*fingerprint, strikes)
        });
        Some(begun.collect())
    }

    /// Takes back a trial that reached no upstream; the next one is due after the same time. Returns all
    /// strikes of this instance against each fingerprint, to be sent to peers.
    pub fn cancel_trial(
        &self,
        now: time::WallTime,
        refused: &[Fingerprint],
    ) -> Vec<(Fingerprint, Strikes)> {
        let mut inner = self.lock();
        let cancelled = refused.iter().filter_map(|fingerprint| {
            let strikes = &mut inner.own.get_mut(fingerprint)?.strikes;
            strikes.trials = strikes.trials.checked_sub(1)?;
            // Peers ignore a record that isn't later.
            strikes.latest = now.max(strikes.latest + Duration::from_millis(1));
            Some((*fingerprint, strikes.clone()))
        });
        cancelled.collect()
    }

    /// Claims the canary run of `fingerprint`: the run on a single shard that shows whether the
    /// request crashes upstreams. None while another request holds it.
    pub fn claim_canary(self: &Arc<Self>, fingerprint: Fingerprint) -> Option<Canary> {
        let claimed = self.lock().canaries.insert(fingerprint);
        claimed.then(|| Canary {
            tracker: Arc::clone(self),
            fingerprint,
        })
    }
}

impl Inner {
    fn is_harmless(&self, fingerprint: Fingerprint) -> bool {
        self.harmless.contains(&fingerprint) || self.harmless_before.contains(&fingerprint)
    }

    fn strikes(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Strikes> {
        let own = self.own.get(&fingerprint).map(|o| &o.strikes);
        let peers = self
            .peers
            .get(&fingerprint)
            .into_iter()
            .flat_map(BTreeMap::values);
        peers.chain(own)
    }

    /// When a run of the request last ended without a crash although there were strikes.
    fn exonerated_at(&self, fingerprint: Fingerprint) -> time::WallTime {
        let runs = self.strikes(fingerprint).filter(|s| s.count == 0);
        runs.map(|s| s.latest).max().unwrap_or_default()
    }

    /// Strikes of this instance that no run without a crash has cancelled.
    fn own_strikes(&self, fingerprint: Fingerprint) -> Option<&Strikes> {
        let own = self.own.get(&fingerprint).map(|o| &o.strikes);
        own.filter(|s| s.count > 0 && s.latest > self.exonerated_at(fingerprint))
    }

    /// Time that the process `origin` leaves to other instances to try a refused request.
    fn trial_wait(&self, fingerprint: Fingerprint, origin: u64) -> Duration {
        let peers = self.peers.get(&fingerprint).into_iter().flatten();
        let struck = peers.filter(|(_, s)| s.count > 0);
        let (later, delay) = match self.own_strikes(fingerprint) {
            Some(own) => {
                let later = struck.filter(|(_, s)| s.rank() >= own.rank());
                (later.count(), Duration::ZERO)
            }
            None => {
                let later = struck.filter(|(name, _)| ***name != *SAVED_ORIGIN);
                (later.count(), bystander_delay(fingerprint, origin))
            }
        };
        let later = u32::try_from(later).unwrap_or(u32::MAX);
        delay.saturating_add(TRIAL_STAGGER.saturating_mul(later))
    }

    /// Whether a fingerprint is refused and the time until its next trial and `wait` have passed.
    fn is_trial_due(&self, now: time::WallTime, fingerprint: Fingerprint, wait: Duration) -> bool {
        let total = self.total(now, fingerprint);
        match trial_delay(total.trials) {
            Some(delay) if total.count >= STRIKE_LIMIT => {
                now.since(total.latest) >= delay.saturating_add(wait)
            }
            _ => false,
        }
    }

    /// Strikes of all instances. The end of an upstream counts once, however many runs and instances
    /// it hit.
    fn total(&self, now: time::WallTime, fingerprint: Fingerprint) -> Strikes {
        let exonerated = self.exonerated_at(fingerprint);
        let live = self
            .strikes(fingerprint)
            .filter(|s| !expired(now, s.latest) && s.latest > exonerated);
        let mut total = Strikes::default();
        for strikes in live {
            let known = u32::try_from(strikes.ends.len()).unwrap_or(u32::MAX);
            total.count += strikes.count.saturating_sub(known);
            total.latest = total.latest.max(strikes.latest);
            total.trials += strikes.trials;
            for end in &strikes.ends {
                if !total.ends.iter().any(|other| is_same(*other, *end)) {
                    total.ends.push(*end);
                    total.count += 1;
                }
            }
        }
        total
    }

    /// Drops the oldest strikes when there are too many. Callers could otherwise fill the memory
    /// with requests whose bodies all differ.
    fn evict_oldest(&mut self) {
        if self.own.len() >= MAX_STRUCK {
            let oldest = self.own.iter().min_by_key(|(_, o)| o.strikes.latest);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|f| self.own.remove(&f));
        }
        if self.peers.len() >= MAX_STRUCK {
            let latest = |m: &BTreeMap<_, Strikes>| m.values().map(|s| s.latest).max();
            let oldest = self.peers.iter().min_by_key(|(_, m)| latest(m));
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|f| self.peers.remove(&f));
        }
    }
}

/// Delay of the next trial after `trials`; `None` if there is none.
fn trial_delay(trials: u32) -> Option<Duration> {
    let index = usize::try_from(trials).ok()?;
    TRIAL_DELAYS.get(index).copied()
}

/// Delay of a trial by the process `origin` if it has no strikes of its own.
fn bystander_delay(fingerprint: Fingerprint, origin: u64) -> Duration {
    let hash = xxh3::xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), origin);
    BYSTANDER_DELAY + BYSTANDER_SPREAD.mul_f64(hash as f64 / u64::MAX as f64)
}

fn is_same(a: End, b: End) -> bool {
    let apart = a.at.since(b.at).max(b.at.since(a.at));
    a.upstream == b.upstream && apart < SAME_END
}

fn expired(now: time::WallTime, latest: time::WallTime) -> bool {
    now.since(latest) >= QUARANTINE
}

/// The right to run a fingerprint's canary, released on drop.
#[derive(Debug)]
pub struct Canary {
    tracker: Arc<CrashTracker>,
    fingerprint: Fingerprint,
}

impl Drop for Canary {
    fn drop(&mut self) {
        self.tracker.lock().canaries.remove(&self.fingerprint);
    }
}
