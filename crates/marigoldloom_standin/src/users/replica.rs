//! A replica that sends scripted bytes as responses and keeps the requests that it receives.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{io, mem, pin};

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, future};
use serde::Serialize;
use socket2::SockRef;

use super::caller;

/// Size of the read buffer in bytes.
const CHUNK: usize = 4096;

/// Time from the last byte of a response until the connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// A request as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Request line and header lines, without the empty line that ends them.
    pub head: String,
    /// Body, of the length that `Content-Length` states.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the id of the request's attempt; `None` without the header.
    pub fn id(&self) -> Option<&str> {
        self.header("attempt-id")
    }

    /// Returns how long the sender waits for a response; `None` if it doesn't state it.
    pub fn timeout(&self) -> Option<Duration> {
        let millis = self.header("deadline-ms")?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// Returns the request line.
    pub fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Returns the value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        caller::header(&self.head, name)
    }
}

/// When the bytes of a response are sent a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Copy {
    /// Never.
    #[default]
    Never,
    /// Before the response to the next request on the connection.
    Late,
    /// The first half right after the response, the other half before the next response.
    Split,
    /// Before the next response, without the header with the id of the attempt.
    Anonymous,
    /// As soon as the next request arrives.
    AtNextRequest,
}

/// What is left of a replica that crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Nothing: its connections are closed and its address refuses new ones.
    Closed,
    /// Its connections stay open without a response, and its address refuses new ones.
    Silent,
    /// As [`Crash::Silent`], but its address accepts connections until
    /// [`Replica::stop_listening`] is called.
    Frozen,
}

/// How a replica responds to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScriptedResponse {
    /// Time from the request until the response is sent.
    pub delay: Duration,
    /// Bytes that are sent.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after the bytes are sent.
    pub close: bool,
    /// Whether the connection is reset shortly after the bytes are sent.
    pub reset: bool,
    /// How the replica crashes instead of sending the bytes; `None` if it doesn't.
    pub crash: Option<Crash>,
    /// When the bytes are sent a second time.
    pub copy: Copy,
    /// Bytes that follow again and again until the connection ends; nothing follows if it is empty.
    pub endless: Vec<u8>,
}

impl ScriptedResponse {
    /// Builds a well-formed response to `request`. Each line of `headers` ends with CRLF.
    pub fn answer(request: &ReceivedRequest, status: &str, headers: &str, body: &[u8]) -> Self {
        let id = request.header("attempt-id").unwrap_or_default();
        let len = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}Content-Length: {len}\r\n\r\n"
        );
        Self {
            bytes: [head.as_bytes(), body].concat(),
            ..Self::default()
        }
    }

    /// The replica crashes without a response.
    pub fn crash() -> Self {
        Self::crash_as(Crash::Closed)
    }

    /// The replica crashes without a response and leaves what `crash` says.
    pub fn crash_as(crash: Crash) -> Self {
        Self {
            crash: Some(crash),
            ..Self::default()
        }
    }

    /// Adds header lines, each of which ends with CRLF.
    pub fn with_headers(self, lines: &str) -> Self {
        let (head, body) = self.split();
        let fields = head.strip_suffix("\r\n").unwrap_or(&head);
        Self {
            bytes: [fields.as_bytes(), lines.as_bytes(), b"\r\n", body].concat(),
            ..self
        }
    }

    /// Omits the header with the id of the attempt.
    pub fn without_id(self) -> Self {
        let (head, body) = self.split();
        let lines = head.split_inclusive("\r\n");
        let kept: String = lines.filter(|l| !l.starts_with("Attempt-Id:")).collect();
        Self {
            bytes: [kept.as_bytes(), body].concat(),
            ..self
        }
    }

    /// Omits the length, so that the body ends with the connection.
    pub fn until_close(self) -> Self {
        let (head, body) = self.split();
        let lines = head.split_inclusive("\r\n");
        let kept: String = lines
            .filter(|l| !l.starts_with("Content-Length:"))
            .collect();
        Self {
            bytes: [kept.as_bytes(), body].concat(),
            close: true,
            ..self
        }
    }

    /// Sends the body in two chunks instead of with its length.
    pub fn chunked(self) -> Self {
        let (head, body) = self.split();
        let lines = head.split_inclusive("\r\n");
        let fields: String = lines
            .filter(|l| !l.starts_with("Content-Length:") && *l != "\r\n")
            .collect();
        let mut bytes = format!("{fields}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        let (first, second) = body.split_at(body.len() / 2);
        for chunk in [first, second].iter().filter(|chunk| !chunk.is_empty()) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        Self { bytes, ..self }
    }

    /// Returns the head with the empty line that ends it, and the body.
    fn split(&self) -> (String, &[u8]) {
        let end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n");
        let (head, body) = self.bytes.split_at(end.map_or(0, |at| at + 4));
        (String::from_utf8_lossy(head).into_owned(), body)
    }
}

/// A replica, which runs until [`Replica::crash`] is called, also when all its handles are
/// dropped. Clones share the received requests.
#[derive(Clone)]
pub struct Replica {
    address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<AtomicU32>,
    /// Closed to stop the replica.
    stop: Sender<()>,
    /// Closed to stop only the listener.
    listening: Sender<()>,
    /// Whether it no longer responds.
    silent: Arc<AtomicBool>,
}

