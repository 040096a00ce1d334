//! Replication of the shared map: gossip of new entries, anti-entropy, and a full pull at start.
//!
//! Gossip reaches about 98% of the instances, because each pushes a new entry once to 4 random
//! others. Anti-entropy reaches the rest: probes carry hashes of the map, and an instance whose
//! hashes differ repairs the difference.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use marigoldloom_runtime::runtime;

use crate::exchange::{Entry, Exchange, Space};
use crate::generated::peer::{self, pull_request::Part};
use crate::shared_map;
use crate::store::{Source, Store, Subscription};
use crate::transport::{Error, Transport};
use crate::wire;

/// Number of random instances to which a new entry is pushed.
pub const FAN_OUT: usize = 4;

/// New entries are collected for this time and then pushed together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Interval between pushes of targeted entries. It bounds the traffic of
/// [`Space::Evidence`], whose entries change with each request; the entries of other targeted
/// spaces are sent with them.
const TARGETED_PUSH_PERIOD: Duration = Duration::from_secs(1);

/// Timeout of a push or a pull.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which expired entries are removed.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Greatest number of entries that a repair requests in one message.
const NAMES_PER_PULL: usize = 512;

/// First and greatest delay between attempts of the first pull.
const BOOTSTRAP_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(2));

/// Replicates the shared map with other instances.
#[derive(Clone, Debug)]
pub struct Dissemination<R, T> {
    rt: R,
    transport: T,
    store: Store<R>,
}

impl<R: runtime::Runtime, T: Transport> Exchange for Dissemination<R, T> {
    fn publish(&self, entry: Entry) {
        match entry.space {
            space if space.is_targeted() => self.store.publish_targeted(entry),
            _ => self.store.merge([entry], Source::Update),
        }
    }

    fn scan(&self, space: Space, prefix: &str) -> Vec<Entry> {
        self.store
            .read(|map| map.scan(space, prefix).cloned().collect())
    }
}

impl<R: runtime::Runtime, T: Transport> Dissemination<R, T> {
    pub(crate) const fn new(rt: R, transport: T, store: Store<R>) -> Self {
        Self {
            rt,
            transport,
            store,
        }
    }

    /// Subscribes to accepted entries. The first batch has all entries that the map holds.
    pub fn subscribe(&self) -> Subscription {
        self.store.subscribe()
    }

    /// Sets the recipients of this instance's entries in a targeted space whose names start with
    /// `prefix`. An entry goes to the recipients of its longest matching prefix. An empty
    /// `names` removes the prefix.
    pub fn set_recipients(&self, space: Space, prefix: &str, names: Vec<Arc<str>>) {
        self.store.set_recipients(space, prefix, names);
    }

    /// Copies all entries of `space` that the member `from` holds.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if `from` is not a known member; otherwise the error of the
    /// pull that failed.
    pub async fn fetch(&self, space: Space, from: &str) -> Result<(), Error> {
        let member = self.store.member(from).ok_or(Error::Unreachable)?;
        self.pull_space(member.identity.address, space).await?;
        Ok(())
    }

    pub(crate) fn start(&self, wake_rx: async_channel::Receiver<()>) {
        self.rt.spawn(self.clone().push_updates(wake_rx));
        self.rt.spawn(self.clone().push_targeted());
        self.rt.spawn(self.clone().expire());
    }

    async fn push_updates(self, wake_rx: async_channel::Receiver<()>) {
        while let Ok(()) = wake_rx.recv().await {
            self.rt.sleep(BATCH_DELAY).await;
            for request in self.outbox_pushes() {
                self.rt.spawn(request);
            }
        }
    }

    /// Pushes all waiting entries and returns when each push has ended or failed.
    pub(crate) async fn flush(&self) {
        future::join_all(self.outbox_pushes()).await;
    }

    /// Empties the outbox and returns the pushes that send its entries.
    fn outbox_pushes(&self) -> Vec<impl Future<Output = ()> + Send + use<R, T>> {
        let entries = self.store.take_outbox();
        let receivers = match entries.is_empty() {
            true => Vec::new(),
            false => self.store.sample(FAN_OUT, ""),
        };
        let chunks = wire::chunks(&entries);
        let send = |to: net::SocketAddr| {
            let (this, chunks) = (self.clone(), chunks.clone());
            async move {
                this.push(to, chunks).await.ok();
            }
        };
        receivers.iter().map(|r| send(r.address)).collect()
    }

    async fn push(&self, to: net::SocketAddr, chunks: Vec<Vec<peer::Entry>>) -> Result<(), Error> {
        for entries in chunks {
            let call = self.transport.push(to, peer::PushRequest { entries });
            runtime::timeout(&self.rt, CALL_TIMEOUT, call)
                .await
                .unwrap_or(Err(Error::Lost))?;
        }
        Ok(())
    }

    async fn push_targeted(self) {
        loop {
            self.rt.sleep(TARGETED_PUSH_PERIOD).await;
            for (member, entries) in self.store.take_targeted() {
                let this = self.clone();
                self.rt.spawn(async move {
                    let chunks = wire::chunks(&entries);
                    if this.push(member.identity.address, chunks).await.is_err() {
                        this.store.requeue_targeted(&member.identity.name, &entries);
                    }
                });
            }
        }
    }

