//! Client that forwards callers' requests to replicas over pooled HTTP/1.1 connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_ENCODING;
use http::{HeaderValue, Request, Response, response};
use http_body_util::Full;
use hyper::ext::ReasonPhrase;
use marigoldloom_http::pool;
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::metrics::Metrics;
use marigoldloom_upstream::message::{self, Head, Reply, Subquery};
use marigoldloom_upstream::upstream::{self, Error, Refusal, Target};

use crate::body::{self, Memory};
use crate::connection::{self, Connection, LOGGED_ID_LEN};
use crate::dialect::{Dialect, ResponseInfo};
use crate::headers;
use crate::receive_limit::ReceivedBody;

/// Interval for closing connections past their idle timeout.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time limit for opening a connection to an upstream that lost one. An address that refuses
/// connections responds within a round trip between regions, 40 ms.
const LOSS_CHECK_LIMIT: Duration = Duration::from_millis(100);

/// Limits of the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for opening a connection. A handshake takes up to 6 ms, and a round trip
    /// between regions 40 ms.
    pub connect_timeout: Duration,
    /// Largest number of connections to one replica being opened at the same time.
    pub max_opening: usize,
    /// Idle timeout of the last remaining idle connection to a replica. Replicas keep the
    /// connections of an instance that lost power and count them against their limit, so idle
    /// connections must be few.
    pub idle_timeout: Duration,
    /// Idle timeout while other connections to the replica are idle too.
    pub spare_timeout: Duration,
    /// Largest response body in bytes.
    pub max_body: usize,
    /// Memory for all response bodies that are being read, in bytes. Small bodies are not counted.
    pub body_memory: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            max_opening: 4,
            idle_timeout: Duration::from_secs(4),
            spare_timeout: Duration::from_secs(1),
            max_body: 4 * 1024 * 1024,
            body_memory: 32 * 1024 * 1024,
        }
    }
}

/// Sends subqueries to replicas, as unchanged HTTP requests. Clones share the connections.
#[derive(Clone)]
pub struct Client<R, D> {
    rt: R,
    dialect: D,
    settings: Arc<Settings>,
    metrics: Metrics,
    memory: Memory,
    channels: Arc<Mutex<BTreeMap<Target, Channel>>>,
}

/// Connections to one replica and the memory for its responses.
#[derive(Clone)]
struct Channel {
    pool: pool::Pool<Connection>,
    memory: Memory,
}

impl<R: Runtime, D: Dialect> Client<R, D> {
    /// Creates a client without connections.
    pub fn new(rt: R, dialect: D, settings: Settings, metrics: Metrics) -> Self {
        Self {
            rt,
            dialect,
            metrics,
            memory: Memory::new(settings.body_memory),
            settings: Arc::new(settings),
            channels: Arc::default(),
        }
    }

    /// Returns the memory for response bodies that are being read.
    pub(crate) fn memory(&self) -> Memory {
        self.memory.clone()
    }

    /// Drops the pools of removed replicas and creates pools for new ones. `share` returns this
    /// instance's share of the connections that a replica of a service accepts; the limit for
    /// a replica that serves several services is the largest share, and at least one.
    pub fn set_topology(
        &self,
        topology: &topology::Topology,
        share: impl Fn(&Arc<str>, u32) -> usize,
    ) {
        let mut limits: BTreeMap<&Target, usize> = BTreeMap::new();
        for (key, service) in topology.services() {
            for replica in service.upstreams().values() {
                let limit = limits.entry(&replica.target).or_insert(1);
                *limit = share(key, replica.connections).max(*limit);
            }
        }
        let mut channels = self.channels();
        let mut old = std::mem::take(&mut *channels);
        for (target, limit) in limits {
            let channel = match old.remove(target) {
                Some(channel) => {
                    channel.pool.set_limit(limit);
                    channel
                }
                None => Channel {
                    pool: self.new_pool(target.address, limit),
                    memory: self.memory.for_sender(),
                },
            };
            channels.insert(target.clone(), channel);
        }
    }

    /// Closes connections past their idle timeout until the future is dropped.
    pub async fn sweep(self) {
        loop {
            self.rt.sleep(SWEEP_PERIOD).await;
            for channel in self.channels().values() {
                channel.pool.sweep();
            }
        }
    }

    fn new_pool(&self, address: SocketAddr, limit: usize) -> pool::Pool<Connection> {
        let settings = pool::Settings {
            max_connections: limit,
            max_opening: self.settings.max_opening,
            connect_timeout: self.settings.connect_timeout,
            idle_timeout: self.settings.idle_timeout,
            spare_timeout: self.settings.spare_timeout,
            max_body: self.settings.max_body,
        };
        pool::Pool::new(address, settings)
    }

