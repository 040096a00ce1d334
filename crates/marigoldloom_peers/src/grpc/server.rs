//! Serves the peer protocol on a listener.

use std::time::Duration;

use async_std::net;
use hyper::server::conn::http2;
use hyper::service as hyper_service;
use marigoldloom_http::hyper_runtime::HyperRuntime;
use marigoldloom_runtime::runtime;
use smol_hyper::rt::FuturesIo;
use tonic::body;
use tower::ServiceExt;

use crate::generated::peer::{self, peer_server};
use crate::grpc::{CONNECTION_WINDOW, PING_LIMIT, PING_PERIOD, STREAM_WINDOW};
use crate::transport::{MESSAGE_LIMIT, Service};

/// Requests that one connection may have running.
const STREAMS_LIMIT: u32 = 1_024;

/// Pause after a failed `accept`, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until it is dropped; connections that were accepted go on.
pub async fn serve(rt: impl runtime::Runtime, listener: net::TcpListener, service: impl Service) {
    let server = peer_server::PeerServer::new(Adapter(service))
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => rt.spawn(serve_connection(rt.clone(), stream, server.clone())),
            Err(e) => {
                tracing::warn!("peer connection not accepted: {e}");
                rt.sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(
    rt: impl runtime::Runtime,
    stream: net::TcpStream,
    server: peer_server::PeerServer<Adapter<S>>,
) {
    stream.set_nodelay(true).ok();
    let answer = hyper_service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
        server.clone().oneshot(request.map(body::Body::new))
    });
    let connection = http2::Builder::new(HyperRuntime(rt.clone()))
        .timer(HyperRuntime(rt))
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_LIMIT)
        .max_concurrent_streams(STREAMS_LIMIT)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .serve_connection(FuturesIo::new(stream), answer);
    if let Err(e) = connection.await {
        tracing::debug!("peer connection ended: {e}");
    }
}

/// Passes tonic's calls on to the service.
struct Adapter<S>(S);

type Answer<A> = Result<tonic::Response<A>, tonic::Status>;

#[tonic::async_trait]
impl<S: Service> peer_server::Peer for Adapter<S> {
    async fn probe(&self, request: tonic::Request<peer::ProbeRequest>) -> Answer<peer::ProbeReply> {
        Ok(tonic::Response::new(
            self.0.probe(request.into_inner()).await,
        ))
    }

    async fn probe_via(
        &self,
        request: tonic::Request<peer::ProbeViaRequest>,
    ) -> Answer<peer::ProbeViaReply> {
        let reply = self.0.probe_via(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn push(&self, request: tonic::Request<peer::PushRequest>) -> Answer<peer::PushReply> {
        Ok(tonic::Response::new(
            self.0.push(request.into_inner()).await,
        ))
    }

    async fn pull(&self, request: tonic::Request<peer::PullRequest>) -> Answer<peer::PullReply> {
        Ok(tonic::Response::new(
            self.0.pull(request.into_inner()).await,
        ))
    }

    async fn forward(
        &self,
        request: tonic::Request<peer::ForwardRequest>,
    ) -> Answer<peer::ForwardReply> {
        let reply = self.0.forward(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn request_lease(
        &self,
        request: tonic::Request<peer::LeaseRequest>,
    ) -> Answer<peer::LeaseReply> {
        let reply = self.0.request_lease(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn release_lease(
        &self,
        request: tonic::Request<peer::ReleaseRequest>,
    ) -> Answer<peer::ReleaseReply> {
        let reply = self.0.release_lease(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }
}
