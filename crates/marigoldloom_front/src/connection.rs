//! Pooled HTTP/1.1 connections that send requests unchanged.

use std::mem;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use async_std::{future, task};
use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::client::conn::http1;
use marigoldloom_http::{client, pool, socket};
use marigoldloom_upstream::message::Call;
use marigoldloom_upstream::upstream::{Error, Refusal};
use smol_hyper::rt::FuturesIo;

use crate::receive_limit::{LimitedStream, ReceiveLimit, ReceivedBody};
use crate::sent_requests::SentRequests;

/// Largest number of closed connections that a request may take from the pool before it fails.
const STALE_LIMIT: u32 = 4;

/// Time limit for a connection to become ready after its last response.
const READY_LIMIT: Duration = Duration::from_millis(20);

/// Time limit for hyper to close a connection that is dropped.
const CLOSE_LIMIT: Duration = Duration::from_millis(100);

/// Largest buffer of a connection for bytes that were received, and largest head of a response, in
/// bytes.
const BUFFER_LIMIT: usize = 64 * 1024;

/// Valid statuses of responses. hyper rejects lower numbers only.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Largest number of characters of a received id in a log line.
pub(crate) const LOGGED_ID_LEN: usize = 64;

/// A request stops waiting for a connection this long before its deadline, so that it fails as
/// unsent rather than with an unknown outcome.
const UNSENT_MARGIN: Duration = Duration::from_millis(5);

/// An HTTP/1.1 client connection of hyper.
pub struct Connection {
    pub(crate) address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    limit: ReceiveLimit,
    sent: SentRequests,
    /// Whether the connection has had a response.
    responded: bool,
    /// Closed when hyper has closed the connection.
    ended: async_channel::Receiver<()>,
}

impl Connection {
    /// Whether a response that contains `id` answers `request`, the latest one on this connection.
    ///
    /// A response without an id may be an extra response to any earlier request, so it answers only
    /// the first request. The connection must be closed after it.
    pub(crate) fn accepts_response(&mut self, id: Option<&str>, request: &str) -> bool {
        let first = !mem::replace(&mut self.responded, true);
        id.map_or(first, |id| id == request)
    }
}

impl pool::Reusable for Connection {
    async fn open(
        address: SocketAddr,
        _settings: &pool::Settings,
        limit: Duration,
    ) -> Result<Self, client::Error> {
        let stream = socket::connect(address, limit).await;
        let stream = stream.map_err(|_| client::Error::Unreachable)?;
        let limit = ReceiveLimit::new(BUFFER_LIMIT);
        let stream = LimitedStream {
            tcp: stream,
            limit: limit.clone(),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(BUFFER_LIMIT)
            // Otherwise hyper copies each body into a buffer that stays as large as the largest one.
            .writev(true)
            .handshake(FuturesIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| client::Error::Unreachable)?;
        let (open, ended) = async_channel::bounded(1);
        task::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "connection ended");
            }
            drop(open);
        });
        Ok(Self {
            address,
            sender,
            limit,
            sent: SentRequests::default(),
            responded: false,
            ended,
        })
    }

    async fn close(self) {
        let ended = self.ended.clone();
        drop(self);
        // The receiver fails when hyper's task has dropped the sender.
        let _ = future::timeout(CLOSE_LIMIT, ended.recv()).await;
    }

    fn is_usable(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Builds an HTTP request from `call` and `body`.
pub(crate) fn build_request(call: &Call, body: Full<Bytes>) -> Request<Full<Bytes>> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.target.clone());
    *request.headers_mut() = call.headers.clone();
    request
}

/// Sends a request on a connection of `pool` that hasn't carried its `id` before. `left` returns the
/// time until its deadline, `request` the request, or `None` if it must not be sent any more. The
/// connection is closed unless the caller returns it to the pool. Dropping the future also closes it.
///
/// # Errors
///
/// [`Error::Unreachable`] or [`Error::Refused`] if no byte was sent, [`Error::Lost`] otherwise.
pub(crate) async fn send(
    pool: &pool::Pool<Connection>,
    id: Option<&str>,
    left: impl Fn() -> Duration,
    request: impl Fn() -> Option<Request<Full<Bytes>>>,
) -> Result<(Response<ReceivedBody>, pool::Lease<Connection>), Error> {
    for _ in 0..STALE_LIMIT {
        let limit = left().saturating_sub(UNSENT_MARGIN);
        let unused = |c: &Connection| id.is_none_or(|id| !c.sent.contains(id));
        let lease = pool.lease_where(limit, unused).await;
        let mut lease = lease.map_err(|error| match error {
            pool::Error::TimedOut => refused(Refusal::Expired),
            pool::Error::Unreachable => Error::Unreachable,
        })?;
        if left().is_zero() {
            return Err(refused(Refusal::Expired));
        }
        // The connection's task may not have processed the end of the last response yet.
        let ready = future::timeout(READY_LIMIT, lease.connection().sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            continue;
        }
        let Some(request) = request() else {
            lease.return_to_pool();
            return Err(refused(Refusal::Withheld));
        };
        let connection = lease.connection();
        if let Some(id) = id {
            connection.sent.record(id, left());
        }
        connection.limit.reset();
        match connection.sender.try_send_request(request).await {
            Ok(response) if !STATUSES.contains(&response.status().as_u16()) => {
                tracing::info!(
                    request = id.map(|id| id.chars().take(LOGGED_ID_LEN).collect::<String>()),
                    upstream = %connection.address,
                    status = response.status().as_u16(),
                    "response with an invalid status"
                );
                return Err(Error::Lost);
            }
            Ok(response) => {
                let response = response.map(|body| ReceivedBody::new(body, &connection.limit));
                return Ok((response, lease));
            }
            Err(mut error) => {
                // hyper returns the request only if no byte of it was sent.
                let unsent = error.take_message().is_some();
                if !unsent {
                    return Err(Error::Lost);
                }
            }
        }
    }
    Err(Error::Unreachable)
}

/// A refusal without a report.
pub(crate) const fn refused(refusal: Refusal) -> Error {
    Error::Refused {
        refusal,
        report: None,
    }
}