    async fn expire(self) {
        loop {
            self.rt.sleep(EXPIRY_PERIOD).await;
            self.store.expire();
        }
    }

    /// Compares the hashes from a probe's reply with the local ones and starts the repair of spaces
    /// that differ. If all are equal and the other instance has a configuration, so does this one.
    pub(crate) fn reconcile(&self, with: net::SocketAddr, hashes: &[u64], configured: bool) {
        if configured && self.store.hashes() == hashes {
            self.store.set_configured();
        }
        for space in self.store.due_repairs(hashes) {
            let this = self.clone();
            self.rt.spawn(async move {
                if let Err(e) = this.repair(with, space).await {
                    tracing::debug!(%with, %space, "anti-entropy repair failed: {e}");
                }
            });
        }
    }

    async fn repair(&self, with: net::SocketAddr, space: Space) -> Result<(), Error> {
        let hashes = self.store.read(|map| map.bucket_hashes(space));
        let part = Part::Buckets(peer::Buckets { hashes });
        let reply = self.pull(with, space, part).await?;
        let buckets = bucket_numbers(&reply.buckets);
        let remote: Vec<_> = reply.summaries.iter().map(wire::decode_summary).collect();
        let difference = self.store.read(|map| map.compare(space, &buckets, &remote));
        self.push(with, wire::chunks(&difference.local_newer))
            .await?;
        for names in difference.remote_newer.chunks(NAMES_PER_PULL) {
            let part = Part::Names(peer::Names {
                hashes: names.to_vec(),
            });
            let reply = self.pull(with, space, part).await?;
            self.store
                .merge(wire::decode(reply.entries), Source::Update);
        }
        Ok(())
    }

    async fn pull(
        &self,
        from: net::SocketAddr,
        space: Space,
        part: Part,
    ) -> Result<peer::PullReply, Error> {
        let request = peer::PullRequest {
            space: space.number(),
            part: Some(part),
        };
        let call = self.transport.pull(from, request);
        runtime::timeout(&self.rt, CALL_TIMEOUT, call)
            .await
            .unwrap_or(Err(Error::Lost))
    }

    /// Copies the whole map from another instance; retries until one has answered.
    pub(crate) async fn bootstrap(&self, seeds: &[net::SocketAddr]) {
        let (base, cap) = BOOTSTRAP_BACKOFF;
        for attempt in 0.. {
            let mut contacts = self.store.contact_addresses(seeds);
            contacts.extend(self.store.sample(FAN_OUT, "").iter().map(|i| i.address));
            while !contacts.is_empty() {
                let index = runtime::random_below(&self.rt, contacts.len() as u64);
                let contact = contacts.swap_remove(usize::try_from(index).unwrap_or(0));
                if self.pull_all(contact).await.is_ok() {
                    return;
                }
            }
            let delay = runtime::backoff(&self.rt, attempt, base, cap);
            self.rt.sleep(delay).await;
        }
    }

    async fn pull_all(&self, from: net::SocketAddr) -> Result<(), Error> {
        let mut configured = true;
        for space in Space::ALL {
            configured &= self.pull_space(from, space).await?;
        }
        if configured {
            self.store.set_configured();
        }
        Ok(())
    }

    async fn pull_space(&self, from: net::SocketAddr, space: Space) -> Result<bool, Error> {
        let mut after = String::new();
        loop {
            let reply = self.pull(from, space, Part::After(after.clone())).await?;
            if let Some(last) = reply.entries.last() {
                after.clone_from(&last.name);
            }
            self.store
                .merge(wire::decode(reply.entries), Source::InitialPull);
            if !reply.more {
                return Ok(reply.configured);
            }
        }
    }

    /// Handles a push: merges the entries.
    pub(crate) fn on_push(&self, request: peer::PushRequest) -> peer::PushReply {
        self.store
            .merge(wire::decode(request.entries), Source::Update);
        peer::PushReply {}
    }

    /// Handles a pull: returns the requested part of the map.
    pub(crate) fn on_pull(&self, request: peer::PullRequest) -> peer::PullReply {
        let mut reply = peer::PullReply {
            configured: self.store.is_configured(),
            ..peer::PullReply::default()
        };
        let Some(space) = Space::from_number(request.space) else {
            return reply;
        };
        self.store.read(|map| match request.part {
            Some(Part::After(name)) => {
                (reply.entries, reply.more) = wire::first_chunk(map.entries_after(space, &name));
            }
            Some(Part::Names(names)) => {
                (reply.entries, reply.more) =
                    wire::first_chunk(map.entries_by_hash(space, &names.hashes));
            }
            Some(Part::Buckets(buckets)) => summarise(map, space, &buckets.hashes, &mut reply),
            None => {}
        });
        reply
    }
}

fn summarise(
    map: &shared_map::SharedMap,
    space: Space,
    hashes: &[u64],
    reply: &mut peer::PullReply,
) {
    let buckets = map.differing_buckets(space, hashes);
    let summaries = map.summaries(space, &buckets);
    reply.summaries = summaries.iter().map(wire::encode_summary).collect();
    let numbers = buckets.iter().filter_map(|n| u32::try_from(*n).ok());
    reply.buckets = numbers.collect();
}

fn bucket_numbers(numbers: &[u32]) -> Vec<usize> {
    let numbers = numbers.iter().filter_map(|n| usize::try_from(*n).ok());
    numbers.collect()
}
