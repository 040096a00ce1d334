//! Where a request goes: to this instance's engine, or to a home instance of its service.

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

/// Time for a request to an unknown service, which is refused at once.
const UNKNOWN_DEADLINE: Duration = Duration::from_secs(1);

/// Home instances that a request is offered to, one after the other.
const OFFER_LIMIT: usize = 3;

/// Time between two looks for running requests during a shutdown.
const IDLE_POLL: Duration = Duration::from_millis(10);

/// Metrics label of services that no record defines.
const UNKNOWN_SERVICE: &str = "unknown";

/// A response and how it counts in the metrics.
#[derive(Debug)]
pub struct Reply {
    /// The response.
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
            response: refusal::refused(refusal),
            outcome: refusal::name(refusal.kind),
        }
    }

    /// The service's metrics label; callers choose the path, so unknown names share one.
    pub fn service_label<'a>(&self, service: &'a str) -> &'a str {
        match self.outcome == refusal::name(Kind::UnknownService) {
            true => UNKNOWN_SERVICE,
            false => service,
        }
    }
}

/// Decides where requests run. Clones share all state.
pub struct Frontend<P: platform::Platform> {
    shared: Arc<Shared<P>>,
}

impl<P: platform::Platform> Clone for Frontend<P> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self { shared }
    }
}

/// Counts a request while it runs, also when its caller leaves.
struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What a frontend is made of.
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
    /// Requests that run here.
    pub(crate) running: AtomicUsize,
}

impl<P: platform::Platform> Frontend<P> {
    pub(crate) fn new(shared: Shared<P>) -> Self {
        let shared = Arc::new(shared);
        Self { shared }
    }

    /// The service's own time limit.
    pub fn deadline(&self, service: &str) -> Duration {
        let topology = self.shared.engine.topology();
        let view = topology.as_ref().and_then(|t| t.service(service));
        let own = view.map(|v| Duration::from_millis(v.record.deadline_ms));
        own.unwrap_or(UNKNOWN_DEADLINE)
    }

    /// Serves a caller's request, here or through a home instance.
    pub async fn serve(&self, call: caller::Call) -> Reply {
        let home = self.shared.homes.of(&call.request.service);
        let here = home.is_empty() || home.iter().any(|c| c.name == self.shared.name);
        match here {
            // Another home instance probably knows which upstreams are warm.
            true if home.len() > 1
                && self.shared.engine.has_unknown_shard(&call.request.service) =>
            {
                match self.offer(&call, &home).await {
                    Some(reply) => reply,
                    None => self.serve_here(&call).await,
                }
            }
            true => self.serve_here(&call).await,
            false => self.hand_over(&call, &home).await,
        }
    }

    /// Waits until no request runs here.
    pub async fn idle(&self) {
        while self.shared.running.load(Ordering::Acquire) > 0 {
            self.shared.rt.sleep(IDLE_POLL).await;
        }
    }

    /// Serves a request on this instance.
    pub async fn serve_here(&self, call: &caller::Call) -> Reply {
        self.shared.running.fetch_add(1, Ordering::AcqRel);
        let _running = Running(&self.shared.running);
        let request = &call.request;
        let topology = self.shared.engine.topology();
        if topology.is_none_or(|t| t.service(&request.service).is_none()) {
            return self.run(call).await.0;
        }
        let admission = self.shared.admissions.of(&request.service);
        let wish = admission::Request {
            tenant: &request.tenant,
            class: request.class,
            deadline: request.deadline,
        };
        match admission.admit(&wish).await {
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
            // A claim takes time on the platform, which says nothing about the upstreams.
            Some(key) => (
                self.serve_once(call, key).await,
                admission::Outcome::Abandoned,
            ),
        }
    }

