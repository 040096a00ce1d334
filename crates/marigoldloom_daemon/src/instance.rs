//! One running instance: start and graceful shutdown.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use derive_more::derive;
use marigoldloom_claims::claims;
use marigoldloom_http::server;
use marigoldloom_moves::{control, moves};
use marigoldloom_peers::grpc::{pool, server as grpc};
use marigoldloom_peers::{dispatch_lease, dissemination, membership, metered, peers};
use marigoldloom_platform::platform;
use marigoldloom_query::{engine, hooks};
use marigoldloom_routing::topology;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_settings::settings;
use marigoldloom_telemetry::{event, metrics};
use marigoldloom_upstream::client;
use serde_json::json;
use signal_hook::consts;
use signal_hook_async_std::Signals;

use crate::admin;
use crate::admissions;
use crate::caller;
use crate::capacity;
use crate::config;
use crate::forwarding;
use crate::frontend;
use crate::homes;
use crate::leases;
use crate::observer;
use crate::registrar;
use crate::trial;
use crate::versions;
use crate::warm_entries;

/// Timeout of a platform call during a shutdown.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that open connections of the admin server get to finish during a shutdown.
const ADMIN_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections that the callers' server accepts per running or queued request that the settings
/// allow.
const CONNECTIONS_PER_REQUEST: usize = 4;

pub(crate) type Transport = metered::Metered<pool::Pool<AsyncStd>>;

/// Peer protocol of an instance.
pub type Peers<P> = peers::Peers<AsyncStd, Transport, forwarding::Handler<P>>;

pub(crate) type Shared = dissemination::Dissemination<AsyncStd, Transport>;

pub(crate) type Leases = dispatch_lease::Leases<AsyncStd, Transport>;

pub(crate) type Moves<P> = moves::Moves<AsyncStd, P, Shared>;

type Observer<P> = observer::Observer<AsyncStd, Shared, Leases, Moves<P>>;

type Hooks<P> =
    hooks::HookSet<versions::Versions<Moves<P>>, leases::PeerLeases<Leases>, Observer<P>>;

pub(crate) type Engine<P> = engine::Engine<AsyncStd, client::Client<AsyncStd>, Hooks<P>>;

/// An instance can't start or was not shut down gracefully.
#[derive(Debug)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// An address can't be bound.
    #[display("listening on {address} ({purpose}): {source}")]
    Listen {
        /// Clients that the address is for: `callers`, `peers` or `operators`.
        purpose: &'static str,
        /// Configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[display("signal handling: {source}")]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// Metrics can't be initialized.
    #[display("{source}")]
    Metrics {
        /// Error of the metrics exporter.
        source: metrics::Error,
    },
    /// The upstreams or records of the trial mode can't be set up.
    #[display("{source}")]
    Trial {
        /// Error of the trial mode.
        source: trial::Error,
    },
    /// Connections were still open when the drain timeout passed.
    #[display("{source}")]
    Drain {
        /// Number of connections that were closed by force.
        source: server::Unfinished,
    },
}

/// A running instance.
pub struct Instance<P: platform::Platform> {
    rt: AsyncStd,
    drain_timeout: Duration,
    linger: Duration,
    draining: Arc<AtomicBool>,
    peers: Peers<P>,
    events: event::Events,
    registrar: Arc<registrar::Registrar<AsyncStd, P>>,
    caller_server: server::Server,
    admin_server: server::Server,
    frontend: frontend::Frontend<P>,
    signals: Signals,
}

