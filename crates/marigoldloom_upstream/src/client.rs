//! Upstream client with a pool of HTTP/1.1 connections for each upstream.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_http::message as http;
use marigoldloom_http::{client, pool};
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time::Timestamp;

use crate::message;
use crate::protocol;
use crate::upstream;

/// Limits of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of connections to one upstream, in use and idle together, unless
    /// [`Client::set_connection_limits`] sets another limit.
    pub max_connections: usize,
    /// Largest number of connections to one upstream being opened at the same time.
    pub max_opening: usize,
    /// Timeout for opening a connection. Opening takes 1 to 6 ms, and a round trip between
    /// regions 20 ms.
    pub connect_timeout: Duration,
    /// Idle timeout of a connection; shorter than the upstream's, so that the upstream rarely
    /// closes a connection on which a subquery has just been sent.
    pub idle_timeout: Duration,
    /// Timeout for sending a cancellation. A cancellation that fails is not retried.
    pub cancel_timeout: Duration,
    /// Largest reply body in bytes.
    pub max_body: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_connections: 10,
            max_opening: 2,
            connect_timeout: Duration::from_millis(100),
            idle_timeout: Duration::from_secs(20),
            cancel_timeout: Duration::from_millis(100),
            max_body: 16 * 1024 * 1024,
        }
    }
}

impl Settings {
    fn pool(&self) -> pool::Settings {
        pool::Settings {
            max_connections: self.max_connections,
            max_opening: self.max_opening,
            connect_timeout: self.connect_timeout,
            idle_timeout: self.idle_timeout,
            spare_timeout: self.idle_timeout,
            max_body: self.max_body,
        }
    }
}

/// Sends subqueries over pooled connections. Clones share the pools.
#[derive(Clone)]
pub struct Client<R> {
    rt: R,
    settings: Arc<Settings>,
    pools: Arc<Mutex<Pools>>,
}

struct Pools {
    limits: BTreeMap<Arc<str>, usize>,
    by_target: BTreeMap<upstream::Target, pool::Pool>,
    /// When idle connections were last closed.
    last_sweep: Timestamp,
}

impl<R: runtime::Runtime> Client<R> {
    /// Creates a client without connections.
    pub fn new(rt: R, settings: Settings) -> Self {
        let pools = Pools {
            limits: BTreeMap::new(),
            by_target: BTreeMap::new(),
            last_sweep: rt.now(),
        };
        Self {
            rt,
            settings: Arc::new(settings),
            pools: Arc::new(Mutex::new(pools)),
        }
    }

    /// Sets this instance's share of each upstream's connections, by upstream name.
    ///
    /// Pools keep open connections up to the new limit.
    pub fn set_connection_limits(&self, limits: BTreeMap<Arc<str>, usize>) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.limits = limits;
        for (target, pool) in &pools.by_target {
            pool.set_limit(self.connection_limit(&pools, target));
        }
    }

    fn connection_limit(&self, pools: &Pools, target: &upstream::Target) -> usize {
        let limit = pools.limits.get(&target.name).copied();
        limit.unwrap_or(self.settings.max_connections)
    }

    fn pool(&self, target: &upstream::Target) -> pool::Pool {
        let now = self.rt.now();
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(pools.last_sweep) > self.settings.idle_timeout {
            pools.last_sweep = now;
            // Pools of removed upstreams become unused and empty.
            pools.by_target.retain(|_, pool| !pool.sweep());
        }
        if let Some(pool) = pools.by_target.get(target) {
            return pool.clone();
        }
        let settings = pool::Settings {
            max_connections: self.connection_limit(&pools, target),
            ..self.settings.pool()
        };
        let pool = pool::Pool::new(target.address, settings);
        pools.by_target.insert(target.clone(), pool.clone());
        pool
    }

    /// Checks that the connection leads to the process with the subquery's start id. On a new
    /// connection, this costs one round trip for a status request.
    async fn verify_process(
        &self,
        lease: &mut pool::Lease,
        subquery: &message::Subquery,
    ) -> Result<(), Failure> {
        let Some(start) = subquery.start_id else {
            return Ok(());
        };
        if lease.start_id() == Some(start) {
            return Ok(());
        }
        let left = subquery.deadline.since(self.rt.now());
        let response = lease.send(protocol::status_request(), left).await;
        let response = response.map_err(|error| match error {
            client::Error::Stale => Failure::Stale,
            client::Error::TimedOut { .. } => Failure::Final(expired()),
            // The subquery itself was not sent.
            _ => Failure::Final(upstream::Error::Unreachable),
        })?;
        let report = protocol::parse_status(&response);
        let report = report.ok_or(Failure::Final(upstream::Error::Unreachable))?;
        lease.set_start_id(report.start_id);
        match report.start_id == start {
            true => Ok(()),
            false => Err(Failure::Final(upstream::Error::Refused {
                refusal: upstream::Refusal::Restarted,
                report: Some(report),
            })),
        }
    }

    /// Sends a subquery on one connection. It is cancelled when the future is dropped or the
    /// deadline passes.
    async fn attempt(
        &self,
        pool: &pool::Pool,
        lease: &mut pool::Lease,
        subquery: &message::Subquery,
    ) -> Result<http::Response, Failure> {
        let left = subquery.deadline.since(self.rt.now());
        if left.is_zero() {
            return Err(Failure::Final(expired()));
        }
        let request = protocol::query_request(subquery, left).map_err(|error| {
            tracing::warn!(%error, "a subquery can't be written as a request");
            Failure::Final(upstream::Error::Unreachable)
        })?;
        let mut cancellation = Cancellation {
            client: self,
            pool,
            subquery,
            armed: true,
        };
        let result = lease.send(request, left).await;
        cancellation.armed = matches!(result, Err(client::Error::TimedOut { sent: true }));
        result.map_err(Failure::from)
    }
}

