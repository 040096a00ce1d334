//! Simulates a fleet of instances on virtual time, with a network that delays, loses and
//! partitions messages, and a platform with watches, outages and stale listings.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future;
use marigoldloom_peers::exchange::{Exchange, Space};
use marigoldloom_peers::generated::peer;
use marigoldloom_peers::membership::{Identity, State};
use marigoldloom_peers::metered::HEADER_BYTES;
use marigoldloom_peers::peers::{self, Peers};
use marigoldloom_peers::transport::{Error, Handler, Service, Transport};
use marigoldloom_platform::object::{self, Change, Changes, Key, Listing, Object, Revision};
use marigoldloom_platform::platform::{self, Condition, Platform};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_telemetry::event;
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;
use prost::Message;

pub(crate) type TestPeers = Peers<VirtualRuntime, Net, Echo>;

pub(crate) const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub(crate) const fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Answers each forwarded query with the query's body.
#[derive(Clone, Debug)]
pub(crate) struct Echo;

impl Handler for Echo {
    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        peer::ForwardReply {
            status: 200,
            body: request.body,
        }
    }
}

/// State of the simulated network.
#[derive(Default)]
struct NetState {
    instances: BTreeMap<SocketAddr, Instance>,
    loss_percent: u64,
    /// Share of messages that are delayed by up to 3 s.
    late_percent: u64,
    /// Partition group by name of an instance or a failure domain; 0 for all others.
    groups: BTreeMap<Arc<str>, u32>,
    /// Bytes sent and received by address.
    bytes: BTreeMap<SocketAddr, usize>,
    messages: usize,
    /// Addresses of lost hosts. Calls to them get no answer, whereas a host whose process has
    /// ended refuses connections.
    unresponsive: BTreeSet<SocketAddr>,
}

/// Simulated transport of one instance, or of the test itself if `own` is `None`.
#[derive(Clone)]
pub(crate) struct Net {
    rt: VirtualRuntime,
    own: Option<SocketAddr>,
    state: Arc<Mutex<NetState>>,
}

impl std::fmt::Debug for Net {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Net({:?})", self.own)
    }
}

impl Net {
    fn is_partitioned(&self, to: SocketAddr) -> bool {
        let state = self.state.lock().unwrap();
        let group_of = |identity: &Identity| {
            let groups = &state.groups;
            let group = groups.get(&identity.name).or(groups.get(&identity.domain));
            group.copied().unwrap_or(0)
        };
        let group = |at: &SocketAddr| state.instances.get(at).map(|i| group_of(&i.identity));
        self.own.and_then(|own| group(&own)) != group(&to)
    }

    fn count(&self, to: SocketAddr, len: usize) {
        let mut state = self.state.lock().unwrap();
        state.messages += 1;
        for end in self.own.into_iter().chain([to]) {
            *state.bytes.entry(end).or_default() += len + HEADER_BYTES;
        }
    }

    fn fault_rates(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.loss_percent, state.late_percent)
    }

    /// Delays a message by 0.2 to 10 ms, or up to 3 s if it is late. Returns whether it arrives.
    async fn transmit(&self, to: SocketAddr) -> bool {
        let (loss, late) = self.fault_rates();
        let longest = match runtime::random_below(&self.rt, 100) {
            percent if percent < late => 3_000_000,
            _ => 9_800,
        };
        let delay = 200 + runtime::random_below(&self.rt, longest);
        self.rt.sleep(Duration::from_micros(delay)).await;
        runtime::random_below(&self.rt, 100) >= loss && !self.is_partitioned(to)
    }

    /// Sends a request, which is delivered even if the caller drops the call or its process ends.
    async fn call<Q: Message + 'static, A, F>(
        &self,
        to: SocketAddr,
        request: Q,
        serve: impl FnOnce(TestPeers, Q) -> F + Send + 'static,
    ) -> Result<A, Error>
    where
        A: Message + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let (tx, rx) = async_channel::bounded(1);
        let this = self.clone();
        self.rt.spawn(async move {
            let result = this.deliver(to, request, serve).await;
            tx.send(result).await.ok();
        });
        match rx.recv().await {
            Ok(Some(result)) => result,
            _ => future::pending().await,
        }
    }

    /// Delivers a request and its reply; `None` if either is lost.
    async fn deliver<Q: Message + 'static, A, F>(
        &self,
        to: SocketAddr,
        request: Q,
        serve: impl FnOnce(TestPeers, Q) -> F + Send + 'static,
    ) -> Option<Result<A, Error>>
    where
        A: Message + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        self.count(to, request.encoded_len());
        if !self.transmit(to).await {
            return None;
        }
        let instance = self.state.lock().unwrap().instances.get(&to).cloned();
        let is_unresponsive = self.state.lock().unwrap().unresponsive.contains(&to);
        let Instance { rt, peers, .. } = match instance {
            Some(instance) => instance,
            None if is_unresponsive => return None,
            None => return Some(Err(Error::Unreachable)),
        };
        let (tx, rx) = async_channel::bounded(1);
        rt.spawn(async move {
            tx.send(serve(peers, request).await).await.ok();
        });
        let answer = rx.recv().await.ok()?;
        self.count(to, answer.encoded_len());
        self.transmit(to).await.then_some(Ok(answer))
    }
}

