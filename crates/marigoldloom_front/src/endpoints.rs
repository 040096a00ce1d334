//! What the balancer and operators ask an instance.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use marigoldloom_catalog::configuration::Limits;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_runtime::scope::Scope;
use marigoldloom_telemetry::metrics::Metrics;

use crate::listener::Handler;

/// Path of metrics.
const METRICS_PATH: &str = "/metrics";

/// Says whether the instance takes requests.
#[derive(Clone)]
pub(crate) struct Readiness {
    /// Path of the question.
    pub(crate) path: &'static str,
    pub(crate) latest: LatestView,
    /// Cancelled once the instance leaves.
    pub(crate) closing: Scope,
}

impl Handler for Readiness {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let ready = !self.closing.is_cancelled() && self.latest.get().is_some();
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = match request.uri().path() {
            path if path != self.path => StatusCode::NOT_FOUND,
            _ if ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        response
    }
}

/// Answers questions for metrics.
#[derive(Clone)]
pub(crate) struct Figures(pub(crate) Metrics);

impl Handler for Figures {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, body) = match self.0.encode() {
            _ if request.uri().path() != METRICS_PATH => (StatusCode::NOT_FOUND, Vec::new()),
            Ok(text) => (StatusCode::OK, text),
            Err(error) => {
                tracing::error!(%error, "metrics can't be encoded");
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        response
    }
}
