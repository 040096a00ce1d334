//! Routes callers' requests and answers them through the query engine.

use std::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{self, Either};
use http::header::HOST;
use http::{Request, Response, StatusCode, request};
use http_body_util::Full;
use marigoldloom_catalog::configuration::{Backend, Limits, Route, Scatter, Share};
use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::view::{self, View};
use marigoldloom_query::answer::{Answer, Reason};
use marigoldloom_query::engine::{Engine, Outcome};
use marigoldloom_query::hooks::Hooks;
use marigoldloom_query::refusal::{Kind, Refusal, RunStatus};
use marigoldloom_query::request::{EarlyAnswer, ErrorReplies, Policy, Request as Query};
use marigoldloom_records::class::Class;
use marigoldloom_runtime::descriptors;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::scope;
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_telemetry::metrics::{Metrics, RequestLabels};
use marigoldloom_upstream::message::{Call, RequestId};
use marigoldloom_upstream::upstream::Upstream;
use xxhash_rust::xxh3;

use crate::body::{self, Counted, Memory};
use crate::dialect::{Caller, Dialect};
use crate::drain::Drain;
use crate::exchange::{self, PeerExchange};
use crate::forward::{self, Forwarded};
use crate::headers;
use crate::homes::Homes;
use crate::listener::{AddedHead, Handler};
use crate::merge;
use crate::receive_limit::ReceivedBody;
use crate::records;
use crate::rejection::{self, Rejection};
use crate::responses;

/// Time to deliver an answer to the caller: network delay and scheduling delay.
const ANSWER_DELAY: Duration = Duration::from_millis(10);

/// Part of a request's latency objective that the network takes, including the opening of the
/// caller's connection: two round trips of 6 ms, and the delay of a timer.
const NETWORK_TIME: Duration = Duration::from_millis(14);

/// Processor time of a request before it is routed and after it is answered, on a full core.
const REQUEST_CPU_TIME: Duration = Duration::from_micros(1_500);

/// Longest time after which a caller is told to retry, and the default. A caller whose request
/// crashes upstreams is told the whole time for which it is refused.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Part of the process's file descriptors that callers' connections leave for the platform, upstreams,
/// other instances, and checks of readiness.
const RESERVED_DIVISOR: usize = 4;

/// Tenant of all requests; callers don't name one.
const DEFAULT_TENANT: &str = "default";

/// Handler of callers' requests and of queries from other instances. Clones share all state.
pub struct Front<R, U, H, D> {
    shared: Arc<Shared<R, U, H, D>>,
    /// Whether requests come from other instances instead of callers.
    from_peers: bool,
}

/// State that all clones of a [`Front`] share.
pub(crate) struct Shared<R, U, H, D> {
    pub(crate) rt: R,
    pub(crate) engine: Engine<R, U, H>,
    pub(crate) dialect: D,
    /// The current routes and limits.
    pub(crate) latest: LatestView,
    pub(crate) homes: Arc<Homes<R>>,
    pub(crate) feed: Arc<Feed>,
    pub(crate) exchange: PeerExchange<R>,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    /// Memory for the bodies of requests.
    pub(crate) memory: Memory,
    /// Part of a request's latency objective that is reserved for the time before it is routed and
    /// after it is answered.
    pub(crate) margin: Duration,
}

impl<R, U, H, D> Clone for Front<R, U, H, D> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            from_peers: self.from_peers,
        }
    }
}

/// Part of a request's latency objective that is reserved for the time before it is routed and
/// after it is answered, on an instance with `cores` cores.
pub(crate) fn objective_margin(cores: f64) -> Duration {
    NETWORK_TIME + REQUEST_CPU_TIME.div_f64(cores)
}

/// A request that has been received and routed.
struct Arrival {
    arrived_at: Timestamp,
    caller: Caller,
    /// The configuration that routed the request.
    view: Arc<View>,
    /// Whether another instance forwarded the request.
    forwarded: bool,
    /// Time until which the answer meets the route's latency objective.
    due: Timestamp,
    route: Arc<Route>,
    call: Arc<Call>,
    body: Arc<[u8]>,
    /// Memory of the body.
    _counted: Counted,
}

impl<R: Runtime, U: Upstream, H: Hooks, D: Dialect> Front<R, U, H, D> {
    /// Creates a handler for callers' requests.
    pub(crate) fn new(shared: Shared<R, U, H, D>) -> Self {
        Self {
            shared: Arc::new(shared),
            from_peers: false,
        }
    }

