//! Entry point of the peer protocol: starts and connects the membership, shared map,
//! configuration watcher, dispatch leases and query forwarding of one instance.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_platform::platform;
use marigoldloom_runtime::runtime;
use marigoldloom_telemetry::event;

use crate::config_watch::Watcher;
use crate::dispatch_lease::Leases;
use crate::dissemination::Dissemination;
use crate::failure_detection::Detector;
use crate::generated::peer;
use crate::membership::{Identity, Member, State};
use crate::store::Store;
use crate::transport;

/// A new instance tries for this long to copy the shared map from a peer before it may watch
/// the platform. Otherwise all instances of a recovering failure domain would list the
/// configuration at once.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of [`Peers::start`].
#[derive(Clone, Debug)]
pub struct Config {
    /// Name, failure domain and peer address of this instance.
    pub identity: Identity,
    /// Peer addresses through which the instance finds the others. Its own address may be
    /// among them and is ignored.
    pub seeds: Vec<net::SocketAddr>,
    /// Receives an event for each state change of a member.
    pub events: event::Events,
}

/// Why forwarding a query failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The receiver isn't a member or is down; nothing was sent.
    #[display("instance {name:?} is not in service")]
    #[from(skip)]
    NotInService {
        /// Name of the receiver.
        name: String,
    },
    /// The call to the receiver failed. Whether the query ran depends on the error.
    #[display("{_0}")]
    Transport(transport::Error),
}

/// The peer protocol of one instance.
#[derive(Clone, Debug)]
pub struct Peers<R, T, H> {
    rt: R,
    transport: T,
    handler: H,
    store: Store<R>,
    dissemination: Dissemination<R, T>,
    detector: Detector<R, T>,
    leases: Leases<R, T>,
}

impl<R: runtime::Runtime, T: transport::Transport, H: transport::Handler> Peers<R, T, H> {
    /// Spawns the background tasks. The returned value implements [`transport::Service`]; the
    /// caller has to serve it, for example with [`crate::grpc::server`].
    pub fn start(
        rt: R,
        transport: T,
        platform: impl platform::Platform,
        handler: H,
        config: Config,
    ) -> Self {
        let (store, wake_rx) = Store::new(rt.clone(), config.identity, config.events);
        let dissemination = Dissemination::new(rt.clone(), transport.clone(), store.clone());
        let detector = Detector::new(
            rt.clone(),
            transport.clone(),
            store.clone(),
            dissemination.clone(),
        );
        let leases = Leases::new(rt.clone(), transport.clone(), store.clone());
        let peers = Self {
            rt,
            transport,
            handler,
            store,
            dissemination,
            detector,
            leases,
        };
        peers.run(platform, config.seeds, wake_rx);
        peers
    }

    fn run(
        &self,
        platform: impl platform::Platform,
        seeds: Vec<net::SocketAddr>,
        wake_rx: async_channel::Receiver<()>,
    ) {
        let watcher = Watcher::new(self.rt.clone(), platform, self.store.clone());
        let (running, ended) = async_channel::bounded::<()>(1);
        let (rt, dissemination) = (self.rt.clone(), self.dissemination.clone());
        self.dissemination.start(wake_rx);
        self.detector.start(seeds.clone());
        self.rt.spawn(self.leases.clone().run());
        self.rt.spawn(async move {
            dissemination.bootstrap(&seeds).await;
            drop(running);
        });
        let store = self.store.clone();
        self.rt.spawn(async move {
            let start = rt.now();
            runtime::timeout(&rt, BOOTSTRAP_TIMEOUT, ended.recv())
                .await
                .ok();
            // If the peer had no configuration, it started at about the same time and knows few
            // members. Without the rest of the wait, every new instance would see itself among
            // the first members of its failure domain and watch the platform.
            if !store.is_configured() {
                rt.sleep(BOOTSTRAP_TIMEOUT.saturating_sub(rt.now().since(start)))
                    .await;
            }
            watcher.run().await;
        });
    }

    /// Access to the shared map.
    pub const fn exchange(&self) -> &Dissemination<R, T> {
        &self.dissemination
    }

    /// Access to the dispatch leases.
    pub const fn leases(&self) -> &Leases<R, T> {
        &self.leases
    }

    /// Whether a configuration was received from the platform or a peer.
    pub fn is_ready(&self) -> bool {
        self.store.is_configured()
    }

    /// All members including this instance, ordered by name.
    pub fn members(&self) -> Vec<Member> {
        self.store.members()
    }

    /// This instance's own member entry.
    pub fn own(&self) -> Member {
        self.store.own()
    }

    /// Forwards a query to the instance named `to` and waits for the reply for at most the
    /// request's `remaining_ms`.
    ///
    /// # Errors
    ///
    /// Nothing was sent if the error is [`Error::NotInService`],
    /// [`transport::Error::Unreachable`] or [`transport::Error::TooLarge`]. After any other
    /// error, the query may have run.
    pub async fn forward(
        &self,
        to: &str,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        let member = self.store.member(to).filter(|m| m.state != State::Down);
        let member = member.ok_or_else(|| Error::NotInService {
            name: to.to_owned(),
        })?;
        let limit = Duration::from_millis(request.remaining_ms);
        let call = self.transport.forward(member.identity.address, request);
        let reply = runtime::timeout(&self.rt, limit, call).await;
        Ok(reply.unwrap_or(Err(transport::Error::Lost))?)
    }

    /// Announces that this instance is leaving and releases its leases. Returns when the
    /// direct receivers of the announcement have acknowledged it or their calls have failed.
    /// Queries forwarded to this instance are still answered.
    pub async fn leave(&self) {
        self.store.leave();
        self.dissemination.flush().await;
        self.leases.release_all().await;
    }

    /// Names of the members of a failure domain that take new work, which may include this
    /// instance.
    pub fn live_in(&self, domain: &str) -> Vec<Arc<str>> {
        let members = self.store.members().into_iter();
        members
            .filter(|m| m.is_live() && &*m.identity.domain == domain)
            .map(|m| m.identity.name)
            .collect()
    }
}

impl<R: runtime::Runtime, T: transport::Transport, H: transport::Handler> transport::Service
    for Peers<R, T, H>
{
    async fn probe(&self, request: peer::ProbeRequest) -> peer::ProbeReply {
        self.detector.on_probe(&request)
    }

    async fn probe_via(&self, request: peer::ProbeViaRequest) -> peer::ProbeViaReply {
        self.detector.on_probe_via(request).await
    }

    async fn push(&self, request: peer::PushRequest) -> peer::PushReply {
        self.dissemination.on_push(request)
    }

    async fn pull(&self, request: peer::PullRequest) -> peer::PullReply {
        self.dissemination.on_pull(request)
    }

    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        self.handler.forward(request).await
    }

    async fn request_lease(&self, request: peer::LeaseRequest) -> peer::LeaseReply {
        self.leases.on_request(request)
    }

    async fn release_lease(&self, request: peer::ReleaseRequest) -> peer::ReleaseReply {
        self.leases.on_release(request)
    }
}
