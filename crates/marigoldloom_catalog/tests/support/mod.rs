//! A fake platform that runs on virtual time, and records for it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future;
use marigoldloom_catalog::configuration::{Backend, Configuration, Limits, Route, Service};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::replica::Replica;
use marigoldloom_catalog::source::{
    Change, Changes, Error, Kind, Listing, Record, Revision, SavedEntry, Source,
};
use marigoldloom_catalog::view;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_routing::home;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;

pub(crate) mod fleet;

/// How long the fake platform holds a watch without changes.
const WATCH_LIMIT: Duration = Duration::from_secs(10);

/// Time limit for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Duration of a call to the fake platform.
const LATENCY: Duration = Duration::from_millis(4);

/// A fake platform that can be unavailable, fail or stall watches, and leave the calls of some
/// instances unanswered. Clones share the records; [`FakePlatform::for_instance`] makes a clone for
/// each instance.
#[derive(Clone)]
pub(crate) struct FakePlatform {
    rt: VirtualRuntime,
    name: Arc<str>,
    /// Latest era that the instance knows.
    era: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
}

/// A copy of the platform's records.
#[derive(Clone)]
pub(crate) struct Copied {
    revision: u64,
    records: BTreeMap<(Kind, Arc<str>), Record>,
    registered: BTreeSet<String>,
}

/// How calls for one kind of records fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// They get this HTTP status.
    Status(u16),
    /// Their responses can't be decoded.
    Malformed,
    /// They get no response within [`CALL_TIMEOUT`].
    Silence,
}

#[derive(Default)]
pub(crate) struct State {
    /// Whether all calls fail.
    pub(crate) unavailable: bool,
    /// How calls for one kind of records fail.
    pub(crate) faults: BTreeMap<Kind, Fault>,
    /// The only instance whose calls fail in these ways; `None` stands for all.
    pub(crate) faulty: Option<Arc<str>>,
    /// Whether lists end after their first record.
    pub(crate) partial: bool,
    /// Whether watches report no changes, as if the platform had lost its history.
    pub(crate) changes_withheld: bool,
    /// Each increment fails the watches that are open at the time.
    pub(crate) watch_failures: u64,
    /// Number of calls that list a kind.
    pub(crate) list_calls: u32,
    /// Number of open watches, by the name of the instance.
    pub(crate) watches: BTreeMap<Arc<str>, u32>,
    /// Instances whose calls get no response.
    pub(crate) unanswered: BTreeSet<Arc<str>>,
    /// Each increment stalls the watches of the instance that are open at the time.
    pub(crate) stalled: BTreeMap<Arc<str>, u32>,
    pub(crate) registered: BTreeSet<String>,
    /// Number of times that the platform has come back from an older copy.
    pub(crate) era: u64,
    revision: u64,
    records: BTreeMap<(Kind, Arc<str>), Record>,
    log: VecDeque<(u64, Kind, Change)>,
}

impl FakePlatform {
    pub(crate) fn new(rt: VirtualRuntime) -> Self {
        Self {
            rt,
            name: Arc::from("a"),
            era: Arc::default(),
            state: Arc::default(),
        }
    }

    /// Returns a clone for the instance `name`.
    pub(crate) fn for_instance(&self, name: &str) -> Self {
        Self {
            name: Arc::from(name),
            era: Arc::default(),
            ..self.clone()
        }
    }

    /// Returns a copy of the records.
    pub(crate) fn copy(&self) -> Copied {
        self.with_state(|state| Copied {
            revision: state.revision,
            records: state.records.clone(),
            registered: state.registered.clone(),
        })
    }

    /// Comes back from an older copy.
    pub(crate) fn restore(&self, copy: Copied) {
        self.with_state(|state| {
            state.era += 1;
            state.revision = copy.revision;
            state.records = copy.records;
            state.registered = copy.registered;
            state
                .log
                .retain(|(revision, ..)| *revision <= copy.revision);
        });
    }

