//! HTTP server with one task per connection.

use std::io;
use std::net::{self, SocketAddr};
use std::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_h1::server;
use async_std::future;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use derive_more::derive;
use futures::future::{self as combinators, Either};
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, StatusCode, headers};
use serde::Serialize;

use crate::limited_stream;
use crate::message;

/// Pause after a failed accept, e.g. when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections over the limit that get a 503 response at the same time; more are closed
/// without a response.
const REJECTION_LIMIT: usize = 64;

/// How long input is read and discarded after a rejected request. Closing the connection
/// at once would reset it, and the client would lose the response.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. If [`Settings::cancel_closed`] is set, the future is dropped
    /// when the client closes the connection.
    fn handle(&self, request: message::Request) -> impl Future<Output = message::Response> + Send;
}

/// Limits of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Largest number of open connections; further ones get a 503 response.
    pub max_connections: usize,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Time limit for receiving a request, from its first byte.
    pub receive_timeout: Duration,
    /// Time limit for sending a response.
    pub send_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
    /// How long an idle connection stays open during a shutdown, for a request that the client
    /// has already sent.
    pub linger: Duration,
    /// Delay between accepting a connection and reading from it. Zero except in stand-ins,
    /// which simulate the cost of a new connection.
    pub accept_delay: Duration,
    /// Whether a request is cancelled when its client closes the connection.
    pub cancel_closed: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_body: 1024 * 1024,
            receive_timeout: Duration::from_secs(5),
            send_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            linger: Duration::from_millis(100),
            accept_delay: Duration::ZERO,
            cancel_closed: true,
        }
    }
}

/// The time limit of a shutdown passed with connections still open; their requests were
/// cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("{connections} connections were still open at the shutdown's time limit")]
pub struct Unfinished {
    /// Number of connections that were closed by force.
    pub connections: usize,
}

/// A running server. Dropping it closes the listener and every connection at once.
pub struct Server {
    address: SocketAddr,
    signals: ShutdownSignals,
    finished: Receiver<()>,
    open_count: Arc<AtomicUsize>,
}

/// Channels that are closed to stop the server; closing one wakes all its receivers.
struct ShutdownSignals {
    stop: Sender<()>,
    abort: Sender<()>,
}

impl Drop for ShutdownSignals {
    fn drop(&mut self) {
        self.stop.close();
        self.abort.close();
    }
}

/// Listens on `address` and starts serving.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    settings: Settings,
    handler: impl Handler,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded(1);
    let (abort, aborted) = async_channel::bounded(1);
    let (alive, finished) = async_channel::bounded(1);
    let open_count = Arc::new(AtomicUsize::new(0));
    let context = Arc::new(Context {
        settings,
        handler,
        stopped,
        aborted,
        open_count: Arc::clone(&open_count),
        rejection_count: AtomicUsize::new(0),
    });
    task::spawn(listen(listener, context, alive));
    Ok(Server {
        address,
        signals: ShutdownSignals { stop, abort },
        finished,
        open_count,
    })
}

