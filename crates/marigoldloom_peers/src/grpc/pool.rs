//! Connection pool: one connection and one task for each remote address in use.

use std::collections::BTreeMap;
use std::io;
use std::net;
use std::pin::{self, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use derive_more::derive;
use futures::future;
use hyper::client::conn::http2;
use marigoldloom_http::hyper_runtime::HyperRuntime;
use marigoldloom_runtime::runtime;
use smol_hyper::rt::FuturesIo;
use tonic::body;

use crate::generated::peer::{self, peer_client};
use crate::grpc::{CONNECTION_WINDOW, PING_PERIOD, PING_TIMEOUT, STREAM_WINDOW};
use crate::transport::{Error, MESSAGE_LIMIT, Transport};

/// Timeout of connecting, including the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection without calls is closed after this time. Pushes go to random instances, so
/// without this limit each instance would in time hold a connection to every other.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Greatest number of calls that wait for one connection.
const QUEUE_LIMIT: usize = 1_024;

/// First and greatest delay between connection attempts. The greatest delay is short, because
/// probes of an instance that has come back fail until the next attempt.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

type Client = peer_client::PeerClient<Channel>;

/// Why a connection attempt failed.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum ConnectError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("{_0}")]
    Handshake(hyper::Error),
    #[display("{_0}")]
    Origin(http::Error),
    #[display("no connection within the time limit")]
    Elapsed(runtime::Elapsed),
}

/// The connections of one instance to others.
#[derive(Clone, Debug)]
pub struct Pool<R> {
    rt: R,
    /// Queue of waiting calls for each address that has a task.
    queues: Arc<Mutex<BTreeMap<net::SocketAddr, async_channel::Sender<Waiter>>>>,
}

/// A call that waits for a connection. It is dropped if no connection can be made.
type Waiter = async_channel::Sender<Client>;

impl<R: runtime::Runtime> Pool<R> {
    /// Creates a pool without connections.
    pub fn new(rt: R) -> Self {
        Self {
            rt,
            queues: Arc::default(),
        }
    }

    async fn client(
        &self,
        to: net::SocketAddr,
        request: &impl prost::Message,
    ) -> Result<Client, Error> {
        let len = request.encoded_len();
        if len > MESSAGE_LIMIT {
            return Err(Error::TooLarge { len });
        }
        let (tx, rx) = async_channel::bounded(1);
        self.enqueue(to, tx)?;
        rx.recv().await.map_err(|_| Error::Unreachable)
    }

    /// Queues a call and starts the task of the address if there is none. Both happen under the
    /// lock that an idle task takes before it ends, so that no call is queued for an ended task.
    fn enqueue(&self, to: net::SocketAddr, waiter: Waiter) -> Result<(), Error> {
        let mut queues = self.lock();
        let queue = queues.entry(to).or_insert_with(|| {
            let (tx, rx) = async_channel::bounded(QUEUE_LIMIT);
            self.rt.spawn(self.clone().run_queue(to, rx));
            tx
        });
        queue.try_send(waiter).map_err(|_| Error::Unreachable)
    }

    /// The task of one address: connects when a call waits, and ends after [`IDLE_TIMEOUT`]
    /// without calls.
    async fn run_queue(self, to: net::SocketAddr, calls: async_channel::Receiver<Waiter>) {
        let mut attempt = 0;
        while let Some(first) = self.next_call(to, &calls).await {
            match self.connect(to).await {
                Ok((client, ended)) => {
                    attempt = 0;
                    first.try_send(client.clone()).ok();
                    self.hand_out_client(&client, &calls, ended).await;
                }
                Err(e) => {
                    tracing::debug!(%to, attempt, "connection attempt failed: {e}");
                    drop(first);
                    self.refuse_until_retry(&calls, attempt).await;
                    attempt += 1;
                }
            }
        }
    }

    /// Waits for a call. After [`IDLE_TIMEOUT`] without calls, removes the queue and returns
    /// `None`.
    async fn next_call(
        &self,
        to: net::SocketAddr,
        calls: &async_channel::Receiver<Waiter>,
    ) -> Option<Waiter> {
        match runtime::timeout(&self.rt, IDLE_TIMEOUT, calls.recv()).await {
            Ok(waiter) => waiter.ok(),
            Err(runtime::Elapsed) => {
                let mut queues = self.lock();
                let late_call = calls.try_recv().ok();
                if late_call.is_none() {
                    queues.remove(&to);
                }
                late_call
            }
        }
    }

