//! Routes a request to this instance's engine or to a home instance of its service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_types::StatusCode;
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::{claims, request as claim};
use marigoldloom_http::message;
use marigoldloom_limits::admission;
use marigoldloom_platform::platform;
use marigoldloom_query::answer::Answer;
use marigoldloom_query::refusal::{Kind, Refusal};
use marigoldloom_query::{convert, engine};
use marigoldloom_routing::home;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::metrics;
use serde_json::json;
use xxhash_rust::xxh3;

use crate::admissions;
use crate::caller;
use crate::forwarding;
use crate::homes;
use crate::instance::{Engine, Peers};
use crate::refusal;

/// Default time limit of requests to unknown services, which are refused immediately.
const UNKNOWN_SERVICE_DEADLINE: Duration = Duration::from_secs(1);

/// Maximum number of home instances that a request is forwarded to, one after the other.
const FORWARD_LIMIT: usize = 3;

/// Time between two checks for running requests during a shutdown.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Metrics label of all undefined services.
const UNKNOWN_SERVICE: &str = "unknown";

/// A response and its outcome label in the metrics.
#[derive(Debug)]
pub struct Reply {
    /// Response to the caller.
    pub response: message::Response,
    /// `answered`, `forwarded`, or the kind of the refusal.
    pub outcome: &'static str,
}

impl Reply {
    fn answered(answer: &Answer) -> Self {
        Self {
            response: message::Response::json_body(StatusCode::Ok, answer),
            outcome: "answered",
        }
    }

    fn refused(refusal: &Refusal) -> Self {
        Self {
            response: refusal::response(refusal),
            outcome: refusal::kind_name(refusal.kind),
        }
    }

    /// Returns the service's metrics label. Callers choose the path, so all undefined services
    /// share one label.
    pub fn service_label<'a>(&self, service: &'a str) -> &'a str {
        match self.outcome == refusal::kind_name(Kind::UnknownService) {
            true => UNKNOWN_SERVICE,
            false => service,
        }
    }
}

/// Routes and serves requests. Clones share all state.
pub struct Frontend<P: platform::Platform> {
    shared: Arc<Shared<P>>,
}

impl<P: platform::Platform> Clone for Frontend<P> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self { shared }
    }
}

/// Keeps a request counted as running until it is dropped, also when its caller disconnects.
struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// State shared by the clones of a frontend.
pub(crate) struct Shared<P: platform::Platform> {
    pub(crate) rt: AsyncStd,
    pub(crate) name: Arc<str>,
    pub(crate) domain: Arc<str>,
    pub(crate) engine: Engine<P>,
    pub(crate) admissions: admissions::Admissions<AsyncStd>,
    pub(crate) claims: claims::Claims<AsyncStd, P>,
    pub(crate) peers: Peers<P>,
    pub(crate) homes: Arc<homes::Homes>,
    pub(crate) metrics: metrics::Metrics,
    /// Number of requests that run on this instance, including those forwarded by other instances.
    pub(crate) running: AtomicUsize,
}

impl<P: platform::Platform> Frontend<P> {
    pub(crate) fn new(shared: Shared<P>) -> Self {
        let shared = Arc::new(shared);
        Self { shared }
    }

    /// Returns the service's default time limit.
    pub fn deadline(&self, service: &str) -> Duration {
        let topology = self.shared.engine.topology();
        let view = topology.as_ref().and_then(|t| t.service(service));
        let own = view.map(|v| Duration::from_millis(v.record.deadline_ms));
        own.unwrap_or(UNKNOWN_SERVICE_DEADLINE)
    }

    /// Serves a caller's request on this instance or through a home instance.
    pub async fn serve(&self, call: caller::Call) -> Reply {
        let home = self.shared.homes.get(&call.request.service);
        let is_home = home.is_empty() || home.iter().any(|c| c.name == self.shared.name);
        match is_home {
            // Another home instance probably knows which upstreams of the shard are warm.
            true if home.len() > 1
                && self.shared.engine.has_unknown_shard(&call.request.service) =>
            {
                match self.forward_to_home(&call, &home).await {
                    Some(reply) => reply,
                    None => self.serve_locally(&call).await,
                }
            }
            true => self.serve_locally(&call).await,
            false => self.forward_or_refuse(&call, &home).await,
        }
    }

