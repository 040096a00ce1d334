//! Decides which instances watch the platform and which peers the others poll for its records.
//!
//! The instances of a failure domain are sorted by capacity class, large before small, and then in
//! rendezvous order. The first two that respond watch the platform. The others form a tree below
//! them: each polls two instances before it in the order and applies the updates of both, so that a
//! single lost connection delays no record. An instance without two such peers watches the platform
//! itself, and so does one that has lost both until two others answer.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_routing::home;
use marigoldloom_runtime::time::Timestamp;

use crate::feed::{Revisions, Update};
use crate::fleet::{self, Member};

/// Number of instances of a failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of instances that poll the same two peers while no instance fails. With [`POLL_WAIT`], a
/// peer answers 11 polls per second of at most 500 bytes each, of the 9 KB that an instance may use for
/// control messages.
const FANOUT: usize = 16;

/// How long a peer holds a poll while it has no changes. With [`RESPONSE_TIMEOUT`], this is the time after
/// which a silent peer is detected. A configuration must be in force 3 s after it was written; the
/// rest is for asking the platform and for the levels of the tree below.
pub const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// How long a peer may be disconnected from the platform before another peer replaces it. A peer
/// that has just started to watch the platform connects sooner.
pub const DISCONNECTED_LIMIT: Duration = Duration::from_millis(700);

/// Time limit for the response to a poll, in addition to the time for which the peer holds it.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(750);

/// An instance stops serving records to others when no peer has responded for this time.
pub const STALE_AFTER: Duration = POLL_WAIT.saturating_add(RESPONSE_TIMEOUT);

/// Shortest and longest time for which a peer is not polled after a failed poll. The time doubles
/// with each failure in a row.
const BACKOFF_BASE: Duration = Duration::from_secs(4);
const BACKOFF_CAP: Duration = Duration::from_secs(30);

/// Key of the rendezvous hash that orders the instances of a failure domain.
const ORDER_SEED: &str = "platform watchers";

/// Why polling a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// No valid response arrived.
    #[display("no response from the instance")]
    Unreachable,
    /// The peer is not connected to the platform, directly or through the peers that it polls.
    #[display("the instance has no contact to the platform")]
    Disconnected,
}

/// Client that polls other instances for records.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Returns the changes after `known` that `peer` has. If it has none, it waits up to `wait` for
    /// some, at most [`POLL_WAIT`].
    fn poll(
        &self,
        peer: &Member,
        known: &Revisions,
        wait: Duration,
    ) -> impl Future<Output = Result<Update, Error>> + Send;
}

/// The instances that this instance may poll for records, and their recent failures.
#[derive(Debug)]
pub struct Roster {
    own: home::Candidate,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// All instances of this failure domain in [`watch_order`]; `None` until they are known.
    order: Option<Vec<Member>>,
    /// Instances to compare records with, see [`Roster::comparison_peers`].
    comparison_peers: Vec<Member>,
    /// Whether the list of instances is expected soon.
    members_expected: bool,
    /// Instances whose last poll failed, by name.
    backoffs: BTreeMap<Arc<str>, Backoff>,
}

/// Time for which a peer is not polled after a failed poll.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Timestamp,
    duration: Duration,
}

/// Where an instance gets records from.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Not determined, because the other instances are not known yet.
    Unknown,
    /// The instance watches the platform.
    Watcher,
    /// The instance polls these peers.
    Follower(Vec<Member>),
}

