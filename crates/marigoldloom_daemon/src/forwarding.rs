//! Requests that one instance forwards to another.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http_types::StatusCode;
use marigoldloom_http::message;
use marigoldloom_peers::generated::peer;
use marigoldloom_peers::{peers, transport};
use marigoldloom_platform::platform;
use marigoldloom_query::answer::Reason;
use marigoldloom_query::refusal::{Kind, Refusal, RunStatus};
use marigoldloom_query::request;
use marigoldloom_records::class;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::{scope, time};
use marigoldloom_upstream::message as upstream;

use crate::caller;
use crate::frontend;
use crate::refusal;

/// Serves requests that other instances forward. Refuses them until the frontend is set.
pub struct Handler<P: platform::Platform> {
    rt: AsyncStd,
    frontend: Arc<OnceLock<frontend::Frontend<P>>>,
}

impl<P: platform::Platform> Clone for Handler<P> {
    fn clone(&self) -> Self {
        Self {
            rt: self.rt,
            frontend: Arc::clone(&self.frontend),
        }
    }
}

impl<P: platform::Platform> Handler<P> {
    pub(crate) fn new(rt: AsyncStd) -> Self {
        Self {
            rt,
            frontend: Arc::default(),
        }
    }

    /// Sets the frontend that runs the requests; later calls change nothing.
    pub(crate) fn set(&self, frontend: frontend::Frontend<P>) {
        let _ = self.frontend.set(frontend);
    }
}

impl<P: platform::Platform> transport::Handler for Handler<P> {
    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        let response = match self.frontend.get() {
            Some(frontend) => {
                let call = from_message(request, self.rt.now());
                frontend.serve_locally(&call).await.response
            }
            None => refusal::response(&Refusal::not_run(Kind::NotReady)),
        };
        peer::ForwardReply {
            status: u32::from(u16::from(response.status())),
            body: response.body,
        }
    }
}

/// Builds the message for a request. It contains the remaining time instead of the deadline,
/// because the instances' clocks differ.
pub(crate) fn to_message(call: &caller::Call, now: time::Timestamp) -> peer::ForwardRequest {
    let request = &call.request;
    let remaining = request.deadline.since(now);
    peer::ForwardRequest {
        service: request.service.to_string(),
        route: request.route.to_string(),
        tenant: request.tenant.to_string(),
        class: request.class.as_str().to_owned(),
        id: request.id.0.to_string(),
        remaining_ms: time::millis(remaining),
        key: call.key.as_deref().map(str::to_owned),
        first_until_ms: call.first_until.map(|until| until.0),
        body: request.body.to_vec(),
    }
}

/// Converts a forwarded message to a call.
fn from_message(message: peer::ForwardRequest, now: time::Timestamp) -> caller::Call {
    let request = request::Request {
        id: upstream::RequestId(Arc::from(message.id)),
        tenant: Arc::from(message.tenant),
        class: class::Class::parse(&message.class).unwrap_or_default(),
        service: Arc::from(message.service),
        route: Arc::from(message.route),
        deadline: now + Duration::from_millis(message.remaining_ms),
        body: Arc::from(message.body),
        call: None,
        policy: request::Policy::default(),
        scope: scope::Scope::new(),
    };
    caller::Call {
        request,
        key: message.key.map(Arc::from),
        first_until: message.first_until_ms.map(time::WallTime),
    }
}

/// Converts a home instance's reply to the response for the caller.
pub(crate) fn to_reply(reply: peer::ForwardReply) -> frontend::Reply {
    let refused = serde_json::from_slice::<Refusal>(&reply.body).ok();
    let status = u16::try_from(reply.status).ok();
    let status = status.and_then(|s| StatusCode::try_from(s).ok());
    let mut response = message::Response::new(status.unwrap_or(StatusCode::BadGateway));
    response
        .head
        .insert_header("content-type", "application/json");
    let retry_after = refused.and_then(|r| r.retry_after);
    frontend::Reply {
        response: refusal::with_retry_after(response.with_body(reply.body), retry_after),
        outcome: refused.map_or("forwarded", |r| refusal::kind_name(r.kind)),
    }
}

/// Whether the home instance certainly did not receive the request.
pub(crate) fn is_not_sent(error: &peers::Error) -> bool {
    matches!(
        error,
        peers::Error::NotInService { .. } | peers::Error::Transport(transport::Error::Unreachable)
    )
}

/// Returns the refusal of a request that was sent to a home instance and got no reply.
pub(crate) fn lost_refusal() -> Refusal {
    Refusal::not_run(Kind::Unavailable).with_reason(Reason::Lost, RunStatus::Unknown)
}
