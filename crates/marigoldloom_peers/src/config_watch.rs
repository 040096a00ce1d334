//! Copies the configuration from the platform into the shared map.
//!
//! Only the first two alive members of each failure domain, in rendezvous order, watch the
//! platform, so its load doesn't grow with the number of instances. Entries are stamped with
//! platform revisions: a stale listing or a delayed response loses each merge, so it can't revert
//! newer entries.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_platform::object::{self, Revision};
use marigoldloom_platform::platform;
use marigoldloom_records::record;
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time;

use crate::exchange::{Entry, Space};
use crate::membership;
use crate::store::{Source, Store};

/// Number of instances per failure domain that watch the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Interval at which an instance that isn't a watcher checks whether it has become one.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Timeout of a watch, after which it is started again, because its connection may have been
/// lost silently. Half of the 3 s within which a change must be in force.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a listing, and of the read that measures the latency.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a watcher lists the configuration again, to find deletions that it missed
/// and whose tombstones have expired.
const LIST_PERIOD: Duration = Duration::from_secs(1_800);

/// Least time for which the tombstone of a deleted record is kept: a day.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(86_400);

/// First and greatest delay between attempts. At the greatest delay, 12 watchers make 12 calls a
/// second.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Kind and name of the object that is read to measure the platform's latency. It needn't exist.
const LATENCY_PROBE: (&str, &str) = ("domain", "latency-probe");

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Error {
    #[display("{_0}")]
    Platform(platform::Error),
    #[display("no response from the platform within the time limit")]
    Elapsed(runtime::Elapsed),
}

/// The configuration watcher of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Watcher<R, P> {
    rt: R,
    platform: P,
    store: Store<R>,
}

/// Progress of a watcher.
#[derive(Clone, Copy, Debug)]
struct WatchState {
    /// Revision up to which changes have been merged.
    since: Revision,
    /// When the last listing was completed.
    listed_at: time::Timestamp,
    /// Duration of the last listing or latency measurement.
    latency: Duration,
}

impl<R: runtime::Runtime, P: platform::Platform> Watcher<R, P> {
    pub(crate) const fn new(rt: R, platform: P, store: Store<R>) -> Self {
        Self {
            rt,
            platform,
            store,
        }
    }

    pub(crate) async fn run(self) {
        loop {
            match self.store.is_among_first(WATCHERS_PER_DOMAIN) {
                true => self.run_as_watcher().await,
                false => self.rt.sleep(ROLE_CHECK_PERIOD).await,
            }
        }
    }

    async fn run_as_watcher(&self) {
        let mut state = None;
        let mut attempt = 0;
        while self.store.is_among_first(WATCHERS_PER_DOMAIN) {
            match self.step(state).await {
                Ok(next) => {
                    attempt = 0;
                    state = Some(next);
                }
                Err(e) => {
                    tracing::info!(attempt, "configuration watch failed: {e}");
                    if e == Error::Platform(platform::Error::Compacted) {
                        state = None;
                    }
                    let (base, cap) = BACKOFF;
                    let delay = runtime::backoff(&self.rt, attempt, base, cap);
                    self.rt.sleep(delay).await;
                    attempt += 1;
                }
            }
        }
    }

    async fn step(&self, state: Option<WatchState>) -> Result<WatchState, Error> {
        match state {
            Some(s) if self.rt.now().since(s.listed_at) < LIST_PERIOD => self.watch(s).await,
            _ => self.list().await,
        }
    }

    async fn list(&self) -> Result<WatchState, Error> {
        let start = self.rt.now();
        let mut since = Revision(u64::MAX);
        for kind in record::Kind::ALL {
            let call = self.platform.list(kind.as_str());
            let listing = runtime::timeout(&self.rt, LIST_TIMEOUT, call).await??;
            since = since.min(listing.revision);
            self.publish_listing(kind, &listing);
        }
        self.store.set_configured();
        Ok(WatchState {
            since,
            listed_at: self.rt.now(),
            latency: self.rt.now().since(start),
        })
    }

    async fn watch(&self, state: WatchState) -> Result<WatchState, Error> {
        let kinds = record::Kind::ALL.map(record::Kind::as_str);
        let limit = WATCH_TIMEOUT + state.latency * 2;
        let call = self.platform.watch(&kinds, state.since);
        match runtime::timeout(&self.rt, limit, call).await {
            Ok(changes) => {
                let changes = changes?;
                self.publish_changes(&changes);
                let since = state.since.max(changes.revision);
                Ok(WatchState { since, ..state })
            }
            Err(runtime::Elapsed) => self.measure_latency(state).await,
        }
    }

    /// Measures the platform's latency, which is added to the timeout of the next watch.
    async fn measure_latency(&self, state: WatchState) -> Result<WatchState, Error> {
        let start = self.rt.now();
        let (kind, name) = LATENCY_PROBE;
        let key = object::Key::new(kind, name);
        runtime::timeout(&self.rt, LIST_TIMEOUT, self.platform.get(&key)).await??;
        let latency = self.rt.now().since(start);
        Ok(WatchState { latency, ..state })
    }

    fn publish_changes(&self, changes: &object::Changes) {
        let entries = changes.changes.iter().map(|change| match &change.object {
            Some(object) => object_entry(object),
            None => self.tombstone(&change.key.to_string(), change.revision),
        });
        self.store.merge(entries, Source::Update);
    }

    /// Publishes the objects of a listing, and a tombstone for each entry that is older than the
    /// listing and missing from it.
    fn publish_listing(&self, kind: record::Kind, listing: &object::Listing) {
        let entries: Vec<Entry> = listing.objects.iter().map(object_entry).collect();
        let listed: BTreeSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
        let prefix = format!("{kind}/");
        let deleted = self.store.read(|map| {
            let missing = map.scan(Space::Config, &prefix).filter(|entry| {
                entry.value.is_some()
                    && entry.stamp < listing.revision.0
                    && !listed.contains(&*entry.name)
            });
            let tombstones = missing.map(|entry| self.tombstone(&entry.name, listing.revision));
            tombstones.collect::<Vec<_>>()
        });
        self.store
            .merge(entries.into_iter().chain(deleted), Source::Update);
    }

    fn tombstone(&self, name: &str, revision: Revision) -> Entry {
        Entry {
            space: Space::Config,
            name: Arc::from(name),
            stamp: revision.0,
            value: None,
            expires: Some(membership::expiry(self.rt.wall(), TOMBSTONE_RETENTION)),
        }
    }
}

fn object_entry(object: &object::Object) -> Entry {
    Entry {
        space: Space::Config,
        name: Arc::from(object.key.to_string()),
        stamp: object.revision.0,
        value: Some(Arc::from(object.value.to_string())),
        expires: None,
    }
}
