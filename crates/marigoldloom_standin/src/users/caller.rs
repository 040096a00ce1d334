//! A caller that reads responses byte by byte, so that it sees how a connection ends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use super::shard::Signature;

/// Bytes read at a time.
const CHUNK: usize = 4096;

/// A response as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Head, without the empty line at its end.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// The status; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Whether the sender closes the connection after this response.
    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

impl Response {
    /// The upstream's signature of an answer that was passed on; none if there is none.
    pub fn signature(&self) -> Option<Signature> {
        Signature::parse(self.header("server-seal")?)
    }

    /// The signatures of the parts of a merged answer; none where an entry is not a signature.
    pub fn parts(&self) -> Option<Vec<Signature>> {
        let parts = self.header("part-seals")?.split(',');
        parts.map(Signature::parse).collect()
    }

    /// The number of shards that a merged answer lacks; none if it can't be read.
    pub fn missing(&self) -> Option<usize> {
        let missing = self.header("missing-parts").unwrap_or("0");
        missing.parse().ok()
    }
}

/// A request of a caller that waits so long for the answer.
pub fn request(
    method: &str,
    host: &str,
    target: &str,
    id: &str,
    patience: Duration,
    body: &[u8],
) -> Vec<u8> {
    let length = match body.len() {
        0 => String::new(),
        len => format!("Content-Length: {len}\r\n"),
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {}\r\n{length}\r\n",
        patience.as_millis()
    );
    [head.as_bytes(), body].concat()
}

/// The value of a header in a head.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    let mut fields = fields.map(|(n, value)| (n.trim(), value.trim()));
    let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

/// A connection that carries one request after another.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the other side can't be reached.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a request and reads its response, whose body must have a stated length.
    ///
    /// # Errors
    ///
    /// The error of the operating system, or [`io::ErrorKind::UnexpectedEof`] if the connection
    /// ends before the response is complete.
    pub async fn send(&mut self, request: &[u8]) -> io::Result<Response> {
        self.stream.write_all(request).await?;
        loop {
            if let Some(response) = self.parse() {
                return Ok(response);
            }
            let mut chunk = [0; CHUNK];
            match self.stream.read(&mut chunk).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                len => self.buffer.extend_from_slice(&chunk[..len]),
            }
        }
    }

    /// Whether bytes came that belong to no request so far.
    pub fn has_surplus(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn parse(&mut self) -> Option<Response> {
        let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let len = header(&head, "content-length").and_then(|l| l.parse().ok());
        let total = end + 4 + len.unwrap_or(0);
        if self.buffer.len() < total {
            return None;
        }
        let body = self.buffer[end + 4..total].to_vec();
        self.buffer.drain(..total);
        Some(Response { head, body })
    }
}

/// Sends `request` on a new connection and reads one response.
///
/// # Errors
///
/// As [`Connection::open`] and [`Connection::send`].
pub async fn exchange(address: SocketAddr, request: &[u8]) -> io::Result<Response> {
    Connection::open(address).await?.send(request).await
}