impl Roster {
    /// Creates the roster of the instance `own`, without any other instances.
    pub fn new(own: home::Candidate) -> Self {
        Self {
            own,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the platform answers, so that the list of instances will be known soon.
    pub fn expect_members(&self) {
        self.state().members_expected = true;
    }

    /// Returns whether the list of instances is expected soon.
    pub fn expects_members(&self) -> bool {
        self.state().members_expected
    }

    /// Replaces the list of all registered instances, in all failure domains.
    pub fn set_members(&self, members: &[Member]) {
        let own = &self.own.domain;
        let order = watch_order(members, own);
        let domains = members.iter().map(|m| &m.candidate.domain);
        let next = domains.clone().filter(|d| *d > own).min();
        let next = next.or(domains.min()).filter(|d| *d != own);
        let next = next.map_or_else(Vec::new, |d| watch_order(members, d));
        let others = order.iter().filter(|m| m.candidate != self.own);
        let comparison_peers = others
            .take(WATCHERS_PER_DOMAIN - 1)
            .chain(next.iter().take(WATCHERS_PER_DOMAIN));
        let mut state = self.state();
        state.comparison_peers = comparison_peers.cloned().collect();
        state.order = Some(order);
    }

    /// Returns the instances to compare records with while this one watches the platform: the other
    /// watcher of its failure domain, and the watchers of the next failure domain by name.
    pub fn comparison_peers(&self) -> Vec<Member> {
        self.state().comparison_peers.clone()
    }

    /// Returns where this instance gets records from at `now`.
    pub fn role(&self, now: Timestamp) -> Role {
        let state = self.state();
        let Some(order) = &state.order else {
            return Role::Unknown;
        };
        let own = order.iter().position(|m| m.candidate == self.own);
        let own = own.unwrap_or(order.len());
        let backs_off = |m: &&Member| {
            let backoff = state.backoffs.get(&m.candidate.name);
            backoff.is_some_and(|r| r.until > now)
        };
        let preferred = parents(own);
        let others = (0..own).filter(|i| !preferred.contains(i));
        let candidates = preferred.clone().chain(others).filter_map(|i| order.get(i));
        let first: Vec<_> = candidates
            .filter(|m| !backs_off(m))
            .take(WATCHERS_PER_DOMAIN)
            .cloned()
            .collect();
        match first.len() {
            WATCHERS_PER_DOMAIN => Role::Follower(first),
            _ => Role::Watcher,
        }
    }

    /// Returns whether this instance watches the platform while no instance of its failure domain
    /// fails, or the instances are not known yet.
    pub fn is_preferred_watcher(&self) -> bool {
        let state = self.state();
        let mut first = state.order.iter().flatten().take(WATCHERS_PER_DOMAIN);
        state.order.is_none() || first.any(|m| m.candidate == self.own)
    }

    /// Records a failed poll of `peer`, which is then not polled for a time that grows with each
    /// failure in a row.
    pub fn record_failure(&self, now: Timestamp, peer: &Member, error: Error) {
        tracing::info!(instance = %peer.candidate.name, %error, "no records from the instance");
        let mut state = self.state();
        let last = state.backoffs.get(&peer.candidate.name).map(|r| r.duration);
        let duration = last.map_or(BACKOFF_BASE, |t| (t * 2).min(BACKOFF_CAP));
        let until = now + duration;
        state.backoffs.insert(
            Arc::clone(&peer.candidate.name),
            Backoff { until, duration },
        );
    }

    /// Records a successful poll of `peer`, which ends its backoff.
    pub fn record_success(&self, peer: &Member) {
        self.state().backoffs.remove(&peer.candidate.name);
    }
}

/// Returns the instances of a failure domain in the order of preference for watching the platform:
/// those with a large capacity first.
fn watch_order(members: &[Member], domain: &str) -> Vec<Member> {
    let inside = members.iter().filter(|m| *m.candidate.domain == *domain);
    let (strong, weak) = fleet::split_by_capacity(inside);
    let order = [strong, weak].into_iter().flat_map(rendezvous_order);
    order.cloned().collect()
}

/// Sorts instances of one failure domain by rendezvous hash.
fn rendezvous_order(members: Vec<&Member>) -> impl Iterator<Item = &Member> {
    let candidates: Vec<_> = members.iter().map(|m| m.candidate.clone()).collect();
    let order = home::home_set(ORDER_SEED, &candidates, candidates.len());
    let member = move |c: home::Candidate| members.iter().find(|m| m.candidate == c).copied();
    order.into_iter().filter_map(member)
}

/// Returns the positions of the peers that the instance at `position` polls while no instance
/// fails. The range is empty for instances that watch the platform. Every two instances of a tree
/// level serve [`FANOUT`] instances of the next level.
fn parents(position: usize) -> Range<usize> {
    let (mut level, mut next) = (0..WATCHERS_PER_DOMAIN, WATCHERS_PER_DOMAIN);
    while position >= next {
        let end = next + level.len() / WATCHERS_PER_DOMAIN * FANOUT;
        if position < end {
            let first = level.start + (position - next) / FANOUT * WATCHERS_PER_DOMAIN;
            return first..first + WATCHERS_PER_DOMAIN;
        }
        (level, next) = (next..end, end);
    }
    0..0
}
