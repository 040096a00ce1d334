//! Connection pool for one address.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_lock::{Semaphore, SemaphoreGuard, SemaphoreGuardArc};
use async_std::{future, task};
use derive_more::derive;
use marigoldloom_runtime::clock::{Clock, SystemClock};

use crate::client;
use crate::message;

/// Greatest limit of a pool. Processes have fewer descriptors, and a limit that falls costs a step for
/// each connection.
pub const MAX_LIMIT: usize = 65_536;

/// Limits of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of connections, in use and idle together; at least one is allowed.
    pub max_connections: usize,
    /// Largest number of connections being opened at the same time.
    pub max_opening: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Idle timeout of the last remaining idle connection.
    pub idle_timeout: Duration,
    /// Idle timeout while other connections are idle too, if it is shorter than
    /// `idle_timeout`.
    pub spare_timeout: Duration,
    /// Largest response body in bytes.
    pub max_body: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_connections: 10,
            max_opening: 2,
            connect_timeout: Duration::from_millis(100),
            idle_timeout: Duration::from_secs(20),
            spare_timeout: Duration::from_secs(20),
            max_body: client::BODY_LIMIT,
        }
    }
}

/// A connection that a pool can reuse for several requests.
pub trait Reusable: Sized + Send + 'static {
    /// Opens a connection within `limit`.
    fn open(
        address: SocketAddr,
        settings: &Settings,
        limit: Duration,
    ) -> impl Future<Output = Result<Self, client::Error>> + Send;

    /// Whether the connection can carry another request.
    fn is_usable(&self) -> bool;

    /// Closes the connection, and waits until it is closed on this side.
    fn close(self) -> impl Future<Output = ()> + Send {
        async move { drop(self) }
    }
}

impl Reusable for client::Connection {
    async fn open(
        address: SocketAddr,
        settings: &Settings,
        limit: Duration,
    ) -> Result<Self, client::Error> {
        let connection = client::open(address, limit).await?;
        Ok(connection.with_body_limit(settings.max_body))
    }

    fn is_usable(&self) -> bool {
        Self::is_usable(self)
    }
}

/// Why [`Pool::lease`] returned no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// The caller's time limit passed before a connection was free or opened, which tells
    /// nothing about the server's health.
    #[display("the time limit passed before a connection was free")]
    TimedOut,
    /// The connection attempt failed or took longer than [`Settings::connect_timeout`].
    #[display("the connection can't be opened")]
    Unreachable,
}

struct Idle<C> {
    connection: C,
    start_id: Option<u64>,
    /// When it became idle, on the pool's clock.
    since: Duration,
}

/// A connection and the start id of the server process, if it is known.
type IdentifiedConnection<C> = (C, Option<u64>);

struct Shared<C> {
    address: SocketAddr,
    settings: Settings,
    clock: fn() -> Duration,
    permits: Arc<Semaphore>,
    size: Mutex<Size>,
    opening: Semaphore,
    idle: Mutex<VecDeque<Idle<C>>>,
}

struct Size {
    limit: usize,
    /// Permits in use that are removed when they are returned, after the limit was lowered.
    surplus: usize,
}

impl<C> Shared<C> {
    fn size(&self) -> MutexGuard<'_, Size> {
        self.size.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle(&self) -> MutexGuard<'_, VecDeque<Idle<C>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bounded set of connections to one address. Clones share the connections.
///
/// A permit is held for each connection in use. A new connection is opened only if none
/// is idle, so connections in use and idle together never exceed the number of permits.
pub struct Pool<C = client::Connection> {
    shared: Arc<Shared<C>>,
}

impl<C> Clone for Pool<C> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<C: Reusable> Pool<C> {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self::with_clock(address, settings, || SystemClock.elapsed())
    }

