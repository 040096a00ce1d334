//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// One request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    /// Reads one message. `None` if the peer closed the connection before the first byte.
    pub fn read(&mut self, limit: Option<Duration>) -> io::Result<Option<Message>> {
        let end = limit.map(|l| Instant::now() + l);
        let wait = |stream: &TcpStream| -> io::Result<()> {
            let left = end.map(|e| e.saturating_duration_since(Instant::now()));
            match left {
                Some(left) if left.is_zero() => Err(io::ErrorKind::TimedOut.into()),
                left => stream.set_read_timeout(left),
            }
        };
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            wait(&self.stream)?;
            let first = self.buffer.is_empty();
            match self.fill() {
                Err(e) if first && e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
                result => result?,
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let length = message
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks(&wait)?;
        } else if let Some(length) = length {
            while self.buffer.len() < length {
                wait(&self.stream)?;
                self.fill()?;
            }
            message.body = self.buffer.drain(..length).collect();
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, wait: &dyn Fn(&TcpStream) -> io::Result<()>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let at = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                wait(&self.stream)?;
                self.fill()?;
            };
            let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
            let size = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while self.buffer.len() < at + 2 + size + 2 {
                wait(&self.stream)?;
                self.fill()?;
            }
            body.extend_from_slice(&self.buffer[at + 2..at + 2 + size]);
            self.buffer.drain(..at + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed the connection. Doesn't wait.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let result = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|w| w == part)
}

/// Builds a response. Each line of `headers` ends with CRLF.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
