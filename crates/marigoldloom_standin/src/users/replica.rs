//! A replica that answers with bytes of its maker's choice and keeps what it got.

use std::io;
use std::net::SocketAddr;
use std::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, future};

use super::caller;

/// Bytes read at a time.
const CHUNK: usize = 4096;

/// A request as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Head, without the empty line at its end.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Received {
    /// Id of the request.
    pub fn id(&self) -> Option<&str> {
        self.header("attempt-id")
    }

    /// For how long the sender waits, if it says so.
    pub fn patience(&self) -> Option<Duration> {
        let millis = self.header("deadline-ms")?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// The request line.
    pub fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        caller::header(&self.head, name)
    }
}

/// What a replica does with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reaction {
    /// Time before the answer.
    pub pause: Duration,
    /// Bytes of the answer.
    pub bytes: Vec<u8>,
    /// Whether the connection is closed after them.
    pub close: bool,
}

impl Reaction {
    /// A sound answer to `request` with `status`, further header lines and a body.
    pub fn answer(request: &Received, status: &str, headers: &str, body: &[u8]) -> Self {
        let id = request.header("attempt-id").unwrap_or_default();
        let len = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{headers}Content-Length: {len}\r\n\r\n"
        );
        Self {
            pause: Duration::ZERO,
            bytes: [head.as_bytes(), body].concat(),
            close: false,
        }
    }
}

/// A replica, which runs until it crashes. Clones share what it got.
#[derive(Clone)]
pub struct Replica {
    address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    opened: Arc<AtomicU32>,
    /// Closed when the replica ends.
    end: Sender<()>,
}

impl Replica {
    /// Starts a replica on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port can be bound.
    pub async fn start<F>(react: F) -> io::Result<Self>
    where
        F: Fn(&Received) -> Reaction + Clone + Send + 'static,
    {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), react).await
    }

    /// Starts a replica at `address`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the address can't be bound.
    pub async fn start_at<F>(address: SocketAddr, react: F) -> io::Result<Self>
    where
        F: Fn(&Received) -> Reaction + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let (end, ended) = async_channel::bounded(1);
        let replica = Self {
            address: listener.local_addr()?,
            received: Arc::default(),
            opened: Arc::default(),
            end,
        };
        let (shared, stop) = (replica.clone(), ended.clone());
        let accept = async move {
            // A replica runs on although its handles are dropped.
            let replica = shared;
            while let Ok((stream, _)) = listener.accept().await {
                replica.opened.fetch_add(1, Ordering::Relaxed);
                let serve = serve(stream, Arc::clone(&replica.received), react.clone());
                task::spawn(until_ended(ended.clone(), serve));
            }
        };
        task::spawn(until_ended(stop, accept));
        Ok(replica)
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests so far.
    pub fn received(&self) -> Vec<Received> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.clone()
    }

    /// Connections so far.
    pub fn opened(&self) -> u32 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Ends it as a crash does: it no longer listens, and its connections are closed.
    pub fn crash(&self) {
        self.end.close();
    }
}

/// Runs `work` until it is done or the replica ends.
async fn until_ended(ended: Receiver<()>, work: impl Future<Output = ()>) {
    let ended = pin::pin!(ended.recv());
    future::select(pin::pin!(work), ended).await;
}

async fn serve(
    mut stream: TcpStream,
    received: Arc<Mutex<Vec<Received>>>,
    react: impl Fn(&Received) -> Reaction,
) {
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut stream, &mut buffer).await {
        let reaction = react(&request);
        {
            let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
            received.push(request);
        }
        task::sleep(reaction.pause).await;
        let written = stream.write_all(&reaction.bytes).await;
        if reaction.close || written.is_err() {
            return;
        }
    }
}

/// Reads one request with a body of stated length.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut request = Received {
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
