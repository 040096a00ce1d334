//! One instance of the front end: follows the platform, serves callers, stops on a signal.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use derive_more::derive;
use futures::StreamExt;
use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::fleet;
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::Roster;
use marigoldloom_catalog::source::Source;
use marigoldloom_limits::allowance::{Allowance, Sender};
use marigoldloom_limits::cold;
use marigoldloom_query::engine::{self, Engine};
use marigoldloom_query::hooks::{self, Hooks};
use marigoldloom_routing::{health, home};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time;
use marigoldloom_telemetry::log::Dropped;
use marigoldloom_telemetry::metrics::{self, Metrics};
use signal_hook::consts::signal;
use signal_hook_async_std::Signals;

use crate::client::{self, Client};
use crate::decisions::Decisions;
use crate::dialect::Dialect;
use crate::endpoints::{Figures, Readiness};
use crate::front::{self, Front};
use crate::homes::{self, Homes};
use crate::listener::{self, Handler, Stop};
use crate::records::Peers;
use crate::sharing::Sharing;

/// Time after a stop signal in which new connections are still accepted. The balancer asks
/// each second whether the instance is ready and acts on the second refusal.
const LEAVE_TIME: Duration = Duration::from_millis(2_800);

/// Part of the time between the stop signal and the kill that is kept for the exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Time between two reports of log lines that were not written.
const DROPPED_PERIOD: Duration = Duration::from_secs(10);

/// Time between two looks whether the settings have changed without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);

/// Time between two looks whether all connections are closed.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Latency quantile after which a subquery is hedged.
const HEDGE_QUANTILE: f64 = 0.9;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, the same for all its processes.
    pub name: Arc<str>,
    /// Where other instances forward queries to.
    pub peers: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Path of that question.
    pub readiness_path: &'static str,
    /// Where operators read metrics.
    pub metrics: SocketAddr,
    /// Where the instance is.
    pub place: Place,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// Processor time that the process may use, in cores.
    pub capacity: f64,
    /// Extra attempts that the operators allow per service.
    pub allowance: Allowance,
    /// Limits of connections to replicas.
    pub client: client::Settings,
}

/// Why an instance can't run.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// An address can't be bound.
    #[from(skip)]
    #[display("{address} can't be bound: {error}")]
    Bind {
        /// Address.
        address: SocketAddr,
        /// What the operating system says.
        error: io::Error,
    },
    /// Signals can't be handled.
    #[from(skip)]
    #[display("signals can't be handled: {_0}")]
    Signals(io::Error),
    /// Metrics can't be set up.
    #[display("{_0}")]
    Metrics(metrics::Error),
}

/// Runs an instance until it is told to stop. `reread` gives the settings as they are now, and none
/// if they can't be used; `dropped` gives the log lines that were not written.
///
/// # Errors
///
/// [`Error`] if it can't start.
pub async fn run<S: Source, D: Dialect>(
    settings: Settings,
    source: S,
    dialect: D,
    reread: impl Fn() -> Option<Settings>,
    dropped: impl Fn() -> Dropped + Send + 'static,
) -> Result<(), Error> {
    let rt = AsyncStd::new();
    let signals = Signals::new([signal::SIGTERM, signal::SIGINT, signal::SIGHUP]);
    let signals = signals.map_err(Error::Signals)?;
    let metrics = Metrics::new()?;
    let client = Client::new(rt, dialect.clone(), settings.client.clone());
    rt.spawn(client.clone().sweep());
    let parts = hooks::HookSet {
        versions: hooks::ActiveVersion,
        leases: cold::SingleInstance,
        observer: Decisions::new(metrics.clone()),
    };
    let engine = Engine::new(rt, client.clone(), parts, engine_settings(&settings));
    let own = member(&settings);
    let homes = Homes::new(rt, own.candidate.clone(), settings.place.clone());
    let sharing = Arc::new(Sharing {
        engine: engine.clone(),
        client,
        latest: LatestView::default(),
        homes: Arc::new(homes),
        allowance: Mutex::new(settings.allowance),
    });
    let feed = follow(rt, source, own, &settings.place, &sharing);
    let stop = Stop::default();
    let latest = sharing.latest.clone();
    let front = Front::new(front::Shared {
        rt,
        engine,
        dialect,
        latest: latest.clone(),
        homes: Arc::clone(&sharing.homes),
        feed,
        metrics: metrics.clone(),
        margin: front::margin(settings.capacity),
    });
    bind(settings.peers, front.inner(), stop.clone()).await?;
    bind(settings.callers, front, stop.clone()).await?;
    let readiness = Readiness {
        path: settings.readiness_path,
        latest,
        closing: stop.closing.clone(),
    };
    bind(settings.readiness, readiness, Stop::default()).await?;
    bind(settings.metrics, Figures(metrics), Stop::default()).await?;
    rt.spawn(report_dropped(rt, dropped));
    tracing::info!(
        callers = %settings.callers,
        readiness = %settings.readiness,
        metrics = %settings.metrics,
        "started"
    );
    let mut reload = Reload {
        read: settings.clone(),
        settings,
        reread,
    };
    await_stop(&rt, signals, || {
        if let Some(settings) = reload.look() {
            sharing.set_allowance(settings.allowance);
        }
    })
    .await;
    leave(&rt, &reload.settings, &stop).await;
    Ok(())
}