    fn channels(&self) -> MutexGuard<'_, BTreeMap<Target, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(
        &self,
        target: &Target,
        subquery: &Subquery,
        admit: impl Fn() -> bool + Send + Sync,
    ) -> Result<Reply, Error> {
        let call = subquery.call.as_ref().ok_or(Error::Unreachable)?;
        let channel = self.channels().get(target).cloned();
        let Channel { pool, memory } = channel.ok_or(Error::Unreachable)?;
        let left = || subquery.deadline.since(self.rt.now());
        let request = || admit().then(|| self.build_request(target, subquery, call, left()));
        let sent = connection::send(&pool, Some(&subquery.request.0), left, request).await;
        let reply = match sent {
            Ok((response, mut lease)) => {
                let connection = lease.connection();
                let read = self.read_response(subquery, response, connection, &memory);
                let (reply, reusable) = read.await;
                match reusable {
                    true => lease.return_to_pool(),
                    false => lease.close(),
                }
                reply
            }
            Err(error) => Err(error),
        };
        match reply {
            Err(Error::Lost) => Err(explain_loss(&pool).await),
            reply => reply,
        }
    }

    fn build_request(
        &self,
        target: &Target,
        subquery: &Subquery,
        call: &message::Call,
        left: Duration,
    ) -> Request<Full<Bytes>> {
        // The body may be large: all attempts share it.
        let body = match subquery.body.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(Arc::clone(&subquery.body)),
        };
        let body = Full::new(body);
        let mut request = connection::build_request(call, body);
        self.dialect
            .set_target(request.headers_mut(), &target.name, left);
        request
    }

    /// Reads a response. Also returns whether the connection can be reused.
    async fn read_response(
        &self,
        subquery: &Subquery,
        response: Response<ReceivedBody>,
        connection: &mut Connection,
        memory: &Memory,
    ) -> (Result<Reply, Error>, bool) {
        let (mut head, body) = response.into_parts();
        let info = self.dialect.parse_response(head.status, &head.headers);
        let id = info.request_id.as_deref();
        let reusable = id.is_some() && !headers::has_connection_close(&head.headers);
        if id.is_none() {
            self.metrics.record_anonymous_response();
        }
        let accepted = connection.accepts_response(id, &subquery.request.0);
        if !accepted || has_spliced_head(&head) {
            self.metrics.record_unmatched_response();
            tracing::info!(
                request = &*subquery.request.0,
                upstream = %connection.address,
                status = head.status.as_u16(),
                received = id.map(|id| id.chars().take(LOGGED_ID_LEN).collect::<String>()),
                "response belongs to another request"
            );
            return (Err(Error::Mismatch), false);
        }
        let body = match body::read(body, self.settings.max_body, memory).await {
            Ok(body) => body,
            Err(error) => {
                tracing::info!(
                    request = &*subquery.request.0,
                    upstream = %connection.address,
                    %error,
                    "response not read"
                );
                return (Err(Error::Lost), false);
            }
        };
        headers::remove_hop_by_hop(&mut head.headers);
        let reply = Reply {
            body,
            head: Some(Box::new(Head {
                status: head.status,
                headers: head.headers,
            })),
            report: info.report,
        };
        (classify(reply, &info), reusable)
    }
}

impl<R: Runtime, D: Dialect> upstream::Upstream for Client<R, D> {
    async fn send(
        &self,
        target: &Target,
        subquery: &Subquery,
        admit: impl Fn() -> bool + Send + Sync,
    ) -> Result<Reply, Error> {
        self.exchange(target, subquery, admit).await
    }

    async fn has_ended(&self, target: &Target) -> bool {
        let channel = self.channels().get(target).cloned();
        match channel {
            Some(channel) => explain_loss(&channel.pool).await == Error::Ended,
            None => false,
        }
    }
}

/// Finds out after a lost connection whether the upstream's process has ended. A new connection is
/// kept for the next request.
async fn explain_loss(pool: &pool::Pool<Connection>) -> Error {
    match pool.lease_new(LOSS_CHECK_LIMIT).await {
        Ok(lease) => {
            lease.return_to_pool();
            Error::Lost
        }
        Err(pool::Error::TimedOut) => Error::Lost,
        Err(pool::Error::Unreachable) => Error::Ended,
    }
}

/// Whether the head of a response begins within the status line or a header of another one, as after a
/// piece of an extra response. A piece that ends elsewhere in a head leaves it malformed.
fn has_spliced_head(head: &response::Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    let in_reason = reason.is_some_and(|r| r.as_bytes().windows(5).any(|bytes| bytes == b"HTTP/"));
    let mut values = head.headers.values().map(HeaderValue::as_bytes);
    in_reason || values.any(|value| value.windows(STATUS_LINE_LEN).any(is_status_line))
}

/// Length of a status line up to its code.
const STATUS_LINE_LEN: usize = "HTTP/1.1 200".len();

/// Whether `bytes`, of [`STATUS_LINE_LEN`], are the beginning of a status line.
const fn is_status_line(bytes: &[u8]) -> bool {
    matches!(
        bytes,
        [
            b'H',
            b'T',
            b'T',
            b'P',
            b'/',
            b'0'..=b'9',
            b'.',
            b'0'..=b'9',
            b' ',
            b'0'..=b'9',
            b'0'..=b'9',
            b'0'..=b'9'
        ]
    )
}

/// Classifies a response as an answer, a refusal or a failure.
fn classify(reply: Reply, info: &ResponseInfo) -> Result<Reply, Error> {
    let head = reply.head.as_ref();
    let status = head.map_or(0, |h| h.status.as_u16());
    let encoded = head.is_some_and(|h| h.headers.contains_key(CONTENT_ENCODING));
    let failed = |reply| Error::Failed {
        status,
        report: Some(info.report),
        reply,
    };
    match status {
        _ if info.misdirected => Err(connection::refused(Refusal::Misdirected)),
        _ if info.not_run => Err(Error::Refused {
            refusal: Refusal::Shed,
            report: Some(info.report),
        }),
        100..=199 => Err(failed(None)),
        200..=299 if encoded || info.signature.is_none() => Err(failed(None)),
        // To callers, these statuses state that the request hasn't run.
        408 | 421 | 429 | 503 => Err(failed(None)),
        500.. => Err(failed(Some(Box::new(reply)))),
        _ => Ok(reply),
    }
}
