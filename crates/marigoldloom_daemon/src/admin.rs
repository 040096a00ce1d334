//! HTTP interface for operators.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use http_types::{Method, StatusCode};
use marigoldloom_http::{message, server};
use marigoldloom_peers::exchange::{Exchange, Space};
use marigoldloom_platform::platform;
use marigoldloom_telemetry::{event, metrics};
use serde::Serialize;
use serde_json::json;

use crate::config;
use crate::instance::Peers;

/// Handles the requests of operators.
pub struct Admin<P: platform::Platform> {
    pub(crate) peers: Peers<P>,
    pub(crate) events: event::Events,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) view: Arc<Mutex<config::View>>,
    pub(crate) draining: Arc<AtomicBool>,
}

/// A member of the tier in the response to `/admin/members`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address that the instance serves the peer protocol on.
    pub peer: String,
    /// Membership state: `alive`, `suspect`, `leaving` or `down`.
    pub state: String,
    /// Incarnation number of the membership protocol.
    pub incarnation: u64,
}

impl<P: platform::Platform> Admin<P> {
    fn readiness(&self) -> message::Response {
        let domain = self.peers.own().identity.domain;
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let cause = match () {
            () if self.draining.load(Ordering::Relaxed) => Some("draining"),
            () if !self.peers.is_ready() => Some("no configuration yet"),
            () if view.out_domains.contains(&*domain) => Some("failure domain is out"),
            () => None,
        };
        match cause {
            None => message::Response::json_body(StatusCode::Ok, &json!({"ready": true})),
            Some(cause) => message::Response::json_body(
                StatusCode::ServiceUnavailable,
                &json!({"ready": false, "cause": cause}),
            ),
        }
    }

    fn metrics(&self) -> message::Response {
        match self.metrics.encode() {
            Ok(text) => {
                let mut response = message::Response::new(StatusCode::Ok).with_body(text);
                let kind = "text/plain; version=0.0.4";
                response.head.insert_header("content-type", kind);
                response
            }
            Err(error) => {
                tracing::error!(%error, "metrics can't be encoded");
                message::Response::new(StatusCode::InternalServerError)
            }
        }
    }

    fn events(&self, request: &message::Request) -> message::Response {
        let pairs = request.head.url().query_pairs();
        let after = pairs.into_iter().find(|(name, _)| name == "after");
        let after = after.map(|(_, value)| value.parse()).transpose();
        match after {
            Ok(after) => {
                let events = self.events.after(after.unwrap_or(0));
                message::Response::json_body(StatusCode::Ok, &events)
            }
            Err(_) => message::Response::json_body(
                StatusCode::BadRequest,
                &json!({"error": {"kind": "invalid_request", "message": "after must be a number"}}),
            ),
        }
    }

    fn members(&self) -> message::Response {
        let members = self.peers.members().into_iter().map(|m| Member {
            name: m.identity.name.to_string(),
            domain: m.identity.domain.to_string(),
            peer: m.identity.address.to_string(),
            state: m.state.to_string(),
            incarnation: m.incarnation,
        });
        let members: Vec<_> = members.collect();
        message::Response::json_body(StatusCode::Ok, &members)
    }

    fn config(&self) -> message::Response {
        let entries = self.peers.exchange().scan(Space::Config, "");
        let records = entries.iter().map(|e| {
            let present = e.value.is_some();
            json!({"name": e.name, "revision": e.stamp, "present": present})
        });
        message::Response::json_body(StatusCode::Ok, &records.collect::<Vec<_>>())
    }
}

impl<P: platform::Platform> server::Handler for Admin<P> {
    async fn handle(&self, request: message::Request) -> message::Response {
        match (request.method(), request.path()) {
            (Method::Get, "/healthz") => {
                message::Response::json_body(StatusCode::Ok, &json!({"healthy": true}))
            }
            (Method::Get, "/readyz") => self.readiness(),
            (Method::Get, "/metrics") => self.metrics(),
            (Method::Get, "/admin/events") => self.events(&request),
            (Method::Get, "/admin/members") => self.members(),
            (Method::Get, "/admin/config") => self.config(),
            _ => message::Response::json_body(
                StatusCode::NotFound,
                &json!({"error": {"kind": "invalid_request", "message": "no such path"}}),
            ),
        }
    }
}
