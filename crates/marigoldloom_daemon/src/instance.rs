//! One running instance: start, service, graceful shutdown.

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
use crate::warmth;

/// Time for one platform call during a shutdown.
const FAREWELL_LIMIT: Duration = Duration::from_secs(1);

/// Time for the admin server's connections at a shutdown.
const ADMIN_LIMIT: Duration = Duration::from_secs(1);

/// Connections that the callers' server accepts per request that may run or wait.
const CONNECTION_FACTOR: usize = 4;

pub(crate) type Transport = metered::Metered<pool::Pool<AsyncStd>>;

/// The peer protocol of an instance.
pub type Peers<P> = peers::Peers<AsyncStd, Transport, forwarding::Handler<P>>;

pub(crate) type Shared = dissemination::Dissemination<AsyncStd, Transport>;

pub(crate) type Leases = dispatch_lease::Leases<AsyncStd, Transport>;

pub(crate) type Moves<P> = moves::Moves<AsyncStd, P, Shared>;

type Observer<P> = observer::Observer<AsyncStd, Shared, Leases, Moves<P>>;

type Hooks<P> =
    hooks::HookSet<versions::Versions<Moves<P>>, leases::PeerLeases<Leases>, Observer<P>>;

pub(crate) type Engine<P> = engine::Engine<AsyncStd, client::Client<AsyncStd>, Hooks<P>>;

/// Why an instance can't run.
#[derive(Debug)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// A listener can't be bound.
    #[display("listening on {address} ({purpose}): {source}")]
    Listen {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Signals can't be handled.
    #[display("signal handling: {source}")]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// Metrics can't be set up.
    #[display("{source}")]
    Metrics {
        /// The exporter's error.
        source: metrics::Error,
    },
    /// The trial's stand-ins can't start.
    #[display("{source}")]
    Trial {
        /// What failed.
        source: trial::Error,
    },
    /// Requests were still running when the time for the drain was over.
    #[display("{source}")]
    Drain {
        /// How many connections were closed by force.
        source: server::Unfinished,
    },
}

/// A running instance.
pub struct Instance<P: platform::Platform> {
    rt: AsyncStd,
    drain: Duration,
    linger: Duration,
    draining: Arc<AtomicBool>,
    peers: Peers<P>,
    events: event::Events,
    registrar: Arc<registrar::Registrar<AsyncStd, P>>,
    callers: server::Server,
    operators: server::Server,
    frontend: frontend::Frontend<P>,
    signals: Signals,
}

impl<P: platform::Platform> Instance<P> {
    /// Starts an instance and returns once all its addresses are bound.
    ///
    /// # Errors
    ///
    /// If signals can't be handled, an address can't be bound or metrics can't be set up.
    pub async fn start(
        rt: AsyncStd,
        platform: P,
        settings: &settings::Settings,
    ) -> Result<Self, Error> {
        // First, so that a signal during the start is a planned stop too.
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
        let parts = Parts {
            rt,
            platform: platform.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            events: events.clone(),
            view: Arc::clone(&view),
        };
        let frontend = parts.start(settings);
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
        let caller = caller::Caller::new(rt, frontend.clone(), metrics.clone(), events.clone());
        let callers = bind("callers", settings.listen.caller, limits(settings), caller).await?;
        let admin = admin::Admin {
            peers: peers.clone(),
            events: events.clone(),
            metrics,
            view,
            draining: Arc::clone(&draining),
        };
        let operators = server::Settings::default();
        let operators = bind("operators", settings.listen.admin, operators, admin).await?;
        tracing::info!(
            instance = settings.instance.name,
            domain = settings.instance.domain,
            callers = %callers.address(),
            peers = %peer,
            operators = %operators.address(),
            "serving"
        );
        Ok(Self {
            rt,
            drain: Duration::from_millis(settings.limits.drain_ms),
            linger: Duration::from_millis(settings.limits.linger_ms),
            draining,
            peers,
            events,
            registrar,
            callers,
            operators,
            frontend,
            signals,
        })
    }

    /// Address of the callers' interface.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Address of the operators' interface.
    pub const fn admin_address(&self) -> SocketAddr {
        self.operators.address()
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

    /// Announces that the instance leaves, finishes running requests and stops.
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
        self.farewell(self.registrar.announce()).await;
        self.peers.leave().await;
        // The balancer and the peers learn of the leave with a delay; what they send
        // meanwhile is served.
        self.rt.sleep(self.linger).await;
        let drained = self.callers.shut_down(self.drain).await;
        let idle = runtime::timeout(&self.rt, self.drain, self.frontend.idle()).await;
        if idle.is_err() {
            tracing::warn!("requests of other instances were still running at the stop");
        }
        let removal = self.registrar.deregister();
        if let Ok(Err(error)) = runtime::timeout(&self.rt, FAREWELL_LIMIT, removal).await {
            tracing::warn!(%error, "the instance's record was not removed");
        }
        // Operators' reads need no grace.
        let _ = self.operators.shut_down(ADMIN_LIMIT).await;
        drained.map_err(|source| Error::Drain { source })
    }

    async fn farewell(&self, call: impl Future<Output = Result<(), platform::Error>>) {
        match runtime::timeout(&self.rt, FAREWELL_LIMIT, call).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(%error, "the leave was not written to the platform"),
            Err(error) => tracing::warn!(%error, "the leave was not written to the platform"),
        }
    }
}

/// What the request path is built from.
struct Parts<P: platform::Platform> {
    rt: AsyncStd,
    platform: P,
    peers: Peers<P>,
    metrics: metrics::Metrics,
    events: event::Events,
    view: Arc<Mutex<config::View>>,
}

impl<P: platform::Platform> Parts<P> {
    /// Starts the tasks behind the request path.
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
            electorates: homes::Electorates::default(),
            events: self.events,
            builder: topology::Builder::new(&settings.instance.domain),
            view: Arc::clone(&self.view),
            home: BTreeSet::new(),
        };
        rt.spawn(applier.run());
        let watcher = capacity::Watcher {
            rt,
            engine: engine.clone(),
            moves,
            view: self.view,
        };
        rt.spawn(watcher.run());
        let exchange = self.peers.exchange().clone();
        rt.spawn(warmth::repeat(rt, engine.clone(), exchange));
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
    limits: server::Settings,
    handler: impl server::Handler,
) -> Result<server::Server, Error> {
    let bound = server::bind(address, limits, handler).await;
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

fn limits(settings: &settings::Settings) -> server::Settings {
    let requests = settings
        .limits
        .concurrency
        .saturating_add(settings.limits.queue);
    let requests = usize::try_from(requests).unwrap_or(usize::MAX);
    server::Settings {
        max_connections: requests.saturating_mul(CONNECTION_FACTOR),
        max_body: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
        ..server::Settings::default()
    }
}