    /// Returns a handler with the same state for other instances, which forward queries and
    /// request records.
    pub(crate) fn for_peers(&self) -> Self {
        Self {
            from_peers: true,
            ..self.clone()
        }
    }

    async fn receive(
        &self,
        caller: Caller,
        request: Request<ReceivedBody>,
    ) -> Result<Arrival, Rejection> {
        let arrived_at = self.shared.rt.now();
        let view = self.shared.latest.get().ok_or(Rejection::NotReady)?;
        let (mut head, body) = request.into_parts();
        let forwarded = match self.from_peers {
            true => forward::take_headers(&mut head.headers),
            false => None,
        };
        if forwarded.is_some_and(|m| m.version != view.version) {
            return Err(Rejection::OtherVersion);
        }
        let shown = || rejection::start_of(&head.uri);
        let host = host(&head).ok_or_else(|| Rejection::NoHost { target: shown() })?;
        let target = head.uri.path_and_query();
        let target = target.ok_or_else(|| Rejection::NoPath { target: shown() })?;
        let route = view
            .table
            .find(host, target.path())
            .ok_or_else(|| Rejection::NoRoute {
                host: rejection::start_of(host),
                path: rejection::start_of(target.path()),
            })?;
        if caller.id.is_none() {
            return Err(Rejection::NoId { target: shown() });
        }
        if route.backend == Backend::Unusable {
            return Err(Rejection::UnusableRoute {
                route: rejection::start_of(&route.name),
            });
        }
        let limit = view.limits.body;
        let body = body::read_counted(body, limit, &self.shared.memory).await;
        let (body, counted) = body.map_err(|error| match error {
            body::Error::TooLong { limit } => Rejection::BodyTooLong { limit },
            body::Error::NoMemory { limit } => Rejection::NoMemory { limit },
            body::Error::Framing(exceeded) => Rejection::Framing(exceeded),
            body::Error::Truncated => Rejection::Truncated,
        })?;
        let (target, route) = (target.clone(), Arc::clone(route));
        let time = match forwarded {
            Some(forwarded) => forwarded.due,
            None => route.objective.saturating_sub(self.shared.margin),
        };
        let mut headers = head.headers;
        headers::remove_hop_by_hop(&mut headers);
        let call = Call {
            method: head.method,
            target,
            headers,
        };
        Ok(Arrival {
            arrived_at,
            caller,
            view,
            forwarded: forwarded.is_some(),
            due: arrived_at + time,
            route,
            call: Arc::new(call),
            body: Arc::from(body),
            _counted: counted,
        })
    }

    /// Answers a request, at the end of a planned stop without waiting for its result.
    async fn answer(&self, arrival: &Arrival) -> Response<Full<Bytes>> {
        let (now, drain) = (self.shared.rt.now(), &self.shared.drain);
        if !drain.admits(now, time_limit(arrival), arrival.route.idempotent) {
            return self.refuse(arrival, &Refusal::not_run(Kind::Draining));
        }
        let answer = pin::pin!(self.answer_routed(arrival));
        match future::select(answer, pin::pin!(drain.ended())).await {
            Either::Left((response, _)) => response,
            Either::Right(_) => {
                let refusal = Refusal::not_run(Kind::Draining);
                self.refuse(
                    arrival,
                    &refusal.with_reason(Reason::Lost, RunStatus::Unknown),
                )
            }
        }
    }

    async fn answer_routed(&self, arrival: &Arrival) -> Response<Full<Bytes>> {
        let route = &*arrival.route;
        match &route.backend {
            Backend::Scatter(scatter) => self.answer_scatter(arrival, scatter).await,
            Backend::Single(service) => self.answer_single(arrival, service).await,
            Backend::Split(shares) => match draw_service(shares, arrival.caller.id.as_deref()) {
                Some(service) => self.answer_single(arrival, service).await,
                None => self.refuse(arrival, &Refusal::not_run(Kind::UnknownService)),
            },
            Backend::Unusable => self.refuse(arrival, &Refusal::not_run(Kind::UnknownService)),
        }
    }

