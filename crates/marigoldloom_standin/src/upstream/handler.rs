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

use super::faults::{Change, Faults};
use super::settings;
use super::state::{End, Query, Verdict};
use super::{Core, Outcome, crashed};

/// Deadline of a query that names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(10);

/// Paths of tests and experiments.
pub(super) struct Admin(pub(super) Arc<Core>);

/// The upstream protocol, and the paths of [`Admin`].
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

/// Body of an answer: enough to check that it belongs to its query and snapshot.
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

/// Body of a refusal or of a bad request.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Message {
    message: String,
}

/// An admitted query; dropping it frees its place.
struct Place<'a>(&'a Core);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.state().release();
    }
}

/// A query that runs; dropping it counts how it ended.
struct Run<'a> {
    core: &'a Core,
    id: message::SubqueryId,
    end: End,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.core.state().finish(self.id, self.end);
    }
}

impl Core {
    async fn answer_query(self: &Arc<Self>, request: &http::Request) -> http::Response {
        let query = match parse(request) {
            Ok(query) => query,
            Err(bad) => return fault(StatusCode::BadRequest, bad.to_string()),
        };
        let deadline = self.rt.now() + time_left(request);
        let response = self.outcome(&query, deadline).await;
        match response {
            Some(response) if response.is_hang_up() => response,
            Some(response) => self.cross(&query, self.echo(request, response)),
            None => crashed().await,
        }
    }

    /// Runs a query; `None` if the process crashes.
    async fn outcome(
        self: &Arc<Self>,
        query: &Query,
        deadline: Timestamp,
    ) -> Option<http::Response> {
        let connections = self.connections();
        let verdict = self.state().admit(query, connections);
        let status = match verdict {
            Verdict::Admit => return Some(self.wait(query, deadline).await),
            Verdict::Draining => StatusCode::ServiceUnavailable,
            Verdict::WrongSnapshot => StatusCode::Conflict,
            Verdict::WrongShard => StatusCode::Gone,
            Verdict::Shed => StatusCode::TooManyRequests,
            Verdict::Overloaded => StatusCode::InternalServerError,
            Verdict::Crash => {
                self.crash();
                return None;
            }
        };
        Some(fault(status, format!("{verdict:?}")))
    }

    /// Waits for a slot until the deadline.
    async fn wait(&self, query: &Query, deadline: Timestamp) -> http::Response {
        let _place = Place(self);
        let slot = self.slots.acquire_arc();
        let slot = runtime::timeout_at(&self.rt, deadline, slot).await;
        match slot {
            Ok(_slot) if self.rt.now() < deadline => self.run(query, deadline).await,
            _ => {
                self.state().counters.expired += 1;
                let response = fault(StatusCode::GatewayTimeout, "deadline passed".to_owned());
                header(response, protocol::RUN_STATUS, protocol::NOT_RUN)
            }
        }
    }

    async fn run(&self, query: &Query, deadline: Timestamp) -> http::Response {
        let cancelled = self.state().start(query, self.rt.wall());
        let mut run = Run {
            core: self,
            id: query.id,
            end: End::Cancelled,
        };
        let faults = self.faults(query);
        let work = pin::pin!(task::sleep(self.service_time(&faults)));
        let work = runtime::timeout_at(&self.rt, deadline, work);
        let cancelled = pin::pin!(cancelled.recv());
        let worked = match future::select(pin::pin!(work), cancelled).await {
            Either::Left((worked, _)) => worked.is_ok(),
            Either::Right(_) => return http::Response::hang_up(),
        };
        if faults.late_ms > 0 {
            task::sleep(Duration::from_millis(faults.late_ms)).await;
        }
        let (end, response) = match () {
            () if faults.drop => (End::Failed, http::Response::hang_up()),
            () if faults.fail => (
                End::Failed,
                fault(StatusCode::InternalServerError, "failed".to_owned()),
            ),
            () if worked || faults.late_ms > 0 => (End::Completed, self.answer(query)),
            () => (
                End::Overdue,
                fault(StatusCode::GatewayTimeout, "deadline passed".to_owned()),
            ),
        };
        run.end = end;
        response
    }

