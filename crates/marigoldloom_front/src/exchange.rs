//! Replication of control state between the instances, without the platform.
//!
//! Each instance holds a copy of the shared map. An entry that an instance publishes is pushed to all
//! others, along a tree if there are many of them. Entries that a push didn't reach are pulled: each
//! instance regularly compares the hashes of its map with those of another one. Merging keeps the
//! entry with the greater stamp, so lost, repeated and reordered messages do no harm.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future;
use http::{Response, StatusCode};
use http_body_util::Full;
use marigoldloom_catalog::fleet::Member;
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::shared_map::{Outcome, SharedMap};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::supervisor;
use serde::{Deserialize, Serialize};

use crate::peer_client::{self, PeerClient};
use crate::receive_limit::ReceivedBody;

/// Path of messages with entries.
pub(crate) const PATH: &str = "/marigoldloom/exchange";

/// Spaces of the shared map that are replicated.
const SPACES: [Space; 3] = [Space::Strike, Space::Evidence, Space::Verdict];

/// Time in which entries collect into one message.
const BATCH_TIME: Duration = Duration::from_millis(200);

/// Number of instances that one instance sends a message to. They pass it on to the others.
const FANOUT: usize = 16;

/// Number of instances that are tried for one branch of the tree. What the branch misses is pulled.
const TRIES: usize = 3;

/// Time between two pulls.
const PULL_PERIOD: Duration = Duration::from_secs(3);

/// Time limit for the response to a message.
const RESPONSE_LIMIT: Duration = Duration::from_millis(750);

/// Largest number of entries in one message; the latest are sent first.
const MAX_ENTRIES: usize = 2_048;

/// Largest message in bytes.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;

/// A message to another instance.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
struct Message {
    entries: Vec<Entry>,
    /// Instances that the recipient passes the entries on to.
    relay: Vec<SocketAddr>,
    /// Hash of each space of the sender's map, if it asks for the entries that it lacks.
    hashes: Vec<(Space, u64)>,
}

/// Name of an entry in its space.
type Key = (Space, Arc<str>);

struct Inner<R> {
    rt: R,
    client: PeerClient<R>,
    own: Arc<str>,
    map: Mutex<SharedMap>,
    /// The other instances.
    others: Mutex<Vec<SocketAddr>>,
    /// Entries that wait to be pushed.
    outbox: Mutex<BTreeSet<Key>>,
    /// Entries of other instances or from the platform that were merged and are not applied yet.
    accepted: (async_channel::Sender<Entry>, async_channel::Receiver<Entry>),
    published: event_listener::Event,
    members_changed: event_listener::Event,
    /// Notified when a pull got no response.
    unreachable: event_listener::Event,
}

/// This instance's copy of the shared map. Clones share it.
pub(crate) struct PeerExchange<R> {
    inner: Arc<Inner<R>>,
}

impl<R> Clone for PeerExchange<R> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<R: Runtime> PeerExchange<R> {
    /// Creates the empty map of the instance `own`.
    pub(crate) fn new(rt: R, own: Arc<str>) -> Self {
        let client = PeerClient::new(rt.clone(), MAX_MESSAGE);
        Self {
            inner: Arc::new(Inner {
                rt,
                client,
                own,
                map: Mutex::default(),
                others: Mutex::default(),
                outbox: Mutex::default(),
                accepted: async_channel::unbounded(),
                published: event_listener::Event::new(),
                members_changed: event_listener::Event::new(),
                unreachable: event_listener::Event::new(),
            }),
        }
    }

    /// Replaces the list of instances.
    pub(crate) fn set_members(&self, members: &[Member]) {
        let others = members
            .iter()
            .filter(|m| m.candidate.name != self.inner.own)
            .map(|m| m.address);
        let others: Vec<_> = others.collect();
        self.inner.client.retain(&others);
        *self.others() = others;
        self.inner.members_changed.notify(usize::MAX);
    }