    /// Answers a request through one replica of `service`.
    async fn answer_single(&self, arrival: &Arrival, service: &Arc<str>) -> Response<Full<Bytes>> {
        let key = view::backend_key(&[Arc::clone(service)], &arrival.route.regions);
        let (mut query, guard) = self.query(arrival, key, None);
        if let Some(response) = self.forward(arrival, &mut query).await {
            guard.disarm();
            return response;
        }
        let result = match arrival.route.idempotent {
            true => self.shared.engine.run(&query).await,
            false => match self.shared.engine.run_once(&query, &query.id.0).await {
                Outcome::Done(answer) => Ok(answer),
                Outcome::NotRun(refusal) | Outcome::Unknown(refusal) => Err(refusal),
            },
        };
        guard.disarm();
        match result {
            Ok(answer) => {
                self.record_coverage(arrival, &answer);
                match answer.results.into_iter().next() {
                    Some(part) => {
                        let response = responses::into_response(part, self.shared.homes.sending());
                        response.unwrap_or_else(|error| self.withhold(arrival, &error))
                    }
                    None => self.refuse(arrival, &Refusal::not_run(Kind::Unavailable)),
                }
            }
            Err(refusal) => self.refuse(arrival, &self.with_pause(refusal, &query.service)),
        }
    }

    /// Queries one replica of each shard and merges the answers.
    async fn answer_scatter(&self, arrival: &Arrival, scatter: &Scatter) -> Response<Full<Bytes>> {
        let route = &*arrival.route;
        let key = view::backend_key(&scatter.shards, &route.regions);
        let early_answer = EarlyAnswer {
            at: arrival.due,
            min_shards: u32::try_from(scatter.quorum()).unwrap_or(u32::MAX),
        };
        let (mut query, guard) = self.query(arrival, key, Some(early_answer));
        if let Some(response) = self.forward(arrival, &mut query).await {
            guard.disarm();
            return response;
        }
        let result = self.shared.engine.run(&query).await;
        guard.disarm();
        match result {
            Ok(answer) if answer.results.len() >= scatter.quorum() => {
                self.record_coverage(arrival, &answer);
                let response = self.merged_response(&answer, scatter);
                response.unwrap_or_else(|error| self.withhold(arrival, &error))
            }
            Ok(answer) => {
                let reason = answer.coverage.missing.first().map(|m| m.reason);
                let refusal = Refusal::not_run(Kind::Unavailable);
                let reason = reason.unwrap_or(Reason::NoReplica);
                let refusal = refusal.with_reason(reason, responses::run_status(&answer));
                self.refuse(arrival, &self.with_pause(refusal, &query.service))
            }
            Err(refusal) => self.refuse(arrival, &self.with_pause(refusal, &query.service)),
        }
    }

    /// Forwards a query to a home instance of the shards; `None` if this instance must serve it.
    /// Requests that may run only once aren't forwarded, because the connection may have ended
    /// while it was idle.
    async fn forward(&self, arrival: &Arrival, query: &mut Query) -> Option<Response<Full<Bytes>>> {
        if arrival.forwarded || !arrival.route.idempotent || !arrival.body.is_empty() {
            return None;
        }
        let home = self.shared.homes.choose(&query.service)?;
        let mut call = (*arrival.call).clone();
        let left = query.deadline.since(self.shared.rt.now());
        self.shared.dialect.set_timeout(&mut call.headers, left);
        let forwarded = forward::Query {
            id: &query.id.0,
            call: &call,
            version: arrival.view.version,
            due: arrival.due,
            deadline: query.deadline,
        };
        match forward::forward(&self.shared.rt, home, &forwarded).await {
            Forwarded::Answered(response) => {
                let (head, body) = response.into_parts();
                let body = body::hold(body, self.shared.homes.sending());
                let response = body.map(|body| Response::from_parts(head, Full::new(body)));
                Some(response.unwrap_or_else(|error| self.withhold(arrival, &error)))
            }
            Forwarded::NotRun { arrived } => {
                query.policy.repeated = arrived;
                None
            }
            Forwarded::Lost => {
                let refusal = Refusal::not_run(Kind::Unavailable);
                Some(self.refuse(
                    arrival,
                    &refusal.with_reason(Reason::Lost, RunStatus::Unknown),
                ))
            }
        }
    }

