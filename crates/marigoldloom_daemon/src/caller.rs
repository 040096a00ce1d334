//! HTTP interface for callers.

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

/// Header with the tenant's name. Required.
const TENANT_HEADER: &str = "x-tenant";

/// Header with the priority class. Default: `standard`.
const CLASS_HEADER: &str = "x-class";

/// Header with the time limit of the request, in milliseconds. Default: the service's deadline.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the id that identifies the request in all processes. Default: a random id.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the idempotency key of a request that must run at most once.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the time until which the caller sends this key in no other request, in milliseconds
/// since the Unix epoch. With it, a request that can't be claimed during a platform outage is known
/// not to have run.
const FIRST_UNTIL_HEADER: &str = "x-first-until-ms";

/// Prefix of the paths that queries are sent to.
const PATH_PREFIX: &str = "/v1/services/";

/// A caller's request with its idempotency key.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request to the query engine.
    pub request: request::Request,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<Arc<str>>,
    /// Time until which the caller sends the key in no other request; `None` if unknown.
    pub first_until: Option<time::WallTime>,
}

/// Handles the requests of callers.
pub struct Handler<P: platform::Platform> {
    rt: AsyncStd,
    frontend: frontend::Frontend<P>,
    metrics: metrics::Metrics,
    refusals: refusal_log::RefusalLog<AsyncStd>,
}

impl<P: platform::Platform> Handler<P> {
    /// Creates a handler for the callers' server.
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

    async fn respond(&self, http: &message::Request) -> message::Response {
        let started = self.rt.now();
        let call = match self.parse(http) {
            Ok(call) => call,
            Err(error) => return refusal::invalid_response(&error),
        };
        let request = call.request.clone();
        self.metrics.add_running_requests(request.class, 1);
        let _running = RunningGuard {
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
        response
            .head
            .insert_header(REQUEST_ID_HEADER, &*request.id.0);
        response
    }

    fn parse(&self, http: &message::Request) -> Result<Call, Invalid> {
        let (service, route) = split_path(http.path())?;
        if http.method() != Method::Post {
            return Err(Invalid::Method);
        }
        let limit = match http.header(DEADLINE_HEADER) {
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
            key: parse_name(http, KEY_HEADER)?.map(Arc::from),
            first_until: parse_first_until(http)?,
        })
    }

    fn request_id(&self, http: &message::Request) -> Result<upstream::RequestId, Invalid> {
        let id = match parse_name(http, REQUEST_ID_HEADER)? {
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

impl<P: platform::Platform> server::Handler for Handler<P> {
    async fn handle(&self, request: message::Request) -> message::Response {
        let mut response = self.respond(&request).await;
        response
            .head
            .insert_header(headers::CACHE_CONTROL, "no-store");
        response
    }
}

/// Keeps a request counted as running until it is dropped, also when its caller disconnects.
struct RunningGuard<'a> {
    metrics: &'a metrics::Metrics,
    class: class::Class,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.metrics.add_running_requests(self.class, -1);
    }
}

fn split_path(path: &str) -> Result<(&str, &str), Invalid> {
    let rest = path.strip_prefix(PATH_PREFIX).ok_or(Invalid::Path)?;
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
    parse_name(http, TENANT_HEADER)?.ok_or(Invalid::Missing {
        name: TENANT_HEADER,
    })
}

fn parse_class(http: &message::Request) -> Result<class::Class, Invalid> {
    let (name, rule) = (CLASS_HEADER, "interactive, standard or bulk");
    match http.header(CLASS_HEADER) {
        None => Ok(class::Class::default()),
        Some(text) => class::Class::parse(text).ok_or(Invalid::Header { name, rule }),
    }
}

fn parse_deadline(text: &str) -> Result<Duration, Invalid> {
    let (name, rule) = (DEADLINE_HEADER, "1 to 600000 milliseconds");
    match text.parse() {
        Ok(ms @ 1..=service::DEADLINE_LIMIT_MS) => Ok(Duration::from_millis(ms)),
        _ => Err(Invalid::Header { name, rule }),
    }
}

fn parse_first_until(http: &message::Request) -> Result<Option<time::WallTime>, Invalid> {
    let (name, rule) = (FIRST_UNTIL_HEADER, "milliseconds since the Unix epoch");
    let parse = |text: &str| text.parse().map(time::WallTime);
    let value = http.header(FIRST_UNTIL_HEADER).map(parse).transpose();
    value.map_err(|_| Invalid::Header { name, rule })
}