impl Transport for Net {
    async fn probe(
        &self,
        to: SocketAddr,
        request: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, Error> {
        let serve = |peers: TestPeers, q| async move { peers.probe(q).await };
        self.call(to, request, serve).await
    }

    fn probe_via(
        &self,
        to: SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> impl Future<Output = Result<peer::ProbeViaReply, Error>> + Send {
        let this = self.clone();
        async move {
            let serve = |peers: TestPeers, q| async move { peers.probe_via(q).await };
            this.call(to, request, serve).await
        }
    }

    async fn push(
        &self,
        to: SocketAddr,
        request: peer::PushRequest,
    ) -> Result<peer::PushReply, Error> {
        let serve = |peers: TestPeers, q| async move { peers.push(q).await };
        self.call(to, request, serve).await
    }

    async fn pull(
        &self,
        to: SocketAddr,
        request: peer::PullRequest,
    ) -> Result<peer::PullReply, Error> {
        let serve = |peers: TestPeers, q| async move { peers.pull(q).await };
        self.call(to, request, serve).await
    }

    async fn forward(
        &self,
        to: SocketAddr,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        let serve = |peers: TestPeers, q| async move { Service::forward(&peers, q).await };
        self.call(to, request, serve).await
    }

    async fn request_lease(
        &self,
        to: SocketAddr,
        request: peer::LeaseRequest,
    ) -> Result<peer::LeaseReply, Error> {
        let serve = |peers: TestPeers, q| async move { peers.request_lease(q).await };
        self.call(to, request, serve).await
    }

    async fn release_lease(
        &self,
        to: SocketAddr,
        request: peer::ReleaseRequest,
    ) -> Result<peer::ReleaseReply, Error> {
        let serve = |peers: TestPeers, q| async move { peers.release_lease(q).await };
        self.call(to, request, serve).await
    }
}

/// State of the simulated platform.
#[derive(Default)]
struct PlatformState {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    log: Vec<Change>,
    /// Revision up to which the log was discarded.
    compacted: u64,
    is_down: bool,
    /// Increased when watch connections are dropped. Watches of an earlier epoch never return.
    epoch: u64,
    /// Instances that called since the last `take_watchers`.
    watchers: BTreeSet<Arc<str>>,
    /// Failure domains that can't reach the platform.
    cut_domains: BTreeSet<Arc<str>>,
    /// Listings, by kind, that `list` returns instead of the current ones.
    stale_listings: Option<BTreeMap<String, Listing>>,
    calls: u64,
}

/// Client of the simulated platform for one instance.
#[derive(Clone)]
pub(crate) struct FakePlatform {
    rt: VirtualRuntime,
    name: Arc<str>,
    domain: Arc<str>,
    state: Arc<Mutex<PlatformState>>,
}

impl FakePlatform {
    pub(crate) fn write(&self, name: &str, value: Option<&str>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = Revision(state.revision);
        let key = Key::new("service", name);
        let object = value.map(|value| Object {
            key: key.clone(),
            version: object::Version(1),
            revision,
            value: serde_json::json!({ "value": value }),
        });
        match &object {
            Some(object) => drop(state.objects.insert(key.clone(), object.clone())),
            None => drop(state.objects.remove(&key)),
        }
        state.log.push(Change {
            key,
            revision,
            object,
        });
        revision.0
    }

    /// Starts or ends an outage, in which all calls fail.
    pub(crate) fn set_down(&self, down: bool) {
        self.state.lock().unwrap().is_down = down;
    }

    /// Silently drops the connections of all running watches.
    pub(crate) fn drop_watch_connections(&self) {
        self.state.lock().unwrap().epoch += 1;
    }

    /// Instances that called the platform since the last `take_watchers`.
    pub(crate) fn watchers(&self) -> BTreeSet<Arc<str>> {
        self.state.lock().unwrap().watchers.clone()
    }

    pub(crate) fn take_watchers(&self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.state.lock().unwrap().watchers)
    }

    /// Cuts the given failure domains off from the platform, and connects all others.
    pub(crate) fn disconnect_domains(&self, domains: &[&str]) {
        let domains = domains.iter().map(|d| Arc::from(*d));
        self.state.lock().unwrap().cut_domains = domains.collect();
    }

    /// Discards the log, so that watchers that missed changes have to list again.
    pub(crate) fn compact(&self) {
        let mut state = self.state.lock().unwrap();
        state.compacted = state.revision;
        state.log.clear();
    }

    /// Makes `list` return the current listing until `unfreeze_listings` is called.
    pub(crate) fn freeze_listings(&self) {
        let mut state = self.state.lock().unwrap();
        let listing = state.listing("service");
        state.stale_listings = Some(BTreeMap::from([("service".to_owned(), listing)]));
    }

    pub(crate) fn unfreeze_listings(&self) {
        self.state.lock().unwrap().stale_listings = None;
    }

    pub(crate) fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }

    async fn answer<A>(
        &self,
        read: impl FnOnce(&PlatformState) -> A + Send,
    ) -> Result<A, platform::Error> {
        self.rt.sleep(millis(2)).await;
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        state.watchers.insert(Arc::clone(&self.name));
        match state.is_down || state.cut_domains.contains(&self.domain) {
            true => Err(platform::Error::Unreachable),
            false => Ok(read(&state)),
        }
    }
}

impl PlatformState {
    fn listing(&self, kind: &str) -> Listing {
        let objects = self.objects.values().filter(|o| o.key.kind == kind);
        Listing {
            revision: Revision(self.revision),
            objects: objects.cloned().collect(),
        }
    }

    fn since(&self, since: Revision) -> Result<Option<Changes>, platform::Error> {
        let changes = self.log.iter().filter(|c| c.revision > since).cloned();
        match () {
            () if since.0 < self.compacted => Err(platform::Error::Compacted),
            () if since.0 >= self.revision => Ok(None),
            () => Ok(Some(Changes {
                revision: Revision(self.revision),
                changes: changes.collect(),
            })),
        }
    }
}

impl Platform for FakePlatform {
    async fn get(&self, key: &Key) -> Result<Option<Object>, platform::Error> {
        self.answer(|state| state.objects.get(key).cloned()).await
    }

    async fn list(&self, kind: &str) -> Result<Listing, platform::Error> {
        let stale =
            |s: &PlatformState| s.stale_listings.as_ref().and_then(|l| l.get(kind).cloned());
        self.answer(|state| stale(state).unwrap_or_else(|| state.listing(kind)))
            .await
    }

    async fn put(
        &self,
        _: &Key,
        _: &serde_json::Value,
        _: Condition,
    ) -> Result<Object, platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn delete(&self, _: &Key, _: Condition) -> Result<(), platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn watch(&self, _: &[&str], since: Revision) -> Result<Changes, platform::Error> {
        let epoch = self.state.lock().unwrap().epoch;
        loop {
            match self.answer(|state| state.since(since)).await?? {
                _ if self.state.lock().unwrap().epoch != epoch => future::pending().await,
                Some(changes) => return Ok(changes),
                None => self.rt.sleep(millis(20)).await,
            }
        }
    }
}

/// A simulated instance.
#[derive(Clone)]
pub(crate) struct Instance {
    pub(crate) rt: VirtualRuntime,
    pub(crate) identity: Identity,
    pub(crate) peers: TestPeers,
}

/// A simulated fleet; instance `index` is named `i{index}` and belongs to failure domain
/// `d{index % domains}`.
pub(crate) struct Fleet {
    pub(crate) rt: VirtualRuntime,
    pub(crate) net: Net,
    pub(crate) platform: FakePlatform,
    pub(crate) instances: Vec<Instance>,
    domains: usize,
}

impl Fleet {
    /// Starts `count` instances in `domains` failure domains and waits 5 s for them to find each
    /// other.
    pub(crate) async fn start(rt: &VirtualRuntime, count: usize, domains: usize) -> Self {
        let mut fleet = Self::new(rt, domains);
        fleet.launch_all(count).await;
        fleet
    }

    /// Like `start`, but the platform is down.
    pub(crate) async fn start_in_outage(rt: &VirtualRuntime, count: usize, domains: usize) -> Self {
        let mut fleet = Self::new(rt, domains);
        fleet.platform.set_down(true);
        fleet.launch_all(count).await;
        fleet
    }

    fn new(rt: &VirtualRuntime, domains: usize) -> Self {
        let net = Net {
            rt: rt.clone(),
            own: None,
            state: Arc::default(),
        };
        let platform = FakePlatform {
            rt: rt.clone(),
            name: Arc::from(""),
            domain: Arc::from(""),
            state: Arc::default(),
        };
        platform.write("first", Some("0"));
        Self {
            rt: rt.clone(),
            net,
            platform,
            instances: Vec::new(),
            domains,
        }
    }

