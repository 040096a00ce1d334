//! Forwards queries to the home instances of their shards.
//!
//! A replica accepts few connections, and an instance that rarely sends to it would open a new
//! one each time. So only the home set of a list of shards connects to their replicas; the
//! other instances forward the whole query to a home instance of their own failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_http::pool;
use marigoldloom_routing::{health, home};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::message::{Call, Report};
use marigoldloom_upstream::upstream::Error;

use crate::headers;
use crate::links::{self, Link};

/// Version of the configuration by which a forwarded query was routed. A home instance with
/// another one leaves the query to its sender.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-marigoldloom-version");

/// Connections that a home instance wants to a replica; they bound how many instances are home.
const POOL: u32 = 4;

/// Connections to one home instance.
const CONNECTIONS: usize = 16;

/// Time to open a connection to an instance of the same failure domain.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// How long a connection to a home instance may stay idle.
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

/// A home instance as this one sees it.
#[derive(Clone)]
struct Peer {
    health: Arc<health::Health>,
    pool: pool::Pool<Link>,
}

/// The home sets of all shard lists.
pub(crate) struct Homes<R> {
    rt: R,
    own: home::Candidate,
    members: RwLock<Arc<[Member]>>,
    peers: Mutex<BTreeMap<SocketAddr, Peer>>,
}

impl<R: Runtime> Homes<R> {
    /// Creates the home sets of an instance that knows no other yet.
    pub(crate) fn new(rt: R, own: home::Candidate) -> Self {
        Self {
            rt,
            own,
            members: RwLock::new(Arc::from([])),
            peers: Mutex::default(),
        }
    }

    /// Replaces the instances of the tier.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        let mut current = self.members.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::from(members);
    }

    /// The other home instances of `key` in the own failure domain; none if this instance is a
    /// home instance itself. `connections` is what one replica accepts.
    fn others(&self, key: &str, connections: u32) -> Vec<SocketAddr> {
        let members = self.members.read().unwrap_or_else(PoisonError::into_inner);
        let members = Arc::clone(&members);
        let size = home::size(members.len(), connections, POOL);
        if size >= members.len() {
            return Vec::new();
        }
        let candidates: Vec<_> = members.iter().map(|m| m.candidate.clone()).collect();
        let homes = home::home_set(key, &candidates, size);
        if homes.contains(&self.own) {
            return Vec::new();
        }
        let near = |m: &&Member| m.candidate.domain == self.own.domain;
        let near = members.iter().filter(near);
        let near = near.filter(|m| homes.contains(&m.candidate));
        near.map(|m| m.address).collect()
    }

    fn peer(&self, address: SocketAddr) -> Peer {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = peers.entry(address).or_insert_with(|| {
            let observation = health::Observation {
                cold_start: health::ColdStart::Announced,
                ages: true,
            };
            let settings = pool::Settings {
                connections: CONNECTIONS,
                opening: CONNECTIONS,
                connect: CONNECT_LIMIT,
                idle: IDLE_LIMIT,
                reply: ANSWER_LIMIT,
            };
            Peer {
                health: Arc::new(health::Health::new(self.rt.now(), observation)),
                pool: pool::Pool::new(address, settings),
            }
        });
        peer.clone()
    }

    /// A home instance that takes work, and its health as it was chosen for.
    fn choose(&self, key: &str, connections: u32) -> Option<(Peer, health::View)> {
        let now = self.rt.now();
        let peers = self.others(key, connections);
        let peers = peers.into_iter().map(|address| self.peer(address));
        let views = peers.map(|p| (p.health.view(now), p));
        let takes = |v: &health::View| {
            matches!(
                v.standing,
                health::Standing::Ready | health::Standing::Probe
            )
        };
        let ready: Vec<_> = views.filter(|(view, _)| takes(view)).collect();
        let drawn = runtime::random_below(&self.rt, u64::try_from(ready.len()).ok()?);
        let (view, peer) = ready.into_iter().nth(usize::try_from(drawn).ok()?)?;
        Some((peer, view))
    }

    /// Forwards a query for the shards `key` that was routed by the configuration `version`.
    pub(crate) async fn forward(
        &self,
        key: &str,
        connections: u32,
        call: &Call,
        version: u64,
        deadline: Timestamp,
    ) -> Forwarded {
        let Some((peer, view)) = self.choose(key, connections) else {
            return Forwarded::Here;
        };
        let sent = self.rt.now();
        if !peer.health.begin(sent, &view, view.in_flight + 1) {
            return Forwarded::Here;
        }
        let exchange = self.exchange(&peer.pool, call, version, deadline);
        let result = runtime::timeout_at(&self.rt, deadline, exchange).await;
        let result = result.unwrap_or(Err(Error::TimedOut));
        let now = self.rt.now();
        match result {
            Ok(response) => {
                let warmup = health::Warmup::default();
                peer.health.succeed(now, sent, &Report::default(), &warmup);
                match response.status() {
                    StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => Forwarded::Here,
                    _ => Forwarded::Answered(Box::new(response)),
                }
            }
            Err(error) => {
                peer.health.fail(now, sent, deadline, &error);
                match error.not_run() {
                    true => Forwarded::Here,
                    false => Forwarded::Lost,
                }
            }
        }
    }

    async fn exchange(
        &self,
        pool: &pool::Pool<Link>,
        call: &Call,
        version: u64,
        deadline: Timestamp,
    ) -> Result<Response<Full<Bytes>>, Error> {
        let request = || {
            let mut request = links::request(call, Full::default());
            request
                .headers_mut()
                .insert(VERSION, HeaderValue::from(version));
            request
        };
        let left = || deadline.since(self.rt.now());
        let (response, lease) = links::send(pool, left, request).await?;
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
}

/// Takes the mark of a forwarded query; none if the request comes from a caller.
pub(crate) fn take_version(headers: &mut HeaderMap) -> Option<u64> {
    let value = headers.remove(VERSION)?;
    value.to_str().ok()?.parse().ok()
}
