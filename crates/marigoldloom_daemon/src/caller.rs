//! The callers' HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, headers};
use marigoldloom_http::{message, server};
use marigoldloom_platform::platform;
use marigoldloom_query::request;
use marigoldloom_records::{class, record, service};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::{scope, time};
use marigoldloom_telemetry::{event, metrics};
use marigoldloom_upstream::message as upstream;

use crate::frontend;
use crate::refusal::{self, Invalid};
use crate::refusal_log;

/// Names the tenant; every request needs it.
const TENANT: &str = "x-tenant";

/// Names the priority class; `standard` without it.
const CLASS: &str = "x-class";

/// Time for the request in milliseconds; the service's own deadline without it.
const DEADLINE: &str = "x-deadline-ms";

/// Names the request through all processes; random without it.
const REQUEST_ID: &str = "x-request-id";

/// The caller's key of a request that must run at most once.
const KEY: &str = "idempotency-key";

/// Until when the caller sends this key nowhere else, in wall-clock milliseconds.
/// With it a request that can't be claimed during a platform outage is known not to have run.
const FIRST_UNTIL: &str = "x-first-until-ms";

const PATH: &str = "/v1/services/";

/// A request as the caller sent it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: request::Request,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Until when the key is sent nowhere else.
    pub first: Option<time::WallTime>,
}

/// Answers callers.
pub struct Caller<P: platform::Platform> {
    rt: AsyncStd,
    frontend: frontend::Frontend<P>,
    metrics: metrics::Metrics,
    refusals: refusal_log::RefusalLog<AsyncStd>,
}

impl<P: platform::Platform> Caller<P> {
    /// Creates the handler of the callers' server.
    pub fn new(
        rt: AsyncStd,
        frontend: frontend::Frontend<P>,
        metrics: metrics::Metrics,
        events: event::Events,
    ) -> Self {
        Self {
            rt,
            frontend,
            metrics,
            refusals: refusal_log::RefusalLog::new(rt, events),
        }
    }

    async fn answer(&self, http: &message::Request) -> message::Response {
        let started = self.rt.now();
        let call = match self.parse(http) {
            Ok(call) => call,
            Err(error) => return refusal::invalid(&error),
        };
        let request = call.request.clone();
        self.metrics.add_running_requests(request.class, 1);
        let _running = Running {
            metrics: &self.metrics,
            class: request.class,
        };
        let reply = self.frontend.serve(call).await;
        let labels = metrics::RequestLabels {
            tenant: &request.tenant,
            class: request.class,
            service: reply.service_label(&request.service),
            outcome: reply.outcome,
        };
        let elapsed = self.rt.now().since(started);
        self.metrics.record_request(&labels, elapsed);
        tracing::debug!(request = %request.id, outcome = %reply.outcome, ?elapsed, "request");
        let mut response = reply.response;
        self.refusals.record(&request, reply.outcome, &response);
        response.head.insert_header(REQUEST_ID, &*request.id.0);
        response
    }

    fn parse(&self, http: &message::Request) -> Result<Call, Invalid> {
        let (service, route) = split_path(http.path())?;
        if http.method() != Method::Post {
            return Err(Invalid::Method);
        }
        let limit = match http.header(DEADLINE) {
            None => self.frontend.deadline(service),
            Some(text) => parse_deadline(text)?,
        };
        let request = request::Request {
            id: self.request_id(http)?,
            tenant: Arc::from(parse_tenant(http)?),
            class: parse_class(http)?,
            service: Arc::from(service),
            route: Arc::from(route),
            deadline: self.rt.now() + limit,
            body: Arc::from(http.body.as_slice()),
            call: None,
            policy: request::Policy::default(),
            scope: scope::Scope::new(),
        };
        Ok(Call {
            request,
            key: parse_name(http, KEY)?.map(Arc::from),
            first: parse_first(http)?,
        })
    }

    fn request_id(&self, http: &message::Request) -> Result<upstream::RequestId, Invalid> {
        let id = match parse_name(http, REQUEST_ID)? {
            Some(id) => Arc::from(id),
            None => Arc::from(format!(
                "{:016x}{:016x}",
                self.rt.random(),
                self.rt.random()
            )),
        };
        Ok(upstream::RequestId(id))
    }
}

impl<P: platform::Platform> server::Handler for Caller<P> {
    async fn handle(&self, request: message::Request) -> message::Response {
        let mut response = self.answer(&request).await;
        response
            .head
            .insert_header(headers::CACHE_CONTROL, "no-store");
        response
    }
}

/// Counts a request as running while it lives, also when its caller leaves.
struct Running<'a> {
    metrics: &'a metrics::Metrics,
    class: class::Class,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.metrics.add_running_requests(self.class, -1);
    }
}

fn split_path(path: &str) -> Result<(&str, &str), Invalid> {
    let rest = path.strip_prefix(PATH).ok_or(Invalid::Path)?;
    match rest.split_once('/') {
        Some((service, route)) if record::is_name(service) && record::is_name(route) => {
            Ok((service, route))
        }
        _ => Err(Invalid::Path),
    }
}

fn parse_name<'a>(
    http: &'a message::Request,
    name: &'static str,
) -> Result<Option<&'a str>, Invalid> {
    let rule = "1 to 128 ASCII letters, digits, '-', '_' or '.'";
    match http.header(name) {
        None => Ok(None),
        Some(value) if record::is_name(value) => Ok(Some(value)),
        Some(_) => Err(Invalid::Header { name, rule }),
    }
}

fn parse_tenant(http: &message::Request) -> Result<&str, Invalid> {
    parse_name(http, TENANT)?.ok_or(Invalid::Missing { name: TENANT })
}

fn parse_class(http: &message::Request) -> Result<class::Class, Invalid> {
    let (name, rule) = (CLASS, "interactive, standard or bulk");
    match http.header(CLASS) {
        None => Ok(class::Class::default()),
        Some(text) => class::Class::parse(text).ok_or(Invalid::Header { name, rule }),
    }
}

fn parse_deadline(text: &str) -> Result<Duration, Invalid> {
    let (name, rule) = (DEADLINE, "1 to 600000 milliseconds");
    match text.parse() {
        Ok(ms @ 1..=service::DEADLINE_LIMIT_MS) => Ok(Duration::from_millis(ms)),
        _ => Err(Invalid::Header { name, rule }),
    }
}

fn parse_first(http: &message::Request) -> Result<Option<time::WallTime>, Invalid> {
    let (name, rule) = (FIRST_UNTIL, "milliseconds since the Unix epoch");
    let parse = |text: &str| text.parse().map(time::WallTime);
    let value = http.header(FIRST_UNTIL).map(parse).transpose();
    value.map_err(|_| Invalid::Header { name, rule })
}
