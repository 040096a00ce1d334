//! Keeps an instance's catalog up to date with the platform.
//!
//! An instance that watches the platform lists each kind of records once and then holds a watch for
//! it. While the platform doesn't answer, only the configuration's task retries, because calls to
//! the platform are expensive. The other instances get the records from the watching ones, see
//! [`crate::relay`], and the watching ones compare their records with each other.

use std::collections::BTreeMap;
use std::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::{self, Either};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::supervisor;
use marigoldloom_runtime::time::{self, Timestamp};

use crate::catalog::{Catalog, Place, RecoveredAt};
use crate::feed::{Batch, Feed, Revisions, Update};
use crate::relay::{Peers, Role, Roster};
use crate::source::{Changes, Error, Kind, Listing, Revision, Source};
use crate::view::View;

mod comparison;
mod eras;
mod peers;

/// Initial pause before a failed call is retried.
const RETRY_BASE: Duration = Duration::from_millis(50);

/// Longest pause before a retry of the instances that are preferred for watching the platform.
/// After an outage each instance must know the newest configuration once the platform has answered
/// for 4 s, and a call that hangs takes part of that time.
const RETRY_CAP: Duration = Duration::from_secs(1);

/// Longest pause before a retry of other instances that watch the platform.
const FALLBACK_RETRY_CAP: Duration = Duration::from_secs(3);

/// Longest pause before a retry for a kind that fails alone.
const KIND_RETRY_CAP: Duration = Duration::from_secs(2);

/// Attempt number that calls start from while an outage of the platform is known, so that the first
/// pause is already the longest one.
const OUTAGE_FIRST_ATTEMPT: u32 = 6;

/// Longest time for which the tasks of the other kinds wait for the configuration's task to find
/// out that the platform answers again.
const RECOVERY_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Shortest outage in which a replica's record may expire: less than a heartbeat interval.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_secs(1);

/// Time between two watches of replicas, in which changes collect into one response. It is
/// well below the 3 s for which a replica that shuts down still serves requests.
const REPLICA_BATCH_TIME: Duration = Duration::from_millis(300);

/// Time after which a list that couldn't be read to its end is read again, once a watch has ended.
const PARTIAL_PERIOD: Duration = Duration::from_secs(20);

/// Time after the end of an outage from which it no longer explains expired records.
const MAX_RECOVERY_AGE: Duration = Duration::from_secs(60);

/// Time between two checks for replicas whose records did not reappear after an outage.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time between two checks whether the platform answers. With [`CHECK_TIMEOUT`] and the limits of
/// [`relay`], another instance takes over within 3 s, the time limit for putting a new
/// configuration in force.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Time limit for the platform's answer to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that the platform has to answer a check before a call for another kind checks it too.
const PROBE_DELAY: Duration = Duration::from_millis(200);

/// Kinds in the order in which their calls show that the platform answers.
const PROBED_KINDS: [Kind; 4] = [
    Kind::Evacuations,
    Kind::Moves,
    Kind::Configuration,
    Kind::Replicas,
];

/// Longest time for which an instance that has just started waits for the list of instances. After
/// that it watches the platform itself until the list is known.
const ROSTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which an instance waits for the list of instances if it had to register first:
/// all instances of a new deployment do, and the list is read only after a delay.
const COUNT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which service waits for evacuations and version moves once everything else is known.
/// Other instances may know them. With the time to start and to list the other kinds, service returns
/// within 8 s of a restart, and it must within 12 s.
const ESSENTIALS_WAIT: Duration = Duration::from_secs(4);

/// Time between two checks whether the wait for evacuations and version moves is over.
const ESSENTIALS_PERIOD: Duration = Duration::from_millis(250);

/// Time between two log lines about records that are missing for the first view.
const MISSING_PERIOD: Duration = Duration::from_secs(2);

/// Where an instance gets records from, and the feed that serves them to others.
#[derive(Clone, Debug)]
pub struct Sources<S, P> {
    /// Client of the platform.
    pub platform: S,
    /// Client of other instances.
    pub peers: P,
    /// Instances of the tier, which decides whether to watch the platform or poll peers.
    pub roster: Arc<Roster>,
    /// Records that this instance serves to others.
    pub feed: Arc<Feed>,
}