impl<R: runtime::Runtime> upstream::Upstream for Client<R> {
    async fn send(
        &self,
        target: &upstream::Target,
        subquery: &message::Subquery,
        admit: impl Fn() -> bool + Send + Sync,
    ) -> Result<message::Reply, upstream::Error> {
        let pool = self.pool(target);
        loop {
            let left = subquery.deadline.since(self.rt.now());
            let mut lease = pool.lease(left).await.map_err(|error| match error {
                pool::Error::TimedOut => expired(),
                pool::Error::Unreachable => upstream::Error::Unreachable,
            })?;
            let verified = self.verify_process(&mut lease, subquery).await;
            let result = match verified {
                Ok(()) if !admit() => Err(Failure::Final(upstream::Error::Refused {
                    refusal: upstream::Refusal::Withheld,
                    report: None,
                })),
                Ok(()) => self.attempt(&pool, &mut lease, subquery).await,
                Err(failure) => Err(failure),
            };
            let response = match result {
                Ok(response) => response,
                Err(Failure::Stale) => continue,
                Err(Failure::Final(error)) => {
                    if is_unsent(&error) {
                        lease.return_to_pool();
                    }
                    return Err(error);
                }
            };
            if let Some(report) = protocol::parse_report(&response) {
                lease.set_start_id(report.start_id);
            }
            // Without an echo it may be a copy, and the subquery's own response still to come.
            let echoed = protocol::has_echo(&response);
            let outcome = protocol::parse_response(subquery, response);
            if echoed && outcome != Err(upstream::Error::Mismatch) {
                lease.return_to_pool();
            }
            return outcome;
        }
    }
}

/// Whether the connection is still unused.
const fn is_unsent(error: &upstream::Error) -> bool {
    matches!(
        error,
        upstream::Error::Refused {
            refusal: upstream::Refusal::Restarted | upstream::Refusal::Withheld,
            ..
        }
    )
}

const fn expired() -> upstream::Error {
    upstream::Error::Refused {
        refusal: upstream::Refusal::Expired,
        report: None,
    }
}

/// Why an attempt on one connection got no response.
enum Failure {
    /// A reused connection had ended before a byte was sent; the subquery can be sent on
    /// another one.
    Stale,
    /// The subquery failed and is not sent on another connection.
    Final(upstream::Error),
}

impl From<client::Error> for Failure {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Stale => Self::Stale,
            client::Error::TimedOut { sent: true } => Self::Final(upstream::Error::TimedOut),
            client::Error::TimedOut { sent: false } => Self::Final(expired()),
            error if error.sent() => Self::Final(upstream::Error::Lost),
            _ => Self::Final(upstream::Error::Unreachable),
        }
    }
}

/// Sends a cancellation for the subquery when it is dropped while `armed` is set.
struct Cancellation<'a, R: runtime::Runtime> {
    client: &'a Client<R>,
    pool: &'a pool::Pool,
    subquery: &'a message::Subquery,
    armed: bool,
}

impl<R: runtime::Runtime> Drop for Cancellation<'_, R> {
    fn drop(&mut self) {
        if self.armed {
            let (pool, limit) = (self.pool.clone(), self.client.settings.cancel_timeout);
            let (request, id) = (self.subquery.request.clone(), self.subquery.id);
            self.client
                .rt
                .spawn(async move { cancel(&pool, &request, id, limit).await });
        }
    }
}

/// Sends a cancellation. Its connection counts against the pool's limit.
async fn cancel(
    pool: &pool::Pool,
    request: &message::RequestId,
    id: message::SubqueryId,
    limit: Duration,
) {
    let (Ok(mut lease), Ok(message)) = (
        pool.lease(limit).await,
        protocol::cancel_request(request, id),
    ) else {
        return;
    };
    match lease.send(message, limit).await {
        Ok(_) => lease.return_to_pool(),
        Err(error) => tracing::debug!(%error, subquery = %id, "a cancellation was not sent"),
    }
}
