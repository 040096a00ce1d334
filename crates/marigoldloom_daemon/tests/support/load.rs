//! Steady load from callers with persistent and with single-use connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use marigoldloom_http::client::{Connection, Error};

use super::fleet::SHARDS;
use super::web::{self, Answer};

/// Callers of each instance: one keeps its connection open, the other opens one for each request.
const CALLERS: [bool; 2] = [true, false];

/// Pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(10);

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    /// Address that it was sent to.
    pub(crate) target: SocketAddr,
    /// Time at which it was sent.
    pub(crate) sent: Instant,
    /// Answer or error.
    pub(crate) result: Result<Answer, Error>,
}

impl RequestResult {
    /// Whether it got an answer that covers every shard.
    pub(crate) fn is_full(&self) -> bool {
        self.result.as_ref().is_ok_and(|a| a.is_full(SHARDS))
    }

    /// Whether it failed before any byte was sent, because the target no longer accepts connections.
    pub(crate) fn is_unsent(&self) -> bool {
        self.result.as_ref().is_err_and(|e| !e.sent())
    }
}

type RequestResults = Arc<Mutex<Vec<RequestResult>>>;

/// Running callers. They stop when it is dropped.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    results: RequestResults,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts callers of each target.
    pub(crate) fn start(targets: &[SocketAddr]) -> Self {
        let mut load = Self {
            stop: Arc::default(),
            results: RequestResults::default(),
            callers: Vec::new(),
        };
        for target in targets {
            for (number, keep_alive) in CALLERS.into_iter().enumerate() {
                let caller = Caller {
                    target: *target,
                    keep_alive,
                    number,
                    stop: Arc::clone(&load.stop),
                    results: Arc::clone(&load.results),
                };
                load.callers.push(thread::spawn(move || caller.run()));
            }
        }
        load
    }

    /// Returns the results of the requests so far.
    pub(crate) fn results(&self) -> Vec<RequestResult> {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.clone()
    }

    /// Returns the number of full answers to requests sent to `target` at or after `since`.
    pub(crate) fn full_since(&self, target: SocketAddr, since: Instant) -> usize {
        let results = self.results();
        let later = results.iter().filter(|r| r.sent >= since);
        later.filter(|r| r.target == target && r.is_full()).count()
    }

    /// Stops the callers and returns the results of all requests.
    pub(crate) fn stop(mut self) -> Vec<RequestResult> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.join().expect("a caller doesn't panic");
        }
        self.results()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

struct Caller {
    target: SocketAddr,
    keep_alive: bool,
    number: usize,
    stop: Arc<AtomicBool>,
    results: RequestResults,
}

impl Caller {
    fn run(&self) {
        let mut connection = None;
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let body = format!("press {} {} {count}", self.target, self.number);
            let sent = Instant::now();
            let result = self.send(&mut connection, &body);
            let request_result = RequestResult {
                target: self.target,
                sent,
                result,
            };
            let mut results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
            results.push(request_result);
            drop(results);
            thread::sleep(PAUSE);
        }
    }

    fn send(&self, kept: &mut Option<Connection>, body: &str) -> Result<Answer, Error> {
        let mut connection = match kept.take().filter(Connection::is_usable) {
            Some(connection) => connection,
            None => web::connect(self.target)?,
        };
        let result = web::send(&mut connection, web::query("search", body, &[]));
        if self.keep_alive && result.is_ok() {
            *kept = Some(connection);
        }
        result
    }
}
