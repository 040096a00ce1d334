//! Serves the platform's records from one instance to others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::relay;
use crate::source::{Changes, Kind, Listing, Record, Revision};

/// Number of removed records that are remembered for each kind, so that an instance that knows an
/// older revision learns of their removal.
const TOMBSTONE_LIMIT: usize = 4_096;

/// Number of earlier eras of the platform from which instances get only what has changed.
const ERA_LIMIT: usize = 4;

/// Revision up to which an instance knows each kind; kinds that it doesn't know are absent.
pub type Revisions = BTreeMap<Kind, Revision>;

/// New records of one kind.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Batch {
    /// All records of the kind, for an instance whose revision is unknown or too old.
    #[serde(rename = "all")]
    Listing(Listing),
    /// Changes after the revision that the instance knows.
    #[serde(rename = "some")]
    Changes(Changes),
}

impl Batch {
    fn is_empty(&self) -> bool {
        match self {
            Self::Listing(_) => false,
            Self::Changes(changes) => changes.changes.is_empty(),
        }
    }

    /// Returns the revision up to which the kind is known once the batch is applied.
    pub const fn revision(&self) -> Revision {
        match self {
            Self::Listing(listing) => listing.revision,
            Self::Changes(changes) => changes.revision,
        }
    }
}

/// Answer to a poll: all that changed after the revisions that the polling instance knows.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Update {
    /// New records by kind; kinds without changes are absent.
    pub batches: BTreeMap<Kind, Batch>,
    /// Time since the platform's last outage ended, in milliseconds; `None` if there was none.
    #[serde(rename = "regained_ms")]
    pub recovered_ms: Option<u64>,
}

/// The records that an instance serves to others.
#[derive(Debug, Default)]
pub struct Feed {
    state: Mutex<State>,
    notifier: event_listener::Event,
}

#[derive(Debug, Default)]
struct State {
    kinds: BTreeMap<Kind, KindRecords>,
    /// When the platform was last known to answer, directly or through other instances; `None`
    /// while this instance is disconnected from it.
    answered_at: Option<Timestamp>,
    recovered_at: Option<Timestamp>,
    /// Kinds whose changes this instance doesn't learn of although it is connected.
    failing: BTreeSet<Kind>,
}

/// The records of one kind.
#[derive(Debug)]
struct KindRecords {
    /// Each record with the revision of its last change; `None` marks a removed record.
    records: BTreeMap<Arc<str>, (Revision, Option<Record>)>,
    /// Oldest revision after which all changes are known.
    oldest: Revision,
    /// Revision up to which all changes are known.
    newest: Revision,
    /// Last known revisions of earlier eras. What followed them in their eras isn't known here.
    ends: Vec<Revision>,
    /// Whether there may be records that were never listed.
    partial: bool,
}

impl Feed {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this instance was connected to the platform at `now`, directly or through other
    /// instances. Polls are answered for [`relay::STALE_AFTER`] from then on.
    pub fn set_connected(&self, now: Timestamp) {
        let was = self.state().answered_at.replace(now);
        if was.is_none() {
            self.notifier.notify(usize::MAX);
        }
    }

    /// Like [`Feed::set_connected`], but has no effect while this instance is disconnected.
    pub fn confirm(&self, now: Timestamp) {
        if let Some(at) = &mut self.state().answered_at {
            *at = now;
        }
    }

    /// Records that this instance isn't connected to the platform. Polls aren't answered.
    pub fn set_disconnected(&self) {
        let was = self.state().answered_at.take();
        if was.is_some() {
            self.notifier.notify(usize::MAX);
        }
    }

    /// Returns whether this instance is connected to the platform, directly or through other
    /// instances, and the last sign of it isn't outdated: the process may have been paused.
    pub fn is_live(&self, now: Timestamp) -> bool {
        self.state().is_live(now)
    }

    /// Sets whether calls for a kind fail although the platform answers other calls.
    pub fn set_failing(&self, kind: Kind, failing: bool) {
        let mut state = self.state();
        match failing {
            true => state.failing.insert(kind),
            false => state.failing.remove(&kind),
        };
    }