    /// Waits until no request runs on this instance.
    pub async fn wait_idle(&self) {
        while self.shared.running.load(Ordering::Acquire) > 0 {
            self.shared.rt.sleep(IDLE_CHECK_PERIOD).await;
        }
    }

    /// Serves a request on this instance.
    pub async fn serve_locally(&self, call: &caller::Call) -> Reply {
        self.shared.running.fetch_add(1, Ordering::AcqRel);
        let _running = RunningGuard(&self.shared.running);
        let request = &call.request;
        let topology = self.shared.engine.topology();
        if topology.is_none_or(|t| t.service(&request.service).is_none()) {
            return self.run(call).await.0;
        }
        let admission = self.shared.admissions.for_service(&request.service);
        let admission_request = admission::Request {
            tenant: &request.tenant,
            class: request.class,
            deadline: request.deadline,
        };
        match admission.admit(&admission_request).await {
            Err(rejection) => Reply::refused(&convert::refusal(&rejection)),
            Ok(permit) => {
                let (reply, outcome) = self.run(call).await;
                permit.finish(outcome);
                reply
            }
        }
    }

    async fn run(&self, call: &caller::Call) -> (Reply, admission::Outcome) {
        match &call.key {
            None => {
                let result = self.shared.engine.run(&call.request).await;
                let outcome = convert::outcome(&result);
                match result {
                    Ok(answer) => {
                        self.count_coverage(call, &answer);
                        (Reply::answered(&answer), outcome)
                    }
                    Err(refusal) => (Reply::refused(&refusal), outcome),
                }
            }
            // The latency includes the platform's time for the claim, so it says nothing about the
            // upstreams' load.
            Some(key) => (
                self.serve_claimed(call, key).await,
                admission::Outcome::Abandoned,
            ),
        }
    }

    fn count_coverage(&self, call: &caller::Call, answer: &Answer) {
        let total = usize::try_from(answer.coverage.total).unwrap_or(usize::MAX);
        let answered = answer.coverage.answered.len();
        let request = &call.request;
        let metrics = &self.shared.metrics;
        metrics.record_coverage(&request.tenant, request.class, answered, total);
    }

    async fn serve_claimed(&self, call: &caller::Call, key: &str) -> Reply {
        if let Some(refusal) = self.refusal_before_claim(call) {
            return Reply::refused(&refusal);
        }
        let request = match claim_request(call, key) {
            Ok(request) => request,
            Err(refusal) => return claim_refusal_reply(refusal),
        };
        let refused = Mutex::new(None);
        let dispatch = || self.dispatch(call, key, &refused);
        let deadline = call.request.deadline;
        let result = self.shared.claims.run(&request, deadline, dispatch).await;
        let cause = refused.into_inner().unwrap_or_else(PoisonError::into_inner);
        match (result, cause) {
            (Ok(outcome), _) => outcome_reply(call, outcome),
            (Err(_), Some(cause)) => Reply::refused(&cause),
            (Err(refusal), None) => claim_refusal_reply(refusal),
        }
    }

    /// Returns the refusal of a request that the engine would refuse before any dispatch, to avoid
    /// a claim for it.
    fn refusal_before_claim(&self, call: &caller::Call) -> Option<Refusal> {
        let request = &call.request;
        let Some(topology) = self.shared.engine.topology() else {
            return Some(Refusal::not_run(Kind::NotReady));
        };
        let Some(view) = topology.service(&request.service) else {
            return Some(Refusal::not_run(Kind::UnknownService));
        };
        match view.record.routes.get(&*request.route) {
            None => Some(Refusal::not_run(Kind::UnknownRoute)),
            Some(route) if route.idempotent => Some(Refusal::not_run(Kind::KeyRefused)),
            Some(_) => None,
        }
    }

