//! What callers, replicas and the operator saw in a run.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use marigoldloom_standin::users::caller::Response;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer of all shards.
    Query,
    /// An answer of one replica; it may run more than once.
    Fetch,
    /// Work that may run at most once.
    Job,
    /// The number of the configuration in force.
    Version,
}

/// How a request ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a response, and with bytes after it or without.
    Answered {
        /// The response.
        response: Response,
        /// Whether more bytes came than the response.
        surplus: bool,
    },
    /// The connection could not be opened.
    Unreachable,
    /// The connection ended before a whole response.
    Lost,
    /// No whole response came in time.
    Overdue,
    /// The caller left before an answer.
    Left,
}

/// One request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What it asks for.
    pub kind: Kind,
    /// Method and target.
    pub line: String,
    /// Body.
    pub body: Vec<u8>,
    /// Instance that it was sent to.
    pub instance: usize,
    /// Process of that instance, counted from its first start.
    pub process: u32,
    /// When it was sent.
    pub sent: Duration,
    /// How long its caller waits.
    pub patience: Duration,
    /// How and when it ended.
    pub end: Option<(Duration, Outcome)>,
}

/// A request that began to run on a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of the request.
    pub id: Arc<str>,
    /// Number of the replica.
    pub replica: usize,
    /// Its service.
    pub service: Arc<str>,
    /// When.
    pub at: Duration,
    /// The request line as the replica got it.
    pub line: String,
    /// The body as the replica got it.
    pub body: Vec<u8>,
    /// How long the replica is to work on it.
    pub patience: Option<Duration>,
}

/// A configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// When the store had it.
    pub at: Duration,
    /// Its shards.
    pub shards: Vec<String>,
}

/// What nothing new is to be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Closed {
    /// A replica that leaves.
    Replica(usize),
    /// The replicas of a failure domain.
    Domain(usize),
}

/// From when to when nothing new is to be sent somewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closure {
    /// Where.
    pub what: Closed,
    /// When the store had the word.
    pub from: Duration,
    /// When it was taken back.
    pub until: Option<Duration>,
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One instance.
    Instance(usize),
    /// The store.
    Store,
    /// One replica.
    Replica(usize),
}

/// A span of time in which something is affected by faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What.
    pub scope: Scope,
    /// From when.
    pub from: Duration,
    /// Until when; still going on if there is no end.
    pub until: Option<Duration>,
}

/// All that was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests by id.
    pub requests: BTreeMap<Arc<str>, Request>,
    /// Runs in order.
    pub runs: Vec<Run>,
    /// Configurations in order.
    pub versions: Vec<Version>,
    /// Replicas and failure domains that take nothing new.
    pub closures: Vec<Closure>,
    /// Faults.
    pub disturbances: Vec<Disturbance>,
    /// Instances that ended by themselves, when, and how.
    pub ended: Vec<(usize, Duration, String)>,
    /// When the last fault had ended; none while there may be more.
    pub calm: Option<Duration>,
    /// Failure domain of each replica.
    pub domains: Vec<usize>,
}

/// The record of a run as it grows. Clones share it.
#[derive(Clone)]
pub struct History {
    start: Instant,
    record: Arc<Mutex<Record>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            record: Arc::default(),
        }
    }
}

impl History {
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The record, for an addition or a look.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that something is affected from now on. Returns the number of the disturbance.
    pub fn disturb(&self, scope: Scope) -> usize {
        let from = self.now();
        let mut record = self.record();
        record.disturbances.push(Disturbance {
            scope,
            from,
            until: None,
        });
        record.disturbances.len() - 1
    }

    /// Notes that a disturbance is over.
    pub fn settle(&self, disturbance: usize) {
        let now = self.now();
        self.record().disturbances[disturbance].until = Some(now);
    }

    /// Notes that nothing new is to be sent somewhere. Returns the number of the closure.
    pub fn close(&self, what: Closed) -> usize {
        let from = self.now();
        let mut record = self.record();
        record.closures.push(Closure {
            what,
            from,
            until: None,
        });
        record.closures.len() - 1
    }

    /// Notes that a closure was taken back.
    pub fn open(&self, closure: usize) {
        let now = self.now();
        self.record().closures[closure].until = Some(now);
    }
}