    fn count_coverage(&self, call: &caller::Call, answer: &Answer) {
        let total = usize::try_from(answer.coverage.total).unwrap_or(usize::MAX);
        let answered = answer.coverage.answered.len();
        let request = &call.request;
        let metrics = &self.shared.metrics;
        metrics.coverage(&request.tenant, request.class, answered, total);
    }

    async fn serve_once(&self, call: &caller::Call, key: &str) -> Reply {
        if let Some(refusal) = self.refuse_early(call) {
            return Reply::refused(&refusal);
        }
        let request = match claim_request(call, key) {
            Ok(request) => request,
            Err(refusal) => return unclaimed(refusal),
        };
        let refused = Mutex::new(None);
        let dispatch = || self.dispatch(call, key, &refused);
        let deadline = call.request.deadline;
        let result = self.shared.claims.run(&request, deadline, dispatch).await;
        let cause = refused.into_inner().unwrap_or_else(PoisonError::into_inner);
        match (result, cause) {
            (Ok(outcome), _) => recorded(call, outcome),
            (Err(_), Some(cause)) => Reply::refused(&cause),
            (Err(refusal), None) => unclaimed(refusal),
        }
    }

    /// Refuses without a claim what the engine would refuse before any dispatch.
    fn refuse_early(&self, call: &caller::Call) -> Option<Refusal> {
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
        let note = |refusal| {
            *refused.lock().unwrap_or_else(PoisonError::into_inner) = Some(refusal);
        };
        match self.shared.engine.run_once(&call.request, key).await {
            engine::Outcome::Done(answer) => DispatchResult::Finished(Response {
                status: StatusCode::Ok.into(),
                body: serde_json::to_string(&answer).ok(),
            }),
            engine::Outcome::NotRun(refusal) => {
                note(refusal);
                DispatchResult::NotRun
            }
            engine::Outcome::Unknown(refusal) => {
                note(refusal);
                DispatchResult::Lost
            }
        }
    }

    /// Hands a request over to a home instance.
    async fn hand_over(&self, call: &caller::Call, home: &[home::Candidate]) -> Reply {
        let unsent = Refusal::not_run(Kind::Unavailable).with_retry_after(Duration::from_secs(1));
        let reply = self.offer(call, home).await;
        reply.unwrap_or_else(|| Reply::refused(&unsent))
    }

    /// Offers a request to other home instances, the own failure domain's first. No reply means
    /// that the request may be sent elsewhere: it was not sent, or it may run twice.
    async fn offer(&self, call: &caller::Call, home: &[home::Candidate]) -> Option<Reply> {
        let rt = &self.shared.rt;
        let others = home.iter().filter(|c| c.name != self.shared.name);
        let mut others: Vec<_> = others.collect();
        others.sort_by_cached_key(|c| (c.domain != self.shared.domain, rt.random()));
        for candidate in others.into_iter().take(OFFER_LIMIT) {
            let request = forwarding::request(call, rt.now());
            match self.shared.peers.forward(&candidate.name, request).await {
                Ok(reply) => return Some(forwarding::reply(reply)),
                Err(error) if forwarding::not_sent(&error) => {}
                Err(error) if call.key.is_none() && rt.now() < call.request.deadline => {
                    tracing::debug!(%error, instance = %candidate.name, "forwarding again");
                }
                Err(_) => return Some(Reply::refused(&forwarding::lost())),
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
    let kind = match call.first {
        Some(until) => claim::AttemptKind::First { until },
        None => claim::AttemptKind::Repeated,
    };
    Ok(claim::Request {
        key: claim::Key::new(&request.tenant, &request.service, key)?,
        hash: hasher.digest(),
        kind,
    })
}

/// The response for an outcome; a resend gets it without the answer if that was too long to keep.
fn recorded(call: &caller::Call, outcome: Response) -> Reply {
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

fn unclaimed(refusal: marigoldloom_claims::refusal::Refusal) -> Reply {
    Reply {
        response: refusal::unclaimed(refusal),
        outcome: refusal::name(Kind::Unclaimed),
    }
}