    /// Returns whether this instance is connected to the platform and learns of changes of `kind`.
    pub fn follows(&self, now: Timestamp, kind: Kind) -> bool {
        let state = self.state();
        state.is_live(now) && state.kinds.contains_key(&kind) && !state.failing.contains(&kind)
    }

    /// Completes once records of a later era of the platform than `known` are known, at once if `known` is
    /// `None` and there are any. Returns the latest era.
    pub async fn until_later_era(&self, known: Option<u64>) -> u64 {
        loop {
            let changed = self.notifier.listen();
            let latest = {
                let state = self.state();
                let eras = state.kinds.values().map(|records| records.newest.era);
                eras.max()
            };
            if let Some(latest) = latest.filter(|latest| Some(*latest) > known) {
                return latest;
            }
            changed.await;
        }
    }

    /// Sets when the platform last answered again after an outage.
    pub fn set_recovered(&self, at: Timestamp) {
        self.state().recovered_at = Some(at);
    }

    /// Replaces all records of a kind and wakes waiting polls.
    pub fn replace(&self, kind: Kind, listing: &Listing) {
        let mut state = self.state();
        let records = state.kinds.entry(kind).or_insert_with(|| KindRecords {
            records: BTreeMap::new(),
            oldest: listing.revision,
            newest: listing.revision,
            ends: Vec::new(),
            partial: false,
        });
        records.replace(listing);
        drop(state);
        self.notifier.notify(usize::MAX);
    }

    /// Applies changes to a kind. Changes of a kind that was never listed are ignored.
    pub fn change(&self, kind: Kind, changes: &Changes) {
        let mut state = self.state();
        if let Some(records) = state.kinds.get_mut(&kind) {
            records.enter_era(changes.revision);
            for (name, record) in &changes.changes {
                records.set(name, changes.revision, record.clone());
            }
            records.advance(changes.revision);
        }
        drop(state);
        if !changes.changes.is_empty() {
            self.notifier.notify(usize::MAX);
        }
    }

    /// Returns whether applying `batch` would leave the records of `kind` as they are.
    pub fn matches(&self, kind: Kind, batch: &Batch) -> bool {
        let state = self.state();
        let records = state.kinds.get(&kind);
        records.is_some_and(|records| records.matches(batch))
    }

    /// Returns the changes after `known`, and waits up to `wait` if there are none yet. Returns
    /// `None` if this instance is not connected to the platform, directly or through others.
    pub async fn poll(
        &self,
        rt: &impl Runtime,
        known: &Revisions,
        wait: Duration,
    ) -> Option<Update> {
        let end = rt.now() + wait;
        loop {
            let listener = self.notifier.listen();
            let update = self.update_since(rt.now(), known)?;
            if !update.batches.is_empty() || rt.now() >= end {
                return Some(update);
            }
            // The next iteration checks both for changes and for the end of the wait.
            let _ = runtime::timeout_at(rt, end, listener).await;
        }
    }

    fn update_since(&self, now: Timestamp, known: &Revisions) -> Option<Update> {
        let state = self.state();
        if !state.is_live(now) {
            return None;
        }
        let batches = state.kinds.iter().filter_map(|(kind, records)| {
            let batch = records.batch_since(known.get(kind).copied())?;
            Some((*kind, batch))
        });
        let recovered_ms = state.recovered_at.map(|at| now.since(at).as_millis());
        Some(Update {
            batches: batches.collect(),
            recovered_ms: recovered_ms.and_then(|ms| u64::try_from(ms).ok()),
        })
    }
}

impl State {
    fn is_live(&self, now: Timestamp) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) <= relay::STALE_AFTER)
    }
}

impl KindRecords {
    fn set(&mut self, name: &Arc<str>, revision: Revision, record: Option<Record>) {
        let known = self.records.get(name).map(|(_, record)| record);
        if known != Some(&record) && !self.is_outdated(name, record.as_ref()) {
            self.records.insert(Arc::clone(name), (revision, record));
        }
    }

