//! Forwards queries to other instances of the tier.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use http_body_util::{BodyExt, Full, Limited};
use marigoldloom_http::pool;
use marigoldloom_routing::health;
use marigoldloom_runtime::delay::Delay;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_upstream::message::{Call, Report};
use marigoldloom_upstream::upstream::Error;

use crate::headers;
use crate::homes::Reserved;
use crate::links::{self, Link};

/// Version of the configuration by which a forwarded query was routed. An instance with another
/// one leaves the query to its sender.
const VERSION: HeaderName = HeaderName::from_static("x-marigoldloom-version");

/// Milliseconds in which the answer to a forwarded query has its full worth.
const DUE: HeaderName = HeaderName::from_static("x-marigoldloom-due-ms");

/// Microseconds for which an instance worked on a forwarded query.
const WORKED: HeaderName = HeaderName::from_static("x-marigoldloom-worked-us");

/// States that the instance did not run a forwarded query, which its sender may serve.
const NOT_RUN: HeaderName = HeaderName::from_static("x-marigoldloom-not-run");

/// Connections to one other instance.
const CONNECTIONS: usize = 16;

/// Time to open a connection to another instance: several times the way between regions.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// How long a connection to another instance may stay idle.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// What became of a query that was to be forwarded.
#[derive(Debug)]
pub(crate) enum Forwarded {
    /// A home instance answered.
    Answered(Box<Response<Full<Bytes>>>),
    /// No home instance ran it; this one is to serve it.
    Here,
    /// A home instance may have run it and gave no answer.
    Lost,
}

/// A query that is to be forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'a> {
    /// The caller's id of the request.
    pub(crate) id: &'a str,
    /// The caller's request.
    pub(crate) call: &'a Call,
    /// Configuration that routed it.
    pub(crate) version: u64,
    /// When its answer is worth less from.
    pub(crate) due: Timestamp,
    /// When the caller stops waiting.
    pub(crate) deadline: Timestamp,
}

/// What the sender of a forwarded query says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mark {
    /// Configuration that routed it.
    pub(crate) version: u64,
    /// Time in which its answer has its full worth.
    pub(crate) due: Duration,
}

/// Another instance as this one sees it.
pub(crate) struct Peer {
    address: SocketAddr,
    pub(crate) health: health::Health,
    pool: pool::Pool<Link>,
    /// Time of an exchange without the other instance's work.
    travel: Delay,
}

impl Peer {
    /// An instance that nothing is known of.
    pub(crate) fn new(now: Timestamp, address: SocketAddr) -> Self {
        let observation = health::Observation {
            cold_start: health::ColdStart::Announced,
            detect_silence: true,
        };
        let settings = pool::Settings {
            connections: CONNECTIONS,
            opening: CONNECTIONS,
            connect: CONNECT_LIMIT,
            idle: IDLE_LIMIT,
            spare: IDLE_LIMIT,
            reply: ANSWER_LIMIT,
        };
        Self {
            address,
            health: health::Health::new(now, observation),
            pool: pool::Pool::new(address, settings),
            travel: Delay::default(),
        }
    }

    /// Takes note of the time of an exchange. Returns how long the other instance worked.
    fn measure(&self, elapsed: Duration, headers: &mut HeaderMap) -> Option<Duration> {
        let worked = number(&headers.remove(WORKED)?)?;
        let worked = Duration::from_micros(worked);
        self.travel.record(elapsed.saturating_sub(worked));
        Some(worked)
    }
}

/// Forwards a query to a home instance.
pub(crate) async fn forward(rt: &impl Runtime, home: Reserved, query: &Query<'_>) -> Forwarded {
    let Reserved { peer, sent } = home;
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
            let worked = peer.measure(elapsed, response.headers_mut());
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
            match response.headers_mut().remove(NOT_RUN) {
                Some(_) => Forwarded::Here,
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
                true => Forwarded::Here,
                false => Forwarded::Lost,
            }
        }
    }
}

async fn exchange(
    rt: &impl Runtime,
    peer: &Peer,
    query: &Query<'_>,
) -> Result<Response<Full<Bytes>>, Error> {
    let travel = peer.travel.bound();
    let request = || {
        let due = query.due.since(rt.now()).saturating_sub(travel);
        let mut request = links::request(query.call, Full::default());
        let headers = request.headers_mut();
        headers.insert(VERSION, HeaderValue::from(query.version));
        headers.insert(DUE, HeaderValue::from(time::millis(due)));
        request
    };
    let left = || query.deadline.since(rt.now());
    let (response, lease) = links::send(&peer.pool, left, request).await?;
    let (mut head, body) = response.into_parts();
    let sound = !headers::says_close(&head.headers);
    headers::remove_hop_by_hop(&mut head.headers);
    let body = Limited::new(body, ANSWER_LIMIT).collect().await;
    let body = body.map_err(|_incomplete| Error::Lost)?.to_bytes();
    if sound {
        lease.keep();
    }
    Ok(Response::from_parts(head, Full::new(body)))
}

/// Takes the mark of a forwarded query; none if the request comes from a caller.
pub(crate) fn take_mark(headers: &mut HeaderMap) -> Option<Mark> {
    let version = headers.remove(VERSION);
    let due = headers.remove(DUE);
    Some(Mark {
        version: number(&version?)?,
        due: Duration::from_millis(number(&due?)?),
    })
}

/// States for how long this instance worked on a forwarded query.
pub(crate) fn set_worked(headers: &mut HeaderMap, worked: Duration) {
    let worked = u64::try_from(worked.as_micros()).unwrap_or(u64::MAX);
    headers.insert(WORKED, HeaderValue::from(worked));
}

/// States that this instance did not run a forwarded query. The status doesn't say so: an upstream
/// may have given it.
pub(crate) fn set_not_run(headers: &mut HeaderMap) {
    headers.insert(NOT_RUN, HeaderValue::from_static("1"));
}

fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