/// Keeps a catalog up to date and passes each new view to `apply`. Runs until it is dropped.
pub async fn follow<R, S, P, F>(rt: R, sources: Sources<S, P>, place: Place, apply: F)
where
    R: Runtime,
    S: Source,
    P: Peers,
    F: Fn(View),
{
    let start = || follow_once(rt.clone(), sources.clone(), place.clone(), &apply);
    supervisor::supervise(&rt, "follower", start).await;
}

async fn follow_once<R, S, P, F>(rt: R, sources: Sources<S, P>, place: Place, apply: F)
where
    R: Runtime,
    S: Source,
    P: Peers,
    F: Fn(View),
{
    let follower = Follower {
        rt,
        sources,
        state: Mutex::new(State {
            catalog: Catalog::new(place),
            known: Revisions::new(),
            recovered_at: RecoveredAt::default(),
            era: 0,
            doubt: None,
            down_since: None,
            last_update: Timestamp::ZERO,
            failures: BTreeMap::new(),
        }),
        apply,
    };
    future::join4(
        follower.run(),
        follower.remove_expired(),
        follower.report_missing(),
        follower.serve_essentials(),
    )
    .await;
}

struct Follower<R, S, P, F> {
    rt: R,
    sources: Sources<S, P>,
    state: Mutex<State>,
    apply: F,
}

struct State {
    catalog: Catalog,
    /// Revision up to which each kind is known.
    known: Revisions,
    recovered_at: RecoveredAt,
    /// Latest era of the platform whose start was logged.
    era: u64,
    /// The last check of the platform because peers had lost it.
    doubt: Option<Doubt>,
    /// Start of the platform's current outage; `None` while it answers.
    down_since: Option<Timestamp>,
    /// When a poll of a peer last succeeded.
    last_update: Timestamp,
    /// The last failed call for each kind whose calls fail.
    failures: BTreeMap<Kind, Error>,
}

/// A check of the platform by an instance whose peers have lost it.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    at: Timestamp,
    /// Whether the platform answered.
    answered: bool,
}

