//! Server of the peer protocol.

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
use crate::grpc::{CONNECTION_WINDOW, PING_PERIOD, PING_TIMEOUT, STREAM_WINDOW};
use crate::transport::{MESSAGE_LIMIT, Service};

/// Greatest number of concurrent requests on one connection.
const MAX_STREAMS: u32 = 1_024;

/// Pause after a failed `accept`, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections on `listener` and passes their requests to `service`. Dropping the future
/// stops accepting; connections that were already accepted are still served.
pub async fn serve(rt: impl runtime::Runtime, listener: net::TcpListener, service: impl Service) {
    let server = peer_server::PeerServer::new(Adapter(service))
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => rt.spawn(serve_connection(rt.clone(), stream, server.clone())),
            Err(e) => {
                tracing::warn!("failed to accept a peer connection: {e}");
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
    let handler =
        hyper_service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
            server.clone().oneshot(request.map(body::Body::new))
        });
    let connection = http2::Builder::new(HyperRuntime(rt.clone()))
        .timer(HyperRuntime(rt))
        .keep_alive_interval(PING_PERIOD)
        .keep_alive_timeout(PING_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .serve_connection(FuturesIo::new(stream), handler);
    if let Err(e) = connection.await {
        tracing::debug!("peer connection ended: {e}");
    }
}

/// Implements tonic's server trait by calling a [`Service`].
struct Adapter<S>(S);

type RpcResult<A> = Result<tonic::Response<A>, tonic::Status>;

#[tonic::async_trait]
impl<S: Service> peer_server::Peer for Adapter<S> {
    async fn probe(
        &self,
        request: tonic::Request<peer::ProbeRequest>,
    ) -> RpcResult<peer::ProbeReply> {
        Ok(tonic::Response::new(
            self.0.probe(request.into_inner()).await,
        ))
    }

    async fn probe_via(
        &self,
        request: tonic::Request<peer::ProbeViaRequest>,
    ) -> RpcResult<peer::ProbeViaReply> {
        let reply = self.0.probe_via(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn push(&self, request: tonic::Request<peer::PushRequest>) -> RpcResult<peer::PushReply> {
        Ok(tonic::Response::new(
            self.0.push(request.into_inner()).await,
        ))
    }

    async fn pull(&self, request: tonic::Request<peer::PullRequest>) -> RpcResult<peer::PullReply> {
        Ok(tonic::Response::new(
            self.0.pull(request.into_inner()).await,
        ))
    }

    async fn forward(
        &self,
        request: tonic::Request<peer::ForwardRequest>,
    ) -> RpcResult<peer::ForwardReply> {
        let reply = self.0.forward(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn request_lease(
        &self,
        request: tonic::Request<peer::LeaseRequest>,
    ) -> RpcResult<peer::LeaseReply> {
        let reply = self.0.request_lease(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }

    async fn release_lease(
        &self,
        request: tonic::Request<peer::ReleaseRequest>,
    ) -> RpcResult<peer::ReleaseReply> {
        let reply = self.0.release_lease(request.into_inner()).await;
        Ok(tonic::Response::new(reply))
    }
}