    /// Like [`Pool::new`], but reads the time since a fixed point from `clock`.
    pub fn with_clock(address: SocketAddr, settings: Settings, clock: fn() -> Duration) -> Self {
        let limit = settings.max_connections.clamp(1, MAX_LIMIT);
        let shared = Shared {
            address,
            permits: Arc::new(Semaphore::new(limit)),
            size: Mutex::new(Size { limit, surplus: 0 }),
            opening: Semaphore::new(settings.max_opening),
            settings,
            clock,
            idle: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the largest number of connections; at least one and at most [`MAX_LIMIT`]. Idle connections over the limit
    /// are closed at once, connections in use when they are returned.
    pub fn set_limit(&self, limit: usize) {
        let limit = limit.clamp(1, MAX_LIMIT);
        let permits = &self.shared.permits;
        let mut size = self.shared.size();
        let grown = limit.saturating_sub(size.limit);
        let kept = grown.min(size.surplus);
        size.surplus -= kept;
        permits.add_permits(grown - kept);
        size.surplus += size.limit.saturating_sub(limit);
        size.limit = limit;
        while size.surplus > 0
            && let Some(permit) = permits.try_acquire()
        {
            permit.forget();
            size.surplus -= 1;
        }
        drop(size);
        self.trim_idle();
    }

    /// Closes idle connections for which there is no permit.
    fn trim_idle(&self) {
        let mut idle = self.shared.idle();
        while idle.len() > self.shared.permits.available_permits() {
            idle.pop_front();
        }
    }

    /// Takes an idle connection or opens one within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no connection in time.
    pub async fn lease(&self, limit: Duration) -> Result<Lease<C>, Error> {
        self.lease_where(limit, |_| true).await
    }

    /// Like [`Pool::lease`], but takes an idle connection only if `accepts` returns true for it.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no connection in time.
    pub async fn lease_where(
        &self,
        limit: Duration,
        accepts: impl Fn(&C) -> bool,
    ) -> Result<Lease<C>, Error> {
        let deadline = (self.shared.clock)() + limit;
        let permit = self.acquire(limit).await?;
        let ((connection, start_id), reused) = match self.take_idle(&accepts) {
            Some(idle) => (idle, true),
            None => self.open(deadline, &accepts).await?,
        };
        Ok(Lease {
            connection,
            start_id,
            reused,
            permit,
        })
    }

    /// Opens a connection within `limit` even if one is idle, which shows whether the server
    /// accepts connections now.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no connection in time.
    pub async fn lease_new(&self, limit: Duration) -> Result<Lease<C>, Error> {
        let deadline = (self.shared.clock)() + limit;
        let permit = self.acquire(limit).await?;
        self.trim_idle();
        let _gate = self.await_opening(deadline).await?;
        Ok(Lease {
            connection: self.connect(deadline).await?,
            start_id: None,
            reused: false,
            permit,
        })
    }

    async fn acquire(&self, limit: Duration) -> Result<Permit<C>, Error> {
        let permit = future::timeout(limit, self.shared.permits.acquire_arc()).await;
        Ok(Permit {
            shared: Arc::clone(&self.shared),
            guard: Some(permit.map_err(|_elapsed| Error::TimedOut)?),
        })
    }

    /// Opens a connection, or takes one that became idle meanwhile. Also returns whether it
    /// was used before.
    async fn open(
        &self,
        deadline: Duration,
        accepts: impl Fn(&C) -> bool,
    ) -> Result<(IdentifiedConnection<C>, bool), Error> {
        let _gate = self.await_opening(deadline).await?;
        // Another request may have returned its connection during the wait.
        if let Some(idle) = self.take_idle(accepts) {
            return Ok((idle, true));
        }
        // The new connection takes the place of an idle one that isn't accepted.
        self.trim_idle();
        Ok(((self.connect(deadline).await?, None), false))
    }

    /// Waits until fewer than [`Settings::max_opening`] connections are being opened.
    async fn await_opening(&self, deadline: Duration) -> Result<SemaphoreGuard<'_>, Error> {
        let left = deadline.saturating_sub((self.shared.clock)());
        let gate = future::timeout(left, self.shared.opening.acquire()).await;
        gate.map_err(|_elapsed| Error::TimedOut)
    }

    async fn connect(&self, deadline: Duration) -> Result<C, Error> {
        let settings = &self.shared.settings;
        let left = deadline.saturating_sub((self.shared.clock)());
        let limit = left.min(settings.connect_timeout);
        match C::open(self.shared.address, settings, limit).await {
            Ok(connection) => Ok(connection),
            Err(_) if left < settings.connect_timeout && (self.shared.clock)() >= deadline => {
                Err(Error::TimedOut)
            }
            Err(_) => Err(Error::Unreachable),
        }
    }

    /// Takes the most recently used connection that `accepts` returns true for, so that unneeded
    /// ones reach their idle timeout.
    fn take_idle(&self, accepts: impl Fn(&C) -> bool) -> Option<IdentifiedConnection<C>> {
        let mut idle = self.shared.idle();
        self.drop_expired(&mut idle);
        idle.retain(|entry| entry.connection.is_usable());
        let index = idle.iter().rposition(|entry| accepts(&entry.connection))?;
        let entry = idle.remove(index)?;
        Some((entry.connection, entry.start_id))
    }

    /// Closes connections past their idle timeout. Returns true if no idle connection is
    /// left and no other clone of the pool or lease exists.
    pub fn sweep(&self) -> bool {
        let mut idle = self.shared.idle();
        self.drop_expired(&mut idle);
        idle.is_empty() && Arc::strong_count(&self.shared) == 1
    }

    fn drop_expired(&self, idle: &mut VecDeque<Idle<C>>) {
        let Settings {
            idle_timeout: last,
            spare_timeout,
            ..
        } = self.shared.settings;
        let limit = |others: usize| {
            if others > 0 {
                spare_timeout.min(last)
            } else {
                last
            }
        };
        let now = (self.shared.clock)();
        while idle
            .front()
            .is_some_and(|e| now.saturating_sub(e.since) > limit(idle.len() - 1))
        {
            idle.pop_front();
        }
    }
}

/// A permit for one connection. Dropping it returns the permit or, after the limit was
/// lowered, removes it.
struct Permit<C> {
    shared: Arc<Shared<C>>,
    guard: Option<SemaphoreGuardArc>,
}

impl<C> Drop for Permit<C> {
    fn drop(&mut self) {
        let mut size = self.shared.size();
        match self.guard.take() {
            Some(permit) if size.surplus > 0 => {
                size.surplus -= 1;
                permit.forget();
            }
            permit => drop(permit),
        }
    }
}

/// A connection in use. Dropping it closes the connection.
pub struct Lease<C: Reusable = client::Connection> {
    connection: C,
    start_id: Option<u64>,
    reused: bool,
    permit: Permit<C>,
}

impl<C: Reusable> Lease<C> {
    /// The leased connection.
    pub const fn connection(&mut self) -> &mut C {
        &mut self.connection
    }

