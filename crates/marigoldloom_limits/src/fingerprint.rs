//! Strikes against requests that crash upstreams.
//!
//! A fingerprint names a request's service, route and body. A caller that sends a crashing
//! request again and again would otherwise take down one upstream after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Strikes from which a fingerprint is refused.
pub const STRIKE_LIMIT: u32 = 3;

/// Time for which a fingerprint is refused after its latest strike; older strikes count no more.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// Fingerprints with strikes that are kept; the oldest are dropped first.
const STRUCK_CAP: usize = 4_096;

/// Harmless fingerprints in each of two generations.
const HARMLESS_CAP: usize = 32_768;

/// Names what is asked of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn new(service: &str, route: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [service.as_bytes(), route.as_bytes(), body] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

/// Strikes that one instance gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Strikes {
    /// Upstreams that crashed.
    pub count: u32,
    /// When the latest crashed.
    pub latest: time::WallTime,
}

/// What is known of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Ran without a crash and has no strikes.
    Harmless,
    /// Nothing is known of it, or it has fewer strikes than the limit.
    Unknown,
    /// Refused for the rest of its quarantine.
    Quarantined(Duration),
}

/// Strikes by fingerprint and by the instance that gave them.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    own: BTreeMap<Fingerprint, Own>,
    peers: BTreeMap<Fingerprint, BTreeMap<Arc<str>, Strikes>>,
    fresh: BTreeSet<Fingerprint>,
    stale: BTreeSet<Fingerprint>,
    running: BTreeSet<Fingerprint>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Own {
    strikes: Strikes,
    retried: bool,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of `print`.
    pub fn standing(&self, now: time::WallTime, print: Fingerprint) -> Standing {
        let inner = self.lock();
        let (count, latest) = inner.sum(now, print);
        match count {
            0 if inner.harmless(print) => Standing::Harmless,
            n if n < STRIKE_LIMIT => Standing::Unknown,
            _ => Standing::Quarantined(QUARANTINE.saturating_sub(now.since(latest))),
        }
    }

    /// Strikes against `print`, of all instances.
    pub fn struck(&self, now: time::WallTime, print: Fingerprint) -> u32 {
        self.lock().sum(now, print).0
    }

    /// Adds a strike of this instance and returns its strikes, to be sent to peers.
    pub fn strike(&self, now: time::WallTime, print: Fingerprint) -> Strikes {
        let mut inner = self.lock();
        inner.fresh.remove(&print);
        inner.stale.remove(&print);
        inner.trim();
        let own = inner.own.entry(print).or_default();
        if expired(now, own.strikes.latest) {
            *own = Own::default();
        }
        own.strikes.count += 1;
        own.strikes.latest = now;
        own.strikes
    }

    /// Merges the strikes of another instance: the greater count and the later time win.
    pub fn merge(&self, origin: &str, print: Fingerprint, strikes: Strikes) {
        let mut inner = self.lock();
        inner.trim();
        let origins = inner.peers.entry(print).or_default();
        let known = origins.entry(Arc::from(origin)).or_default();
        known.count = known.count.max(strikes.count);
        known.latest = known.latest.max(strikes.latest);
    }

    /// Takes the one retry that a fingerprint has after a lost connection.
    pub fn take_retry(&self, print: Fingerprint) -> bool {
        let mut inner = self.lock();
        match inner.own.get_mut(&print) {
            Some(own) => !mem::replace(&mut own.retried, true),
            None => true,
        }
    }

    /// Notes that a request ran on one shard without a crash. It has its retry again: another
    /// request with this fingerprint may have spent it.
    pub fn harmless(&self, print: Fingerprint) {
        let mut inner = self.lock();
        if let Some(own) = inner.own.get_mut(&print) {
            own.retried = false;
        }
        if inner.fresh.len() >= HARMLESS_CAP {
            inner.stale = mem::take(&mut inner.fresh);
        }
        inner.fresh.insert(print);
    }

    /// Notes that a request ran on all shards. Its own strikes came from crashes that
    /// another request caused, and are dropped.
    pub fn acquit(&self, print: Fingerprint) {
        self.harmless(print);
        self.lock().own.remove(&print);
    }

    /// Claims the canary run of `print`. None while another request holds it.
    pub fn claim(self: &Arc<Self>, print: Fingerprint) -> Option<Canary> {
        let claimed = self.lock().running.insert(print);
        claimed.then(|| Canary {
            ledger: Arc::clone(self),
            print,
        })
    }
}

impl Inner {
    fn harmless(&self, print: Fingerprint) -> bool {
        self.fresh.contains(&print) || self.stale.contains(&print)
    }

    fn sum(&self, now: time::WallTime, print: Fingerprint) -> (u32, time::WallTime) {
        let own = self.own.get(&print).map(|o| o.strikes);
        let peers = self
            .peers
            .get(&print)
            .into_iter()
            .flat_map(BTreeMap::values);
        let live = peers
            .copied()
            .chain(own)
            .filter(|s| !expired(now, s.latest));
        live.fold((0, time::WallTime::default()), |(count, latest), s| {
            (count.saturating_add(s.count), latest.max(s.latest))
        })
    }

    /// Bounds the memory that requests with invented bodies can take.
    fn trim(&mut self) {
        if self.own.len() >= STRUCK_CAP {
            let oldest = self.own.iter().min_by_key(|(_, o)| o.strikes.latest);
            let print = oldest.map(|(print, _)| *print);
            print.map(|p| self.own.remove(&p));
        }
        if self.peers.len() >= STRUCK_CAP {
            let latest = |m: &BTreeMap<_, Strikes>| m.values().map(|s| s.latest).max();
            let oldest = self.peers.iter().min_by_key(|(_, m)| latest(m));
            let print = oldest.map(|(print, _)| *print);
            print.map(|p| self.peers.remove(&p));
        }
    }
}

fn expired(now: time::WallTime, latest: time::WallTime) -> bool {
    now.since(latest) >= QUARANTINE
}

/// The right to run a fingerprint's canary, given back on drop.
#[derive(Debug)]
pub struct Canary {
    ledger: Arc<Ledger>,
    print: Fingerprint,
}

impl Drop for Canary {
    fn drop(&mut self) {
        self.ledger.lock().running.remove(&self.print);
    }
}