    /// Pushes published entries and pulls missing ones. `apply` gets each entry that another instance
    /// wrote, or that was read from the platform, and that replaced an older one here. Runs until it is
    /// dropped.
    pub(crate) async fn run(self, apply: impl Fn(&Entry)) {
        let start = || self.run_once(&apply);
        supervisor::supervise(&self.inner.rt, "exchange", start).await;
    }

    async fn run_once(&self, apply: impl Fn(&Entry)) {
        let applied = async {
            while let Ok(entry) = self.inner.accepted.1.recv().await {
                apply(&entry);
            }
        };
        future::join3(self.push_all(), self.pull_all(), applied).await;
    }

    /// Merges an entry that was read from the platform. Unlike one that this instance publishes, it is
    /// applied here, and it is passed on in case the others can't read the platform.
    pub(crate) fn restore(&self, entry: Entry) {
        if self.merge_own(entry.clone()) {
            // The receiver lives as long as the map.
            let _ = self.inner.accepted.0.try_send(entry);
        }
    }

    /// Merges an entry into the map and pushes it to the others. Returns false if it isn't newer than
    /// the one in the map.
    fn merge_own(&self, entry: Entry) -> bool {
        let key = (entry.space, Arc::clone(&entry.name));
        let now = self.inner.rt.wall();
        let accepted = self.map().merge(entry, now) == Outcome::Accepted;
        if accepted {
            self.outbox().insert(key);
            self.inner.published.notify(usize::MAX);
        }
        accepted
    }

    /// Answers a message of another instance.
    pub(crate) async fn answer(&self, body: ReceivedBody) -> Response<Full<Bytes>> {
        let Some(message) = peer_client::read::<Message>(body, MAX_MESSAGE).await else {
            return peer_client::empty_response(StatusCode::BAD_REQUEST);
        };
        self.merge(&message.entries);
        let response = self.missing_entries(&message);
        if !message.relay.is_empty() {
            let own = self.clone();
            let (entries, relay) = (message.entries, message.relay);
            self.inner.rt.spawn(async move {
                own.push(&entries, &relay).await;
            });
        }
        peer_client::respond(&response)
    }

    fn map(&self) -> MutexGuard<'_, SharedMap> {
        self.inner
            .map
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn others(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        let others = self.inner.others.lock();
        others.unwrap_or_else(PoisonError::into_inner)
    }