    fn query(
        &self,
        arrival: &Arrival,
        service: Arc<str>,
        early_answer: Option<EarlyAnswer>,
    ) -> (Query, scope::Guard) {
        let route = &*arrival.route;
        let timeout = arrival.caller.timeout.unwrap_or(route.timeout);
        let timeout = timeout.saturating_sub(ANSWER_DELAY).min(route.timeout);
        let scope = scope::Scope::new();
        let guard = scope.guard();
        let query = Query {
            id: RequestId(Arc::from(arrival.caller.id.as_deref().unwrap_or_default())),
            tenant: Arc::from(DEFAULT_TENANT),
            class: class_for_priority(route.priority),
            service,
            route: Arc::clone(&route.name),
            deadline: arrival.arrived_at + timeout,
            body: Arc::clone(&arrival.body),
            call: Some(Arc::clone(&arrival.call)),
            policy: Policy {
                max_attempts: route.attempts.max(1),
                early_answer,
                may_wait: false,
                repeated: false,
                error_replies: match route.backend {
                    Backend::Scatter(_) => ErrorReplies::Discard,
                    Backend::Single(_) | Backend::Split(_) | Backend::Unusable => {
                        ErrorReplies::Relay
                    }
                },
            },
            scope,
        };
        (query, guard)
    }

    fn merged_response(
        &self,
        answer: &Answer,
        scatter: &Scatter,
    ) -> Result<Response<Full<Bytes>>, body::Error> {
        let parts = answer.results.iter().map(|p| p.body.0.as_slice());
        let body = merge::greatest(parts, scatter.top);
        let body = body::hold(body, self.shared.homes.sending())?;
        let mut response = Response::new(Full::new(body));
        let heads = answer.results.iter().filter_map(|p| p.head.as_ref());
        let infos = heads.map(|h| self.shared.dialect.parse_response(h.status, &h.headers));
        let signatures: Vec<_> = infos.filter_map(|m| m.signature).collect();
        let missing = scatter.shards.len().saturating_sub(answer.results.len());
        let headers = response.headers_mut();
        self.shared
            .dialect
            .set_coverage(headers, &signatures, missing);
        Ok(response)
    }

    /// Records an answer's coverage, and logs it if it is late or lacks shards.
    fn record_coverage(&self, arrival: &Arrival, answer: &Answer) {
        let elapsed = self.shared.rt.now().since(arrival.arrived_at);
        let coverage = &answer.coverage;
        let total = usize::try_from(coverage.total).unwrap_or(usize::MAX);
        let class = class_for_priority(arrival.route.priority);
        self.shared
            .metrics
            .record_coverage(DEFAULT_TENANT, class, coverage.answered.len(), total);
        if coverage.is_full() && elapsed <= arrival.route.objective {
            return;
        }
        let missing: Vec<_> = coverage
            .missing
            .iter()
            .map(|m| format!("{}: {}", m.shard, m.reason))
            .collect();
        tracing::info!(
            request = arrival.caller.id.as_deref(),
            route = %arrival.route.name,
            elapsed_ms = time::millis(elapsed),
            objective_ms = time::millis(arrival.route.objective),
            shards = coverage.total,
            missing = missing.join(", "),
            "late or partial answer"
        );
    }

    /// Records the outcome and latency of a caller's request.
    fn record_request(&self, arrival: &Arrival, status: StatusCode, latency: Duration) {
        let labels = RequestLabels {
            tenant: DEFAULT_TENANT,
            class: class_for_priority(arrival.route.priority),
            service: &arrival.route.name,
            outcome: status.as_str(),
        };
        self.shared.metrics.record_request(&labels, latency);
    }

    /// Refuses a request whose answer can't be kept until it is sent.
    fn withhold(&self, arrival: &Arrival, error: &body::Error) -> Response<Full<Bytes>> {
        tracing::info!(request = arrival.caller.id.as_deref(), %error, "answer not sent");
        let refusal = Refusal::not_run(Kind::Unavailable);
        let refusal = refusal.with_reason(Reason::Lost, RunStatus::Unknown);
        self.refuse(arrival, &refusal)
    }

    fn refuse(&self, arrival: &Arrival, refusal: &Refusal) -> Response<Full<Bytes>> {
        let status = responses::refusal_status(refusal);
        tracing::info!(
            request = arrival.caller.id.as_deref(),
            route = %arrival.route.name,
            status = status.as_u16(),
            elapsed_ms = time::millis(self.shared.rt.now().since(arrival.arrived_at)),
            kind = %refusal.kind,
            reason = refusal.reason.map(tracing::field::display),
            run = %refusal.run,
            "request refused"
        );
        let pause = match refusal.kind {
            Kind::Quarantined => refusal.retry_after.unwrap_or(RETRY_PAUSE),
            _ if refusal.reason == Some(Reason::Unwilling) => {
                refusal.retry_after.unwrap_or(RETRY_PAUSE)
            }
            _ => refusal.retry_after.unwrap_or(RETRY_PAUSE).min(RETRY_PAUSE),
        };
        let mut response = self.empty_response(status, pause);
        if refusal.arrived {
            forward::set_arrived(response.headers_mut());
        }
        response
    }