    /// Gives the connection to each waiting call, until the connection ends or is idle for
    /// [`IDLE_TIMEOUT`].
    async fn hand_out_client(
        &self,
        client: &Client,
        calls: &async_channel::Receiver<Waiter>,
        ended: async_channel::Receiver<()>,
    ) {
        let mut ended = pin::pin!(ended.recv());
        loop {
            let call = pin::pin!(runtime::timeout(&self.rt, IDLE_TIMEOUT, calls.recv()));
            match future::select(call, &mut ended).await {
                future::Either::Left((Ok(Ok(waiter)), _)) => {
                    waiter.try_send(client.clone()).ok();
                }
                _ => return,
            }
        }
    }

    /// Drops all calls until the next connection attempt is due, so that they fail at once.
    async fn refuse_until_retry(&self, calls: &async_channel::Receiver<Waiter>, attempt: u32) {
        let (base, cap) = BACKOFF;
        let delay = runtime::backoff(&self.rt, attempt, base, cap);
        let drop_calls = async { while calls.recv().await.is_ok() {} };
        runtime::timeout(&self.rt, delay, drop_calls).await.ok();
    }

    async fn connect(
        &self,
        to: net::SocketAddr,
    ) -> Result<(Client, async_channel::Receiver<()>), ConnectError> {
        let limit = CONNECT_TIMEOUT;
        let connecting = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let handshake = http2::Builder::new(HyperRuntime(self.rt.clone()))
                .timer(HyperRuntime(self.rt.clone()))
                .keep_alive_interval(PING_PERIOD)
                .keep_alive_timeout(PING_TIMEOUT)
                .keep_alive_while_idle(true)
                .initial_stream_window_size(STREAM_WINDOW)
                .initial_connection_window_size(CONNECTION_WINDOW)
                .handshake(FuturesIo::new(stream));
            Ok::<_, ConnectError>(handshake.await?)
        };
        let (requests, connection) = runtime::timeout(&self.rt, limit, connecting).await??;
        let (running, ended) = async_channel::bounded::<()>(1);
        self.rt.spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(%to, "connection ended: {e}");
            }
            drop(running);
        });
        Ok((new_client(to, requests)?, ended))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<net::SocketAddr, async_channel::Sender<Waiter>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_client(
    to: net::SocketAddr,
    requests: http2::SendRequest<body::Body>,
) -> Result<Client, ConnectError> {
    let origin = http::Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query("/")
        .build()?;
    let client = peer_client::PeerClient::with_origin(Channel(requests), origin)
        .max_decoding_message_size(MESSAGE_LIMIT)
        .max_encoding_message_size(MESSAGE_LIMIT);
    Ok(client)
}

/// Adapts an HTTP/2 connection of hyper to the service trait that tonic's client calls.
#[derive(Clone, Debug)]
struct Channel(http2::SendRequest<body::Body>);

impl tower::Service<http::Request<body::Body>> for Channel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<body::Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}

/// Converts a status. Codes that don't come from the remote service become [`Error::Lost`],
/// because the request may have been handled.
fn status_error(status: &tonic::Status) -> Error {
    match status.code() {
        tonic::Code::Unknown | tonic::Code::Unavailable | tonic::Code::Cancelled => Error::Lost,
        _ => Error::Refused {
            reason: status.to_string(),
        },
    }
}

fn reply_or_error<A>(result: Result<tonic::Response<A>, tonic::Status>) -> Result<A, Error> {
    match result {
        Ok(response) => Ok(response.into_inner()),
        Err(status) => Err(status_error(&status)),
    }
}

impl<R: runtime::Runtime> Transport for Pool<R> {
    async fn probe(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, Error> {
        reply_or_error(self.client(to, &request).await?.probe(request).await)
    }

    async fn probe_via(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> Result<peer::ProbeViaReply, Error> {
        reply_or_error(self.client(to, &request).await?.probe_via(request).await)
    }

    async fn push(
        &self,
        to: net::SocketAddr,
        request: peer::PushRequest,
    ) -> Result<peer::PushReply, Error> {
        reply_or_error(self.client(to, &request).await?.push(request).await)
    }

    async fn pull(
        &self,
        to: net::SocketAddr,
        request: peer::PullRequest,
    ) -> Result<peer::PullReply, Error> {
        reply_or_error(self.client(to, &request).await?.pull(request).await)
    }

    async fn forward(
        &self,
        to: net::SocketAddr,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        reply_or_error(self.client(to, &request).await?.forward(request).await)
    }

    async fn request_lease(
        &self,
        to: net::SocketAddr,
        request: peer::LeaseRequest,
    ) -> Result<peer::LeaseReply, Error> {
        reply_or_error(
            self.client(to, &request)
                .await?
                .request_lease(request)
                .await,
        )
    }

    async fn release_lease(
        &self,
        to: net::SocketAddr,
        request: peer::ReleaseRequest,
    ) -> Result<peer::ReleaseReply, Error> {
        reply_or_error(
            self.client(to, &request)
                .await?
                .release_lease(request)
                .await,
        )
    }
}