    fn outbox(&self) -> MutexGuard<'_, BTreeSet<Key>> {
        let outbox = self.inner.outbox.lock();
        outbox.unwrap_or_else(PoisonError::into_inner)
    }

    fn merge(&self, entries: &[Entry]) {
        let now = self.inner.rt.wall();
        let replicated = entries.iter().filter(|e| SPACES.contains(&e.space));
        for entry in replicated {
            if self.map().merge(entry.clone(), now) == Outcome::Accepted {
                // The receiver lives as long as the map.
                let _ = self.inner.accepted.0.try_send(entry.clone());
            }
        }
    }

    /// Entries that the sender of `message` lacks: those of a space whose hash differs from its
    /// own, and others about the subjects of its entries.
    fn missing_entries(&self, message: &Message) -> Vec<Entry> {
        let map = self.map();
        let differing = message.hashes.iter();
        let differing = differing.filter(|(space, hash)| map.hash(*space) != *hash);
        let all = differing.flat_map(|(space, _)| map.scan(*space, ""));
        let subjects: BTreeSet<_> = message.entries.iter().map(subject).collect();
        let related = subjects
            .iter()
            .flat_map(|(space, prefix)| map.scan(*space, prefix));
        let related = related.filter(|held| !message.entries.contains(held));
        let mut missing: Vec<_> = all.chain(related).cloned().collect();
        missing.sort_by_key(|e| std::cmp::Reverse(e.stamp));
        missing.truncate(MAX_ENTRIES);
        missing
    }

    /// Pushes published entries to all other instances.
    async fn push_all(&self) {
        loop {
            let published = self.inner.published.listen();
            if self.outbox().is_empty() {
                published.await;
            }
            self.inner.rt.sleep(BATCH_TIME).await;
            let keys = std::mem::take(&mut *self.outbox());
            let entries: Vec<_> = {
                let map = self.map();
                let held = keys
                    .iter()
                    .filter_map(|(space, name)| map.get(*space, name));
                held.cloned().collect()
            };
            let others = self.others().clone();
            for batch in entries.chunks(MAX_ENTRIES) {
                let (own, batch, others) = (self.clone(), batch.to_vec(), others.clone());
                // An instance that doesn't respond must not delay the next entries.
                self.inner
                    .rt
                    .spawn(async move { own.push(&batch, &others).await });
            }
        }
    }

    async fn push(&self, entries: &[Entry], targets: &[SocketAddr]) {
        let size = targets.len().div_ceil(FANOUT).max(1);
        let branches = targets.chunks(size);
        future::join_all(branches.map(|branch| self.push_branch(entries, branch))).await;
    }

    /// Sends entries to one of `targets`, which passes them on to the others.
    async fn push_branch(&self, entries: &[Entry], targets: &[SocketAddr]) {
        for index in 0..targets.len().min(TRIES) {
            let message = Message {
                entries: entries.to_vec(),
                relay: targets[index + 1..].to_vec(),
                hashes: Vec::new(),
            };
            if self.send(targets[index], &message).await {
                return;
            }
        }
    }

    /// Pulls from a random instance at regular intervals, and as soon as the instances are known.
    async fn pull_all(&self) {
        loop {
            let members_changed = self.inner.members_changed.listen();
            let others = self.others().clone();
            if !others.is_empty() {
                let index = runtime::random_below(&self.inner.rt, others.len() as u64);
                let index = usize::try_from(index).unwrap_or(0);
                // A failure is reported through `until_unreachable`.
                let _ = self.pull(others[index]).await;
            }
            // Either the next pull is due or there is a new instance to pull from.
            let _ = runtime::timeout(&self.inner.rt, PULL_PERIOD, members_changed).await;
        }
    }

    /// Gets the entries that `peer` has and this instance lacks. Returns whether it answered.
    pub(crate) async fn pull(&self, peer: SocketAddr) -> bool {
        let now = self.inner.rt.wall();
        let hashes = {
            let mut map = self.map();
            map.expire(now);
            SPACES.map(|space| (space, map.hash(space))).to_vec()
        };
        let message = Message {
            hashes,
            ..Message::default()
        };
        let answered = self.send(peer, &message).await;
        if !answered {
            self.inner.unreachable.notify(usize::MAX);
        }
        answered
    }

    /// Completes once a pull gets no response: entries of other instances may be missing here.
    pub(crate) async fn until_unreachable(&self) {
        self.inner.unreachable.listen().await;
    }

    /// Sends a message and merges the entries of the response. Returns whether one arrived.
    async fn send(&self, peer: SocketAddr, message: &Message) -> bool {
        let response = self.inner.client.post(peer, PATH, message, RESPONSE_LIMIT);
        let entries = match response.await {
            Some((StatusCode::OK, body)) => serde_json::from_slice::<Vec<Entry>>(&body)
                .inspect_err(|error| tracing::warn!(%peer, %error, "entries can't be decoded"))
                .ok(),
            _ => None,
        };
        if let Some(entries) = &entries {
            self.merge(entries);
        }
        entries.is_some()
    }
}

impl<R: Runtime> Exchange for PeerExchange<R> {
    fn publish(&self, entry: Entry) {
        self.merge_own(entry);
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        self.map().scan(space, prefix).cloned().collect()
    }
}

/// Space and prefix of the names of all entries about the same subject: the part of the name that
/// precedes the writer.
fn subject(entry: &Entry) -> (Space, &str) {
    let end = entry.name.find('/').map_or(entry.name.len(), |at| at + 1);
    (entry.space, &entry.name[..end])
}
