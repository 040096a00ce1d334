//! Requests the platform's records from other instances and serves them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use marigoldloom_catalog::feed::{Feed, Revisions, Update};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::relay::{self, POLL_WAIT, RESPONSE_TIMEOUT};
use marigoldloom_http::pool;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

use crate::connection::{self, Connection};

/// Path of a request for records.
pub(crate) const PATH: &str = "/marigoldloom/records";

/// Timeout for opening a connection to an instance of the same failure domain.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Idle timeout of a connection between two requests.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Largest request body in bytes.
const REQUEST_LIMIT: usize = 4 * 1024;

/// Largest response body in bytes: ten times the records of the largest deployment planned.
const RESPONSE_LIMIT: usize = 64 * 1024 * 1024;

/// Body of a request for records.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct RecordsRequest {
    /// Revisions that the requesting instance has.
    known: Revisions,
    /// How long the response may be delayed until there are newer records, in milliseconds.
    wait_ms: u64,
}

/// Client that requests records from other instances. Clones share the connections.
#[derive(Clone)]
pub(crate) struct Peers<R> {
    rt: R,
    pools: Arc<Mutex<BTreeMap<SocketAddr, pool::Pool<Connection>>>>,
}

impl<R: Runtime> Peers<R> {
    /// Creates a client without connections.
    pub(crate) fn new(rt: R) -> Self {
        Self {
            rt,
            pools: Arc::default(),
        }
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
                max_body: RESPONSE_LIMIT,
            };
            pool::Pool::new(address, settings)
        });
        pool.clone()
    }

    async fn exchange(
        &self,
        peer: &Member,
        records_request: &RecordsRequest,
    ) -> Option<(StatusCode, Bytes)> {
        let records_request = serde_json::to_vec(records_request)
            .inspect_err(|error| tracing::warn!(%error, "a request for records can't be encoded"))
            .ok()?;
        let records_request = Bytes::from(records_request);
        let request = || {
            let mut request = Request::new(Full::new(records_request.clone()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static(PATH);
            request
        };
        let pool = self.pool(peer.address);
        let (response, lease) = connection::send(&pool, || RESPONSE_TIMEOUT, request)
            .await
            .ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_LIMIT).collect().await.ok()?;
        lease.return_to_pool();
        Some((head.status, body.to_bytes()))
    }
}

impl<R: Runtime> relay::Peers for Peers<R> {
    async fn poll(
        &self,
        peer: &Member,
        known: &Revisions,
        wait: Duration,
    ) -> Result<Update, relay::Error> {
        let records_request = RecordsRequest {
            known: known.clone(),
            wait_ms: time::millis(wait),
        };
        let exchange = self.exchange(peer, &records_request);
        let answer = runtime::timeout(&self.rt, wait + RESPONSE_TIMEOUT, exchange).await;
        match answer {
            Ok(Some((StatusCode::OK, body))) => serde_json::from_slice(&body).map_err(|error| {
                tracing::warn!(instance = %peer.candidate.name, %error, "records can't be decoded");
                relay::Error::Unreachable
            }),
            Ok(Some((StatusCode::SERVICE_UNAVAILABLE, _))) => Err(relay::Error::Disconnected),
            Ok(_) | Err(_) => Err(relay::Error::Unreachable),
        }
    }
}

/// Answers another instance's request for records.
pub(crate) async fn answer(
    rt: &impl Runtime,
    feed: &Feed,
    records_request: Incoming,
) -> Response<Full<Bytes>> {
    let records_request = Limited::new(records_request, REQUEST_LIMIT).collect().await;
    let records_request = records_request
        .ok()
        .map(http_body_util::Collected::to_bytes);
    let records_request =
        records_request.and_then(|q| serde_json::from_slice::<RecordsRequest>(&q).ok());
    let Some(records_request) = records_request else {
        tracing::warn!("a request for records can't be decoded");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let wait = Duration::from_millis(records_request.wait_ms).min(POLL_WAIT);
    let Some(update) = feed.poll(rt, &records_request.known, wait).await else {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    };
    match serde_json::to_vec(&update) {
        Ok(body) => {
            let mut response = Response::new(Full::new(Bytes::from(body)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            tracing::warn!(%error, "records can't be encoded");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