    async fn launch_all(&mut self, count: usize) {
        self.instances = (0..count).map(|index| self.launch(index)).collect();
        self.rt.sleep(secs(5)).await;
    }

    pub(crate) fn index_of(&self, name: &str) -> usize {
        let is_named = |i: &Instance| *i.identity.name == *name;
        self.instances.iter().position(is_named).unwrap()
    }

    fn launch(&self, index: usize) -> Instance {
        let address =
            |n: usize| -> SocketAddr { format!("10.0.{}.{}:7", n / 250, n % 250).parse().unwrap() };
        let identity = Identity {
            name: Arc::from(format!("i{index}")),
            domain: Arc::from(format!("d{}", index % self.domains)),
            address: address(index),
        };
        let rt = self.rt.fork();
        let net = Net {
            rt: self.rt.clone(),
            own: Some(identity.address),
            state: Arc::clone(&self.net.state),
        };
        let platform = FakePlatform {
            rt: rt.clone(),
            name: Arc::clone(&identity.name),
            domain: Arc::clone(&identity.domain),
            state: Arc::clone(&self.platform.state),
        };
        let config = peers::Config {
            identity: identity.clone(),
            seeds: (0..3).map(address).collect(),
            events: event::Events::new(),
        };
        let peers = Peers::start(rt.clone(), net, platform, Echo, config);
        let address = identity.address;
        let instance = Instance {
            rt,
            identity,
            peers,
        };
        let mut state = self.net.state.lock().unwrap();
        state.instances.insert(address, instance.clone());
        drop(state);
        instance
    }

    /// Crashes an instance's process, or its whole host if `host` is true.
    pub(crate) fn kill(&self, index: usize, host: bool) {
        let address = self.instances[index].identity.address;
        let mut state = self.net.state.lock().unwrap();
        state.instances.remove(&address);
        if host {
            state.unresponsive.insert(address);
        }
        drop(state);
        self.instances[index].rt.kill();
    }

    /// Starts a killed instance again with its name and address.
    pub(crate) fn restart(&mut self, index: usize) {
        let address = self.instances[index].identity.address;
        self.net.state.lock().unwrap().unresponsive.remove(&address);
        self.instances[index] = self.launch(index);
    }

    /// Partitions the network. Only instances in the same group reach each other; failure domains
    /// and instances that aren't listed are in group 0.
    pub(crate) fn partition(&self, groups: &[(&str, u32)]) {
        let groups = groups.iter().map(|(d, g)| (Arc::from(*d), *g));
        self.net.state.lock().unwrap().groups = groups.collect();
    }

    pub(crate) fn set_loss(&self, percent: u64) {
        self.net.state.lock().unwrap().loss_percent = percent;
    }

    pub(crate) fn set_late(&self, percent: u64) {
        self.net.state.lock().unwrap().late_percent = percent;
    }

    /// Bytes sent and received by each instance since the last call.
    pub(crate) fn take_bytes(&self) -> Vec<usize> {
        let bytes = std::mem::take(&mut self.net.state.lock().unwrap().bytes);
        bytes.into_values().collect()
    }

    /// Number of messages of all instances since the last call.
    pub(crate) fn take_messages(&self) -> usize {
        std::mem::take(&mut self.net.state.lock().unwrap().messages)
    }

    /// Value of a service record in an instance's shared map.
    pub(crate) fn config(&self, index: usize, name: &str) -> Option<String> {
        let exchange = self.instances[index].peers.exchange();
        let entries = exchange.scan(Space::Config, &format!("service/{name}"));
        let entry = entries
            .into_iter()
            .find(|e| *e.name == *format!("service/{name}"))?;
        let value: serde_json::Value = serde_json::from_str(entry.value.as_deref()?).unwrap();
        Some(value["value"].as_str().unwrap().to_owned())
    }

    /// State of the member `of` in the shared map of the instance `seen_by`.
    pub(crate) fn state(&self, seen_by: usize, of: usize) -> Option<State> {
        let members = self.instances[seen_by].peers.members();
        let name = &self.instances[of].identity.name;
        let member = members.into_iter().find(|m| m.identity.name == *name);
        member.map(|m| m.state)
    }

    /// Checks `holds` every 10 ms and returns the time until it was true, or `None` after `limit`.
    pub(crate) async fn wait(
        &self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start: Timestamp = self.rt.now();
        while self.rt.now().since(start) <= limit {
            if holds(self) {
                return Some(self.rt.now().since(start));
            }
            self.rt.sleep(millis(10)).await;
        }
        None
    }
}
