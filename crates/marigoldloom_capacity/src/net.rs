//! Simulated transport between instances on virtual time, which counts the bytes they send.
//!
//! Messages are encoded and decoded, so the CPU time includes the codec. It doesn't include
//! HTTP/2 and the operating system, which the `loopback` measure includes.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use marigoldloom_peers::generated::peer;
use marigoldloom_peers::metered::HEADER_BYTES;
use marigoldloom_peers::peers::Peers;
use marigoldloom_peers::transport::{Error, Handler, Service, Transport};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;
use prost::Message;

/// One-way delay of a message in microseconds, as a minimum and the width of the range above
/// it: 0.2 to 10 ms.
const DELAY_MICROS: (u64, u64) = (200, 9_800);

/// Peer layer of an instance on this transport.
pub type NetPeers = Peers<VirtualRuntime, Net, Echo>;

/// Handler that answers a forwarded query with the query's body.
#[derive(Clone, Copy, Debug)]
pub struct Echo;

impl Handler for Echo {
    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        peer::ForwardReply {
            status: 200,
            body: request.body,
        }
    }
}

/// Bytes and messages that an instance sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, including [`HEADER_BYTES`] for each message.
    pub sent: usize,
    /// Bytes received, including [`HEADER_BYTES`] for each message.
    pub received: usize,
    /// Number of requests and replies sent.
    pub messages: usize,
}

#[derive(Clone)]
struct Host {
    rt: VirtualRuntime,
    peers: NetPeers,
}

#[derive(Default)]
struct Network {
    hosts: BTreeMap<SocketAddr, Host>,
    traffic: BTreeMap<SocketAddr, Traffic>,
    /// Partition of each instance. Instances without an entry form one partition. Only instances
    /// in the same partition reach each other.
    partitions: BTreeMap<SocketAddr, usize>,
    /// Whether calls to a stopped instance get no reply, as after the failure of its host or
    /// switch. If false, they fail at once, as after the end of the process only.
    silent: bool,
}

/// Handle to the simulated network, for the instance at one address.
#[derive(Clone)]
pub struct Net {
    rt: VirtualRuntime,
    own: SocketAddr,
    network: Arc<Mutex<Network>>,
}

impl fmt::Debug for Net {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Net({})", self.own)
    }
}

impl Net {
    /// Creates a network without instances.
    pub fn new(rt: &VirtualRuntime) -> Self {
        Self {
            rt: rt.clone(),
            own: SocketAddr::from(([0, 0, 0, 0], 0)),
            network: Arc::default(),
        }
    }

    /// Returns a handle to the same network for the instance at `own`.
    pub fn handle(&self, own: SocketAddr) -> Self {
        Self {
            own,
            ..self.clone()
        }
    }

    /// Makes an instance reachable at the address of this handle.
    pub fn connect(&self, rt: &VirtualRuntime, peers: &NetPeers) {
        let host = Host {
            rt: rt.clone(),
            peers: peers.clone(),
        };
        self.lock().hosts.insert(self.own, host);
    }

    /// Makes the instance at `address` unreachable.
    pub fn disconnect(&self, address: SocketAddr) {
        self.lock().hosts.remove(&address);
    }

    /// Makes calls to stopped instances wait for a reply that never arrives, instead of failing
    /// at once.
    pub fn set_silent(&self) {
        self.lock().silent = true;
    }

    /// Partitions the network: from now on, only instances with the same number reach each
    /// other.
    pub fn partition(&self, partitions: BTreeMap<SocketAddr, usize>) {
        self.lock().partitions = partitions;
    }

    fn is_partitioned(&self, to: SocketAddr) -> bool {
        let network = self.lock();
        network.partitions.get(&self.own) != network.partitions.get(&to)
    }

    /// Returns the traffic of each instance since the last call.
    pub fn take_traffic(&self) -> Vec<Traffic> {
        let traffic = std::mem::take(&mut self.lock().traffic);
        traffic.into_values().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_message(&self, from: SocketAddr, to: SocketAddr, len: usize) {
        let mut network = self.lock();
        let sender = network.traffic.entry(from).or_default();
        sender.sent += len + HEADER_BYTES;
        sender.messages += 1;
        network.traffic.entry(to).or_default().received += len + HEADER_BYTES;
    }

    /// Waits for a random one-way delay.
    async fn delay(&self) {
        let (min, spread) = DELAY_MICROS;
        let micros = min + runtime::random_below(&self.rt, spread);
        self.rt.sleep(Duration::from_micros(micros)).await;
    }

    async fn call<Q, A, F>(
        &self,
        to: SocketAddr,
        request: Q,
        serve: impl FnOnce(NetPeers, Q) -> F + Send + 'static,
    ) -> Result<A, Error>
    where
        Q: Message + Default + 'static,
        A: Message + Default + 'static,
        F: Future<Output = A> + Send + 'static,
    {
        let bytes = request.encode_to_vec();
        self.count_message(self.own, to, bytes.len());
        self.delay().await;
        if self.is_partitioned(to) {
            return future::pending().await;
        }
        let (host, silent) = {
            let network = self.lock();
            (network.hosts.get(&to).cloned(), network.silent)
        };
        let Host { rt, peers } = match host {
            Some(host) => host,
            None if silent => return future::pending().await,
            None => return Err(Error::Unreachable),
        };
        let (tx, rx) = async_channel::bounded(1);
        rt.spawn(async move {
            if let Ok(request) = Q::decode(&*bytes) {
                let answer = serve(peers, request).await;
                tx.send(answer.encode_to_vec()).await.ok();
            }
        });
        let bytes = rx.recv().await.map_err(|_| Error::Lost)?;
        self.count_message(to, self.own, bytes.len());
        self.delay().await;
        A::decode(&*bytes).map_err(|_| Error::Lost)
    }
}

impl Transport for Net {
    async fn probe(
        &self,
        to: SocketAddr,
        request: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, Error> {
        let serve = |peers: NetPeers, q| async move { peers.probe(q).await };
        self.call(to, request, serve).await
    }

    fn probe_via(
        &self,
        to: SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> impl Future<Output = Result<peer::ProbeViaReply, Error>> + Send {
        let net = self.clone();
        async move {
            let serve = |peers: NetPeers, q| async move { peers.probe_via(q).await };
            net.call(to, request, serve).await
        }
    }

    async fn push(
        &self,
        to: SocketAddr,
        request: peer::PushRequest,
    ) -> Result<peer::PushReply, Error> {
        let serve = |peers: NetPeers, q| async move { peers.push(q).await };
        self.call(to, request, serve).await
    }

    async fn pull(
        &self,
        to: SocketAddr,
        request: peer::PullRequest,
    ) -> Result<peer::PullReply, Error> {
        let serve = |peers: NetPeers, q| async move { peers.pull(q).await };
        self.call(to, request, serve).await
    }

    async fn forward(
        &self,
        to: SocketAddr,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        let serve = |peers: NetPeers, q| async move { Service::forward(&peers, q).await };
        self.call(to, request, serve).await
    }

    async fn request_lease(
        &self,
        to: SocketAddr,
        request: peer::LeaseRequest,
    ) -> Result<peer::LeaseReply, Error> {
        let serve = |peers: NetPeers, q| async move { peers.request_lease(q).await };
        self.call(to, request, serve).await
    }

    async fn release_lease(
        &self,
        to: SocketAddr,
        request: peer::ReleaseRequest,
    ) -> Result<peer::ReleaseReply, Error> {
        let serve = |peers: NetPeers, q| async move { peers.release_lease(q).await };
        self.call(to, request, serve).await
    }
}