impl<P: platform::Platform> Instance<P> {
    /// Starts an instance and returns once all its addresses are bound.
    ///
    /// # Errors
    ///
    /// If the signal handlers can't be installed, an address can't be bound or metrics can't be
    /// initialized.
    pub async fn start(
        rt: AsyncStd,
        platform: P,
        settings: &settings::Settings,
    ) -> Result<Self, Error> {
        // Installed first, so that a signal during the start leads to a graceful shutdown too.
        let signals = Signals::new([consts::SIGTERM, consts::SIGINT]);
        let signals = signals.map_err(|source| Error::Signals { source })?;
        let metrics = metrics::Metrics::new().map_err(|source| Error::Metrics { source })?;
        let events = event::Events::new();
        let draining = Arc::new(AtomicBool::new(false));
        let view = Arc::new(Mutex::new(config::View::default()));
        let handler = forwarding::Handler::new(rt);
        let (listener, peer) = bind_peer(settings.listen.peer).await?;
        let peers = start_peers(rt, &platform, &handler, settings, peer, &events, &metrics);
        let service = metered::Metered::new(peers.clone(), metrics.clone());
        rt.spawn(grpc::serve(rt, listener, service));
        let components = Components {
            rt,
            platform: platform.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            events: events.clone(),
            view: Arc::clone(&view),
        };
        let frontend = components.start(settings);
        handler.set(frontend.clone());
        let registrar = Arc::new(registrar::Registrar {
            rt,
            platform,
            name: settings.instance.name.clone(),
            domain: settings.instance.domain.clone(),
            peer,
            view: Arc::clone(&view),
        });
        start_registrar(rt, &registrar, &peers, &draining);
        let caller = caller::Handler::new(rt, frontend.clone(), metrics.clone(), events.clone());
        let caller_server = bind(
            "callers",
            settings.listen.caller,
            caller_server_settings(settings),
            caller,
        )
        .await?;
        let admin = admin::Admin {
            peers: peers.clone(),
            events: events.clone(),
            metrics,
            view,
            draining: Arc::clone(&draining),
        };
        let admin_settings = server::Settings::default();
        let admin_server = bind("operators", settings.listen.admin, admin_settings, admin).await?;
        tracing::info!(
            instance = settings.instance.name,
            domain = settings.instance.domain,
            callers = %caller_server.address(),
            peers = %peer,
            operators = %admin_server.address(),
            "serving"
        );
        Ok(Self {
            rt,
            drain_timeout: Duration::from_millis(settings.limits.drain_ms),
            linger: Duration::from_millis(settings.limits.linger_ms),
            draining,
            peers,
            events,
            registrar,
            caller_server,
            admin_server,
            frontend,
            signals,
        })
    }

    /// Returns the address of the callers' interface.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Returns the address of the operators' interface.
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_server.address()
    }

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// If requests were cut off because the drain took too long.
    pub async fn run_until_signal(mut self) -> Result<(), Error> {
        self.signals.next().await;
        self.shut_down().await
    }

    /// Announces that the instance leaves, finishes running requests and closes its servers.
    ///
    /// # Errors
    ///
    /// If requests were cut off because the drain took too long.
    pub async fn shut_down(self) -> Result<(), Error> {
        let cause = "a planned stop was requested";
        let name = self.peers.own().identity.name;
        let at = self.rt.wall();
        self.events
            .record(at, event::Kind::Draining, &name, cause, json!({}));
        self.draining.store(true, Ordering::Relaxed);
        self.run_announcement(self.registrar.announce_leaving())
            .await;
        self.peers.leave().await;
        // The balancer and the peers learn of the shutdown with a delay; requests that they send in
        // the meantime are still served.
        self.rt.sleep(self.linger).await;
        let drained = self.caller_server.shut_down(self.drain_timeout).await;
        let idle = runtime::timeout(&self.rt, self.drain_timeout, self.frontend.wait_idle()).await;
        if idle.is_err() {
            tracing::warn!("requests of other instances were still running at the stop");
        }
        let removal = self.registrar.deregister();
        if let Ok(Err(error)) = runtime::timeout(&self.rt, PLATFORM_CALL_TIMEOUT, removal).await {
            tracing::warn!(%error, "the instance's record was not removed");
        }
        // Operators' reads may be cut off without harm.
        let _ = self.admin_server.shut_down(ADMIN_SHUTDOWN_TIMEOUT).await;
        drained.map_err(|source| Error::Drain { source })
    }

    /// Runs a platform call that announces the shutdown; failures are only logged, because the
    /// shutdown must not depend on the platform.
    async fn run_announcement(&self, call: impl Future<Output = Result<(), platform::Error>>) {
        match runtime::timeout(&self.rt, PLATFORM_CALL_TIMEOUT, call).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(%error, "the leave was not written to the platform"),
            Err(error) => tracing::warn!(%error, "the leave was not written to the platform"),
        }
    }
}

/// Components that the request path is built from.
struct Components<P: platform::Platform> {
    rt: AsyncStd,
    platform: P,
    peers: Peers<P>,
    metrics: metrics::Metrics,
    events: event::Events,
    view: Arc<Mutex<config::View>>,
}

