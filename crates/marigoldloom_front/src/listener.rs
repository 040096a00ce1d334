//! HTTP server with one task per connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{convert, io, mem, pin};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::{self, Either};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use marigoldloom_catalog::configuration::Limits;
use marigoldloom_http::hyper_runtime::HyperRuntime;
use marigoldloom_http::socket;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::scope::Scope;
use smol_hyper::rt::FuturesIo;

use crate::drain::Drain;
use crate::receive_limit::{LimitedStream, ReceiveLimit, ReceivedBody};

/// Pause after a failed accept, e.g. when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time between two log lines about connections that aren't served.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Smallest buffer that hyper accepts for a request's head, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Smallest buffer from which the limit on received bytes follows: bodies of requests may have chunk
/// extensions and trailers of some kilobytes.
const MIN_LIMITED_BUFFER: usize = 64 * 1024;

/// Largest number of headers of a caller's request; hyper's default.
const MAX_HEADERS: usize = 100;

/// Part of a request's head that the sender adds to a caller's request and that doesn't count
/// towards the caller's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddedHead {
    /// Number of headers.
    pub headers: usize,
    /// Size in bytes.
    pub bytes: usize,
}

/// Handles the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Limits for a new connection.
    fn limits(&self) -> Limits;

    /// Largest number of open connections. Further ones are closed before anything is read from them.
    fn max_connections(&self) -> usize {
        usize::MAX
    }

    /// Room for headers that senders add to callers' requests.
    fn added_head(&self) -> AddedHead {
        AddedHead::default()
    }

    /// Answers one request. The future is dropped when the caller closes the connection.
    fn handle(
        &self,
        request: Request<ReceivedBody>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Stops a server in two steps and counts its connections. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Once cancelled, responses ask callers to close their connections.
    pub closing: Scope,
    /// Once cancelled, no connections are accepted and idle ones are closed.
    pub stopped: Scope,
    /// Which requests are taken meanwhile, and when the last ones end.
    pub drain: Drain,
    open: Arc<AtomicUsize>,
}

impl Stop {
    /// Number of open connections, and of listeners that may still accept some.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn count(&self) -> Counted {
        Counted::new(&self.open)
    }
}

/// A connection or listener that counts as open until it is dropped.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Listens on `address`.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves the connections of `listener` until `stop` is used.
pub fn serve(listener: TcpListener, handler: impl Handler, stop: Stop) {
    let listening = stop.count();
    let server = Server {
        listener,
        limit: handler.max_connections(),
        handler,
        stop,
        open: Arc::default(),
    };
    task::spawn(async move {
        let accepting = pin::pin!(server.accept());
        let stopped = pin::pin!(server.stop.stopped.cancelled());
        future::select(accepting, stopped).await;
        // Connections that are left in the accept queue would be reset.
        while let Some(Ok((stream, _))) = server.listener.accept().now_or_never() {
            server.start(stream);
        }
        drop(listening);
    });
}

/// A listener and its connections.
struct Server<H> {
    listener: TcpListener,
    handler: H,
    stop: Stop,
    /// Number of open connections of this listener.
    open: Arc<AtomicUsize>,
    /// Largest number of them.
    limit: usize,
}

impl<H: Handler> Server<H> {
    async fn accept(&self) {
        let mut failures = Report::default();
        let mut excess = Report::default();
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.open.load(Ordering::Relaxed) < self.limit => {
                    self.start(stream);
                }
                Ok((stream, _)) => {
                    drop(stream);
                    if let Some(count) = excess.count() {
                        tracing::warn!(count, limit = self.limit, "too many connections");
                    }
                }
                Err(error) => {
                    if let Some(count) = failures.count() {
                        tracing::warn!(count, %error, "connections not accepted");
                    }
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn start(&self, stream: TcpStream) {
        let counted = [self.stop.count(), Counted::new(&self.open)];
        let (handler, stop) = (self.handler.clone(), self.stop.clone());
        task::spawn(async move {
            serve_connection(stream, handler, stop).await;
            drop(counted);
        });
    }
}

/// Collects events for a log line in each [`REPORT_PERIOD`].
#[derive(Debug, Default)]
struct Report {
    last: Option<Instant>,
    count: u64,
}

impl Report {
    /// Counts an event. If a line is due, returns the number of events since the last one.
    fn count(&mut self) -> Option<u64> {
        self.count += 1;
        let now = Instant::now();
        let recent = |last: Instant| now.duration_since(last) < REPORT_PERIOD;
        if self.last.is_some_and(recent) {
            return None;
        }
        self.last = Some(now);
        Some(mem::take(&mut self.count))
    }
}

async fn serve_connection(stream: TcpStream, handler: impl Handler, stop: Stop) {
    let (limits, added) = (handler.limits(), handler.added_head());
    let prepared = stream.set_nodelay(true);
    let prepared = prepared.and_then(|()| socket::limit_sending(&stream, limits.idle));
    if let Err(error) = prepared {
        tracing::debug!(%error, "connection ended before it was served");
        return;
    }
    let buffer = limits.head.max(MIN_BUFFER).saturating_add(added.bytes);
    let limit = ReceiveLimit::new(buffer.max(MIN_LIMITED_BUFFER));
    let answer = service_fn(|request: Request<Incoming>| async {
        let request = request.map(|body| ReceivedBody::new(body, &limit));
        let mut response = handler.handle(request).await;
        if stop.closing.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok::<_, convert::Infallible>(response)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(HyperRuntime(AsyncStd::new()))
        // hyper counts from the end of the previous request, so this also limits idle time.
        .header_read_timeout(limits.idle)
        .max_buf_size(buffer)
        // Otherwise hyper copies each body into a buffer that stays as large as the largest one.
        .writev(true)
        .auto_date_header(false);
    if added.headers > 0 {
        builder.max_headers(MAX_HEADERS + added.headers);
    }
    let stream = LimitedStream {
        tcp: stream,
        limit: limit.clone(),
    };
    let connection = builder.serve_connection(FuturesIo::new(stream), answer);
    let mut connection = pin::pin!(connection);
    let stopped = pin::pin!(stop.stopped.cancelled());
    let result = match future::select(connection.as_mut(), stopped).await {
        Either::Left((result, _)) => result,
        Either::Right(((), _)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "a caller's connection ended");
    }
}
