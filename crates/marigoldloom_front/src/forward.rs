//! Forwards queries to home instances of the tier.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::Full;
use marigoldloom_http::pool;
use marigoldloom_routing::health;
use marigoldloom_runtime::delay::DelayEstimate;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_upstream::message::{Call, Report};
use marigoldloom_upstream::upstream::Error;

use crate::body::{self, Memory};
use crate::connection::{self, Connection};
use crate::headers;
use crate::homes::ReservedHome;
use crate::listener::AddedHead;

/// Header with the version of the configuration that routed a forwarded query. An instance with
/// another version doesn't run the query, and the forwarding instance serves it.
const VERSION_HEADER: HeaderName = HeaderName::from_static("x-marigoldloom-version");

/// Header with the time in milliseconds within which the answer to a forwarded query meets the
/// route's objective.
const DUE_HEADER: HeaderName = HeaderName::from_static("x-marigoldloom-due-ms");

/// Response header with the time in microseconds that an instance worked on a forwarded query.
const WORKED_HEADER: HeaderName = HeaderName::from_static("x-marigoldloom-worked-us");

/// Response header, present if the instance did not run a forwarded query, so that the
/// forwarding instance may serve it.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-marigoldloom-not-run");

/// Upper bound on what forwarding adds to the head of a request: the headers with the version, the
/// due time and the timeout, and a space in each header that came without one.
pub(crate) const ADDED_HEAD: AddedHead = AddedHead {
    headers: 3,
    bytes: 512,
};

/// Value of [`NOT_RUN_HEADER`] if upstreams have received the query.
const ARRIVED: HeaderValue = HeaderValue::from_static("arrived");

/// Largest number of connections to one other instance.
const MAX_CONNECTIONS: usize = 16;

/// Timeout for opening a connection to another instance: several times the delay between
/// regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// Idle timeout of a connection to another instance.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Largest response body in bytes.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// Outcome of forwarding a query.
#[derive(Debug)]
pub(crate) enum Forwarded {
    /// The home instance answered.
    Answered(Box<Response<Vec<u8>>>),
    /// The home instance did not run it; this instance serves it.
    NotRun {
        /// Whether it may have reached upstreams, which refused it.
        arrived: bool,
    },
    /// The home instance may have run it, but no answer arrived.
    Lost,
}

/// A query to forward.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    /// Request id from the caller.
    pub(crate) id: &'a str,
    /// The caller's HTTP request.
    pub(crate) call: &'a Call,
    /// Version of the configuration that routed it.
    pub(crate) version: u64,
    /// Time until which its answer meets the route's objective.
    pub(crate) due: Timestamp,
    /// Time when the caller stops waiting.
    pub(crate) deadline: Timestamp,
}

/// Information from the headers of a forwarded query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardHeaders {
    /// Version of the configuration that routed it.
    pub(crate) version: u64,
    /// Time left in which its answer meets the route's objective.
    pub(crate) due: Duration,
}

/// Connections to another instance and this instance's view of its health.
pub(crate) struct Peer {
    address: SocketAddr,
    pub(crate) health: health::Health,
    pool: pool::Pool<Connection>,
    /// Memory for its answers.
    memory: Memory,
    /// Duration of an exchange without the time that the other instance worked.
    network_delay: DelayEstimate,
}

impl Peer {
    /// Creates a peer without connections or observations. Its answers use a part of `memory`.
    pub(crate) fn new(now: Timestamp, address: SocketAddr, memory: &Memory) -> Self {
        let observation = health::Observation {
            cold_start: health::ColdStart::Announced,
            detect_silence: true,
        };
        let settings = pool::Settings {
            max_connections: MAX_CONNECTIONS,
            max_opening: MAX_CONNECTIONS,
            connect_timeout: CONNECT_LIMIT,
            idle_timeout: IDLE_LIMIT,
            spare_timeout: IDLE_LIMIT,
            max_body: ANSWER_LIMIT,
        };
        Self {
            address,
            health: health::Health::new(now, observation),
            pool: pool::Pool::new(address, settings),
            memory: memory.for_sender(),
            network_delay: DelayEstimate::default(),
        }
    }

    /// Records the network delay of an exchange. Returns how long the other instance worked.
    fn record_delay(&self, elapsed: Duration, headers: &mut HeaderMap) -> Option<Duration> {
        let worked = parse_number(&headers.remove(WORKED_HEADER)?)?;
        let worked = Duration::from_micros(worked);
        self.network_delay.record(elapsed.saturating_sub(worked));
        Some(worked)
    }
}

