//! Stand-in upstream: a server of the upstream protocol, with limits, cold starts and faults like
//! those of real upstreams. It counts the queries that it ran.

mod counters;
mod faults;
mod handler;
mod settings;
mod state;

use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_lock::Semaphore;
use async_std::task;
use marigoldloom_http::server;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use counters::Counters;
pub use faults::{Event, FaultUpdate, Faults, InvalidUpdate};
pub use settings::{Overload, ServiceTime, Settings};

/// Limit on the length of a query's body in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Greatest number of connections to the admin listener.
const ADMIN_CONNECTIONS: usize = 16;

/// Interval between attempts to listen again after a crash.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A running stand-in upstream. Dropping it closes its connections and listeners at
/// once, as a crash does.
pub struct Upstream {
    core: Arc<Core>,
    address: SocketAddr,
    admin: server::Server,
    outcome: Receiver<Outcome>,
}

/// Why a stand-in ended without a call to [`Upstream::shut_down`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It crashed, and its settings name no restart.
    Crashed,
    /// A request to `/drain` arrived.
    Drained,
}

/// State that the tasks of one stand-in share.
struct Core {
    rt: AsyncStd,
    settings: Settings,
    state: Mutex<state::State>,
    slots: Arc<Semaphore>,
    server: Mutex<Option<server::Server>>,
    /// Whether it has crashed, all its connections are closed and it doesn't listen yet.
    is_down: AtomicBool,
    rng: Mutex<StdRng>,
    outcome: Sender<Outcome>,
}

/// Starts a stand-in upstream.
///
/// # Errors
///
/// The error of the operating system if an address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Upstream> {
    let rng = StdRng::seed_from_u64(settings.seed);
    let (sender, outcome) = async_channel::bounded(1);
    let core = Arc::new(Core {
        rt: AsyncStd::new(),
        state: Mutex::new(state::State::new(&settings, rand::random())),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        server: Mutex::new(None),
        rng: Mutex::new(rng),
        settings,
        outcome: sender,
        is_down: AtomicBool::new(false),
    });
    let address = core.listen(core.settings.listen).await?;
    let admin_settings = server::Settings {
        max_connections: ADMIN_CONNECTIONS,
        ..server::Settings::default()
    };
    let handler = handler::Admin(Arc::clone(&core));
    let admin = server::bind(core.settings.admin, admin_settings, handler).await?;
    Ok(Upstream {
        core,
        address,
        admin,
        outcome,
    })
}

impl Upstream {
    /// Returns the address of the upstream protocol.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of `/faults`, `/counters` and `/drain`.
    pub const fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns what it has counted since its start.
    pub fn counters(&self) -> Counters {
        self.core.state().counters.clone()
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.core.state().faults.clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.core.state().faults = faults;
    }

    /// Makes an event happen at once.
    pub fn trigger(&self, event: Event) {
        self.core.trigger(event);
    }

    /// Returns the number of queries that run at present.
    pub fn running(&self) -> u32 {
        self.core.state().running()
    }

    /// Refuses new queries from now on; running ones go on.
    pub fn drain(&self) {
        self.core.state().drain();
    }

    /// Waits until it crashes without a restart or a request to `/drain` arrives.
    pub async fn wait(&self) -> Outcome {
        // `self` owns the sender, so the channel isn't closed.
        self.outcome.recv().await.unwrap_or(Outcome::Crashed)
    }

    /// Whether it has crashed with all its connections and doesn't listen yet.
    pub fn is_down(&self) -> bool {
        self.core.is_down.load(Ordering::Relaxed)
    }

    /// Refuses new queries for `Settings::drain_ms`, waits for running ones and stops.
    ///
    /// # Errors
    ///
    /// [`server::Unfinished`] if queries were still running after `limit`.
    pub async fn shut_down(self, limit: Duration) -> Result<(), server::Unfinished> {
        self.drain();
        task::sleep(Duration::from_millis(self.core.settings.drain_ms)).await;
        let server = self.core.server().take();
        match server {
            Some(server) => server.shut_down(limit).await,
            None => Ok(()),
        }
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.core.state().stop();
        drop(self.core.server().take());
    }
}

impl Core {
    /// Starts the server of the upstream protocol; returns its bound address.
    async fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let settings = server::Settings {
            max_connections: self.settings.connections,
            max_body: BODY_LIMIT,
            accept_delay: Duration::from_millis(self.settings.connect_ms),
            ..server::Settings::default()
        };
        let handler = handler::Queries(Arc::clone(self));
        let server = server::bind(address, settings, handler).await?;
        let address = server.address();
        *self.server() = Some(server);
        Ok(address)
    }

    fn trigger(self: &Arc<Self>, event: Event) {
        match event {
            Event::Crash => self.crash(),
            Event::Cold => self.state().go_cold(),
        }
    }

    /// Closes every connection at once; listens again after `Settings::restart_ms`, if set.
    fn crash(self: &Arc<Self>) {
        let server = self.server().take();
        let Some(server) = server else {
            return;
        };
        self.state().crash(rand::random());
        let address = server.address();
        let closed = server.close();
        tracing::warn!(upstream = self.settings.name, "the stand-in crashed");
        match self.settings.restart_ms {
            Some(millis) => {
                let pause = Duration::from_millis(millis);
                task::spawn(Arc::clone(self).restart(address, closed, pause));
            }
            None => self.report_outcome(Outcome::Crashed),
        }
    }

    /// Listens again when `pause` has passed since all connections were `closed`.
    async fn restart(
        self: Arc<Self>,
        address: SocketAddr,
        closed: impl Future<Output = ()>,
        pause: Duration,
    ) {
        closed.await;
        self.is_down.store(true, Ordering::Relaxed);
        task::sleep(pause).await;
        while !self.state().is_stopped() {
            match self.listen(address).await {
                Ok(_) => return self.is_down.store(false, Ordering::Relaxed),
                Err(error) => tracing::warn!(%error, "the stand-in can't listen again yet"),
            }
            task::sleep(BIND_RETRY_INTERVAL).await;
        }
    }

    fn report_outcome(&self, outcome: Outcome) {
        // Fails if an earlier outcome is in the channel, which takes precedence.
        let _ = self.outcome.try_send(outcome);
    }

    fn connections(&self) -> usize {
        let server = self.server();
        server.as_ref().map_or(0, server::Server::connections)
    }

    fn state(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn server(&self) -> MutexGuard<'_, Option<server::Server>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Never returns. Handlers of a crashed stand-in wait here until the server drops them.
async fn wait_for_drop<T>() -> T {
    future::pending().await
}
