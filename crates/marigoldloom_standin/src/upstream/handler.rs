//! HTTP handlers of a stand-in upstream.

use std::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{self, Either};
use http_types::{Method, StatusCode};
use marigoldloom_http::{message as http, server};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::{message, protocol};
use rand::RngExt;
use serde::Serialize;

use super::faults::{FaultUpdate, Faults};
use super::settings;
use super::state::{Decision, Query, RunOutcome};
use super::{Core, Outcome, wait_for_drop};

/// Time limit of a query without a valid deadline header.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(10);

/// Handler of `/counters`, `/faults` and `/drain`.
pub(super) struct Admin(pub(super) Arc<Core>);

/// Handler of the upstream protocol and of the paths of [`Admin`].
pub(super) struct Queries(pub(super) Arc<Core>);

impl server::Handler for Admin {
    async fn handle(&self, request: http::Request) -> http::Response {
        self.0.answer_admin(&request)
    }
}

impl server::Handler for Queries {
    async fn handle(&self, request: http::Request) -> http::Response {
        let core = &self.0;
        match (request.method(), request.path()) {
            (Method::Post, protocol::QUERY_PATH) => core.answer_query(&request).await,
            (Method::Post, protocol::CANCEL_PATH) => core.answer_cancel(&request),
            (Method::Get, protocol::STATUS_PATH) => {
                http::Response::json_body(StatusCode::Ok, &core.report())
            }
            _ => core.answer_admin(&request),
        }
    }
}

/// Body of an answer. A client can check by it that the answer belongs to its query and snapshot.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Answer<'a> {
    upstream: &'a str,
    shard: u32,
    version: &'a str,
    epoch: u64,
    text: &'a str,
}

/// Body of a response that isn't an answer.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Message {
    message: String,
}

/// Counts a query as admitted until it is dropped.
struct AdmissionGuard<'a>(&'a Core);

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        self.0.state().release();
    }
}

/// Counts a query as running; when dropped, counts `outcome`.
struct RunGuard<'a> {
    core: &'a Core,
    id: message::SubqueryId,
    outcome: RunOutcome,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.core.state().finish(self.id, self.outcome);
    }
}

impl Core {
    async fn answer_query(self: &Arc<Self>, request: &http::Request) -> http::Response {
        let query = match parse(request) {
            Ok(query) => query,
            Err(error) => return error_response(StatusCode::BadRequest, error.to_string()),
        };
        let deadline = self.rt.now() + time_left(request);
        let response = self.process(&query, deadline).await;
        match response {
            Some(response) if response.is_hang_up() => response,
            Some(response) => self.apply_crossed(&query, self.echo(request, response)),
            None => wait_for_drop().await,
        }
    }

    /// Decides on a query and runs it if it is admitted; `None` if it crashes the upstream.
    async fn process(
        self: &Arc<Self>,
        query: &Query,
        deadline: Timestamp,
    ) -> Option<http::Response> {
        let connections = self.connections();
        let decision = self.state().admit(query, connections);
        let status = match decision {
            Decision::Admit => return Some(self.wait_and_run(query, deadline).await),
            Decision::Draining => StatusCode::ServiceUnavailable,
            Decision::WrongSnapshot => StatusCode::Conflict,
            Decision::WrongShard => StatusCode::Gone,
            Decision::Shed => StatusCode::TooManyRequests,
            Decision::Overloaded => StatusCode::InternalServerError,
            Decision::Crash => {
                self.crash();
                return None;
            }
        };
        Some(error_response(status, format!("{decision:?}")))
    }

    /// Waits for a slot until the deadline, then runs the query.
    async fn wait_and_run(&self, query: &Query, deadline: Timestamp) -> http::Response {
        let _admission = AdmissionGuard(self);
        let slot = self.slots.acquire_arc();
        let slot = runtime::timeout_at(&self.rt, deadline, slot).await;
        match slot {
            Ok(_slot) if self.rt.now() < deadline => self.run(query, deadline).await,
            _ => {
                self.state().counters.expired += 1;
                let response =
                    error_response(StatusCode::GatewayTimeout, "deadline passed".to_owned());
                header(response, protocol::RUN_STATUS, protocol::NOT_RUN)
            }
        }
    }

    /// Runs a query for its service time, with the faults that affect it. A crash drops this
    /// future, which counts the query as cancelled.
    async fn run(&self, query: &Query, deadline: Timestamp) -> http::Response {
        let cancelled = self.state().start(query, self.rt.wall());
        let mut run = RunGuard {
            core: self,
            id: query.id,
            outcome: RunOutcome::Cancelled,
        };
        let faults = self.faults(query);
        let work = pin::pin!(task::sleep(self.service_time(&faults)));
        let work = runtime::timeout_at(&self.rt, deadline, work);
        let cancelled = pin::pin!(cancelled.recv());
        let in_time = match future::select(pin::pin!(work), cancelled).await {
            Either::Left((result, _)) => result.is_ok(),
            Either::Right(_) => return http::Response::hang_up(),
        };
        if faults.late_ms > 0 {
            task::sleep(Duration::from_millis(faults.late_ms)).await;
        }
        let (outcome, response) = match () {
            () if faults.drop => (RunOutcome::Failed, http::Response::hang_up()),
            () if faults.fail => (
                RunOutcome::Failed,
                error_response(StatusCode::InternalServerError, "failed".to_owned()),
            ),
            () if in_time || faults.late_ms > 0 => (RunOutcome::Completed, self.answer(query)),
            () => (
                RunOutcome::Overdue,
                error_response(StatusCode::GatewayTimeout, "deadline passed".to_owned()),
            ),
        };
        run.outcome = outcome;
        response
    }