    /// Returns the result of `answer`, fails if the platform is unavailable, or never returns if
    /// this instance gets no response.
    async fn answer<T>(&self, answer: impl FnOnce(&mut State) -> T) -> Result<T, Error> {
        let unanswered = self.with_state(|s| s.unanswered.contains(&self.name));
        if unanswered {
            future::pending::<()>().await;
        }
        self.with_state(|state| match state.unavailable {
            true => Err(Self::unreachable()),
            false => {
                self.era.fetch_max(state.era, Ordering::Relaxed);
                Ok(answer(state))
            }
        })
    }

    pub(crate) fn set(&self, kind: Kind, name: &str, record: Option<Record>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let key = (kind, Arc::from(name));
        match &record {
            Some(record) => state.records.insert(key, record.clone()),
            None => state.records.remove(&key),
        };
        let entry = (state.revision, kind, (Arc::from(name), record));
        state.log.push_back(entry);
    }

    pub(crate) fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    /// Fails if calls for `kind` do.
    async fn check_fault(&self, kind: Kind) -> Result<(), Error> {
        let fault = self.with_state(|state| {
            let own = state.faulty.as_ref().is_none_or(|name| *name == self.name);
            state.faults.get(&kind).copied().filter(|_| own)
        });
        match fault {
            None => Ok(()),
            Some(Fault::Status(status)) => Err(Error::Refused { status }),
            Some(Fault::Malformed) => Err(Error::Malformed {
                reason: "a string without an end".to_owned(),
            }),
            Some(Fault::Silence) => {
                self.rt.sleep(CALL_TIMEOUT).await;
                Err(Self::unreachable())
            }
        }
    }

    fn unreachable() -> Error {
        Error::Unreachable {
            reason: "unavailable".to_owned(),
        }
    }
}

impl Source for FakePlatform {
    async fn list(&self, kind: Kind) -> Result<Listing, Error> {
        self.rt.sleep(LATENCY).await;
        self.with_state(|state| state.list_calls += 1);
        self.check_fault(kind).await?;
        let list = |state: &mut State| {
            let records = state.records.iter().filter(|((k, _), _)| *k == kind);
            let limit = if state.partial { 1 } else { usize::MAX };
            let records = records.take(limit);
            Listing {
                records: records.map(|((_, n), r)| (n.clone(), r.clone())).collect(),
                revision: state.revision(),
                partial: state.partial,
            }
        };
        self.answer(list).await
    }

    async fn check(&self) -> Result<(), Error> {
        self.rt.sleep(LATENCY).await;
        self.check_fault(Kind::Evacuations).await?;
        self.answer(|_| ()).await
    }

    fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    fn note_era(&self, era: u64) {
        self.era.fetch_max(era, Ordering::Relaxed);
    }

    async fn register(&self, own: &Member) -> Result<(), Error> {
        self.with_state(|state| {
            state.registered.insert(own.candidate.name.to_string());
            match state.unavailable {
                true => Err(Self::unreachable()),
                false => Ok(()),
            }
        })
    }

    async fn set_phase(&self, _order: &Order, _phase: Phase) -> Result<(), Error> {
        self.answer(|_| ()).await
    }

    async fn save_entry(&self, _name: &str, _content: &str) -> Result<(), Error> {
        self.answer(|_| ()).await
    }

    async fn remove_entry(&self, _name: &str) -> Result<(), Error> {
        self.answer(|_| ()).await
    }

    async fn saved_entries(&self) -> Result<Vec<SavedEntry>, Error> {
        self.answer(|_| Vec::new()).await
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        self.with_state(|state| match state.unavailable {
            true => Err(Self::unreachable()),
            false => Ok(state.registered.iter().map(|name| member(name)).collect()),
        })
    }

