//! A caller that parses responses itself, so that a test sees truncated responses and bytes after
//! a response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use super::shard::Signature;

/// Size of the read buffer in bytes.
const CHUNK: usize = 4096;

/// A response as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status line and header lines, without the empty line that ends them.
    pub head: String,
    /// Body, of the length that `Content-Length` states.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the status code, or 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns whether the `Connection` header announces that the connection closes.
    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }
}

impl Response {
    /// Returns the replica's signature of an answer that was passed on; `None` if it has no valid
    /// signature.
    pub fn signature(&self) -> Option<Signature> {
        Signature::parse(self.header("server-seal")?)
    }

    /// Returns the signatures of the parts of a merged answer; `None` if the header is missing or
    /// an entry is not a signature.
    pub fn part_signatures(&self) -> Option<Vec<Signature>> {
        let parts = self.header("part-seals")?.split(',');
        parts.map(Signature::parse).collect()
    }

    /// Returns the number of shards that are missing from a merged answer, 0 without the header;
    /// `None` if its value is not a number.
    pub fn missing(&self) -> Option<usize> {
        let missing = self.header("missing-parts").unwrap_or("0");
        missing.parse().ok()
    }
}

/// Builds a request whose caller waits at most `timeout` for the answer.
pub fn request(
    method: &str,
    host: &str,
    target: &str,
    id: &str,
    timeout: Duration,
    body: &[u8],
) -> Vec<u8> {
    let length = match body.len() {
        0 => String::new(),
        len => format!("Content-Length: {len}\r\n"),
    };
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {}\r\n{length}\r\n",
        timeout.as_millis()
    );
    [head.as_bytes(), body].concat()
}

/// Returns the value of the header `name` in `head`.
pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|l| l.split_once(':'));
    let mut fields = fields.map(|(n, value)| (n.trim(), value.trim()));
    let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if `address` can't be reached.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a part of a request, of which [`Connection::send`] sends the rest.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the connection was closed.
    pub async fn write(&mut self, part: &[u8]) -> io::Result<()> {
        self.stream.write_all(part).await
    }

    /// Sends a request and reads its response. A response without `Content-Length` is taken to
    /// have no body.
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

    /// Returns whether bytes were received after the last response.
    pub fn has_extra_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes one response from the buffer; `None` if it is incomplete.
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