impl<R: Runtime, S: Source, P: Peers, F: Fn(View)> Follower<R, S, P, F> {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self) {
        self.await_roster().await;
        let mut lost = false;
        loop {
            match self.sources.roster.role(self.rt.now()) {
                Role::Follower(peers) if !lost => lost = self.follow_peers(&peers).await,
                Role::Follower(_) | Role::Watcher | Role::Unknown => {
                    self.watch_platform().await;
                    lost = false;
                }
            }
        }
    }

    /// Logs which records are missing until there is a first view: without one, the instance refuses
    /// all requests.
    async fn report_missing(&self) {
        let start = self.rt.now();
        loop {
            self.rt.sleep(MISSING_PERIOD).await;
            let state = self.state();
            let missing = state.catalog.missing_kinds();
            if state.catalog.view().is_some() {
                return;
            }
            let failures = state.failures.iter();
            let failures: Vec<_> = failures.map(|(k, e)| format!("{k}: {e}")).collect();
            let missing: Vec<_> = missing.iter().map(ToString::to_string).collect();
            tracing::warn!(
                elapsed_ms = time::millis(self.rt.now().since(start)),
                missing = missing.join(", "),
                failures = failures.join("; "),
                disconnected = state.down_since.is_some(),
                "no requests are served: records are missing"
            );
        }
    }

    /// Serves without evacuations and version moves if they stay unknown for [`ESSENTIALS_WAIT`].
    async fn serve_essentials(&self) {
        let mut known_at = None;
        loop {
            self.rt.sleep(ESSENTIALS_PERIOD).await;
            let (now, state) = (self.rt.now(), self.state());
            let missing = state.catalog.missing_kinds();
            if missing.is_empty() {
                return;
            }
            if !state.catalog.has_essentials() {
                continue;
            }
            if now.since(*known_at.get_or_insert(now)) < ESSENTIALS_WAIT {
                continue;
            }
            drop(state);
            let missing: Vec<_> = missing.iter().map(ToString::to_string).collect();
            tracing::warn!(
                missing = missing.join(", "),
                "requests are served although records are missing"
            );
            return self.update_state(|state, _| {
                state.catalog.serve_essentials();
                true
            });
        }
    }

    /// Waits until the other instances are known or the time limit passes.
    async fn await_roster(&self) {
        let (start, roster) = (self.rt.now(), &self.sources.roster);
        let limit = || match roster.expects_members() {
            true => COUNT_TIMEOUT,
            false => ROSTER_TIMEOUT,
        };
        while roster.role(self.rt.now()) == Role::Unknown && self.rt.now().since(start) < limit() {
            self.rt.sleep(RETRY_BASE).await;
        }
    }

    /// Watches the platform until this instance can poll peers instead, the platform stops
    /// answering or the watches turn out to be stalled.
    async fn watch_platform(&self) {
        tracing::info!("following the platform");
        self.sources.feed.set_disconnected();
        let kinds = pin::pin!(future::join_all(
            Kind::ALL.map(|kind| self.follow_kind(kind))
        ));
        let until_unanswered = pin::pin!(self.until_unanswered());
        let until_outdated = pin::pin!(self.until_outdated());
        let until_peers_ready = pin::pin!(self.until_peers_ready());
        let followed = future::select(future::select(kinds, until_unanswered), until_outdated);
        match future::select(followed, until_peers_ready).await {
            Either::Left(_) => self.sources.feed.set_disconnected(),
            Either::Right(_) => {
                self.state().down_since = None;
                self.publish_peer_records(self.rt.now());
            }
        }
    }

    /// Completes once the platform stops answering, for all kinds or one, or answers in a later era,
    /// although the open watches report no failure.
    async fn until_unanswered(&self) {
        loop {
            self.rt.sleep(CHECK_PERIOD).await;
            if self.state().down_since.is_some() {
                continue;
            }
            match self.probe().await {
                Ok(None) if self.has_later_era() => return,
                Ok(None) => self.sources.feed.confirm(self.rt.now()),
                Ok(Some((kind, error))) => {
                    self.state().failures.insert(kind, error);
                    return self.sources.feed.set_failing(kind, true);
                }
                Err(error) => return self.record_outage(Kind::Evacuations, &error),
            }
        }
    }

    /// Checks whether the platform answers calls for kinds that don't fail. Returns a kind whose call
    /// failed although the platform answered one for another kind.
    async fn probe(&self) -> Result<Option<(Kind, Error)>, Error> {
        let failing: Vec<_> = self.state().failures.keys().copied().collect();
        let mut sound = PROBED_KINDS.iter().filter(|kind| !failing.contains(kind));
        let kind = *sound.next().unwrap_or(&PROBED_KINDS[0]);
        let other = *sound.next().unwrap_or(&kind);
        let first = pin::pin!(self.probe_kind(kind, Duration::ZERO));
        let second = pin::pin!(self.probe_kind(other, PROBE_DELAY));
        match future::select(first, second).await {
            Either::Left((Ok(()), _)) => Ok(None),
            Either::Left((Err(error), second)) => second.await.map(|()| Some((kind, error))),
            Either::Right((Ok(()), first)) => Ok(first.await.err().map(|error| (kind, error))),
            Either::Right((Err(_), first)) => first.await.map(|()| None),
        }
    }

    /// Checks after `delay` whether the platform answers a call for `kind`.
    async fn probe_kind(&self, kind: Kind, delay: Duration) -> Result<(), Error> {
        self.rt.sleep(delay).await;
        let platform = &self.sources.platform;
        let call = async {
            match kind {
                // Cheaper than a list.
                Kind::Evacuations => platform.check().await,
                kind => platform.list(kind).await.map(drop),
            }
        };
        match runtime::timeout(&self.rt, CHECK_TIMEOUT.saturating_sub(delay), call).await {
            Ok(Ok(()) | Err(Error::Malformed { .. })) => Ok(()),
            Ok(Err(error)) => Err(error),
            Err(elapsed) => Err(Error::Unreachable {
                reason: elapsed.to_string(),
            }),
        }
    }

    fn apply_update(&self, update: Update) {
        self.note_recovery(&update);
        self.apply_batches(update.batches);
    }

    /// Records the end of an outage of the platform that another instance knows of. Records that it lacks
    /// may have expired meanwhile.
    fn note_recovery(&self, update: &Update) {
        let age = update.recovered_ms.map(Duration::from_millis);
        let age = age.filter(|age| *age < MAX_RECOVERY_AGE);
        if let Some(age) = age {
            let at = self.rt.now().since(Timestamp::ZERO + age);
            let at = Timestamp::ZERO + at;
            self.state().recovered_at = RecoveredAt(Some(at));
            self.sources.feed.set_recovered(at);
        }
    }

    fn apply_batches(&self, batches: impl IntoIterator<Item = (Kind, Batch)>) {
        for (kind, batch) in batches {
            // One peer may be behind the other and repeat older records.
            let known = self.state().known.get(&kind).copied();
            if known.is_some_and(|known| batch.revision() <= known) {
                continue;
            }
            match batch {
                Batch::Listing(listing) => self.replace(kind, listing),
                Batch::Changes(changes) => self.change(kind, changes),
            }
        }
    }

    /// Lists a kind and watches it; lists it again whenever the watch fails, and at intervals if the
    /// list couldn't be read to its end.
    async fn follow_kind(&self, kind: Kind) {
        let mut attempt = 0;
        loop {
            if kind != Kind::Configuration {
                self.await_platform().await;
            }
            let listing = self.list(kind).await;
            let (listed, partial) = (self.rt.now(), listing.partial);
            let mut since = listing.revision;
            self.replace(kind, listing);
            self.publish();
            while let Some(changes) = self.watch(kind, since, &mut attempt).await {
                since = since.max(changes.revision);
                self.change(kind, changes);
                if partial && self.rt.now().since(listed) >= PARTIAL_PERIOD {
                    break;
                }
                // Replicas start and stop in groups; after a pause one watch reports several
                // changes.
                if kind == Kind::Replicas {
                    self.rt.sleep(REPLICA_BATCH_TIME).await;
                }
            }
        }
    }

    /// Lists a kind, and retries until the call succeeds.
    async fn list(&self, kind: Kind) -> Listing {
        let mut attempt = match self.state().down_since {
            Some(_) => OUTAGE_FIRST_ATTEMPT,
            None => 0,
        };
        loop {
            let listing = self.sources.platform.list(kind).await;
            match listing.and_then(|listing| self.check_era(kind, listing)) {
                Ok(listing) => {
                    self.clear_failure(kind);
                    self.record_success();
                    return listing;
                }
                Err(error) => {
                    self.back_off(kind, &error, &mut attempt).await;
                    if kind != Kind::Configuration {
                        self.await_platform().await;
                    }
                }
            }
        }
    }

    /// Waits for the next changes of a kind. Returns `None` if the kind must be listed again: a
    /// watch that failed may have missed changes that a new watch from the same revision doesn't
    /// report at once.
    /// `attempt` counts the failures in a row.
    async fn watch(&self, kind: Kind, since: Revision, attempt: &mut u32) -> Option<Changes> {
        match self.sources.platform.watch(kind, since).await {
            Ok(changes) => {
                *attempt = 0;
                self.record_success();
                let known = self.state().known.get(&kind).copied();
                let is_latest = known.is_none_or(|known| known.era <= changes.revision.era);
                is_latest.then_some(changes)
            }
            Err(Error::Compacted) => {
                tracing::info!(%kind, "the platform forgot its history; listing again");
                None
            }
            Err(error) => {
                self.back_off(kind, &error, attempt).await;
                None
            }
        }
    }

    fn replace(&self, kind: Kind, listing: Listing) {
        self.enter_era(kind, listing.revision);
        self.sources.feed.replace(kind, &listing);
        self.update_state(|state, now| {
            let recovered_at = state.recovered_at;
            state.known.insert(kind, listing.revision);
            state.catalog.replace(kind, listing, now, recovered_at);
            state.catalog.confirm_present(kind);
            true
        });
    }

    fn change(&self, kind: Kind, changes: Changes) {
        self.enter_era(kind, changes.revision);
        self.sources.feed.change(kind, &changes);
        self.update_state(|state, now| {
            let any = !changes.changes.is_empty();
            let recovered_at = state.recovered_at;
            let known = state.known.entry(kind).or_default();
            *known = changes.revision.max(*known);
            for (name, record) in changes.changes {
                state.catalog.set(kind, name, record, now, recovered_at);
            }
            state.catalog.confirm_present(kind);
            any
        });
    }

    /// Runs `change` on the state, and applies a new view if it returns true.
    fn update_state(&self, change: impl FnOnce(&mut State, Timestamp) -> bool) {
        let now = self.rt.now();
        let mut state = self.state();
        if !change(&mut state, now) {
            return;
        }
        // The lock is held meanwhile, so that an older view never replaces a newer one.
        if let Some(view) = state.catalog.view() {
            (self.apply)(view);
        }
    }

    /// Records that the platform answered, which ends an outage.
    fn record_success(&self) {
        let mut state = self.state();
        let Some(since) = state.down_since.take() else {
            return;
        };
        let now = self.rt.now();
        let outage = now.since(since);
        tracing::info!(
            outage_ms = time::millis(outage),
            "the platform answers again"
        );
        if outage >= MIN_EXPIRY_OUTAGE {
            state.recovered_at = RecoveredAt(Some(now));
            self.sources.feed.set_recovered(now);
        }
        drop(state);
        self.publish();
    }

    /// Serves the records to other instances while the platform answers, once each kind is known or
    /// its calls fail.
    fn publish(&self) {
        let state = self.state();
        let settled =
            |kind: &Kind| state.known.contains_key(kind) || state.failures.contains_key(kind);
        let complete = !state.known.is_empty() && Kind::ALL.iter().all(settled);
        match complete && state.down_since.is_none() {
            true => self.sources.feed.set_connected(self.rt.now()),
            false => self.sources.feed.set_disconnected(),
        }
    }

    /// Records that the platform doesn't answer, which starts an outage.
    fn record_outage(&self, kind: Kind, error: &Error) {
        let mut state = self.state();
        if state.down_since.is_none() {
            state.down_since = Some(self.rt.now());
            self.sources.feed.set_disconnected();
            tracing::warn!(%kind, %error, "the platform doesn't answer; the last records stay in force");
        }
    }

    /// Records that a call for `kind` succeeded.
    fn clear_failure(&self, kind: Kind) {
        self.state().failures.remove(&kind);
        self.sources.feed.set_failing(kind, false);
    }

    /// Records a failed call for `kind`. It is an outage unless the platform answers calls for another
    /// kind: one kind may fail because of a record or a limit of its own.
    async fn record_failure(&self, kind: Kind, error: &Error) {
        let (first, others) = {
            let mut state = self.state();
            let first = state.failures.insert(kind, error.clone()).is_none();
            let mut others = state.known.keys();
            let others = others.any(|k| *k != kind && !state.failures.contains_key(k));
            (first, others && state.down_since.is_none())
        };
        self.sources.feed.set_failing(kind, true);
        if !others {
            return self.record_outage(kind, error);
        }
        // Later failures are left to the periodic checks.
        if !first {
            return;
        }
        match self.probe().await {
            Ok(_) => {
                tracing::warn!(%kind, %error, "records of one kind can't be read; the last ones stay in force");
                self.publish();
            }
            Err(error) => self.record_outage(kind, &error),
        }
    }

    /// Records a failed call and waits before the next attempt.
    async fn back_off(&self, kind: Kind, error: &Error, attempt: &mut u32) {
        self.record_failure(kind, error).await;
        let cap = match self.sources.roster.is_preferred_watcher() {
            _ if self.state().down_since.is_none() => KIND_RETRY_CAP,
            true => RETRY_CAP,
            false => FALLBACK_RETRY_CAP,
        };
        let pause = runtime::backoff(&self.rt, *attempt, RETRY_BASE, cap);
        *attempt += 1;
        self.rt.sleep(pause.max(RETRY_BASE)).await;
    }

    /// Waits until the platform answers again or [`RECOVERY_WAIT_LIMIT`] passes.
    async fn await_platform(&self) {
        let start = self.rt.now();
        while self.state().down_since.is_some() && self.rt.now().since(start) < RECOVERY_WAIT_LIMIT
        {
            self.rt.sleep(RETRY_BASE).await;
        }
    }

    /// Periodically removes replicas whose records did not reappear after an outage.
    async fn remove_expired(&self) {
        loop {
            self.rt.sleep(EXPIRY_CHECK_PERIOD).await;
            if self.state().catalog.has_expiring() {
                self.update_state(|state, now| state.catalog.remove_expired(now));
            }
        }
    }
}

/// The view in force, shared with the request path and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct LatestView {
    view: Arc<Mutex<Option<Arc<View>>>>,
}

impl LatestView {
    /// Replaces the view.
    pub fn set(&self, view: Arc<View>) {
        let mut latest = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        *latest = Some(view);
    }

    /// Returns the view in force, or `None` until the first one is known.
    pub fn get(&self) -> Option<Arc<View>> {
        let latest = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        latest.clone()
    }
}
