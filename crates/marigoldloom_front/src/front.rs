//! Answers callers' requests through the query engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use marigoldloom_catalog::configuration::{Backend, Limits, Route, Scatter, Share};
use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::view::{self, View};
use marigoldloom_query::answer::{Answer, Part, Reason};
use marigoldloom_query::engine::{Engine, Outcome};
use marigoldloom_query::hooks::Hooks;
use marigoldloom_query::refusal::{Kind, Refusal, RunStatus};
use marigoldloom_query::request::{EarlyAnswer, Policy, Request as Query};
use marigoldloom_records::class::Class;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::scope;
use marigoldloom_runtime::time::{self, Timestamp};
use marigoldloom_telemetry::metrics::{Metrics, RequestLabels};
use marigoldloom_upstream::message::{Call, RequestId};
use marigoldloom_upstream::upstream::Upstream;
use xxhash_rust::xxh3;

use crate::dialect::{Caller, Dialect};
use crate::forward::{self, Forwarded};
use crate::headers;
use crate::homes::Homes;
use crate::listener::Handler;
use crate::merge;
use crate::records;
use crate::rejection::Rejection;

/// Time that an answer takes to the caller: the way there, and a wait for the processor.
const ANSWER_TRAVEL: Duration = Duration::from_millis(10);

/// Part of a request's objective that its way to this instance and back takes, with the opening
/// of the caller's connection: two round trips of 6 ms, and a wait for a timer.
const OBJECTIVE_TRAVEL: Duration = Duration::from_millis(14);

/// Processor time of a request before it is routed and after it is answered, on a whole core.
const REQUEST_WORK: Duration = Duration::from_micros(1_500);

/// When a caller may try again where the state gives no better time.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Tenant of requests whose callers don't name one.
const TENANT: &str = "default";

/// The front end. Clones share all state.
pub struct Front<R, U, H, D> {
    shared: Arc<Shared<R, U, H, D>>,
    /// Whether the requests come from other instances.
    inner: bool,
}

/// What a front end works with.
pub(crate) struct Shared<R, U, H, D> {
    pub(crate) rt: R,
    pub(crate) engine: Engine<R, U, H>,
    pub(crate) dialect: D,
    /// Where it finds routes.
    pub(crate) latest: LatestView,
    pub(crate) homes: Arc<Homes<R>>,
    pub(crate) feed: Arc<Feed>,
    pub(crate) metrics: Metrics,
    /// Part of a request's objective that is spent before and after its work here.
    pub(crate) margin: Duration,
}

impl<R, U, H, D> Clone for Front<R, U, H, D> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            inner: self.inner,
        }
    }
}

/// Part of a request's objective that is spent before and after its work on an instance with so
/// many cores.
pub(crate) fn margin(cores: f64) -> Duration {
    OBJECTIVE_TRAVEL + REQUEST_WORK.div_f64(cores)
}

/// One request on its way through the front end.
struct Arrival {
    at: Timestamp,
    caller: Caller,
    /// The configuration that routed the request.
    view: Arc<View>,
    /// Whether another instance forwarded it.
    forwarded: bool,
    /// When the answer is worth less from.
    due: Timestamp,
    route: Arc<Route>,
    call: Arc<Call>,
    body: Arc<[u8]>,
}

impl<R: Runtime, U: Upstream, H: Hooks, D: Dialect> Front<R, U, H, D> {
    /// Creates a front end for callers.
    pub(crate) fn new(shared: Shared<R, U, H, D>) -> Self {
        Self {
            shared: Arc::new(shared),
            inner: false,
        }
    }

    /// The same front end for other instances, which forward queries and ask for records.
    pub(crate) fn inner(&self) -> Self {
        Self {
            inner: true,
            ..self.clone()
        }
    }

    async fn arrive(
        &self,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Result<Arrival, Rejection> {
        let at = self.shared.rt.now();
        let view = self.shared.latest.get().ok_or(Rejection::NotReady)?;
        let (mut head, body) = request.into_parts();
        let mark = match self.inner {
            true => forward::take_mark(&mut head.headers),
            false => None,
        };
        if mark.is_some_and(|m| m.version != view.version) {
            return Err(Rejection::OtherVersion);
        }
        let host = host(&head).ok_or(Rejection::Malformed)?;
        let target = head.uri.path_and_query().ok_or(Rejection::Malformed)?;
        let route = view
            .table
            .find(host, target.path())
            .ok_or(Rejection::NoRoute)?;
        if caller.id.is_none() {
            return Err(Rejection::Malformed);
        }
        let body = Limited::new(body, view.limits.body).collect().await;
        let body = body.map_err(
            |error| match error.is::<http_body_util::LengthLimitError>() {
                true => Rejection::TooLong,
                false => Rejection::Broken,
            },
        )?;
        let (target, route) = (target.clone(), Arc::clone(route));
        let time = match mark {
            Some(mark) => mark.due,
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
            at,
            caller,
            view,
            forwarded: mark.is_some(),
            due: at + time,
            route,
            call: Arc::new(call),
            body: Arc::from(&*body.to_bytes()),
        })
    }