    async fn dispatch(
        &self,
        call: &caller::Call,
        key: &str,
        refused: &Mutex<Option<Refusal>>,
    ) -> DispatchResult {
        let store_refusal = |refusal| {
            *refused.lock().unwrap_or_else(PoisonError::into_inner) = Some(refusal);
        };
        match self.shared.engine.run_once(&call.request, key).await {
            engine::Outcome::Done(answer) => DispatchResult::Finished(Response {
                status: StatusCode::Ok.into(),
                body: serde_json::to_string(&answer).ok(),
            }),
            engine::Outcome::NotRun(refusal) => {
                store_refusal(refusal);
                DispatchResult::NotRun
            }
            engine::Outcome::Unknown(refusal) => {
                store_refusal(refusal);
                DispatchResult::Lost
            }
        }
    }

    /// Forwards a request to a home instance, or refuses it if none takes it.
    async fn forward_or_refuse(&self, call: &caller::Call, home: &[home::Candidate]) -> Reply {
        let unavailable =
            Refusal::not_run(Kind::Unavailable).with_retry_after(Duration::from_secs(1));
        let reply = self.forward_to_home(call, home).await;
        reply.unwrap_or_else(|| Reply::refused(&unavailable))
    }

    /// Forwards a request to other home instances, those in the own failure domain first. Returns
    /// `None` if the request may be served elsewhere: either it was not sent, or it has no
    /// idempotency key and may run twice.
    async fn forward_to_home(
        &self,
        call: &caller::Call,
        home: &[home::Candidate],
    ) -> Option<Reply> {
        let rt = &self.shared.rt;
        let others = home.iter().filter(|c| c.name != self.shared.name);
        let mut others: Vec<_> = others.collect();
        others.sort_by_cached_key(|c| (c.domain != self.shared.domain, rt.random()));
        for candidate in others.into_iter().take(FORWARD_LIMIT) {
            let request = forwarding::to_message(call, rt.now());
            match self.shared.peers.forward(&candidate.name, request).await {
                Ok(reply) => return Some(forwarding::to_reply(reply)),
                Err(error) if forwarding::is_not_sent(&error) => {}
                Err(error) if call.key.is_none() && rt.now() < call.request.deadline => {
                    tracing::debug!(%error, instance = %candidate.name, "forwarding again");
                }
                Err(_) => return Some(Reply::refused(&forwarding::lost_refusal())),
            }
        }
        None
    }
}

fn claim_request(
    call: &caller::Call,
    key: &str,
) -> Result<claim::Request, marigoldloom_claims::refusal::Refusal> {
    let request = &call.request;
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(request.route.as_bytes());
    hasher.update(&[0]);
    hasher.update(&request.body);
    let kind = match call.first_until {
        Some(until) => claim::AttemptKind::First { until },
        None => claim::AttemptKind::Repeated,
    };
    Ok(claim::Request {
        key: claim::Key::new(&request.tenant, &request.service, key)?,
        hash: hasher.digest(),
        kind,
    })
}

/// Returns the reply for the outcome of a claimed request. A repeated attempt gets no answer if
/// the answer was too long to store.
fn outcome_reply(call: &caller::Call, outcome: Response) -> Reply {
    let status = StatusCode::try_from(outcome.status).unwrap_or(StatusCode::Ok);
    let response = match outcome.body {
        Some(body) => {
            let mut response = message::Response::new(status).with_body(body);
            let json = "application/json";
            response.head.insert_header("content-type", json);
            response
        }
        None => {
            let id = &call.request.id;
            let body = json!({"request": id, "outcome": "done", "answer": null});
            message::Response::json_body(status, &body)
        }
    };
    Reply {
        response,
        outcome: "answered",
    }
}

fn claim_refusal_reply(refusal: marigoldloom_claims::refusal::Refusal) -> Reply {
    Reply {
        response: refusal::claim_response(refusal),
        outcome: refusal::kind_name(Kind::Unclaimed),
    }
}