impl<P: platform::Platform> Components<P> {
    /// Starts the background tasks of the request path and returns its frontend.
    fn start(self, settings: &settings::Settings) -> frontend::Frontend<P> {
        let (rt, name) = (self.rt, settings.instance.name.as_str());
        let exchange = self.peers.exchange().clone();
        let events = self.events.clone();
        let moves = moves::Moves::new(rt, self.platform.clone(), exchange, events, name);
        rt.spawn(control::run(moves.clone()));
        let client = client::Client::new(rt, client::Settings::default());
        let engine = self.engine(client.clone(), &moves, name);
        let homes = Arc::new(homes::Homes::default());
        let applier = config::Applier {
            rt,
            engine: engine.clone(),
            client,
            peers: self.peers.clone(),
            homes: Arc::clone(&homes),
            lease_voters: homes::LeaseVoters::default(),
            events: self.events,
            builder: topology::Builder::new(&settings.instance.domain),
            view: Arc::clone(&self.view),
            home_services: BTreeSet::new(),
        };
        rt.spawn(applier.run());
        let monitor = capacity::Monitor {
            rt,
            engine: engine.clone(),
            moves,
            view: self.view,
        };
        rt.spawn(monitor.run());
        let exchange = self.peers.exchange().clone();
        rt.spawn(warm_entries::renew(rt, engine.clone(), exchange));
        frontend::Frontend::new(frontend::Shared {
            rt,
            name: Arc::from(name),
            domain: Arc::from(settings.instance.domain.as_str()),
            engine,
            admissions: admissions::Admissions::new(rt, settings),
            claims: claims::Claims::new(rt, self.platform, claims::BUCKETS),
            peers: self.peers,
            homes,
            metrics: self.metrics,
            running: AtomicUsize::new(0),
        })
    }

    fn engine(&self, client: client::Client<AsyncStd>, moves: &Moves<P>, name: &str) -> Engine<P> {
        let leases = self.peers.leases().clone();
        let observer = observer::Observer {
            rt: self.rt,
            instance: Arc::from(name),
            exchange: self.peers.exchange().clone(),
            leases: leases.clone(),
            moves: moves.clone(),
            metrics: self.metrics.clone(),
            events: self.events.clone(),
        };
        let hooks = hooks::HookSet {
            versions: versions::Versions(moves.clone()),
            leases: leases::PeerLeases(leases),
            observer,
        };
        engine::Engine::new(self.rt, client, hooks, engine::Settings::default())
    }
}

fn start_peers<P: platform::Platform>(
    rt: AsyncStd,
    platform: &P,
    handler: &forwarding::Handler<P>,
    settings: &settings::Settings,
    peer: SocketAddr,
    events: &event::Events,
    metrics: &metrics::Metrics,
) -> Peers<P> {
    let config = peers::Config {
        identity: membership::Identity {
            name: Arc::from(settings.instance.name.as_str()),
            domain: Arc::from(settings.instance.domain.as_str()),
            address: peer,
        },
        seeds: settings.peers.seeds.clone(),
        events: events.clone(),
    };
    let transport = metered::Metered::new(pool::Pool::new(rt), metrics.clone());
    peers::Peers::start(rt, transport, platform.clone(), handler.clone(), config)
}

fn start_registrar<P: platform::Platform>(
    rt: AsyncStd,
    registrar: &Arc<registrar::Registrar<AsyncStd, P>>,
    peers: &Peers<P>,
    draining: &Arc<AtomicBool>,
) {
    let (registrar, peers) = (Arc::clone(registrar), peers.clone());
    let draining = Arc::clone(draining);
    rt.spawn(async move {
        let leaving = || draining.load(Ordering::Relaxed);
        registrar.run(|| peers.members(), leaving).await;
    });
}

async fn bind(
    purpose: &'static str,
    address: SocketAddr,
    settings: server::Settings,
    handler: impl server::Handler,
) -> Result<server::Server, Error> {
    let bound = server::bind(address, settings, handler).await;
    bound.map_err(|source| Error::Listen {
        purpose,
        address,
        source,
    })
}

async fn bind_peer(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let fail = |source| Error::Listen {
        purpose: "peers",
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let address = listener.local_addr().map_err(fail)?;
    Ok((listener, address))
}

fn caller_server_settings(settings: &settings::Settings) -> server::Settings {
    let requests = settings
        .limits
        .concurrency
        .saturating_add(settings.limits.queue);
    let requests = usize::try_from(requests).unwrap_or(usize::MAX);
    server::Settings {
        max_connections: requests.saturating_mul(CONNECTIONS_PER_REQUEST),
        max_body: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
        ..server::Settings::default()
    }
}