    /// The faults that affect this query; none if its draw falls outside their share.
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

    /// Adds the report and the headers that a reply must repeat.
    fn echo(&self, request: &http::Request, response: http::Response) -> http::Response {
        let names = protocol::ECHOED.into_iter().chain([protocol::DEADLINE]);
        let echoed = names.fold(response, |response, name| match request.header(name) {
            Some(value) => header(response, name, value),
            None => response,
        });
        self.with_report(echoed)
    }

    /// Replaces an answer by the one before, if the faults say so.
    fn cross(&self, query: &Query, response: http::Response) -> http::Response {
        if response.status() != StatusCode::Ok {
            return response;
        }
        let crossed = self.faults(query).crossed;
        let before = self.state().last.replace(response.clone());
        before.filter(|_| crossed).unwrap_or(response)
    }

    fn with_report(&self, response: http::Response) -> http::Response {
        match protocol::with_report(response, &self.report()) {
            Ok(response) => response,
            Err(error) => fault(StatusCode::InternalServerError, error.to_string()),
        }
    }

    fn report(&self) -> message::Report {
        let lag = Duration::from_millis(self.settings.report_ms);
        self.state().report(self.rt.now(), lag)
    }

    fn answer_cancel(&self, request: &http::Request) -> http::Response {
        let id = request.header(protocol::SUBQUERY_ID);
        match id.and_then(protocol::parse_subquery_id) {
            Some(id) => {
                self.state().cancel(id);
                http::Response::new(StatusCode::Ok)
            }
            None => fault(
                StatusCode::BadRequest,
                bad(protocol::SUBQUERY_ID).to_string(),
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
                self.end(Outcome::Drained);
                http::Response::new(StatusCode::Ok)
            }
            _ => fault(StatusCode::NotFound, "no such path".to_owned()),
        }
    }

    fn change_faults(self: &Arc<Self>, request: &http::Request) -> http::Response {
        let change = match request.json::<Change>() {
            Ok(change) => change,
            Err(error) => return fault(StatusCode::BadRequest, error.to_string()),
        };
        let mut state = self.state();
        match state.faults.changed(&change) {
            Ok(faults) => state.faults = faults,
            Err(invalid) => return fault(StatusCode::BadRequest, invalid.to_string()),
        }
        let faults = state.faults.clone();
        drop(state);
        if let Some(event) = change.event {
            self.trigger(event);
        }
        http::Response::json_body(StatusCode::Ok, &faults)
    }
}

fn parse(request: &http::Request) -> Result<Query, protocol::BadHeader> {
    let text = |name| request.header(name).ok_or_else(|| bad(name));
    let shard = text(protocol::SHARD)?;
    let snapshot = text(protocol::SNAPSHOT)?;
    let id = text(protocol::SUBQUERY_ID)?;
    Ok(Query {
        id: protocol::parse_subquery_id(id).ok_or_else(|| bad(protocol::SUBQUERY_ID))?,
        shard: shard.parse().map_err(|_error| bad(protocol::SHARD))?,
        snapshot: protocol::parse_snapshot(snapshot).ok_or_else(|| bad(protocol::SNAPSHOT))?,
        route: text(protocol::ROUTE)?.to_owned(),
        key: request.header(protocol::IDEMPOTENCY_KEY).map(str::to_owned),
        text: String::from_utf8_lossy(&request.body).into_owned(),
    })
}

const fn bad(name: &'static str) -> protocol::BadHeader {
    protocol::BadHeader { name }
}

fn time_left(request: &http::Request) -> Duration {
    let millis = request.header(protocol::DEADLINE);
    let millis = millis.and_then(|text| text.parse().ok());
    millis.map_or(DEADLINE_DEFAULT, Duration::from_millis)
}

fn fault(status: StatusCode, message: String) -> http::Response {
    http::Response::json_body(status, &Message { message })
}

/// Adds a header whose value came in a request or is a constant, and so is valid.
fn header(response: http::Response, name: &'static str, value: &str) -> http::Response {
    match response.with_header(name, value) {
        Ok(response) => response,
        Err(error) => fault(StatusCode::InternalServerError, error.to_string()),
    }
}
