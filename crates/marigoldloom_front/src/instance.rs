//! One instance of the front end: follows the platform's records, serves callers and shuts down
//! on a signal.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::{fmt, io, mem};

use derive_more::derive;
use futures::future::Either;
use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::fleet;
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::Roster;
use marigoldloom_catalog::source::Source;
use marigoldloom_limits::allowance::{Allowance, Sender};
use marigoldloom_limits::cold;
use marigoldloom_moves::plan::Exposure;
use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_query::engine::{self, Engine};
use marigoldloom_query::hooks::{self, Hooks};
use marigoldloom_routing::{health, home};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_telemetry::log::DroppedLines;
use marigoldloom_telemetry::metrics::{self, Metrics};
use marigoldloom_upstream::upstream::Upstream;

use crate::body::Memory;
use crate::calls::CountedSource;
use crate::client::{self, Client};
use crate::decisions::DecisionLog;
use crate::dialect::Dialect;
use crate::endpoints::{MetricsEndpoint, ReadinessEndpoint};
use crate::exchange::PeerExchange;
use crate::front::{self, Front};
use crate::homes::{self, Homes};
use crate::listener::{self, Stop};
use crate::moves::{self, Moves, Versions};
use crate::reader::Reader;
use crate::records::Peers;
use crate::sharing::Sharing;
use crate::signals::{Signal, Signals};
use crate::start::{self, Start};
use crate::strikes;

/// How long new connections are accepted after a stop signal. The load balancer checks readiness
/// each second and removes the instance after the second failed check.
const ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// Part of [`Settings::grace`] before the exit in which requests that still run are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Part of [`Settings::grace`] that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Pause before the address for metrics is tried again.
const METRICS_PAUSE: Duration = Duration::from_secs(5);

/// Interval for reporting log lines that were dropped.
const DROPPED_PERIOD: Duration = Duration::from_secs(10);

/// Interval for reading the settings again without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);

/// Interval for checking during a shutdown whether all connections are closed.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Latency quantile after which a subquery is hedged.
const HEDGE_QUANTILE: f64 = 0.9;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance; restarts keep it.
    pub name: Arc<str>,
    /// Address where other instances forward queries and request records.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Failure domain and region of the instance.
    pub place: Place,
    /// Time between the stop signal and the forced end of the process.
    pub grace: Duration,
    /// Processor cores that the process may use.
    pub capacity: f64,
    /// Extra attempts that the operators allow per service.
    pub allowance: Allowance,
    /// Largest number of requests that a bad version may get during a version move.
    pub exposure: Exposure,
    /// Limits on connections to replicas.
    pub client: client::Settings,
    /// Memory for the bodies of requests, in bytes. Small bodies are not counted.
    pub request_memory: usize,
}

/// Why an instance can't start. `E` is the error of its settings.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error<E> {
    /// The settings can't be used.
    #[display("{_0}")]
    Settings(E),
    /// The settings take too long to read.
    #[display("the settings aren't read within {_0:?}")]
    #[error(ignore)]
    Unread(Duration),
    /// An address can't be bound.
    #[display("{address} can't be bound: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// Signals can't be waited for.
    #[from]
    #[display("signals can't be handled: {_0}")]
    Signals(io::Error),
    /// Metrics can't be set up.
    #[display("{_0}")]
    Metrics(metrics::Error),
}

