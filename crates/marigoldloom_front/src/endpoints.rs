//! Readiness and metrics endpoints for the load balancer and operators.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use marigoldloom_catalog::configuration::Limits;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_runtime::scope::Scope;
use marigoldloom_telemetry::metrics::Metrics;

use crate::listener::Handler;
use crate::receive_limit::ReceivedBody;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Readiness endpoint: 200 if the instance accepts requests, 503 otherwise.
#[derive(Clone)]
pub(crate) struct ReadinessEndpoint {
    /// Path of the endpoint.
    pub(crate) path: &'static str,
    pub(crate) latest: LatestView,
    /// Cancelled when the instance begins to shut down.
    pub(crate) closing: Scope,
}

impl ReadinessEndpoint {
    pub(crate) fn is_ready(&self) -> bool {
        !self.closing.is_cancelled() && self.latest.get().is_some()
    }
}

impl Handler for ReadinessEndpoint {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    async fn handle(&self, request: Request<ReceivedBody>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = match request.uri().path() {
            path if path != self.path => StatusCode::NOT_FOUND,
            _ if self.is_ready() => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        response
    }
}

/// Metrics endpoint, in the text format of Prometheus.
#[derive(Clone)]
pub(crate) struct MetricsEndpoint(pub(crate) Metrics);

impl Handler for MetricsEndpoint {
    fn limits(&self) -> Limits {
        Limits::default()
    }

    async fn handle(&self, request: Request<ReceivedBody>) -> Response<Full<Bytes>> {
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