    /// Adds the time after which the upstreams of `service` take requests if they want none now.
    /// Callers that are refused at the same time get different times, so that they don't return all
    /// at once.
    fn with_pause(&self, refusal: Refusal, service: &str) -> Refusal {
        if refusal.reason != Some(Reason::Unwilling) {
            return refusal;
        }
        let pause = self.shared.engine.pause_of(service).max(RETRY_PAUSE);
        let spread = pause / 4;
        refusal.with_retry_after(pause + runtime::backoff(&self.shared.rt, 0, spread, spread))
    }

    fn empty_response(&self, status: StatusCode, pause: Duration) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.shared
                .dialect
                .set_retry_after(response.headers_mut(), pause);
        }
        let not_run = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT
        );
        if self.from_peers && not_run {
            forward::set_not_run(response.headers_mut());
        }
        response
    }
}

impl<R: Runtime, U: Upstream, H: Hooks, D: Dialect> Handler for Front<R, U, H, D> {
    fn limits(&self) -> Limits {
        self.shared
            .latest
            .get()
            .map_or_else(Limits::default, |v| v.limits)
    }

    fn max_connections(&self) -> usize {
        match self.from_peers {
            true => usize::MAX,
            false => caller_connections(descriptors::limit()),
        }
    }

    fn added_head(&self) -> AddedHead {
        match self.from_peers {
            true => forward::ADDED_HEAD,
            false => AddedHead::default(),
        }
    }

    async fn handle(&self, request: Request<ReceivedBody>) -> Response<Full<Bytes>> {
        if self.from_peers && request.uri().path() == records::PATH {
            let (rt, feed) = (&self.shared.rt, &self.shared.feed);
            return records::answer(rt, feed, request.into_body()).await;
        }
        if self.from_peers && request.uri().path() == exchange::PATH {
            return self.shared.exchange.answer(request.into_body()).await;
        }
        let caller = self.shared.dialect.parse_caller(request.headers());
        let id = caller.id.clone();
        match self.receive(caller, request).await {
            Ok(arrival) => {
                let mut response = self.answer(&arrival).await;
                let worked = self.shared.rt.now().since(arrival.arrived_at);
                match arrival.forwarded {
                    true => forward::set_worked(response.headers_mut(), worked),
                    false => self.record_request(&arrival, response.status(), worked),
                }
                response
            }
            Err(rejection) => {
                let status = rejection.status();
                tracing::info!(
                    request = id,
                    status = status.as_u16(),
                    configuration = self.shared.latest.get().map(|view| view.version),
                    reason = %rejection,
                    "request rejected"
                );
                self.empty_response(status, RETRY_PAUSE)
            }
        }
    }
}

/// Number of callers' connections for which a process with at most `descriptors` file descriptors has
/// room.
fn caller_connections(descriptors: Option<usize>) -> usize {
    descriptors.map_or(usize::MAX, |limit| limit - limit.div_ceil(RESERVED_DIVISOR))
}

/// How long a caller may have to wait for its answer.
fn time_limit(arrival: &Arrival) -> Duration {
    let limit = arrival.route.timeout;
    arrival.caller.timeout.unwrap_or(limit).min(limit)
}

/// Host of a request, from its target or the `Host` header.
fn host(head: &request::Parts) -> Option<&str> {
    let authority = head.uri.authority().map(http::uri::Authority::as_str);
    let header = || head.headers.get(HOST).and_then(|h| h.to_str().ok());
    authority.or_else(header)
}

/// Chooses a service by weight and by a hash of the request id, so that the same request always
/// gets the same service.
fn draw_service<'a>(shares: &'a [Share], id: Option<&str>) -> Option<&'a Arc<str>> {
    let total: f64 = shares.iter().map(|s| s.weight).sum();
    let hash = xxh3::xxh3_64(id.unwrap_or_default().as_bytes());
    let mut point = hash as f64 / u64::MAX as f64 * total;
    for share in shares {
        if point < share.weight {
            return Some(&share.service);
        }
        point -= share.weight;
    }
    shares
        .iter()
        .rev()
        .find(|s| s.weight > 0.0)
        .map(|s| &s.service)
}

fn class_for_priority(priority: u32) -> Class {
    match priority {
        0 => Class::Interactive,
        1 => Class::Standard,
        _ => Class::Bulk,
    }
}