/// Follows the settings while the instance runs.
struct Reload<F> {
    /// In force. Only [`Settings::grace`] and [`Settings::allowance`] change before the next start.
    settings: Settings,
    /// As they were read last.
    read: Settings,
    reread: F,
}

impl<F: Fn() -> Option<Settings>> Reload<F> {
    /// Reads the settings. Returns those in force from now on if any of them has changed.
    fn look(&mut self) -> Option<&Settings> {
        let new = (self.reread)().filter(|new| *new != self.read)?;
        self.settings.grace = new.grace;
        self.settings.allowance = new.allowance;
        tracing::info!(
            grace_ms = time::millis(new.grace),
            allowance = ?new.allowance,
            restart_needed = new != self.settings,
            "settings changed"
        );
        self.read = new;
        Some(&self.settings)
    }
}

/// This instance as others see it.
fn member(settings: &Settings) -> fleet::Member {
    fleet::Member {
        candidate: home::Candidate {
            name: Arc::clone(&settings.name),
            domain: Arc::clone(&settings.place.domain),
        },
        address: settings.peers,
        capacity: settings.capacity,
    }
}

/// Starts to follow the instances and the platform's records, and puts both in force. Returns
/// the records as other instances get them from here.
fn follow<S, D, H>(
    rt: AsyncStd,
    source: S,
    own: fleet::Member,
    place: &Place,
    sharing: &Arc<Sharing<AsyncStd, D, H>>,
) -> Arc<Feed>
where
    S: Source,
    D: Dialect,
    H: Hooks,
{
    let roster = Arc::new(Roster::new(own.candidate.clone()));
    let feed = Arc::new(Feed::default());
    let sources = Sources {
        platform: source.clone(),
        peers: Peers::new(rt),
        roster: Arc::clone(&roster),
        feed: Arc::clone(&feed),
    };
    let counted = Arc::clone(sharing);
    let apply = move |members| counted.set_members(members);
    rt.spawn(fleet::follow(rt, source, own, roster, apply));
    let viewed = Arc::clone(sharing);
    let apply = move |view| viewed.set_view(view);
    rt.spawn(follower::follow(rt, sources, place.clone(), apply));
    feed
}

fn engine_settings(settings: &Settings) -> engine::Settings {
    engine::Settings {
        quantile: HEDGE_QUANTILE,
        budget: settings.allowance.limits(Sender::Regular(homes::UNCOUNTED)),
        canary: engine::CanaryPolicy::AfterStrike,
        losing_attempts: engine::LosingAttempts::Finish,
        cold_start: health::ColdStart::Announced,
        ..engine::Settings::default()
    }
}

async fn bind(address: SocketAddr, handler: impl Handler, stop: Stop) -> Result<(), Error> {
    let bound = listener::bind(address, handler, stop).await;
    bound.map_err(|error| Error::Bind { address, error })
}

/// Waits for a stop signal. Looks for other settings meanwhile, on a signal and now and then.
async fn await_stop(rt: &impl Runtime, mut signals: Signals, mut reload: impl FnMut()) {
    loop {
        match runtime::timeout(rt, SETTINGS_PERIOD, signals.next()).await {
            Ok(Some(signal::SIGHUP)) => {
                tracing::info!("asked to read the settings again");
                reload();
            }
            Ok(signal) => {
                tracing::info!(signal, "stopping");
                return;
            }
            Err(_) => reload(),
        }
    }
}

/// Logs how many lines were not written.
async fn report_dropped(rt: impl Runtime, dropped: impl Fn() -> Dropped) {
    let mut last = Dropped::default();
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

/// Leaves the balancer's rotation, answers what is running and returns.
async fn leave(rt: &impl Runtime, settings: &Settings, stop: &Stop) {
    stop.closing.cancel();
    rt.sleep(LEAVE_TIME).await;
    stop.stopped.cancel();
    let rest = settings.grace.saturating_sub(LEAVE_TIME + EXIT_MARGIN);
    let end = rt.now() + rest;
    while stop.connections() > 0 && rt.now() < end {
        rt.sleep(STOP_POLL).await;
    }
    tracing::info!(connections = stop.connections(), "stopped");
}