    /// Returns whether the record `name` is a configuration, and `record` is none or an older one: the
    /// platform may have come back from an older copy.
    fn is_outdated(&self, name: &str, record: Option<&Record>) -> bool {
        match (self.get(name), record) {
            (Some(Record::Configuration(held)), Some(Record::Configuration(new))) => {
                new.version < held.version
            }
            (Some(Record::Configuration(_)), None) => true,
            _ => false,
        }
    }

    /// Prepares for changes up to `revision`, which may be of a later era than all before.
    fn enter_era(&mut self, revision: Revision) {
        if revision.era > self.newest.era {
            self.ends.push(self.newest);
            let excess = self.ends.len().saturating_sub(ERA_LIMIT);
            self.ends.drain(..excess);
        }
    }

    /// Returns whether an instance that knows the records up to `known` needs only what has changed
    /// since.
    fn has_changes_since(&self, known: Revision) -> bool {
        let passed = |end: &Revision| end.era == known.era && known <= *end;
        let passed = known.era >= self.newest.era || self.ends.iter().any(passed);
        passed && known >= self.oldest
    }

    fn replace(&mut self, listing: &Listing) {
        self.enter_era(listing.revision);
        let listed: BTreeMap<_, _> = listing.records.iter().cloned().collect();
        self.partial = listing.partial;
        let unlisted = self.records.keys();
        let unlisted = unlisted.filter(|name| !listing.partial && !listed.contains_key(*name));
        let unlisted: Vec<_> = unlisted.cloned().collect();
        for name in unlisted {
            self.set(&name, listing.revision, None);
        }
        for (name, record) in listed {
            self.set(&name, listing.revision, Some(record));
        }
        self.advance(listing.revision);
    }

    fn advance(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
        let removed = self.records.iter().filter(|(_, (_, r))| r.is_none());
        let mut removed: Vec<_> = removed.map(|(n, (at, _))| (*at, Arc::clone(n))).collect();
        let excess = removed.len().saturating_sub(TOMBSTONE_LIMIT);
        removed.sort();
        for (revision, name) in removed.into_iter().take(excess) {
            self.oldest = self.oldest.max(revision);
            self.records.remove(&name);
        }
    }

    fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name).and_then(|(_, r)| r.as_ref())
    }

    fn matches(&self, batch: &Batch) -> bool {
        match batch {
            Batch::Listing(listing) => {
                let present = self.records.values().filter(|(_, r)| r.is_some());
                let same = |(n, r): &(Arc<str>, Record)| {
                    self.get(n) == Some(r) || self.is_outdated(n, Some(r))
                };
                let complete = listing.partial || listing.records.len() == present.count();
                complete && listing.records.iter().all(same)
            }
            Batch::Changes(changes) => {
                let mut changes = changes.changes.iter();
                changes.all(|(name, record)| {
                    self.get(name) == record.as_ref() || self.is_outdated(name, record.as_ref())
                })
            }
        }
    }

    /// Returns the changes after `known`, or `None` if there are none.
    fn batch_since(&self, known: Option<Revision>) -> Option<Batch> {
        match known {
            Some(known) if self.has_changes_since(known) => {
                let later = self.records.iter().filter(|(_, (at, _))| *at > known);
                let changes = later.map(|(name, (_, record))| (Arc::clone(name), record.clone()));
                let changes: Vec<_> = changes.collect();
                let revision = self.newest;
                let batch = Batch::Changes(Changes { changes, revision });
                // Whoever knows an earlier era must learn of the new one before its first change.
                (!batch.is_empty() || known.era < revision.era).then_some(batch)
            }
            _ => {
                let present = self.records.iter();
                let records = present
                    .filter_map(|(name, (_, record))| Some((Arc::clone(name), record.clone()?)));
                Some(Batch::Listing(Listing {
                    records: records.collect(),
                    revision: self.newest,
                    partial: self.partial,
                }))
            }
        }
    }
}
