//! A transport between instances on virtual time that counts what they send.
//!
//! Messages are encoded and decoded, so processor time includes the codec. It
//! excludes HTTP/2 and the operating system; the `loopback` measure includes them.

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

/// Delay of a message one way, in microseconds: 0.2 to 10 ms.
const DELAY_MICROS: (u64, u64) = (200, 9_800);

/// Peers on this transport.
pub type NetPeers = Peers<VirtualRuntime, Net, Echo>;

/// Answers a forwarded query with its own body.
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

/// Bytes and messages that crossed the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, headers included.
    pub sent: usize,
    /// Bytes received, headers included.
    pub received: usize,
    /// Requests and answers sent.
    pub messages: usize,
}

#[derive(Clone)]
struct Host {
    rt: VirtualRuntime,
    peers: NetPeers,
}

#[derive(Default)]
struct Links {
    hosts: BTreeMap<SocketAddr, Host>,
    traffic: BTreeMap<SocketAddr, Traffic>,
    /// Instances with the same number reach each other; without a number it is zero.
    groups: BTreeMap<SocketAddr, usize>,
    /// Whether calls to lost instances get no answer, as when their hosts are gone. Otherwise
    /// they are refused at once, as when only their processes are.
    silent: bool,
}

/// The network as one instance uses it.
#[derive(Clone)]
pub struct Net {
    rt: VirtualRuntime,
    own: SocketAddr,
    links: Arc<Mutex<Links>>,
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
            links: Arc::default(),
        }
    }

    /// The network as seen from `own`.
    pub fn of(&self, own: SocketAddr) -> Self {
        Self {
            own,
            ..self.clone()
        }
    }

    /// Connects an instance under the address of this handle.
    pub fn connect(&self, rt: &VirtualRuntime, peers: &NetPeers) {
        let host = Host {
            rt: rt.clone(),
            peers: peers.clone(),
        };
        self.lock().hosts.insert(self.own, host);
    }

    /// Removes the instance at `address`.
    pub fn disconnect(&self, address: SocketAddr) {
        self.lock().hosts.remove(&address);
    }

    /// Makes calls to lost instances wait for an answer that never comes.
    pub fn set_silent(&self) {
        self.lock().silent = true;
    }

    /// Parts the network: only instances with the same number reach each other.
    pub fn part(&self, groups: BTreeMap<SocketAddr, usize>) {
        self.lock().groups = groups;
    }

    fn is_parted(&self, to: SocketAddr) -> bool {
        let links = self.lock();
        links.groups.get(&self.own) != links.groups.get(&to)
    }

    /// Traffic of each instance since the last call.
    pub fn take(&self) -> Vec<Traffic> {
        let traffic = std::mem::take(&mut self.lock().traffic);
        traffic.into_values().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, from: SocketAddr, to: SocketAddr, len: usize) {
        let mut links = self.lock();
        let sender = links.traffic.entry(from).or_default();
        sender.sent += len + HEADER_BYTES;
        sender.messages += 1;
        links.traffic.entry(to).or_default().received += len + HEADER_BYTES;
    }

    async fn travel(&self) {
        let (least, spread) = DELAY_MICROS;
        let delay = least + runtime::random_below(&self.rt, spread);
        self.rt.sleep(Duration::from_micros(delay)).await;
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
        self.count(self.own, to, bytes.len());
        self.travel().await;
        if self.is_parted(to) {
            return future::pending().await;
        }
        let (host, silent) = {
            let links = self.lock();
            (links.hosts.get(&to).cloned(), links.silent)
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
        self.count(to, self.own, bytes.len());
        self.travel().await;
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
        let this = self.clone();
        async move {
            let serve = |peers: NetPeers, q| async move { peers.probe_via(q).await };
            this.call(to, request, serve).await
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
