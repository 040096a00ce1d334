//! The cold-start dispatch lease: at most one instance at a time dispatches to a cold upstream.
//!
//! An instance holds the lease of an upstream while a majority of the upstream's voters has
//! promised it to this instance, each for a term. The caller sets the voter lists. Majorities of
//! two different lists may have no voter in common, so callers must derive the lists from the
//! configuration, not from the states of members.

use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time::{self, Timestamp};
use xxhash_rust::xxh3;

use crate::generated::peer;
use crate::store::Store;
use crate::transport::Transport;

/// Time for which a voter's promise is valid.
pub const TERM: Duration = Duration::from_secs(2);

/// The lease ends this much before the promises that it relies on, which allows for clocks whose
/// rates differ by up to 5%.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// Interval at which a held lease is renewed.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// A voter whose voter list has changed grants nothing for this time: the 3 s that a configuration
/// change may take to reach the voters of the former list, plus a term.
pub const VOTERS_CHANGE_WAIT: Duration = Duration::from_secs(5);

/// Timeout of a call to a voter.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a candidate checks whether requests to voters are due.
const TICK: Duration = Duration::from_millis(100);

/// Requests that become due within this time are sent together with those that are due now.
const BATCH_WINDOW: Duration = Duration::from_millis(200);

/// A candidacy ends this long after the last call of [`DispatchLease::request`]; the lease is
/// then released.
const CANDIDACY_TIMEOUT: Duration = Duration::from_secs(5);

/// Greatest wait, before jitter, until a refused candidate requests the lease again.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// After a split vote, a candidate waits a random time up to this before it requests again.
const SPLIT_VOTE_JITTER: Duration = Duration::from_millis(400);

/// Access to the leases for the dispatcher of subqueries.
pub trait DispatchLease: Clone + Send + Sync + 'static {
    /// Time until which this instance may dispatch to the upstream; `None` if it doesn't hold the
    /// lease. Must be checked before each dispatch, because the process may have been paused.
    fn expiry(&self, upstream: &str) -> Option<Timestamp>;

    /// Starts or extends this instance's candidacy for the lease. The candidacy ends 5 s after
    /// the last call.
    fn request(&self, upstream: &str);

    /// Ends the candidacy and releases the lease, because the upstream is warm or gone.
    fn release(&self, upstream: &str);
}

/// Process that requests or holds leases. A restarted process is another holder, because it has
/// lost the state of its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    /// Name of the instance.
    name: String,
    /// Random number of the process.
    process: u64,
}

/// Promise of this voter not to grant an upstream's lease to another holder.
#[derive(Clone, Debug)]
struct Promise {
    holder: Holder,
    /// Greatest round number of the requests for which the promise was given.
    number: u64,
    until: Timestamp,
}

/// Voters of an upstream.
#[derive(Clone, Debug)]
struct VoterList {
    voters: Vec<Arc<str>>,
    /// Hash of `voters`; a voter grants only claims that carry its own list's hash.
    hash: u64,
    /// When this instance may start to vote by this list.
    votes_from: Timestamp,
}

/// This instance's candidacy for the lease of an upstream.
#[derive(Clone, Copy, Debug)]
struct Candidacy {
    /// When the candidacy ends, unless it is extended.
    until: Timestamp,
    /// When the voters have to be asked next.
    next_request: Timestamp,
    /// When the lease ends; in the past if it isn't held.
    held_until: Timestamp,
    /// Number of the last round before the candidacy. Grants of this and earlier rounds don't
    /// count, because a release may already have revoked them.
    after_round: u64,
}

#[derive(Debug, Default)]
struct Inner {
    voter_lists: BTreeMap<Arc<str>, VoterList>,
    promises: BTreeMap<Arc<str>, Promise>,
    candidacies: BTreeMap<Arc<str>, Candidacy>,
    /// Number of the latest round.
    last_round: u64,
}

/// One instance's roles in the lease protocol: voter and candidate.
#[derive(Clone, Debug)]
pub struct Leases<R, T> {
    rt: R,
    transport: T,
    store: Store<R>,
    own: Holder,
    start: Timestamp,
    inner: Arc<Mutex<Inner>>,
}

/// Requests that are sent to the voters at the same time.
#[derive(Debug, Default)]
struct Round {
    number: u64,
    /// Upstreams and the hashes of their voter lists, by voter.
    claims: BTreeMap<Arc<str>, Vec<(Arc<str>, u64)>>,
}