/// Runs an instance until a stop signal. `read` returns the current settings and the source of
/// records that they name; `dropped` returns how many log lines were dropped so far.
///
/// # Errors
///
/// [`Error`] if it can't start.
pub async fn run<S, D, E>(
    mut signals: Signals,
    dialect: D,
    read: impl Fn() -> Result<(Settings, S), E> + Clone + Send + 'static,
    dropped: impl Fn() -> DroppedLines + Send + 'static,
) -> Result<(), Error<E>>
where
    S: Source,
    D: Dialect,
    E: fmt::Display + Send + 'static,
{
    let rt = AsyncStd::new();
    let mut reader = Reader::new(read);
    // Until it listens on its addresses, the instance doesn't register.
    let Some(start) = start::start(&rt, &mut signals, &mut reader).await? else {
        return Ok(());
    };
    let Start {
        settings,
        source,
        listeners,
    } = start;
    rt.spawn(rt.watch_suspensions());
    let metrics = Metrics::new().map_err(Error::Metrics)?;
    let source = CountedSource {
        source,
        metrics: metrics.clone(),
        counted_era: Arc::default(),
    };
    let client = Client::new(
        rt,
        dialect.clone(),
        settings.client.clone(),
        metrics.clone(),
    );
    rt.spawn(client.clone().sweep());
    let writer: Arc<str> = Arc::from(format!("{}@{}", settings.name, rt.wall().0));
    let exchange = PeerExchange::new(rt, Arc::clone(&settings.name));
    let moves = Moves::new(rt, exchange.clone(), Arc::clone(&writer), settings.exposure);
    let (saved, queue) = async_channel::bounded(strikes::SAVE_QUEUE);
    let hooks = hooks::HookSet {
        versions: Versions(moves.clone()),
        leases: cold::SingleInstance,
        observer: DecisionLog {
            metrics: metrics.clone(),
            moves: moves.clone(),
            exchange: exchange.clone(),
            writer,
            saved,
        },
    };
    let engine = Engine::new(rt, client.clone(), hooks, engine_settings(&settings));
    rt.spawn(share_strikes(exchange.clone(), engine.clone()));
    let own = member(&settings);
    let roster = Arc::new(Roster::new(own.candidate.clone()));
    let restored = strikes::restore(rt, source.clone(), exchange.clone(), Arc::clone(&roster));
    rt.spawn(restored);
    let (candidate, place) = (own.candidate.clone(), settings.place.clone());
    let homes = Homes::new(rt, candidate, place, client.memory());
    let sharing = Arc::new(Sharing {
        rt,
        engine: engine.clone(),
        client,
        latest: LatestView::default(),
        homes: Arc::new(homes),
        allowance: Mutex::new(settings.allowance),
        exchange: exchange.clone(),
        moves: moves.clone(),
        feed: Arc::default(),
    });
    let feed = Arc::clone(&sharing.feed);
    rt.spawn(strikes::save(rt, source.clone(), queue, Arc::clone(&feed)));
    follow(rt, source.clone(), own, roster, &settings.place, &sharing);
    let latest = sharing.latest.clone();
    rt.spawn(moves::run(rt, source, moves, latest, Arc::clone(&feed)));
    let stop = Stop::default();
    let latest = sharing.latest.clone();
    let front = Front::new(front::Shared {
        rt,
        engine,
        dialect,
        latest: latest.clone(),
        homes: Arc::clone(&sharing.homes),
        feed,
        exchange,
        metrics: metrics.clone(),
        drain: stop.drain.clone(),
        memory: Memory::new(settings.request_memory),
        margin: front::objective_margin(settings.capacity),
    });
    listener::serve(listeners.peers, front.for_peers(), stop.clone());
    listener::serve(listeners.callers, front, stop.clone());
    let readiness = ReadinessEndpoint {
        path: settings.readiness_path,
        latest,
        closing: stop.closing.clone(),
    };
    let observed = readiness.clone();
    metrics.observe_readiness(move || observed.is_ready());
    listener::serve(listeners.checks, readiness, Stop::default());
    rt.spawn(serve_metrics(rt, settings.metrics_address, metrics));
    rt.spawn(report_dropped(rt, dropped));
    tracing::info!(
        callers = %settings.caller_address,
        readiness = %settings.readiness_address,
        metrics = %settings.metrics_address,
        "started"
    );
    let mut reload = Reload {
        last_read: settings.clone(),
        settings,
    };
    let apply = |read| match read {
        Ok((new, _)) => {
            if let Some(settings) = reload.apply(new) {
                sharing.set_allowance(settings.allowance);
            }
        }
        Err(error) => tracing::warn!(%error, "the settings can't be used"),
    };
    await_stop(&rt, &mut signals, &mut reader, apply).await?;
    shut_down(&rt, &reload.settings, &stop).await;
    Ok(())
}

/// Reloads the settings while the instance runs.
struct Reload {
    /// Current settings. Only [`Settings::grace`] and [`Settings::allowance`] change without a
    /// restart.
    settings: Settings,
    /// The settings that were read last.
    last_read: Settings,
}

impl Reload {
    /// Applies settings that were read. If any of them has changed, returns the settings now in
    /// effect.
    fn apply(&mut self, new: Settings) -> Option<&Settings> {
        if new == self.last_read {
            return None;
        }
        self.settings.grace = new.grace;
        self.settings.allowance = new.allowance;
        tracing::info!(
            grace_ms = time::millis(new.grace),
            allowance = ?new.allowance,
            restart_needed = new != self.settings,
            "settings changed"
        );
        self.last_read = new;
        Some(&self.settings)
    }
}

/// This instance as a member of the tier.
fn member(settings: &Settings) -> fleet::Member {
    fleet::Member {
        candidate: home::Candidate {
            name: Arc::clone(&settings.name),
            domain: Arc::clone(&settings.place.domain),
        },
        address: settings.peer_address,
        capacity: settings.capacity,
    }
}

/// Applies the strikes that other instances publish, for as long as the future is polled.
async fn share_strikes<U: Upstream, H: Hooks>(
    exchange: PeerExchange<AsyncStd>,
    engine: Engine<AsyncStd, U, H>,
) {
    let apply = |entry: &Entry| {
        let strikes = Some(entry).filter(|e| e.space == Space::Strike);
        if let Some((fingerprint, writer, strikes)) = strikes.and_then(strikes::parse) {
            engine.merge_strikes(writer, fingerprint, strikes);
        }
        let silence = Some(entry).filter(|e| e.space == Space::Strike);
        if let Some((fingerprint, writer, silence)) = silence.and_then(strikes::parse_silence) {
            engine.merge_silence(writer, fingerprint, silence);
        }
    };
    exchange.run(apply).await;
}

