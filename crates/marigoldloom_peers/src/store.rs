//! State of the peer protocol in one instance: its replica of the shared map, the members, the
//! entries that wait to be sent, and the subscribers.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_records::{instance, record};
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time;
use marigoldloom_telemetry::event;
use serde_json::json;

use crate::exchange::{Entry, Space};
use crate::membership::{self, Identity, Member, State};
use crate::shared_map::{Outcome, SharedMap};

/// Space and name of an entry.
pub(crate) type Key = (Space, Arc<str>);

/// A space is repaired only after it was unchanged for this time, because until then pushes that
/// are still in flight explain a difference between two maps.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// A space that keeps changing is repaired nevertheless after this time.
const MAX_REPAIR_DELAY: Duration = Duration::from_secs(1);

/// Origin of an entry that is merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// Written by this instance, or received by a push, a probe or a repair; it is pushed on once.
    Update,
    /// Received by a full pull of a space; it isn't pushed on, because other instances have it.
    InitialPull,
}

/// A subscription to the entries that the map accepts.
#[derive(Debug)]
pub struct Subscription {
    subscriber: Arc<Subscriber>,
    inner: Arc<Mutex<Inner>>,
    wakeups: async_channel::Receiver<()>,
}

/// The store's side of a [`Subscription`].
#[derive(Debug)]
struct Subscriber {
    /// Keys of the entries that were accepted since the last read.
    changed_keys: Mutex<BTreeSet<Key>>,
    wake_tx: async_channel::Sender<()>,
}

impl Subscription {
    /// Waits until entries were accepted since the last call and returns the newest state of each.
    pub async fn next(&self) -> Vec<Entry> {
        loop {
            let entries = self.take();
            match entries.is_empty() {
                false => return entries,
                true => self.wakeups.recv().await.unwrap_or_default(),
            }
        }
    }

    fn take(&self) -> Vec<Entry> {
        let changed = mem::take(&mut *lock(&self.subscriber.changed_keys));
        let inner = lock(&self.inner);
        let entries = changed
            .iter()
            .filter_map(|(s, name)| inner.map.get(*s, name));
        entries.cloned().collect()
    }
}

#[derive(Debug)]
struct Inner {
    map: SharedMap,
    table: membership::Table,
    own: Member,
    /// Entries that have to be pushed to random instances.
    outbox: BTreeSet<Key>,
    /// Entries of targeted spaces that have to be sent, by recipient.
    targeted_outbox: BTreeMap<Arc<str>, BTreeSet<Key>>,
    /// Recipients by targeted space and name prefix.
    recipients: BTreeMap<Key, Vec<Arc<str>>>,
    /// Entries of targeted spaces that this instance has written.
    published: BTreeSet<Key>,
    /// When an entry of the space was last accepted.
    changed_at: [time::Timestamp; Space::ALL.len()],
    /// When a repair of the space last started.
    repaired_at: [time::Timestamp; Space::ALL.len()],
    /// Whether a configuration was received from the platform or a peer.
    configured: bool,
    subscribers: Vec<Arc<Subscriber>>,
}