/// Votes of a round for one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    /// Number of voters that were asked.
    asked: usize,
    /// Number of voters that granted the claim.
    granted: usize,
    /// Greatest retry delay that a refusal named.
    retry: Duration,
}

impl<R: runtime::Runtime, T: Transport> DispatchLease for Leases<R, T> {
    fn expiry(&self, upstream: &str) -> Option<Timestamp> {
        let held_until = self.lock().candidacies.get(upstream)?.held_until;
        (held_until > self.rt.now()).then_some(held_until)
    }

    fn request(&self, upstream: &str) {
        let now = self.rt.now();
        let mut inner = self.lock();
        let after_round = inner.last_round;
        match inner.candidacies.get_mut(upstream) {
            Some(candidacy) => candidacy.until = now + CANDIDACY_TIMEOUT,
            None => {
                let candidacy = Candidacy {
                    until: now + CANDIDACY_TIMEOUT,
                    next_request: now,
                    held_until: Timestamp::ZERO,
                    after_round,
                };
                inner.candidacies.insert(Arc::from(upstream), candidacy);
            }
        }
    }

    fn release(&self, upstream: &str) {
        let mut inner = self.lock();
        if inner.candidacies.remove(upstream).is_some() {
            // Read before the task runs: a round that starts in between may get new grants, which
            // this release must not revoke.
            let number = inner.last_round;
            let this = self.clone();
            let upstreams = vec![Arc::from(upstream)];
            self.rt
                .spawn(async move { this.send_release(number, upstreams).await });
        }
    }
}

impl<R: runtime::Runtime, T: Transport> Leases<R, T> {
    pub(crate) fn new(rt: R, transport: T, store: Store<R>) -> Self {
        let own = Holder {
            name: store.own().identity.name.to_string(),
            process: rt.random(),
        };
        Self {
            start: rt.now(),
            rt,
            transport,
            store,
            own,
            inner: Arc::default(),
        }
    }

    /// Sets the voters of an upstream, which are the home instances in its failure domain. An
    /// empty list removes the upstream.
    pub fn set_voters(&self, upstream: &str, mut voters: Vec<Arc<str>>) {
        voters.sort();
        voters.dedup();
        let hash = voters_hash(&voters);
        let mut inner = self.lock();
        let known = inner.voter_lists.get(upstream);
        let wait = match known {
            Some(known) if known.hash == hash => return,
            Some(_) => VOTERS_CHANGE_WAIT,
            None => TERM,
        };
        let list = VoterList {
            voters,
            hash,
            votes_from: self.rt.now() + wait,
        };
        match list.voters.is_empty() {
            true => inner.voter_lists.remove(upstream),
            false => inner.voter_lists.insert(Arc::from(upstream), list),
        };
    }

    pub(crate) async fn run(self) {
        loop {
            self.rt.sleep(TICK).await;
            let (number, expired) = self.take_expired();
            if !expired.is_empty() {
                self.send_release(number, expired).await;
            }
            self.run_round().await;
        }
    }

    /// Ends all candidacies and releases their leases.
    pub(crate) async fn release_all(&self) {
        let (number, candidacies) = {
            let mut inner = self.lock();
            (inner.last_round, mem::take(&mut inner.candidacies))
        };
        self.send_release(number, candidacies.into_keys().collect())
            .await;
    }

    /// Requests or renews the leases that are due, and releases grants that are no majority.
    async fn run_round(&self) {
        let start = self.rt.now();
        let round = self.next_round(start);
        if round.claims.is_empty() {
            return;
        }
        let requests = round.claims.iter().map(|(voter, claims)| {
            let request = self.lease_request(round.number, claims);
            async move { (claims, self.request_grants(voter, request).await) }
        });
        let mut tallies: BTreeMap<Arc<str>, Tally> = BTreeMap::new();
        for (claims, grants) in future::join_all(requests).await {
            for (index, (upstream, _)) in claims.iter().enumerate() {
                let tally = tallies.entry(Arc::clone(upstream)).or_default();
                tally.asked += 1;
                match grants.get(index) {
                    Some(grant) if grant.granted => tally.granted += 1,
                    Some(grant) => {
                        tally.retry = tally.retry.max(Duration::from_millis(grant.retry_ms));
                    }
                    None => {}
                }
            }
        }
        let partial = self.apply_tallies(start, round.number, &tallies);
        if !partial.is_empty() {
            self.send_release(round.number, partial).await;
        }
    }

