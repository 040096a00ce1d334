//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::record::Record;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request, or the status of a response.
    pub fn word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or_default()
    }
}

/// Reads a message whose body has a length or is in chunks; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            line.clear();
            reader.read_line(&mut line)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a body.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer(Message),
    /// No complete answer within the client's time, or the connection ended before.
    Nothing(String),
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answer(message) => message.status(),
            Self::Nothing(_) => 0,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Answer(message) => message.status().to_string(),
            Self::Nothing(why) => format!("nothing ({why})"),
        }
    }
}

/// Sends one request on a connection of its own and waits for the answer until `limit` has passed.
pub fn send(address: SocketAddr, request: &[u8], limit: Duration) -> Seen {
    let start = Instant::now();
    let exchange = || -> io::Result<Option<Message>> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
        stream.set_nodelay(true)?;
        let left = limit
            .saturating_sub(start.elapsed())
            .max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        stream.set_write_timeout(Some(left))?;
        stream.write_all(request)?;
        read(&mut BufReader::new(stream))
    };
    match exchange() {
        Ok(Some(message)) => Seen::Answer(message),
        Ok(None) => Seen::Nothing("closed".to_owned()),
        Err(error) => Seen::Nothing(error.kind().to_string()),
    }
}

/// A client's request without a body.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub limit_ms: u64,
}

impl Call<'_> {
    /// Sends the request to a machine and waits for the answer until `wait` has passed. Writes both to
    /// the record.
    pub fn send(&self, record: &Record, machine: &str, front: SocketAddr, wait: Duration) -> Seen {
        let Self {
            method,
            path,
            id,
            limit_ms,
        } = self;
        record.line(format!(
            "sent: {id} {method} {path} to {machine}, Deadline-Ms {limit_ms}"
        ));
        let begin = Instant::now();
        let seen = send(front, &request(method, path, id, *limit_ms), wait);
        let elapsed = begin.elapsed().as_millis();
        record.line(format!(
            "answer: {id}: {} after {elapsed} ms",
            seen.describe()
        ));
        seen
    }
}

/// Returns a client's request without a body.
fn request(method: &str, path: &str, id: &str, limit_ms: u64) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: pupu76.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {limit_ms}\r\n{}\r\n",
        if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        }
    )
    .into_bytes()
}
