//! A fake platform on virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future;
use marigoldloom_catalog::configuration::{Backend, Configuration, Limits, Route, Service};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::replica::Replica;
use marigoldloom_catalog::source::{
    Change, Changes, Error, Kind, Listing, Record, Revision, Source,
};
use marigoldloom_catalog::view;
use marigoldloom_routing::home;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;

/// How long a watch without news is held.
const HOLD: Duration = Duration::from_secs(10);

/// Time of a call.
const LATENCY: Duration = Duration::from_millis(4);

/// A platform that can be away, cut watches, and give some instances no answer. Clones share the
/// records; each instance has one of its own name.
#[derive(Clone)]
pub(crate) struct Fake {
    rt: VirtualRuntime,
    name: Arc<str>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) away: bool,
    /// Watches report nothing, as during a loss of history.
    pub(crate) mute: bool,
    /// Counts up to end the watches that are held.
    pub(crate) cut: u64,
    pub(crate) lists: u32,
    /// Watches that are held at present, by the name of their instance.
    pub(crate) held: BTreeMap<Arc<str>, u32>,
    /// Instances that get no answer.
    pub(crate) silenced: BTreeSet<Arc<str>>,
    /// Counts up, by instance, to silence the watches that are held.
    pub(crate) deaf: BTreeMap<Arc<str>, u32>,
    pub(crate) registered: BTreeSet<String>,
    revision: u64,
    records: BTreeMap<(Kind, Arc<str>), Record>,
    log: VecDeque<(u64, Kind, Change)>,
}

impl Fake {
    pub(crate) fn new(rt: VirtualRuntime) -> Self {
        Self {
            rt,
            name: Arc::from("a"),
            state: Arc::default(),
        }
    }

    /// The same platform as the instance `name` sees it.
    pub(crate) fn seen_by(&self, name: &str) -> Self {
        Self {
            name: Arc::from(name),
            ..self.clone()
        }
    }

    /// Answers unless this instance gets no answer.
    async fn answer<T>(&self, answer: impl FnOnce(&mut State) -> T) -> Result<T, Error> {
        let silenced = self.with(|s| s.silenced.contains(&self.name));
        if silenced {
            future::pending::<()>().await;
        }
        self.with(|state| match state.away {
            true => Err(Self::unreachable()),
            false => Ok(answer(state)),
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

    pub(crate) fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    fn unreachable() -> Error {
        Error::Unreachable {
            reason: "away".to_owned(),
        }
    }
}

impl Source for Fake {
    async fn list(&self, kind: Kind) -> Result<Listing, Error> {
        self.rt.sleep(LATENCY).await;
        self.with(|state| state.lists += 1);
        let list = |state: &mut State| {
            let records = state.records.iter().filter(|((k, _), _)| *k == kind);
            Listing {
                records: records.map(|((_, n), r)| (n.clone(), r.clone())).collect(),
                revision: Revision(state.revision),
            }
        };
        self.answer(list).await
    }

    async fn check(&self) -> Result<(), Error> {
        self.rt.sleep(LATENCY).await;
        self.answer(|_| ()).await
    }

    async fn register(&self, own: &Member) -> Result<(), Error> {
        self.with(|state| {
            state.registered.insert(own.candidate.name.to_string());
            match state.away {
                true => Err(Self::unreachable()),
                false => Ok(()),
            }
        })
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        self.with(|state| match state.away {
            true => Err(Self::unreachable()),
            false => Ok(state.registered.iter().map(|name| member(name)).collect()),
        })
    }

    async fn watch(&self, kind: Kind, since: Revision) -> Result<Changes, Error> {
        let end = self.rt.now() + HOLD;
        let deaf = |state: &mut State| state.deaf.get(&self.name).copied();
        let (cut, heard) = self.with(|s| (s.cut, deaf(s)));
        let _held = Held::new(self);
        loop {
            self.rt.sleep(LATENCY).await;
            if self.with(|s| s.silenced.contains(&self.name) || deaf(s) != heard) {
                future::pending::<()>().await;
            }
            let answer = self.with(|state| {
                if state.away || state.cut > cut {
                    return Some(Err(Self::unreachable()));
                }
                let new = state
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > since.0 && *k == kind);
                let changes: Vec<_> = new.map(|(_, _, change)| change.clone()).collect();
                let revision = Revision(state.revision);
                let due = !changes.is_empty() && !state.mute || self.rt.now() >= end;
                due.then_some(Ok(Changes { changes, revision }))
            });
            if let Some(answer) = answer {
                return answer;
            }
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
    };
    Record::Configuration(Box::new(Configuration {
        version,
        routes: vec![route],
        services: BTreeMap::from([(Arc::from("index"), service)]),
        limits: Limits::default(),
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

/// The version in force and the replicas that take new work.
pub(crate) fn seen(latest: &LatestView) -> Option<(u64, Vec<String>)> {
    let view = latest.get()?;
    let key = view::backend_key(&[Arc::from("index")], &[]);
    let service = view.topology.service(&key)?;
    let snapshot = service.pin(&service.record.active)?;
    let replicas = service.shards(&snapshot)?.replicas(0);
    let names = replicas.iter().map(|r| r.target.name.to_string());
    Some((view.version, names.collect()))
}

/// An instance; its failure domain is `south` if its name begins so, and `north` otherwise.
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

/// Counts a watch for as long as it is held.
struct Held<'a>(&'a Fake);

impl<'a> Held<'a> {
    fn new(fake: &'a Fake) -> Self {
        fake.with(|s| *s.held.entry(Arc::clone(&fake.name)).or_default() += 1);
        Self(fake)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let name = &self.0.name;
        self.0
            .with(|s| *s.held.entry(Arc::clone(name)).or_default() -= 1);
    }
}