    /// Starts a round with the upstreams that are due, grouped by voter.
    fn next_round(&self, now: Timestamp) -> Round {
        let mut inner = self.lock();
        let is_due =
            |limit: Timestamp| move |candidacy: &Candidacy| candidacy.next_request <= limit;
        let mut round = Round::default();
        if !inner.candidacies.values().any(is_due(now)) {
            return round;
        }
        for (upstream, candidacy) in &inner.candidacies {
            if let Some(list) = inner
                .voter_lists
                .get(upstream)
                .filter(|_| is_due(now + BATCH_WINDOW)(candidacy))
            {
                for voter in &list.voters {
                    let claims = round.claims.entry(Arc::clone(voter)).or_default();
                    claims.push((Arc::clone(upstream), list.hash));
                }
            }
        }
        inner.last_round += 1;
        round.number = inner.last_round;
        round
    }

    fn lease_request(&self, number: u64, claims: &[(Arc<str>, u64)]) -> peer::LeaseRequest {
        let claim = |(upstream, hash): &(Arc<str>, u64)| peer::Claim {
            upstream: upstream.to_string(),
            voters: *hash,
        };
        peer::LeaseRequest {
            holder: self.own.name.clone(),
            process: self.own.process,
            number,
            claims: claims.iter().map(claim).collect(),
        }
    }

    async fn request_grants(&self, voter: &str, request: peer::LeaseRequest) -> Vec<peer::Grant> {
        if voter == self.own.name {
            return self.on_request(request).grants;
        }
        let Some(member) = self.store.member(voter) else {
            return Vec::new();
        };
        let call = self
            .transport
            .request_lease(member.identity.address, request);
        match runtime::timeout(&self.rt, CALL_TIMEOUT, call).await {
            Ok(Ok(reply)) => reply.grants,
            _ => Vec::new(),
        }
    }

    /// Updates the candidacies with the votes of a round. Returns the upstreams that got some
    /// grants but no majority; these grants must be released.
    fn apply_tallies(
        &self,
        start: Timestamp,
        number: u64,
        tallies: &BTreeMap<Arc<str>, Tally>,
    ) -> Vec<Arc<str>> {
        let now = self.rt.now();
        let mut inner = self.lock();
        let mut partial = Vec::new();
        for (upstream, tally) in tallies {
            let candidacy = inner.candidacies.get_mut(upstream);
            let Some(candidacy) = candidacy.filter(|candidacy| number > candidacy.after_round)
            else {
                continue;
            };
            match tally.granted {
                granted if granted > tally.asked / 2 => {
                    candidacy.held_until =
                        (start + TERM.saturating_sub(CLOCK_MARGIN)).max(candidacy.held_until);
                    candidacy.next_request = start + RENEWAL_PERIOD;
                }
                _ if candidacy.held_until > now => candidacy.next_request = now + TICK,
                0 => candidacy.next_request = now + self.retry_delay(tally.retry),
                _ => {
                    candidacy.next_request = now + self.jitter(SPLIT_VOTE_JITTER);
                    partial.push(Arc::clone(upstream));
                }
            }
        }
        partial
    }

    fn retry_delay(&self, retry: Duration) -> Duration {
        retry.clamp(TICK, MAX_RETRY_WAIT) + self.jitter(BATCH_WINDOW)
    }

    fn jitter(&self, limit: Duration) -> Duration {
        let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(runtime::random_below(&self.rt, micros))
    }

    /// Removes expired candidacies and promises. Returns the number of the last round and the
    /// upstreams of the removed candidacies.
    fn take_expired(&self) -> (u64, Vec<Arc<str>>) {
        let now = self.rt.now();
        let mut inner = self.lock();
        let is_expired = |candidacy: &Candidacy| candidacy.until <= now;
        let expired: Vec<Arc<str>> = inner
            .candidacies
            .iter()
            .filter(|(_, candidacy)| is_expired(candidacy))
            .map(|(upstream, _)| Arc::clone(upstream))
            .collect();
        inner
            .candidacies
            .retain(|_, candidacy| !is_expired(candidacy));
        inner.promises.retain(|_, promise| promise.until > now);
        (inner.last_round, expired)
    }