impl Replica {
    /// Starts a replica on a free port of the loopback interface. `respond` makes the response to
    /// each request.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port can be bound.
    pub async fn start<F>(respond: F) -> io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> ScriptedResponse + Clone + Send + 'static,
    {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), respond).await
    }

    /// Starts a replica at `address`. `respond` makes the response to each request.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address can't be bound.
    pub async fn start_at<F>(address: SocketAddr, respond: F) -> io::Result<Self>
    where
        F: Fn(&ReceivedRequest) -> ScriptedResponse + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let (stop, stopped) = async_channel::bounded(1);
        let (listening, unbound) = async_channel::bounded(1);
        let replica = Self {
            address: listener.local_addr()?,
            received: Arc::default(),
            connections: Arc::default(),
            stop,
            listening,
            silent: Arc::default(),
        };
        let (shared, accept_stopped) = (replica.clone(), stopped.clone());
        let accept = async move {
            // Holding a handle keeps the stop channel open when the caller drops its handles.
            let replica = shared;
            while let Ok((stream, _)) = listener.accept().await {
                replica.connections.fetch_add(1, Ordering::Relaxed);
                let serve = serve(stream, replica.clone(), respond.clone());
                task::spawn(until_stopped(stopped.clone(), serve));
            }
        };
        task::spawn(until_stopped(
            accept_stopped,
            until_stopped(unbound, accept),
        ));
        Ok(replica)
    }

    /// Returns the address that it listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Stops the replica as a crash does: it no longer listens, and its connections are closed.
    pub fn crash(&self) {
        self.stop.close();
    }

    /// Returns whether the replica has crashed.
    pub fn has_crashed(&self) -> bool {
        self.stop.is_closed() || self.silent.load(Ordering::Relaxed)
    }

    /// Closes the listener; open connections stay open.
    pub fn stop_listening(&self) {
        self.listening.close();
    }

    fn crash_as(&self, crash: Crash) {
        self.silent.store(true, Ordering::Relaxed);
        match crash {
            Crash::Closed => self.crash(),
            Crash::Silent => self.stop_listening(),
            Crash::Frozen => {}
        }
    }
}

/// Runs `work` until it is done or the replica is stopped.
async fn until_stopped(stopped: Receiver<()>, work: impl Future<Output = ()>) {
    let stopped = pin::pin!(stopped.recv());
    future::select(pin::pin!(work), stopped).await;
}

async fn serve(
    mut stream: TcpStream,
    replica: Replica,
    respond: impl Fn(&ReceivedRequest) -> ScriptedResponse,
) {
    let mut buffer = Vec::new();
    // Second copy of an earlier response that is sent before the next one.
    let mut late = ScriptedResponse::default();
    while let Some(request) = read(&mut stream, &mut buffer).await {
        if replica.silent.load(Ordering::Relaxed) {
            return future::pending().await;
        }
        let early = match late.copy {
            Copy::AtNextRequest => mem::take(&mut late).bytes,
            _ => Vec::new(),
        };
        if stream.write_all(&early).await.is_err() {
            return;
        }
        let response = respond(&request);
        {
            let received = replica.received.lock();
            received
                .unwrap_or_else(PoisonError::into_inner)
                .push(request);
        }
        task::sleep(response.delay).await;
        if let Some(crash) = response.crash {
            replica.crash_as(crash);
        }
        if replica.silent.load(Ordering::Relaxed) {
            return future::pending().await;
        }
        let mut bytes = mem::take(&mut late).bytes;
        bytes.extend_from_slice(&response.bytes);
        late = match response.copy {
            Copy::Never => ScriptedResponse::default(),
            Copy::Late | Copy::AtNextRequest => response.clone(),
            Copy::Anonymous => response.clone().without_id(),
            Copy::Split => {
                let (first, second) = response.bytes.split_at(response.bytes.len() / 2);
                bytes.extend_from_slice(first);
                ScriptedResponse {
                    bytes: second.to_vec(),
                    ..response.clone()
                }
            }
        };
        let written = stream.write_all(&bytes).await;
        if response.reset {
            // The bytes must be received before the reset.
            task::sleep(RESET_DELAY).await;
            // This fails only if the connection has ended.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if response.close || written.is_err() {
            return;
        }
        while !response.endless.is_empty() {
            if stream.write_all(&response.endless).await.is_err() {
                return;
            }
            // A recipient that reads fast must not keep the other connections waiting.
            task::yield_now().await;
        }
    }
}

/// Reads one request; `None` if the connection ends first. A request without `Content-Length` is
/// taken to have no body.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut request = ReceivedRequest {
                head,
                body: Vec::new(),
            };
            let len = request
                .header("content-length")
                .and_then(|l| l.parse().ok());
            let total = end + 4 + len.unwrap_or(0);
            if buffer.len() >= total {
                request.body = buffer[end + 4..total].to_vec();
                buffer.drain(..total);
                return Some(request);
            }
        }
        let mut chunk = [0; CHUNK];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(len) => buffer.extend_from_slice(&chunk[..len]),
        }
    }
}
