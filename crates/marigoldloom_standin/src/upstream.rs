//! Stand-in upstream: a task that speaks the upstream protocol, with limits, cold
//! starts and faults like those of real upstreams, and true counts of what ran.

mod counters;
mod faults;
mod handler;
mod settings;
mod state;

use std::future;
use std::io;
use std::net::SocketAddr;
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
pub use faults::{Change, Event, Faults, Invalid};
pub use settings::{Overload, Service, Settings};

/// Largest query body in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Connections of the admin listener.
const ADMIN_CONNECTIONS: usize = 16;

/// Pause between attempts to listen again after a crash.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A running stand-in upstream. Dropping it ends it at once, as a crash does.
pub struct Upstream {
    core: Arc<Core>,
    address: SocketAddr,
    admin: server::Server,
    ended: Receiver<Outcome>,
}

/// Why a stand-in ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It crashed and doesn't restart.
    Crashed,
    /// A drain was asked for by `/drain`.
    Drained,
}

/// What the tasks of one stand-in share.
struct Core {
    rt: AsyncStd,
    settings: Settings,
    state: Mutex<state::State>,
    slots: Arc<Semaphore>,
    server: Mutex<Option<server::Server>>,
    rng: Mutex<StdRng>,
    ended: Sender<Outcome>,
}

/// Starts a stand-in upstream.
///
/// # Errors
///
/// The error of the operating system if an address can't be bound.
pub async fn start(settings: Settings) -> io::Result<Upstream> {
    let rng = StdRng::seed_from_u64(settings.seed);
    let (sender, ended) = async_channel::bounded(1);
    let core = Arc::new(Core {
        rt: AsyncStd::new(),
        state: Mutex::new(state::State::new(&settings, rand::random())),
        slots: Arc::new(Semaphore::new(settings.slots as usize)),
        server: Mutex::new(None),
        rng: Mutex::new(rng),
        settings,
        ended: sender,
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
        ended,
    })
}

impl Upstream {
    /// Address of the upstream protocol.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of `/faults`, `/counters` and `/drain`.
    pub const fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// What ran so far.
    pub fn counters(&self) -> Counters {
        self.core.state().counters.clone()
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.core.state().faults.clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.core.state().faults = faults;
    }

    /// Makes an event happen now.
    pub fn trigger(&self, event: Event) {
        self.core.trigger(event);
    }

    /// Queries running now.
    pub fn running(&self) -> u32 {
        self.core.state().running()
    }

    /// Refuses new queries from now on.
    pub fn drain(&self) {
        self.core.state().drain();
    }

    /// Waits until it has crashed for good or `/drain` asks it to end.
    pub async fn wait(&self) -> Outcome {
        // The sender lives as long as `self`, so the channel isn't closed.
        self.ended.recv().await.unwrap_or(Outcome::Crashed)
    }

    /// Drains, finishes running queries and ends.
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
        self.core.state().end();
        drop(self.core.server().take());
    }
}

impl Core {
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

    /// Closes every connection at once; listens again later if the settings say so.
    fn crash(self: &Arc<Self>) {
        let server = self.server().take();
        let Some(server) = server else {
            return;
        };
        self.state().crash(rand::random());
        let address = server.address();
        drop(server);
        tracing::warn!(upstream = self.settings.name, "the stand-in crashes");
        match self.settings.restart_ms {
            Some(millis) => {
                let pause = Duration::from_millis(millis);
                task::spawn(Arc::clone(self).restart(address, pause));
            }
            None => self.end(Outcome::Crashed),
        }
    }

    async fn restart(self: Arc<Self>, address: SocketAddr, pause: Duration) {
        task::sleep(pause).await;
        while !self.state().has_ended() {
            match self.listen(address).await {
                Ok(_) => return,
                Err(error) => tracing::warn!(%error, "the stand-in can't listen yet"),
            }
            task::sleep(BIND_PAUSE).await;
        }
    }

    fn end(&self, outcome: Outcome) {
        // A full channel already says that it has ended.
        let _ = self.ended.try_send(outcome);
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

/// Where a query ends whose process has crashed; the server drops it.
async fn crashed<T>() -> T {
    future::pending().await
}
