//! Counts the bytes of control messages, whose limit is 9 KB/s per instance.
//!
//! Forwarded queries aren't counted, because they are callers' traffic.

use std::net;

use marigoldloom_telemetry::metrics;
use prost::Message;

use crate::generated::peer;
use crate::transport::{Error, Service, Transport};

/// Estimated bytes of HTTP/2, gRPC and TCP/IP headers per message.
pub const HEADER_BYTES: usize = 150;

/// Wraps a [`Transport`] or a [`Service`] and counts its control messages.
#[derive(Clone, Debug)]
pub struct Metered<T> {
    inner: T,
    metrics: metrics::Metrics,
}

impl<T> Metered<T> {
    /// Wraps `inner` and adds its bytes to `metrics`.
    pub const fn new(inner: T, metrics: metrics::Metrics) -> Self {
        Self { inner, metrics }
    }

    fn count(&self, direction: &'static str, message: &impl Message) {
        let bytes = message.encoded_len().saturating_add(HEADER_BYTES);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.metrics.add_control_bytes(direction, bytes);
    }

    async fn call<A: Message>(
        &self,
        request: &impl Message,
        call: impl Future<Output = Result<A, Error>>,
    ) -> Result<A, Error> {
        self.count("sent", request);
        let reply = call.await?;
        self.count("received", &reply);
        Ok(reply)
    }

    async fn serve<A: Message>(&self, request: &impl Message, serve: impl Future<Output = A>) -> A {
        self.count("received", request);
        let reply = serve.await;
        self.count("sent", &reply);
        reply
    }
}

impl<T: Transport> Transport for Metered<T> {
    async fn probe(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, Error> {
        let call = self.inner.probe(to, request.clone());
        self.call(&request, call).await
    }

    async fn probe_via(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> Result<peer::ProbeViaReply, Error> {
        let call = self.inner.probe_via(to, request.clone());
        self.call(&request, call).await
    }

    async fn push(
        &self,
        to: net::SocketAddr,
        request: peer::PushRequest,
    ) -> Result<peer::PushReply, Error> {
        let call = self.inner.push(to, request.clone());
        self.call(&request, call).await
    }

    async fn pull(
        &self,
        to: net::SocketAddr,
        request: peer::PullRequest,
    ) -> Result<peer::PullReply, Error> {
        let call = self.inner.pull(to, request.clone());
        self.call(&request, call).await
    }

    async fn request_lease(
        &self,
        to: net::SocketAddr,
        request: peer::LeaseRequest,
    ) -> Result<peer::LeaseReply, Error> {
        let call = self.inner.request_lease(to, request.clone());
        self.call(&request, call).await
    }

    async fn release_lease(
        &self,
        to: net::SocketAddr,
        request: peer::ReleaseRequest,
    ) -> Result<peer::ReleaseReply, Error> {
        let call = self.inner.release_lease(to, request.clone());
        self.call(&request, call).await
    }

    async fn forward(
        &self,
        to: net::SocketAddr,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        self.inner.forward(to, request).await
    }
}

impl<S: Service> Service for Metered<S> {
    async fn probe(&self, request: peer::ProbeRequest) -> peer::ProbeReply {
        let serve = self.inner.probe(request.clone());
        self.serve(&request, serve).await
    }

    async fn probe_via(&self, request: peer::ProbeViaRequest) -> peer::ProbeViaReply {
        let serve = self.inner.probe_via(request.clone());
        self.serve(&request, serve).await
    }

    async fn push(&self, request: peer::PushRequest) -> peer::PushReply {
        let serve = self.inner.push(request.clone());
        self.serve(&request, serve).await
    }

    async fn pull(&self, request: peer::PullRequest) -> peer::PullReply {
        let serve = self.inner.pull(request.clone());
        self.serve(&request, serve).await
    }

    async fn request_lease(&self, request: peer::LeaseRequest) -> peer::LeaseReply {
        let serve = self.inner.request_lease(request.clone());
        self.serve(&request, serve).await
    }

    async fn release_lease(&self, request: peer::ReleaseRequest) -> peer::ReleaseReply {
        let serve = self.inner.release_lease(request.clone());
        self.serve(&request, serve).await
    }

    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        self.inner.forward(request).await
    }
}