    /// Returns the faults that affect this query; draws at random whether it is in their share.
    fn faults(&self, query: &Query) -> Faults {
        let draw = self.rng().random::<f64>();
        let state = self.state();
        match state.affects(query) && draw < state.faults.share {
            true => state.faults.clone(),
            false => Faults::default(),
        }
    }

    fn service_time(&self, faults: &Faults) -> Duration {
        let service = &self.settings.service;
        let base = service.draw(&mut *self.rng());
        let cold = self.state().is_cold();
        let factor = if cold { service.cold_factor } else { 1.0 };
        settings::scaled(base.as_secs_f64() * 1_000.0, factor * faults.slow)
    }

    fn answer(&self, query: &Query) -> http::Response {
        let answer = Answer {
            upstream: &self.settings.name,
            shard: query.shard,
            version: &query.snapshot.version,
            epoch: query.snapshot.epoch,
            text: &query.text,
        };
        http::Response::json_body(StatusCode::Ok, &answer)
    }

    /// Adds the upstream's report and the request headers that a reply must repeat.
    fn echo(&self, request: &http::Request, response: http::Response) -> http::Response {
        let names = protocol::ECHOED.into_iter().chain([protocol::DEADLINE]);
        let echoed = names.fold(response, |response, name| match request.header(name) {
            Some(value) => header(response, name, value),
            None => response,
        });
        self.with_report(echoed)
    }

    /// Replaces an answer by the previous one if the fault `crossed` affects the query.
    fn apply_crossed(&self, query: &Query, response: http::Response) -> http::Response {
        if response.status() != StatusCode::Ok {
            return response;
        }
        let crossed = self.faults(query).crossed;
        let previous = self.state().last_answer.replace(response.clone());
        previous.filter(|_| crossed).unwrap_or(response)
    }

    fn with_report(&self, response: http::Response) -> http::Response {
        match protocol::with_report(response, &self.report()) {
            Ok(response) => response,
            Err(error) => error_response(StatusCode::InternalServerError, error.to_string()),
        }
    }

    fn report(&self) -> message::Report {
        let max_age = Duration::from_millis(self.settings.report_ms);
        self.state().report(self.rt.now(), max_age)
    }

    fn answer_cancel(&self, request: &http::Request) -> http::Response {
        let id = request.header(protocol::SUBQUERY_ID);
        match id.and_then(protocol::parse_subquery_id) {
            Some(id) => {
                self.state().cancel(id);
                http::Response::new(StatusCode::Ok)
            }
            None => error_response(
                StatusCode::BadRequest,
                bad_header(protocol::SUBQUERY_ID).to_string(),
            ),
        }
    }

    fn answer_admin(self: &Arc<Self>, request: &http::Request) -> http::Response {
        match (request.method(), request.path()) {
            (Method::Get, "/counters") => {
                let counters = self.state().counters.clone();
                http::Response::json_body(StatusCode::Ok, &counters)
            }
            (Method::Get, "/faults") => {
                let faults = self.state().faults.clone();
                http::Response::json_body(StatusCode::Ok, &faults)
            }
            (Method::Post, "/faults") => self.change_faults(request),
            (Method::Post, "/drain") => {
                self.state().drain();
                self.report_outcome(Outcome::Drained);
                http::Response::new(StatusCode::Ok)
            }
            _ => error_response(StatusCode::NotFound, "no such path".to_owned()),
        }
    }

    fn change_faults(self: &Arc<Self>, request: &http::Request) -> http::Response {
        let update = match request.json::<FaultUpdate>() {
            Ok(update) => update,
            Err(error) => return error_response(StatusCode::BadRequest, error.to_string()),
        };
        let mut state = self.state();
        match state.faults.updated(&update) {
            Ok(faults) => state.faults = faults,
            Err(error) => return error_response(StatusCode::BadRequest, error.to_string()),
        }
        let faults = state.faults.clone();
        drop(state);
        if let Some(event) = update.event {
            self.trigger(event);
        }
        http::Response::json_body(StatusCode::Ok, &faults)
    }
}

/// Reads a query from the headers and the body of a request.
fn parse(request: &http::Request) -> Result<Query, protocol::BadHeader> {
    let text = |name| request.header(name).ok_or_else(|| bad_header(name));
    let shard = text(protocol::SHARD)?;
    let snapshot = text(protocol::SNAPSHOT)?;
    let id = text(protocol::SUBQUERY_ID)?;
    Ok(Query {
        id: protocol::parse_subquery_id(id).ok_or_else(|| bad_header(protocol::SUBQUERY_ID))?,
        shard: shard
            .parse()
            .map_err(|_error| bad_header(protocol::SHARD))?,
        snapshot: protocol::parse_snapshot(snapshot)
            .ok_or_else(|| bad_header(protocol::SNAPSHOT))?,
        route: text(protocol::ROUTE)?.to_owned(),
        key: request.header(protocol::IDEMPOTENCY_KEY).map(str::to_owned),
        text: String::from_utf8_lossy(&request.body).into_owned(),
    })
}

const fn bad_header(name: &'static str) -> protocol::BadHeader {
    protocol::BadHeader { name }
}

/// Returns the time that is left until the query's deadline.
fn time_left(request: &http::Request) -> Duration {
    let millis = request.header(protocol::DEADLINE);
    let millis = millis.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIME_LIMIT, Duration::from_millis)
}

fn error_response(status: StatusCode, message: String) -> http::Response {
    http::Response::json_body(status, &Message { message })
}

/// Adds a header. Its value came in a request or is a constant, so that adding it doesn't fail.
fn header(response: http::Response, name: &'static str, value: &str) -> http::Response {
    match response.with_header(name, value) {
        Ok(response) => response,
        Err(error) => error_response(StatusCode::InternalServerError, error.to_string()),
    }
}
