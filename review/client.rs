//! Callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::log::{Log, What};

pub const HOST: &str = "pupu76.example";

static COUNT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other attempt of this run has.
pub fn attempt_id() -> String {
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub body: &'static str,
    pub limit: Duration,
}

impl Attempt {
    pub fn new(method: &'static str, path: &str, body: &'static str, limit: Duration) -> Self {
        Self {
            id: attempt_id(),
            method,
            path: path.to_owned(),
            body,
            limit,
        }
    }

    fn bytes(&self) -> String {
        let Self {
            id,
            method,
            path,
            body,
            limit,
        } = self;
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{length}\r\n{body}",
            limit.as_millis()
        )
    }
}

/// A caller with a connection that it keeps.
pub struct Caller {
    front: SocketAddr,
    connection: Option<Connection>,
    log: Log,
    who: String,
}

impl Caller {
    pub fn new(front: SocketAddr, log: &Log, who: &str) -> Self {
        Self {
            front,
            connection: None,
            log: log.clone(),
            who: who.to_owned(),
        }
    }

    /// Sends an attempt and waits for the answer; `None` if there is none.
    pub fn send(&mut self, attempt: &Attempt) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.front, Duration::from_secs(1)).ok()?,
        };
        self.log.add(&self.who, &attempt.id, What::Sent);
        let answer = match connection.write(attempt.bytes().as_bytes()) {
            Ok(()) => connection.read(Some(attempt.limit)).ok().flatten(),
            Err(_) => None,
        };
        let text = match &answer {
            Some(answer) => {
                let detail = ["part-seals", "missing-parts", "server-seal", "retry-after"].iter();
                let detail = detail.filter_map(|n| answer.header(n).map(|v| format!(" {n}={v}")));
                format!("{}{}", answer.line, detail.collect::<String>())
            }
            None => "no answer".to_owned(),
        };
        self.log.add(&self.who, &attempt.id, What::Answered(text));
        if answer.as_ref().is_some_and(|a| !a.closes()) {
            self.connection = Some(connection);
        }
        answer
    }
}
