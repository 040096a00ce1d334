//! Records what was sent, answered and run, and writes it to `record.txt`.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A request was sent by a client.
    Sent,
    /// A client got an answer, or none.
    Answered(String),
    /// A request arrived at a replica.
    Arrived,
    /// A replica began to work on it.
    Began,
    /// A replica has answered it.
    Replied(String),
    /// A replica crashed.
    Crashed,
    /// Anything else.
    Note(String),
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sent => f.write_str("sent"),
            Self::Answered(text) => write!(f, "client got {text}"),
            Self::Arrived => f.write_str("arrived"),
            Self::Began => f.write_str("run began"),
            Self::Replied(text) => write!(f, "replied {text}"),
            Self::Crashed => f.write_str("crashed"),
            Self::Note(text) => f.write_str(text),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub who: String,
    pub id: String,
    pub what: What,
}

/// A replica's answer, by its seal.
#[derive(Clone, Debug)]
pub struct Sealed {
    pub id: String,
    pub status: u16,
    pub service: String,
    pub body: Vec<u8>,
}

#[derive(Clone)]
pub struct Log {
    start: Instant,
    events: Arc<Mutex<Vec<Event>>>,
    seals: Arc<Mutex<HashMap<String, Sealed>>>,
}

impl Log {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
            seals: Arc::default(),
        }
    }

    pub fn add(&self, who: &str, id: &str, what: What) -> Instant {
        let at = Instant::now();
        let event = Event {
            at,
            who: who.to_owned(),
            id: id.to_owned(),
            what,
        };
        self.events.lock().unwrap().push(event);
        at
    }

    pub fn note(&self, text: impl Into<String>) -> Instant {
        let text = text.into();
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.add("case", "", What::Note(text))
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Registers an answer of a replica and returns its seal.
    pub fn seal(&self, id: &str, status: u16, service: &str, body: &[u8]) -> String {
        let mut seals = self.seals.lock().unwrap();
        let number = seals.len();
        let seal = format!("3e1b.{status:03}.{number:x}.{:x}", body.len());
        let sealed = Sealed {
            id: id.to_owned(),
            status,
            service: service.to_owned(),
            body: body.to_vec(),
        };
        seals.insert(seal.clone(), sealed);
        seal
    }

    pub fn sealed(&self, seal: &str) -> Option<Sealed> {
        self.seals.lock().unwrap().get(seal).cloned()
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, path: &Path, verdict: &[String]) {
        let mut text = String::new();
        for line in verdict {
            text += &format!("# {line}\n");
        }
        text += "# seconds  who  attempt  what; attempts with one arrival are one line each, at the end\n";
        let mut events = self.events();
        events.sort_by_key(|e| e.at);
        let mut attempts: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
        for event in events.iter().filter(|e| !e.id.is_empty()) {
            attempts.entry(&event.id).or_default().push(event);
        }
        let brief = |id: &str| {
            let arrivals = attempts
                .get(id)
                .map_or(0, |a| a.iter().filter(|e| e.what == What::Arrived).count());
            !id.is_empty() && arrivals == 1
        };
        for event in events.iter().filter(|e| !brief(&e.id)) {
            let line = format!(
                "{:9.4}  {}  {}  {}\n",
                self.seconds(event.at),
                event.who,
                event.id,
                event.what
            );
            text += &line;
        }
        for (id, events) in attempts.iter().filter(|(id, _)| brief(id)) {
            let parts = events
                .iter()
                .filter(|e| !matches!(e.what, What::Arrived | What::Replied(_)));
            let parts = parts.map(|e| format!("{:.3} {} {}", self.seconds(e.at), e.who, e.what));
            text += &format!("{id}: {}\n", parts.collect::<Vec<_>>().join("; "));
        }
        if let Ok(mut file) = File::create(path) {
            let _ = file.write_all(text.as_bytes());
        }
    }
}