    /// Whether the connection carried requests before this lease.
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Start id of the server process; `None` until [`Self::set_start_id`] is called on this
    /// connection.
    pub const fn start_id(&self) -> Option<u64> {
        self.start_id
    }

    /// Stores the start id of the server process, which can't change during the connection.
    pub const fn set_start_id(&mut self, start_id: u64) {
        self.start_id = Some(start_id);
    }

    /// Closes the connection. Another one can be opened in its place once it is closed on this side.
    pub fn close(self) {
        let Self {
            connection, permit, ..
        } = self;
        task::spawn(async move {
            connection.close().await;
            drop(permit);
        });
    }

    /// Returns the connection to the pool. It is closed instead if it is unusable or over
    /// the limit.
    pub fn return_to_pool(self) {
        let shared = &self.permit.shared;
        let (connection, start_id) = (self.connection, self.start_id);
        if connection.is_usable() && shared.size().surplus == 0 {
            let since = (shared.clock)();
            shared.idle().push_back(Idle {
                connection,
                start_id,
                since,
            });
        }
    }
}

impl Lease {
    /// Sends a request and reads the whole response within `limit`.
    ///
    /// # Errors
    ///
    /// As [`client::Connection::send`]. [`client::Error::Stale`] means that a reused
    /// connection had ended before a byte was sent, so the request can be retried on another.
    pub async fn send(
        &mut self,
        request: message::Request,
        limit: Duration,
    ) -> Result<message::Response, client::Error> {
        let result = self.connection.send(request, limit).await;
        result.map_err(|error| match error {
            client::Error::TimedOut { .. } => error,
            error if error.sent() => error,
            _ if self.reused => client::Error::Stale,
            _ => client::Error::Unreachable,
        })
    }
}