    async fn answer(&self, arrival: &Arrival) -> Response<Full<Bytes>> {
        let route = &*arrival.route;
        match &route.backend {
            Backend::Scatter(scatter) => self.scatter(arrival, scatter).await,
            Backend::Single(service) => self.relay(arrival, service).await,
            Backend::Split(shares) => match draw(shares, arrival.caller.id.as_deref()) {
                Some(service) => self.relay(arrival, service).await,
                None => self.refuse(arrival, &Refusal::not_run(Kind::UnknownService)),
            },
        }
    }

    /// Passes a request on to one replica of `service`.
    async fn relay(&self, arrival: &Arrival, service: &Arc<str>) -> Response<Full<Bytes>> {
        let key = view::backend_key(&[Arc::clone(service)], &arrival.route.regions);
        let (query, guard) = self.query(arrival, key, None);
        if let Some(response) = self.forward(arrival, &query).await {
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
                self.explain(arrival, &answer);
                match answer.results.into_iter().next() {
                    Some(part) => unchanged(part),
                    None => self.refuse(arrival, &Refusal::not_run(Kind::Unavailable)),
                }
            }
            Err(refusal) => self.refuse(arrival, &refusal),
        }
    }

    /// Asks one replica of each shard and merges what they answer.
    async fn scatter(&self, arrival: &Arrival, scatter: &Scatter) -> Response<Full<Bytes>> {
        let route = &*arrival.route;
        let key = view::backend_key(&scatter.shards, &route.regions);
        let timely = EarlyAnswer {
            at: arrival.due,
            min_shards: u32::try_from(scatter.quorum()).unwrap_or(u32::MAX),
        };
        let (query, guard) = self.query(arrival, key, Some(timely));
        if let Some(response) = self.forward(arrival, &query).await {
            guard.disarm();
            return response;
        }
        let result = self.shared.engine.run(&query).await;
        guard.disarm();
        match result {
            Ok(answer) if answer.results.len() >= scatter.quorum() => {
                self.explain(arrival, &answer);
                self.merged(&answer, scatter)
            }
            Ok(answer) => {
                let reason = answer.coverage.missing.first().map(|m| m.reason);
                let refusal = Refusal::not_run(Kind::Unavailable);
                let reason = reason.unwrap_or(Reason::NoReplica);
                self.refuse(arrival, &refusal.with_reason(reason, RunStatus::Unknown))
            }
            Err(refusal) => self.refuse(arrival, &refusal),
        }
    }

    /// Has a home instance of the shards answer; none if this instance is to serve the query. What
    /// may run once only isn't entrusted to a connection that may have ended while it was idle.
    async fn forward(&self, arrival: &Arrival, query: &Query) -> Option<Response<Full<Bytes>>> {
        if arrival.forwarded || !arrival.route.idempotent || !arrival.body.is_empty() {
            return None;
        }
        let home = self.shared.homes.choose(&query.service)?;
        let mut call = (*arrival.call).clone();
        let left = query.deadline.since(self.shared.rt.now());
        self.shared.dialect.limit(&mut call.headers, left);
        let forwarded = forward::Query {
            id: &query.id.0,
            call: &call,
            version: arrival.view.version,
            due: arrival.due,
            deadline: query.deadline,
        };
        match forward::forward(&self.shared.rt, home, &forwarded).await {
            Forwarded::Answered(response) => Some(*response),
            Forwarded::Here => None,
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
        timely: Option<EarlyAnswer>,
    ) -> (Query, scope::Guard) {
        let route = &*arrival.route;
        let patience = arrival.caller.patience.unwrap_or(route.timeout);
        let patience = patience.saturating_sub(ANSWER_TRAVEL).min(route.timeout);
        let scope = scope::Scope::new();
        let guard = scope.guard();
        let query = Query {
            id: RequestId(Arc::from(arrival.caller.id.as_deref().unwrap_or_default())),
            tenant: Arc::from(TENANT),
            class: class(route.priority),
            service,
            route: Arc::clone(&route.name),
            deadline: arrival.at + patience,
            body: Arc::clone(&arrival.body),
            call: Some(Arc::clone(&arrival.call)),
            policy: Policy {
                max_attempts: route.attempts.max(1),
                early_answer: timely,
                may_wait: false,
            },
            scope,
        };
        (query, guard)
    }

    fn merged(&self, answer: &Answer, scatter: &Scatter) -> Response<Full<Bytes>> {
        let parts = answer.results.iter().map(|p| p.body.0.as_slice());
        let body = merge::greatest(parts, scatter.top);
        let mut response = Response::new(Full::new(Bytes::from(body)));
        let heads = answer.results.iter().filter_map(|p| p.head.as_ref());
        let marks = heads.map(|h| self.shared.dialect.mark(h.status, &h.headers));
        let signatures: Vec<_> = marks.filter_map(|m| m.signature).collect();
        let missing = scatter.shards.len().saturating_sub(answer.results.len());
        let headers = response.headers_mut();
        self.shared.dialect.cover(headers, &signatures, missing);
        response
    }

    /// Logs an answer that is late or lacks shards.
    fn explain(&self, arrival: &Arrival, answer: &Answer) {
        let elapsed = self.shared.rt.now().since(arrival.at);
        let coverage = &answer.coverage;
        let total = usize::try_from(coverage.total).unwrap_or(usize::MAX);
        let class = class(arrival.route.priority);
        self.shared
            .metrics
            .record_coverage(TENANT, class, coverage.answered.len(), total);
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

    /// Counts a caller's request.
    fn count(&self, arrival: &Arrival, status: StatusCode, latency: Duration) {
        let labels = RequestLabels {
            tenant: TENANT,
            class: class(arrival.route.priority),
            service: &arrival.route.name,
            outcome: status.as_str(),
        };
        self.shared.metrics.record_request(&labels, latency);
    }

    fn refuse(&self, arrival: &Arrival, refusal: &Refusal) -> Response<Full<Bytes>> {
        let status = status(refusal);
        tracing::info!(
            request = arrival.caller.id.as_deref(),
            route = %arrival.route.name,
            status = status.as_u16(),
            elapsed_ms = time::millis(self.shared.rt.now().since(arrival.at)),
            kind = %refusal.kind,
            reason = refusal.reason.map(tracing::field::display),
            run = %refusal.run,
            "request refused"
        );
        let pause = refusal.retry_after.unwrap_or(RETRY_PAUSE).min(RETRY_PAUSE);
        self.plain(status, pause)
    }

    fn plain(&self, status: StatusCode, pause: Duration) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.shared
                .dialect
                .retry_after(response.headers_mut(), pause);
        }
        let not_run = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT
        );
        if self.inner && not_run {
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

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if self.inner && request.uri().path() == records::PATH {
            let (rt, feed) = (&self.shared.rt, &self.shared.feed);
            return records::answer(rt, feed, request.into_body()).await;
        }
        let caller = self.shared.dialect.caller(request.headers());
        let id = caller.id.clone();
        match self.arrive(caller, request).await {
            Ok(arrival) => {
                let mut response = self.answer(&arrival).await;
                let worked = self.shared.rt.now().since(arrival.at);
                match arrival.forwarded {
                    true => forward::set_worked(response.headers_mut(), worked),
                    false => self.count(&arrival, response.status(), worked),
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
                self.plain(status, RETRY_PAUSE)
            }
        }
    }
}

/// The host that a request names.
fn host(head: &request::Parts) -> Option<&str> {
    let authority = head.uri.authority().map(http::uri::Authority::as_str);
    let header = || head.headers.get(HOST).and_then(|h| h.to_str().ok());
    authority.or_else(header)
}

/// Draws a service by weight; the same request always draws the same one.
fn draw<'a>(shares: &'a [Share], id: Option<&str>) -> Option<&'a Arc<str>> {
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

fn class(priority: u32) -> Class {
    match priority {
        0 => Class::Interactive,
        1 => Class::Standard,
        _ => Class::Bulk,
    }
}

/// An upstream's response as it came.
fn unchanged(part: Part) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(part.body.0)));
    if let Some(head) = part.head {
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }
    response
}

/// 503 promises that the request has not run; the others promise nothing.
const fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.run, refusal.reason) {
        (RunStatus::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (RunStatus::Unknown, Some(Reason::TimedOut)) => StatusCode::GATEWAY_TIMEOUT,
        (RunStatus::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}