/// Forwards a query to a home instance.
pub(crate) async fn forward(rt: &impl Runtime, home: ReservedHome, query: &Query<'_>) -> Forwarded {
    let ReservedHome { peer, sent } = home;
    let exchange = exchange(rt, &peer, query);
    let result = runtime::timeout_at(rt, query.deadline, exchange).await;
    let result = result.unwrap_or(Err(Error::TimedOut));
    let now = rt.now();
    match result {
        Ok(mut response) => {
            let warmup = health::Warmup::default();
            peer.health
                .record_success(now, sent, &Report::default(), &warmup);
            let elapsed = now.since(sent);
            let worked = peer.record_delay(elapsed, response.headers_mut());
            if now > query.due {
                tracing::info!(
                    request = query.id,
                    instance = %peer.address,
                    elapsed_ms = time::millis(elapsed),
                    worked_ms = worked.map(time::millis),
                    late_ms = time::millis(now.since(query.due)),
                    "late answer of a home instance"
                );
            }
            match response.headers_mut().remove(NOT_RUN_HEADER) {
                Some(value) => {
                    let arrived = value == ARRIVED;
                    tracing::info!(
                        request = query.id,
                        instance = %peer.address,
                        elapsed_ms = time::millis(elapsed),
                        arrived,
                        "query refused by a home instance"
                    );
                    Forwarded::NotRun { arrived }
                }
                None => Forwarded::Answered(Box::new(response)),
            }
        }
        Err(error) => {
            tracing::info!(
                request = query.id,
                instance = %peer.address,
                latency_ms = time::millis(now.since(sent)),
                %error,
                "query not answered by a home instance"
            );
            peer.health
                .record_failure(now, sent, query.deadline, &error);
            match error.not_run() {
                true => Forwarded::NotRun { arrived: false },
                false => Forwarded::Lost,
            }
        }
    }
}

async fn exchange(
    rt: &impl Runtime,
    peer: &Peer,
    query: &Query<'_>,
) -> Result<Response<Vec<u8>>, Error> {
    let network_delay = peer.network_delay.upper_bound();
    let request = || {
        let due = query.due.since(rt.now()).saturating_sub(network_delay);
        let mut request = connection::build_request(query.call, Full::default());
        let headers = request.headers_mut();
        headers.insert(VERSION_HEADER, HeaderValue::from(query.version));
        headers.insert(DUE_HEADER, HeaderValue::from(time::millis(due)));
        request
    };
    let left = || query.deadline.since(rt.now());
    let (response, lease) =
        connection::send(&peer.pool, Some(query.id), left, || Some(request())).await?;
    let (mut head, body) = response.into_parts();
    let reusable = !headers::has_connection_close(&head.headers);
    headers::remove_hop_by_hop(&mut head.headers);
    let body = body::read(body, ANSWER_LIMIT, &peer.memory).await;
    let body = body.map_err(|_incomplete| Error::Lost)?;
    if reusable {
        lease.return_to_pool();
    }
    Ok(Response::from_parts(head, body))
}

/// Removes and parses the headers of a forwarded query; `None` if one is missing or invalid,
/// as in a request of a caller.
pub(crate) fn take_headers(headers: &mut HeaderMap) -> Option<ForwardHeaders> {
    let version = headers.remove(VERSION_HEADER);
    let due = headers.remove(DUE_HEADER);
    Some(ForwardHeaders {
        version: parse_number(&version?)?,
        due: Duration::from_millis(parse_number(&due?)?),
    })
}

/// Sets the header with the time that this instance worked on a forwarded query.
pub(crate) fn set_worked(headers: &mut HeaderMap, worked: Duration) {
    let worked = u64::try_from(worked.as_micros()).unwrap_or(u64::MAX);
    headers.insert(WORKED_HEADER, HeaderValue::from(worked));
}

/// Sets the header that tells that this instance did not run a forwarded query. The status alone
/// doesn't tell: it may come from an upstream.
pub(crate) fn set_not_run(headers: &mut HeaderMap) {
    headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
}

/// Adds to the header of [`set_not_run`], if there is one, that upstreams have received the query.
pub(crate) fn set_arrived(headers: &mut HeaderMap) {
    if let Some(value) = headers.get_mut(NOT_RUN_HEADER) {
        *value = ARRIVED;
    }
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