    async fn watch(&self, kind: Kind, since: Revision) -> Result<Changes, Error> {
        let end = self.rt.now() + WATCH_LIMIT;
        let stalled = |state: &mut State| state.stalled.get(&self.name).copied();
        let (failures, stalled_before) = self.with_state(|s| (s.watch_failures, stalled(s)));
        let _open = OpenWatch::new(self);
        loop {
            self.rt.sleep(LATENCY).await;
            self.check_fault(kind).await?;
            if self
                .with_state(|s| s.unanswered.contains(&self.name) || stalled(s) != stalled_before)
            {
                future::pending::<()>().await;
            }
            let answer = self.with_state(|state| {
                if state.unavailable || state.watch_failures > failures {
                    return Some(Err(Self::unreachable()));
                }
                self.era.fetch_max(state.era, Ordering::Relaxed);
                if state.era != since.era {
                    return Some(Err(Error::Compacted));
                }
                let new = state
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > since.number && *k == kind);
                let changes: Vec<_> = new.map(|(_, _, change)| change.clone()).collect();
                let revision = state.revision();
                let due = !changes.is_empty() && !state.changes_withheld || self.rt.now() >= end;
                due.then_some(Ok(Changes { changes, revision }))
            });
            if let Some(answer) = answer {
                return answer;
            }
        }
    }
}

impl State {
    fn revision(&self) -> Revision {
        Revision {
            era: self.era,
            number: self.revision,
        }
    }
}

pub(crate) fn configuration(version: u64) -> Record {
    let route = Route {
        name: Arc::from("search"),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        backend: Backend::Single(Arc::from("index")),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        regions: Vec::new(),
    };
    let service = Service {
        connections: 8,
        cold_rate: 0.0,
        warmup: Duration::ZERO,
    };
    Record::Configuration(Box::new(Configuration {
        version,
        routes: vec![route],
        services: BTreeMap::from([(Arc::from("index"), service)]),
        limits: Limits::default(),
        invalid: Vec::new(),
    }))
}

pub(crate) fn replica(name: &str, draining: bool) -> Record {
    Record::Replica(Replica {
        id: Arc::from(name),
        service: Arc::from("index"),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: Arc::from("north"),
        version: "v1".to_owned(),
        slots: 2,
        draining,
        warmup: Duration::ZERO,
        born: None,
    })
}

/// Returns the record of a replica of a `version` whose process started at `born`.
pub(crate) fn versioned(name: &str, version: &str, born: Option<u64>) -> Record {
    let Record::Replica(new) = replica(name, false) else {
        unreachable!("it is a replica");
    };
    Record::Replica(Replica {
        version: version.to_owned(),
        born,
        ..new
    })
}

/// Returns the version in force and the names of the replicas that get new requests.
pub(crate) fn in_force(latest: &LatestView) -> Option<(u64, Vec<String>)> {
    let view = latest.get()?;
    let key = view::backend_key(&[Arc::from("index")], &[]);
    let service = view.topology.service(&key)?;
    let snapshot = service.query_snapshot(&service.record.active)?;
    let replicas = service.shards(&snapshot)?.replicas(0);
    let names = replicas.iter().map(|r| r.target.name.to_string());
    Some((view.version, names.collect()))
}

/// Returns an instance in the failure domain `south` if its name starts with that, else in `north`.
pub(crate) fn member(name: &str) -> Member {
    let domain = match name.starts_with("south") {
        true => "south",
        false => "north",
    };
    Member {
        candidate: home::Candidate {
            name: Arc::from(name),
            domain: Arc::from(domain),
        },
        address: "127.0.0.1:9".parse().unwrap(),
        capacity: 0.25,
    }
}

/// Counts a watch as open until it is dropped.
struct OpenWatch<'a>(&'a FakePlatform);

impl<'a> OpenWatch<'a> {
    fn new(platform: &'a FakePlatform) -> Self {
        platform.with_state(|s| *s.watches.entry(Arc::clone(&platform.name)).or_default() += 1);
        Self(platform)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        let name = &self.0.name;
        self.0
            .with_state(|s| *s.watches.entry(Arc::clone(name)).or_default() -= 1);
    }
}