impl Server {
    /// The address the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once. The future completes when they are closed.
    pub fn close(self) -> impl Future<Output = ()> + Send {
        drop(self.signals);
        async move {
            // Nothing is ever sent: the channel closes when the last task has ended.
            let _ = self.finished.recv().await;
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Stops accepting connections, waits for running requests, closes idle connections and
    /// returns when no connection is left or `limit` has passed.
    ///
    /// # Errors
    ///
    /// [`Unfinished`] if connections had to be closed by force.
    pub async fn shut_down(self, limit: Duration) -> Result<(), Unfinished> {
        self.signals.stop.close();
        match future::timeout(limit, self.finished.recv()).await {
            Ok(_closed) => Ok(()),
            Err(_) => Err(Unfinished {
                connections: self.connections(),
            }),
        }
    }
}

struct Context<H> {
    settings: Settings,
    handler: H,
    stopped: Receiver<()>,
    aborted: Receiver<()>,
    open_count: Arc<AtomicUsize>,
    rejection_count: AtomicUsize,
}

impl<H> Context<H> {
    fn is_stopping(&self) -> bool {
        self.stopped.is_closed()
    }
}

/// Counts a connection until it is dropped.
struct ConnectionCount<'a>(&'a AtomicUsize);

impl<'a> ConnectionCount<'a> {
    fn try_increment(counter: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let add = |n: usize| (n < limit).then_some(n + 1);
        let order = Ordering::Relaxed;
        counter
            .fetch_update(order, order, add)
            .ok()
            .map(|_| Self(counter))
    }
}

impl Drop for ConnectionCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn listen<H: Handler>(listener: TcpListener, context: Arc<Context<H>>, alive: Sender<()>) {
    loop {
        let accepted = {
            let accept = pin::pin!(listener.accept());
            let stopped = pin::pin!(context.stopped.recv());
            match combinators::select(accept, stopped).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => break,
            }
        };
        match accepted {
            Ok((stream, _)) => start(stream, &context, &alive),
            Err(error) => {
                tracing::warn!(%error, "a connection can't be accepted");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Closing the listener would reset connections that the operating system has already
    // established, so they are served.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        start(stream, &context, &alive);
    }
    // Whoever waits for the end must find the listener closed.
    drop(listener);
    drop(alive);
}

fn start<H: Handler>(stream: TcpStream, context: &Arc<Context<H>>, alive: &Sender<()>) {
    let (context, alive) = (Arc::clone(context), alive.clone());
    task::spawn(async move {
        {
            let work = pin::pin!(serve(stream, &context));
            let aborted = pin::pin!(context.aborted.recv());
            combinators::select(work, aborted).await;
        }
        // Only now is the connection closed.
        drop(alive);
    });
}

async fn serve<H: Handler>(stream: TcpStream, context: &Context<H>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = Connection {
        stream: limited_stream::LimitedStream::new(stream),
        context,
    };
    let limit = context.settings.max_connections;
    match ConnectionCount::try_increment(&context.open_count, limit) {
        Some(_guard) => connection.run().await,
        None => connection.reject_connection().await,
    }
}

/// Why a request was rejected before it reached the handler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
enum Rejection {
    #[display("the request isn't well-formed HTTP/1.1")]
    Malformed,
    #[display("the request ended before it was complete")]
    Truncated,
    #[display("the request didn't arrive in time")]
    TooSlow,
    #[display("the request's head is too long")]
    HeadTooLong,
    #[display("the request's body is too long")]
    BodyTooLong,
    #[display("too many connections")]
    TooManyConnections,
}

impl Rejection {
    const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Truncated => StatusCode::BadRequest,
            Self::TooSlow => StatusCode::RequestTimeout,
            Self::HeadTooLong => StatusCode::RequestHeaderFieldsTooLarge,
            Self::BodyTooLong => StatusCode::PayloadTooLarge,
            Self::TooManyConnections => StatusCode::ServiceUnavailable,
        }
    }

    const fn kind(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Truncated => "truncated",
            Self::TooSlow => "too_slow",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::TooManyConnections => "too_many_connections",
        }
    }

    fn response(self) -> message::Response {
        let refusal = Refusal {
            error: RefusalBody {
                kind: self.kind(),
                message: self.to_string(),
                run: "not_run",
                retry_after_ms: None,
            },
        };
        message::Response::json_body(self.status(), &refusal)
    }
}

/// Body of an error response, in the format of the caller interface.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct Refusal {
    error: RefusalBody,
}

#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct RefusalBody {
    kind: &'static str,
    message: String,
    run: &'static str,
    retry_after_ms: Option<u64>,
}

struct Connection<'a, H> {
    stream: limited_stream::LimitedStream,
    context: &'a Context<H>,
}

