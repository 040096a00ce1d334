//! JSON messages between instances over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use marigoldloom_http::pool;
use marigoldloom_runtime::runtime::{self, Runtime};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{self, Memory};
use crate::connection::{self, Connection};
use crate::receive_limit::ReceivedBody;

/// Timeout for opening a connection to another instance.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Idle timeout of a connection between two messages.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Number of response bodies of the largest size that are read at the same time.
const MAX_LARGE_BODIES: usize = 4;

/// Client with one connection to each instance. Clones share the connections.
#[derive(Clone)]
pub(crate) struct PeerClient<R> {
    rt: R,
    /// Largest response body in bytes.
    max_body: usize,
    /// Memory for the responses.
    memory: Memory,
    pools: Arc<Mutex<BTreeMap<SocketAddr, pool::Pool<Connection>>>>,
}

impl<R: Runtime> PeerClient<R> {
    /// Creates a client without connections that accepts response bodies of up to `max_body` bytes.
    pub(crate) fn new(rt: R, max_body: usize) -> Self {
        Self {
            rt,
            max_body,
            memory: Memory::new(MAX_LARGE_BODIES * max_body),
            pools: Arc::default(),
        }
    }

    /// Closes the connections to all instances except `kept`.
    pub(crate) fn retain(&self, kept: &[SocketAddr]) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.retain(|address, _| kept.contains(address));
    }

    /// Sends a message and returns the status and body of the response; `None` if none arrives
    /// within `limit`.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let message = serde_json::to_vec(message)
            .inspect_err(|error| tracing::warn!(path, %error, "a message can't be encoded"))
            .ok()?;
        let message = Bytes::from(message);
        let request = || {
            let mut request = Request::new(Full::new(message.clone()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static(path);
            request
        };
        let exchange = self.exchange(address, limit, request);
        runtime::timeout(&self.rt, limit, exchange).await.ok()?
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        limit: Duration,
        request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Option<(StatusCode, Bytes)> {
        let pool = self.pool(address);
        // Messages have no ids: each one is sent once and has one response.
        let (response, lease) = connection::send(&pool, None, || limit, || Some(request()))
            .await
            .ok()?;
        let (head, body) = response.into_parts();
        let body = body::read(body, self.max_body, &self.memory).await.ok()?;
        lease.return_to_pool();
        Some((head.status, Bytes::from(body)))
    }

    fn pool(&self, address: SocketAddr) -> pool::Pool<Connection> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(address).or_insert_with(|| {
            let settings = pool::Settings {
                max_connections: 1,
                max_opening: 1,
                connect_timeout: CONNECT_LIMIT,
                idle_timeout: IDLE_LIMIT,
                spare_timeout: IDLE_LIMIT,
                max_body: self.max_body,
            };
            pool::Pool::new(address, settings)
        });
        pool.clone()
    }
}

/// Reads a message of at most `limit` bytes. Returns `None` and logs the error if it can't be
/// decoded.
pub(crate) async fn read<T: DeserializeOwned>(body: ReceivedBody, limit: usize) -> Option<T> {
    let body = body::read(body, limit, &Memory::new(limit)).await.ok()?;
    serde_json::from_slice(&body)
        .inspect_err(|error| tracing::warn!(%error, "a message of an instance can't be decoded"))
        .ok()
}

/// Returns a response with a message.
pub(crate) fn respond(message: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(message) {
        Ok(body) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            tracing::warn!(%error, "a response to an instance can't be encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