    /// Sends releases of grants on which this instance no longer relies. A candidacy that held the
    /// lease must have been removed before, so that this instance doesn't use the lease when the
    /// voters promise it to others. Voters keep the grants of rounds after `number`.
    async fn send_release(&self, number: u64, upstreams: Vec<Arc<str>>) {
        let by_voter = self.by_voter(&upstreams);
        let sends = by_voter.into_iter().map(|(voter, upstreams)| {
            let request = peer::ReleaseRequest {
                holder: self.own.name.clone(),
                process: self.own.process,
                number,
                upstreams,
            };
            self.send_release_to(voter, request)
        });
        future::join_all(sends).await;
    }

    fn by_voter(&self, upstreams: &[Arc<str>]) -> BTreeMap<Arc<str>, Vec<String>> {
        let mut by_voter: BTreeMap<Arc<str>, Vec<String>> = BTreeMap::new();
        let inner = self.lock();
        for upstream in upstreams {
            let voters = inner.voter_lists.get(upstream).map(|list| &list.voters);
            for voter in voters.into_iter().flatten() {
                let released = by_voter.entry(Arc::clone(voter)).or_default();
                released.push(upstream.to_string());
            }
        }
        by_voter
    }

    async fn send_release_to(&self, voter: Arc<str>, request: peer::ReleaseRequest) {
        match self.store.member(&voter) {
            _ if *voter == *self.own.name => drop(self.on_release(request)),
            Some(member) => {
                let call = self
                    .transport
                    .release_lease(member.identity.address, request);
                runtime::timeout(&self.rt, CALL_TIMEOUT, call).await.ok();
            }
            None => {}
        }
    }

    /// Handles a request for leases: votes on each claim.
    pub(crate) fn on_request(&self, request: peer::LeaseRequest) -> peer::LeaseReply {
        let now = self.rt.now();
        let holder = Holder {
            name: request.holder,
            process: request.process,
        };
        let mut inner = self.lock();
        let grants = request
            .claims
            .iter()
            .map(|claim| inner.vote(now, self.start + TERM, &holder, request.number, claim));
        peer::LeaseReply {
            grants: grants.collect(),
        }
    }

    /// Handles a release: removes the promises to the sender. A promise that was given for a
    /// later request is kept, because the holder relies on it and this release arrived late.
    pub(crate) fn on_release(&self, request: peer::ReleaseRequest) -> peer::ReleaseReply {
        let holder = Holder {
            name: request.holder,
            process: request.process,
        };
        let mut inner = self.lock();
        for upstream in &request.upstreams {
            let promise = inner.promises.get(&**upstream);
            if promise.is_some_and(|p| p.holder == holder && p.number <= request.number) {
                inner.promises.remove(&**upstream);
            }
        }
        peer::ReleaseReply {}
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Grants the claim and records a promise, unless another holder has a promise or this voter
    /// may not vote yet. `first_term_end` is the end of the first term after this process
    /// started; promises of an earlier process of this voter may be valid until then.
    fn vote(
        &mut self,
        now: Timestamp,
        first_term_end: Timestamp,
        holder: &Holder,
        number: u64,
        claim: &peer::Claim,
    ) -> peer::Grant {
        let Some(list) = self.voter_lists.get(&*claim.upstream) else {
            return refusal(MAX_RETRY_WAIT);
        };
        let votes_from = first_term_end.max(list.votes_from);
        let promise = self.promises.get(&*claim.upstream);
        let other = promise.filter(|p| p.until > now && p.holder != *holder);
        match other {
            _ if list.hash != claim.voters => refusal(MAX_RETRY_WAIT),
            _ if votes_from > now => refusal(votes_from.since(now)),
            Some(other) => refusal(other.until.since(now)),
            None => {
                let promise = Promise {
                    holder: holder.clone(),
                    number: promise
                        .filter(|p| p.holder == *holder)
                        .map_or(number, |p| p.number.max(number)),
                    until: now + TERM,
                };
                self.promises.insert(Arc::from(&*claim.upstream), promise);
                peer::Grant {
                    granted: true,
                    retry_ms: 0,
                }
            }
        }
    }
}

fn refusal(retry: Duration) -> peer::Grant {
    peer::Grant {
        granted: false,
        retry_ms: time::millis(retry),
    }
}

fn voters_hash(voters: &[Arc<str>]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for voter in voters {
        hasher.update(voter.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}