impl<H: Handler> Connection<'_, H> {
    async fn run(&self) {
        if !self.context.settings.accept_delay.is_zero() {
            task::sleep(self.context.settings.accept_delay).await;
        }
        while self.wait_for_request().await {
            let request = match self.receive().await {
                Ok(request) => request,
                Err(rejection) => return self.reject(rejection).await,
            };
            let close = request.has_connection_close() || self.stream.has_trailing_bytes(&request);
            let method = request.method();
            let Some(response) = self.run_handler(request).await else {
                return;
            };
            if response.is_hang_up() || !self.send_response(response, method, close).await {
                return;
            }
        }
    }

    /// Waits for the first byte of a request; false if the connection is to be closed.
    async fn wait_for_request(&self) -> bool {
        let settings = &self.context.settings;
        if !self.context.is_stopping() {
            let idle = pin::pin!(self.wait_readable(settings.idle_timeout));
            let stopped = pin::pin!(self.context.stopped.recv());
            if let Either::Left((ready, _)) = combinators::select(idle, stopped).await {
                return ready;
            }
        }
        self.wait_readable(settings.linger).await
    }

    async fn wait_readable(&self, limit: Duration) -> bool {
        let mut byte = [0];
        let peeked = future::timeout(limit, self.stream.tcp.peek(&mut byte)).await;
        matches!(peeked, Ok(Ok(1..)))
    }

    async fn receive(&self) -> Result<message::Request, Rejection> {
        let settings = &self.context.settings;
        self.stream.start_message(settings.max_body);
        match future::timeout(settings.receive_timeout, self.read_request()).await {
            Ok(Ok(request)) => Ok(request),
            Ok(Err(rejection)) => Err(self.read_rejection().unwrap_or(rejection)),
            Err(_) => Err(Rejection::TooSlow),
        }
    }

    async fn read_request(&self) -> Result<message::Request, Rejection> {
        let decoded = server::decode(self.stream.clone()).await;
        let (mut head, _) = match decoded {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return Err(Rejection::Truncated),
            Err(_) => return Err(Rejection::Malformed),
        };
        let lengths = head.header(headers::CONTENT_LENGTH);
        if lengths.is_some_and(|values| values.iter().count() > 1) {
            return Err(Rejection::Malformed);
        }
        let expected = head.len();
        if expected.is_some_and(|len| len > self.context.settings.max_body) {
            return Err(Rejection::BodyTooLong);
        }
        let body = head.take_body().into_bytes().await;
        let body = body.map_err(|_error| Rejection::Malformed)?;
        match expected.is_some_and(|len| len != body.len()) {
            true => Err(Rejection::Truncated),
            false => Ok(message::Request::from_parts(head, body)),
        }
    }

    /// Derives the rejection from the stream's state after reading failed.
    fn read_rejection(&self) -> Option<Rejection> {
        let received = self.stream.received();
        match received.error {
            Some(limited_stream::Error::HeadTooLong) => Some(Rejection::HeadTooLong),
            Some(limited_stream::Error::BodyTooLong) => Some(Rejection::BodyTooLong),
            Some(limited_stream::Error::NotAscii) => Some(Rejection::Malformed),
            None if received.ended => Some(Rejection::Truncated),
            None if received.head_len >= limited_stream::HEAD_LIMIT => Some(Rejection::HeadTooLong),
            None => None,
        }
    }

    /// Runs the handler; `None` if the client closed the connection before it finished.
    async fn run_handler(&self, request: message::Request) -> Option<message::Response> {
        let work = pin::pin!(self.context.handler.handle(request));
        if !self.context.settings.cancel_closed {
            return Some(work.await);
        }
        let mut byte = [0];
        let closed = pin::pin!(self.stream.tcp.peek(&mut byte));
        match combinators::select(work, closed).await {
            Either::Left((response, _)) => Some(response),
            Either::Right((Ok(1..), work)) => Some(work.await),
            Either::Right(_) => None,
        }
    }

    /// Sends a response; true if the connection stays open.
    async fn send_response(
        &self,
        response: message::Response,
        method: Method,
        close: bool,
    ) -> bool {
        let close = close || self.context.is_stopping() || response.has_connection_close();
        let mut head = response.into_head();
        if close {
            head.insert_header(headers::CONNECTION, "close");
        }
        let mut bytes = Vec::new();
        let mut encoder = server::Encoder::new(head, method);
        if encoder.read_to_end(&mut bytes).await.is_err() {
            return false;
        }
        let mut stream = self.stream.clone();
        let written =
            future::timeout(self.context.settings.send_timeout, stream.write_all(&bytes)).await;
        matches!(written, Ok(Ok(()))) && !close
    }

    async fn reject(&self, rejection: Rejection) {
        tracing::debug!(%rejection, "a request was refused");
        self.send_response(rejection.response(), Method::Get, true)
            .await;
        let _ = self.stream.tcp.shutdown(net::Shutdown::Write);
        let _ = future::timeout(DISCARD_TIME, self.discard()).await;
    }

    /// Reads until the client closes the connection.
    async fn discard(&self) {
        let mut stream = self.stream.tcp.clone();
        let mut buf = [0; 4_096];
        while matches!(stream.read(&mut buf).await, Ok(1..)) {}
    }

    /// Responds only after request bytes have arrived: a client treats a response that comes
    /// before its request as a connection error.
    async fn reject_connection(&self) {
        match ConnectionCount::try_increment(&self.context.rejection_count, REJECTION_LIMIT) {
            Some(_guard)
                if self
                    .wait_readable(self.context.settings.receive_timeout)
                    .await =>
            {
                self.reject(Rejection::TooManyConnections).await;
            }
            Some(_guard) => (),
            None => tracing::debug!("a connection over the limit was closed"),
        }
    }
}