/// Handle to the state, which the tasks of an instance share.
#[derive(Clone, Debug)]
pub(crate) struct Store<R> {
    rt: R,
    events: event::Events,
    inner: Arc<Mutex<Inner>>,
    /// Wakes the task that pushes the outbox.
    wake_tx: async_channel::Sender<()>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<R: runtime::Runtime> Store<R> {
    /// Creates a store that holds only this instance's own member entry. The returned receiver
    /// gets a message when entries wait in the outbox.
    ///
    /// The first incarnation is the wall-clock time, so that it exceeds those of an earlier
    /// process of the same name.
    pub(crate) fn new(
        rt: R,
        identity: Identity,
        events: event::Events,
    ) -> (Self, async_channel::Receiver<()>) {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let own = Member {
            identity,
            incarnation: rt.wall().0,
            state: State::Alive,
        };
        let inner = Inner {
            map: SharedMap::new(),
            table: membership::Table::default(),
            own: own.clone(),
            outbox: BTreeSet::new(),
            targeted_outbox: BTreeMap::new(),
            recipients: BTreeMap::new(),
            published: BTreeSet::new(),
            changed_at: [time::Timestamp::ZERO; Space::ALL.len()],
            repaired_at: [time::Timestamp::ZERO; Space::ALL.len()],
            configured: false,
            subscribers: Vec::new(),
        };
        let store = Self {
            rt,
            events,
            inner: Arc::new(Mutex::new(inner)),
            wake_tx,
        };
        let entry = own.entry(store.rt.wall());
        store.merge([entry], Source::Update);
        (store, wake_rx)
    }

    /// Merges entries into the map. Accepted entries are reported to subscribers and, depending
    /// on `source`, queued for a push.
    pub(crate) fn merge(&self, entries: impl IntoIterator<Item = Entry>, source: Source) {
        let mut inner = self.lock();
        for entry in entries {
            self.merge_entry(&mut inner, entry, source);
        }
        let is_waiting = !inner.outbox.is_empty();
        drop(inner);
        if is_waiting {
            self.wake_tx.try_send(()).ok();
        }
    }

    fn merge_entry(&self, inner: &mut Inner, entry: Entry, source: Source) {
        let (space, name) = (entry.space, Arc::clone(&entry.name));
        match inner.map.merge(entry.clone(), self.rt.wall()) {
            Outcome::Accepted => {}
            Outcome::NotNewer | Outcome::Expired => return,
            Outcome::LimitExceeded => {
                tracing::warn!(%space, %name, "a limit of the shared map is reached; entry dropped");
                return;
            }
        }
        inner.changed_at[space as usize] = self.rt.now();
        match (space, source) {
            (space, _) if space.is_targeted() => {}
            (_, Source::InitialPull) => {}
            _ => {
                inner.outbox.insert((space, Arc::clone(&name)));
            }
        }
        for subscriber in &inner.subscribers {
            lock(&subscriber.changed_keys).insert((space, Arc::clone(&name)));
            subscriber.wake_tx.try_send(()).ok();
        }
        if space == Space::Member {
            self.apply_member(inner, &entry);
        }
    }

    fn apply_member(&self, inner: &mut Inner, entry: &Entry) {
        match Member::from_entry(entry) {
            Some(member) if member.identity.name != inner.own.identity.name => {
                self.record_state_change(inner.table.get(&entry.name), &member);
                inner.table.insert(member);
            }
            Some(member) if member != inner.own => self.raise_incarnation(inner, entry.stamp),
            Some(_) => {}
            None => tracing::warn!(name = %entry.name, "member entry is malformed"),
        }
    }

    fn record_state_change(&self, held: Option<&Member>, member: &Member) {
        let before = held.map_or(State::Alive, |held| held.state);
        if before == member.state {
            return;
        }
        let evidence = json!({
            "before": before.to_string(),
            "after": member.state.to_string(),
            "incarnation": member.incarnation,
        });
        let cause = format!("the member is {}", member.state);
        let name = &member.identity.name;
        let kind = event::Kind::MemberChanged;
        self.events
            .record(self.rt.wall(), kind, name, &cause, evidence);
    }

    fn raise_incarnation(&self, inner: &mut Inner, stamp: u64) {
        if stamp < inner.own.stamp() {
            return;
        }
        inner.own.incarnation = membership::refuting_incarnation(stamp);
        let entry = inner.own.entry(self.rt.wall());
        self.merge_entry(inner, entry, Source::Update);
    }

    /// Raises the own incarnation if another instance holds a newer entry of this one, with the
    /// given stamp.
    pub(crate) fn refute(&self, stamp: u64) {
        let mut inner = self.lock();
        if stamp > inner.own.stamp() {
            self.raise_incarnation(&mut inner, stamp);
        }
        drop(inner);
        self.wake_tx.try_send(()).ok();
    }

    /// Announces that this instance is leaving.
    pub(crate) fn leave(&self) {
        let mut inner = self.lock();
        inner.own.state = State::Leaving;
        let entry = inner.own.entry(self.rt.wall());
        self.merge_entry(&mut inner, entry, Source::Update);
    }

    /// Sets another member's state to suspect or down, unless its incarnation has changed since
    /// `member` was read or its state is already that or a later one.
    pub(crate) fn declare(&self, member: &Member, state: State) {
        let mut inner = self.lock();
        let held = inner.table.get(&member.identity.name).cloned();
        match held {
            Some(held) if held.incarnation == member.incarnation && held.state < state => {
                let entry = Member { state, ..held }.entry(self.rt.wall());
                self.merge_entry(&mut inner, entry, Source::Update);
            }
            _ => {}
        }
        drop(inner);
        self.wake_tx.try_send(()).ok();
    }

    /// Removes expired entries.
    pub(crate) fn expire(&self) {
        let mut inner = self.lock();
        for entry in inner.map.expire(self.rt.wall()) {
            match entry.space {
                Space::Member => inner.table.remove(&entry.name),
                space => drop(inner.published.remove(&(space, entry.name))),
            }
        }
    }

    pub(crate) fn subscribe(&self) -> Subscription {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let subscriber = Arc::new(Subscriber {
            changed_keys: Mutex::default(),
            wake_tx,
        });
        let mut inner = self.lock();
        let keys = Space::ALL.into_iter().flat_map(|s| inner.map.scan(s, ""));
        *lock(&subscriber.changed_keys) = keys.map(|e| (e.space, Arc::clone(&e.name))).collect();
        inner
            .subscribers
            .retain(|subscriber| !subscriber.wake_tx.is_closed());
        inner.subscribers.push(Arc::clone(&subscriber));
        Subscription {
            subscriber,
            inner: Arc::clone(&self.inner),
            wakeups: wake_rx,
        }
    }

    /// Calls `read` with the map while holding the lock.
    pub(crate) fn read<O>(&self, read: impl FnOnce(&SharedMap) -> O) -> O {
        read(&self.lock().map)
    }

    /// Empties the outbox and returns its entries.
    pub(crate) fn take_outbox(&self) -> Vec<Entry> {
        let mut inner = self.lock();
        let keys = mem::take(&mut inner.outbox);
        let entries = keys.iter().filter_map(|(s, name)| inner.map.get(*s, name));
        entries.cloned().collect()
    }

    /// Sets the recipients of this instance's entries in a targeted space whose names start with
    /// `prefix`. Entries that this instance has already written are queued again for all
    /// recipients, because one of them may have restarted.
    pub(crate) fn set_recipients(&self, space: Space, prefix: &str, names: Vec<Arc<str>>) {
        let mut inner = self.lock();
        let key = (space, Arc::from(prefix));
        let is_matching = |key: &&Key| key.0 == space && key.1.starts_with(prefix);
        let entries: Vec<Key> = inner
            .published
            .iter()
            .filter(is_matching)
            .cloned()
            .collect();
        match names.is_empty() {
            true => inner.recipients.remove(&key),
            false => inner.recipients.insert(key, names),
        };
        for key in entries {
            inner.enqueue_targeted(&key);
        }
    }

    /// Merges an own entry of a targeted space and queues it for its recipients.
    pub(crate) fn publish_targeted(&self, entry: Entry) {
        let key = (entry.space, Arc::clone(&entry.name));
        self.merge([entry], Source::Update);
        let mut inner = self.lock();
        inner.published.insert(key.clone());
        inner.enqueue_targeted(&key);
    }

    /// Empties the targeted outbox and returns its entries by recipient. Entries for recipients
    /// that are unknown or down are dropped.
    pub(crate) fn take_targeted(&self) -> Vec<(Member, Vec<Entry>)> {
        let mut inner = self.lock();
        let waiting = mem::take(&mut inner.targeted_outbox);
        let batch = |(recipient, keys): (Arc<str>, BTreeSet<Key>)| {
            let member = inner
                .table
                .get(&recipient)
                .filter(|m| m.state != State::Down)?;
            let entries = keys
                .iter()
                .filter_map(|(space, name)| inner.map.get(*space, name));
            Some((member.clone(), entries.cloned().collect()))
        };
        waiting.into_iter().filter_map(batch).collect()
    }

    /// Queues targeted entries again whose push failed.
    pub(crate) fn requeue_targeted(&self, recipient: &Arc<str>, entries: &[Entry]) {
        let mut inner = self.lock();
        let waiting = inner
            .targeted_outbox
            .entry(Arc::clone(recipient))
            .or_default();
        waiting.extend(entries.iter().map(|e| (e.space, Arc::clone(&e.name))));
    }

    pub(crate) fn hashes(&self) -> Vec<u64> {
        let inner = self.lock();
        Space::GLOBAL
            .into_iter()
            .map(|s| inner.map.hash(s))
            .collect()
    }

    /// The spaces whose hashes differ from another map's and which are due for a repair. Records
    /// that their repair has started.
    pub(crate) fn due_repairs(&self, hashes: &[u64]) -> Vec<Space> {
        let now = self.rt.now();
        let mut inner = self.lock();
        let differing: Vec<Space> = Space::GLOBAL
            .into_iter()
            .zip(hashes)
            .filter(|(space, hash)| inner.map.hash(*space) != **hash)
            .map(|(space, _)| space)
            .filter(|space| inner.is_repair_due(*space, now))
            .collect();
        for space in &differing {
            inner.repaired_at[*space as usize] = now;
        }
        differing
    }

    /// Records that a configuration was received.
    pub(crate) fn set_configured(&self) {
        self.lock().configured = true;
    }

    pub(crate) fn is_configured(&self) -> bool {
        self.lock().configured
    }

    pub(crate) fn own(&self) -> Member {
        self.lock().own.clone()
    }

    pub(crate) fn member(&self, name: &str) -> Option<Member> {
        self.lock().table.get(name).cloned()
    }

    pub(crate) fn member_entry(&self, name: &str) -> Option<Entry> {
        self.read(|map| map.get(Space::Member, name).cloned())
    }

    /// All members including this instance.
    pub(crate) fn members(&self) -> Vec<Member> {
        let inner = self.lock();
        let mut members: Vec<Member> = inner.table.iter().cloned().collect();
        members.push(inner.own.clone());
        members.sort_by(|a, b| a.identity.name.cmp(&b.identity.name));
        members
    }

    pub(crate) fn probe_targets(&self) -> Vec<Member> {
        let inner = self.lock();
        inner.table.probe_targets(&inner.own.identity)
    }

    /// Up to `count` random members that aren't down, other than this instance and `except`.
    pub(crate) fn sample(&self, count: usize, except: &str) -> Vec<Identity> {
        let inner = self.lock();
        let mut pool: Vec<&Member> = inner
            .table
            .iter()
            .filter(|m| m.state != State::Down && &*m.identity.name != except)
            .collect();
        let count = count.min(pool.len());
        for index in 0..count {
            let remaining = u64::try_from(pool.len() - index).unwrap_or(u64::MAX);
            let offset = runtime::random_below(&self.rt, remaining);
            pool.swap(index, index + usize::try_from(offset).unwrap_or(0));
        }
        pool.truncate(count);
        pool.into_iter().map(|m| m.identity.clone()).collect()
    }

    /// Whether this instance is among the first `count` alive members of its failure
    /// domain in rendezvous order.
    pub(crate) fn is_among_first(&self, count: usize) -> bool {
        let inner = self.lock();
        let own = &inner.own;
        let weight = |name: &str| {
            (
                membership::weight(&own.identity.domain, name),
                name.to_owned(),
            )
        };
        let mine = weight(&own.identity.name);
        let ahead = inner
            .table
            .iter()
            .filter(|m| m.state == State::Alive && m.identity.domain == own.identity.domain)
            .filter(|m| weight(&m.identity.name) > mine);
        own.state == State::Alive && ahead.count() < count
    }

    /// Addresses of instances that aren't known to be in service: members that are down,
    /// instances that are in the configuration but not members, and `seeds` that no member uses.
    pub(crate) fn contact_addresses(&self, seeds: &[net::SocketAddr]) -> Vec<net::SocketAddr> {
        let inner = self.lock();
        let is_up = |m: &&Member| m.state != State::Down;
        let known: BTreeSet<net::SocketAddr> = inner
            .table
            .iter()
            .filter(is_up)
            .chain([&inner.own])
            .map(|m| m.identity.address)
            .collect();
        let down = inner.table.iter().filter(|m| m.state == State::Down);
        let configured = inner.map.scan(Space::Config, "instance/");
        let all: BTreeSet<net::SocketAddr> = down
            .map(|m| m.identity.address)
            .chain(configured.filter_map(configured_address))
            .chain(seeds.iter().copied())
            .collect();
        all.difference(&known).copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Queues an own entry of a targeted space for the recipients of its longest matching prefix.
    fn enqueue_targeted(&mut self, key: &Key) {
        let matching = |((space, prefix), _): &(&Key, &Vec<Arc<str>>)| {
            *space == key.0 && key.1.starts_with(&**prefix)
        };
        let recipients = self.recipients.iter().rev().find(matching);
        let own = &self.own.identity.name;
        for recipient in recipients.into_iter().flat_map(|(_, names)| names) {
            if recipient != own {
                let waiting = self
                    .targeted_outbox
                    .entry(Arc::clone(recipient))
                    .or_default();
                waiting.insert(key.clone());
            }
        }
    }

    fn is_repair_due(&self, space: Space, now: time::Timestamp) -> bool {
        let since = |times: &[time::Timestamp]| now.since(times[space as usize]);
        match since(&self.repaired_at) {
            elapsed if elapsed > MAX_REPAIR_DELAY => true,
            elapsed => elapsed >= QUIET_PERIOD && since(&self.changed_at) >= QUIET_PERIOD,
        }
    }
}

fn configured_address(entry: &Entry) -> Option<net::SocketAddr> {
    let value = serde_json::from_str(entry.value.as_deref()?).ok()?;
    let record: instance::Instance = record::decode(&value).ok()?;
    Some(record.peer)
}