/// Starts to follow the list of instances and the platform's records and to apply their changes.
fn follow<S, D, H>(
    rt: AsyncStd,
    source: S,
    own: fleet::Member,
    roster: Arc<Roster>,
    place: &Place,
    sharing: &Arc<Sharing<AsyncStd, D, H>>,
) where
    S: Source,
    D: Dialect,
    H: Hooks,
{
    let sources = Sources {
        platform: source.clone(),
        peers: Peers::new(rt),
        roster: Arc::clone(&roster),
        feed: Arc::clone(&sharing.feed),
    };
    let counted = Arc::clone(sharing);
    let apply = move |members| counted.set_members(members);
    rt.spawn(fleet::follow(rt, source, own, roster, apply));
    let viewed = Arc::clone(sharing);
    let apply = move |view| viewed.set_view(view);
    rt.spawn(follower::follow(rt, sources, place.clone(), apply));
}

fn engine_settings(settings: &Settings) -> engine::Settings {
    engine::Settings {
        quantile: HEDGE_QUANTILE,
        budget: settings
            .allowance
            .limits(Sender::Regular(homes::ASSUMED_INSTANCES)),
        canary: engine::CanaryPolicy::AfterStrike,
        losing_attempts: engine::LosingAttempts::Finish,
        cold_start: health::ColdStart::Announced,
        ..engine::Settings::default()
    }
}

/// Serves metrics once `address` can be bound. The instance works without them.
async fn serve_metrics(rt: impl Runtime, address: SocketAddr, metrics: Metrics) {
    let mut reported = false;
    loop {
        match listener::bind(address).await {
            Ok(listener) => {
                return listener::serve(listener, MetricsEndpoint(metrics), Stop::default());
            }
            Err(error) if !mem::replace(&mut reported, true) => {
                tracing::warn!(%address, %error, "metrics aren't served yet");
            }
            Err(_) => {}
        }
        rt.sleep(METRICS_PAUSE).await;
    }
}

/// Waits for a stop signal. Meanwhile reads the settings on each SIGHUP and at regular intervals, and
/// calls `apply` with the results.
async fn await_stop<F, T>(
    rt: &impl Runtime,
    signals: &mut Signals,
    reader: &mut Reader<F, T>,
    mut apply: impl FnMut(T),
) -> io::Result<()>
where
    F: Fn() -> T + Clone + Send + 'static,
    T: Send + 'static,
{
    let mut pause = SETTINGS_PERIOD;
    loop {
        let read = async {
            rt.sleep(pause).await;
            reader.read(rt).await
        };
        pause = match signals.during(read).await? {
            Either::Left(Signal::Stop(signal)) => {
                tracing::info!(signal, "stopping");
                return Ok(());
            }
            Either::Left(Signal::Reload) => {
                tracing::info!("reloading the settings");
                Duration::ZERO
            }
            Either::Right(result) => {
                result.map(&mut apply);
                SETTINGS_PERIOD
            }
        };
    }
}

/// Logs how many log lines were dropped.
async fn report_dropped(rt: impl Runtime, dropped: impl Fn() -> DroppedLines) {
    let mut last = DroppedLines::default();
    loop {
        rt.sleep(DROPPED_PERIOD).await;
        let now = dropped();
        if now != last {
            tracing::warn!(
                limited = now.limited - last.limited,
                full = now.full - last.full,
                "log lines were dropped"
            );
            last = now;
        }
    }
}

/// Waits until all connections are closed, at most until `end`.
async fn await_connections(rt: &impl Runtime, stop: &Stop, end: Timestamp) {
    while stop.connections() > 0 && rt.now() < end {
        rt.sleep(STOP_POLL).await;
    }
}

/// Fails readiness checks until the load balancer has removed the instance, then waits until all
/// connections are closed or the grace period ends.
async fn shut_down(rt: &impl Runtime, settings: &Settings, stop: &Stop) {
    let end = rt.now() + settings.grace.saturating_sub(EXIT_MARGIN);
    let last_answers = rt.now() + settings.grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
    stop.drain.begin(last_answers);
    stop.closing.cancel();
    rt.sleep(ACCEPT_TIME.min(settings.grace / 2)).await;
    stop.stopped.cancel();
    await_connections(rt, stop, last_answers).await;
    let cut = stop.connections();
    stop.drain.finish();
    await_connections(rt, stop, end).await;
    if cut > 0 {
        tracing::warn!(connections = cut, "requests ended by the stop");
    }
    tracing::info!(connections = stop.connections(), "stopped");
}
