//! Connections to other instances, one task for each.

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
use crate::grpc::{CONNECTION_WINDOW, PING_LIMIT, PING_PERIOD, STREAM_WINDOW};
use crate::transport::{Error, MESSAGE_LIMIT, Transport};

/// Time limit of a connection's start.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// A connection without calls is closed after this time. Pushes go to random instances,
/// so that connections to all would pile up.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Calls that may wait for one connection.
const WAITING_LIMIT: usize = 1_024;

/// Delay bounds between attempts to connect. The cap is short, because probes of an
/// instance that came back fail until the next attempt.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

type Client = peer_client::PeerClient<Channel>;

/// Why a connection can't be made.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum ConnectError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("{_0}")]
    Handshake(hyper::Error),
    #[display("{_0}")]
    Origin(http::Error),
    #[display("no connection within the limit")]
    Elapsed(runtime::Elapsed),
}

/// The connections of one instance.
#[derive(Clone, Debug)]
pub struct Pool<R> {
    rt: R,
    waiting: Arc<Mutex<BTreeMap<net::SocketAddr, async_channel::Sender<Waiter>>>>,
}

/// A call that waits for a connection; dropped if there is none.
type Waiter = async_channel::Sender<Client>;

impl<R: runtime::Runtime> Pool<R> {
    /// Creates a pool without connections.
    pub fn new(rt: R) -> Self {
        Self {
            rt,
            waiting: Arc::default(),
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

    /// Queues a call, under the lock that an idle task takes before it ends.
    fn enqueue(&self, to: net::SocketAddr, waiter: Waiter) -> Result<(), Error> {
        let mut waiting = self.lock();
        let queue = waiting.entry(to).or_insert_with(|| {
            let (tx, rx) = async_channel::bounded(WAITING_LIMIT);
            self.rt.spawn(self.clone().keep(to, rx));
            tx
        });
        queue.try_send(waiter).map_err(|_| Error::Unreachable)
    }

    /// Connects when there are calls, until there were none for a while.
    async fn keep(self, to: net::SocketAddr, calls: async_channel::Receiver<Waiter>) {
        let mut attempt = 0;
        while let Some(first) = self.next_call(to, &calls).await {
            match self.connect(to).await {
                Ok((client, ended)) => {
                    attempt = 0;
                    first.try_send(client.clone()).ok();
                    self.hand_out(&client, &calls, ended).await;
                }
                Err(e) => {
                    tracing::debug!(%to, attempt, "no connection: {e}");
                    drop(first);
                    self.refuse(&calls, attempt).await;
                    attempt += 1;
                }
            }
        }
    }

    /// Waits for a call; none after the idle limit, when the queue has been removed.
    async fn next_call(
        &self,
        to: net::SocketAddr,
        calls: &async_channel::Receiver<Waiter>,
    ) -> Option<Waiter> {
        match runtime::timeout(&self.rt, IDLE_LIMIT, calls.recv()).await {
            Ok(waiter) => waiter.ok(),
            Err(runtime::Elapsed) => {
                let mut waiting = self.lock();
                let late = calls.try_recv().ok();
                if late.is_none() {
                    waiting.remove(&to);
                }
                late
            }
        }
    }

    /// Gives the connection to calls until it ends or is idle.
    async fn hand_out(
        &self,
        client: &Client,
        calls: &async_channel::Receiver<Waiter>,
        ended: async_channel::Receiver<()>,
    ) {
        let mut ended = pin::pin!(ended.recv());
        loop {
            let call = pin::pin!(runtime::timeout(&self.rt, IDLE_LIMIT, calls.recv()));
            match future::select(call, &mut ended).await {
                future::Either::Left((Ok(Ok(waiter)), _)) => {
                    waiter.try_send(client.clone()).ok();
                }
                _ => return,
            }
        }
    }

    /// Refuses calls until the next attempt to connect is due.
    async fn refuse(&self, calls: &async_channel::Receiver<Waiter>, attempt: u32) {
        let (base, cap) = BACKOFF;
        let delay = runtime::backoff(&self.rt, attempt, base, cap);
        let drop_calls = async { while calls.recv().await.is_ok() {} };
        runtime::timeout(&self.rt, delay, drop_calls).await.ok();
    }

    async fn connect(
        &self,
        to: net::SocketAddr,
    ) -> Result<(Client, async_channel::Receiver<()>), ConnectError> {
        let limit = CONNECT_LIMIT;
        let connecting = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let handshake = http2::Builder::new(HyperRuntime(self.rt.clone()))
                .timer(HyperRuntime(self.rt.clone()))
                .keep_alive_interval(PING_PERIOD)
                .keep_alive_timeout(PING_LIMIT)
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
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
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

/// One HTTP/2 connection as tonic calls it.
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

/// A status without an answer of the service may mean that the request was handled.
fn failure(status: &tonic::Status) -> Error {
    match status.code() {
        tonic::Code::Unknown | tonic::Code::Unavailable | tonic::Code::Cancelled => Error::Lost,
        _ => Error::Refused {
            reason: status.to_string(),
        },
    }
}

fn answer<A>(result: Result<tonic::Response<A>, tonic::Status>) -> Result<A, Error> {
    match result {
        Ok(response) => Ok(response.into_inner()),
        Err(status) => Err(failure(&status)),
    }
}

impl<R: runtime::Runtime> Transport for Pool<R> {
    async fn probe(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeRequest,
    ) -> Result<peer::ProbeReply, Error> {
        answer(self.client(to, &request).await?.probe(request).await)
    }

    async fn probe_via(
        &self,
        to: net::SocketAddr,
        request: peer::ProbeViaRequest,
    ) -> Result<peer::ProbeViaReply, Error> {
        answer(self.client(to, &request).await?.probe_via(request).await)
    }

    async fn push(
        &self,
        to: net::SocketAddr,
        request: peer::PushRequest,
    ) -> Result<peer::PushReply, Error> {
        answer(self.client(to, &request).await?.push(request).await)
    }

    async fn pull(
        &self,
        to: net::SocketAddr,
        request: peer::PullRequest,
    ) -> Result<peer::PullReply, Error> {
        answer(self.client(to, &request).await?.pull(request).await)
    }

    async fn forward(
        &self,
        to: net::SocketAddr,
        request: peer::ForwardRequest,
    ) -> Result<peer::ForwardReply, Error> {
        answer(self.client(to, &request).await?.forward(request).await)
    }

    async fn request_lease(
        &self,
        to: net::SocketAddr,
        request: peer::LeaseRequest,
    ) -> Result<peer::LeaseReply, Error> {
        answer(
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
        answer(
            self.client(to, &request)
                .await?
                .release_lease(request)
                .await,
        )
    }
}
