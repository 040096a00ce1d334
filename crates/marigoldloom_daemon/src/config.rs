//! Puts the shared map's entries in force: topology, home sets, connection
//! shares, dispatch lease voters, version moves and crash strikes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

use derive_more::derive;
use marigoldloom_limits::fingerprint;
use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_platform::platform;
use marigoldloom_records::record::{self, AnyRecord, Kind};
use marigoldloom_records::{failure_domain, instance, version_move};
use marigoldloom_routing::{home, topology};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::event;
use marigoldloom_upstream::client;
use serde_json::json;

use crate::homes;
use crate::instance::{Engine, Peers};
use crate::observer;
use crate::warmth;

/// Names of records that an event lists; the first batch holds the whole configuration.
const NAME_LIMIT: usize = 20;

/// Why an entry of the shared map can't be obeyed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Invalid {
    /// The entry's name is not `kind/name` of a known kind.
    #[display("the kind of record is not known to this build")]
    #[from(skip)]
    Kind,
    /// The value isn't JSON.
    #[display("the value is not JSON")]
    #[from(skip)]
    Json,
    /// The record is refused.
    #[display("{_0}")]
    Record(record::Invalid),
}

/// What the last configuration says about instances, failure domains and moves.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configured instances by name.
    pub instances: BTreeMap<String, instance::Instance>,
    /// Failure domains that operators took out.
    pub out: BTreeSet<String>,
    /// Version moves by name, ended ones included.
    pub moves: BTreeMap<String, version_move::VersionMove>,
}

/// Applies entries as they are accepted.
pub(crate) struct Applier<P: platform::Platform> {
    pub(crate) rt: AsyncStd,
    pub(crate) engine: Engine<P>,
    pub(crate) client: client::Client<AsyncStd>,
    pub(crate) peers: Peers<P>,
    pub(crate) homes: Arc<homes::Homes>,
    pub(crate) electorates: homes::Electorates,
    pub(crate) events: event::Events,
    pub(crate) builder: topology::Builder,
    pub(crate) view: Arc<Mutex<View>>,
    /// Services whose home set this instance is in.
    pub(crate) home: BTreeSet<Arc<str>>,
}

#[derive(Debug, Default)]
struct Batch {
    records: u64,
    /// The first records' names.
    names: Vec<Arc<str>>,
    members: bool,
}

impl<P: platform::Platform> Applier<P> {
    /// Applies entries for as long as the process runs.
    pub(crate) async fn run(mut self) {
        let subscription = self.peers.exchange().subscribe();
        loop {
            let mut batch = Batch::default();
            for entry in subscription.next().await {
                self.apply(&entry, &mut batch);
            }
            self.put_in_force(&batch);
        }
    }

    fn apply(&mut self, entry: &Entry, batch: &mut Batch) {
        match entry.space {
            Space::Config => {
                batch.records += 1;
                if batch.names.len() < NAME_LIMIT {
                    batch.names.push(Arc::clone(&entry.name));
                }
                if let Err(error) = self.apply_record(entry) {
                    let cause = error.to_string();
                    let kind = event::Kind::ConfigRefused;
                    let evidence = json!({"revision": entry.stamp});
                    let at = self.rt.wall();
                    self.events.record(at, kind, &entry.name, &cause, evidence);
                }
            }
            Space::Member => batch.members = true,
            Space::Strike => self.apply_strike(entry),
            Space::Warm => warmth::apply(&self.engine, entry),
            Space::Verdict | Space::Evidence => {}
        }
    }

    fn apply_record(&mut self, entry: &Entry) -> Result<(), Invalid> {
        let (kind, name) = entry.name.split_once('/').ok_or(Invalid::Kind)?;
        let kind = Kind::parse(kind).ok_or(Invalid::Kind)?;
        match &entry.value {
            None => self.remove(kind, name),
            Some(text) => {
                let value = serde_json::from_str(text).map_err(|_| Invalid::Json)?;
                self.set(record::decode_any(kind, &value)?);
            }
        }
        Ok(())
    }

    fn set(&mut self, record: AnyRecord) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        match &record {
            AnyRecord::Instance(i) => {
                view.instances.insert(i.name.clone(), i.clone());
            }
            AnyRecord::FailureDomain(d) if d.state == failure_domain::State::Out => {
                view.out.insert(d.name.clone());
            }
            AnyRecord::FailureDomain(d) => {
                view.out.remove(&d.name);
            }
            AnyRecord::VersionMove(m) => {
                view.moves.insert(m.name.clone(), m.clone());
            }
            AnyRecord::Service(_) | AnyRecord::Upstream(_) => {}
        }
        drop(view);
        self.builder.set(record);
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            Kind::Instance => {
                view.instances.remove(name);
            }
            Kind::FailureDomain => {
                view.out.remove(name);
            }
            Kind::VersionMove => {
                view.moves.remove(name);
                self.peers
                    .exchange()
                    .set_recipients(Space::Evidence, &prefix(name), vec![]);
            }
            Kind::Service | Kind::Upstream => {}
        }
        drop(view);
        self.builder.remove(kind, name);
    }

    fn apply_strike(&self, entry: &Entry) {
        match observer::parse_strike(entry) {
            Some((print, origin, strike)) if origin != &*self.peers.own().identity.name => {
                let strikes = fingerprint::Strikes {
                    count: strike.count,
                    latest: strike.latest,
                };
                self.engine.merge_strikes(origin, print, strikes);
            }
            _ => {}
        }
    }

    fn put_in_force(&mut self, batch: &Batch) {
        if batch.records == 0 && !batch.members {
            return;
        }
        let view = self.view();
        let topology = self.builder.build();
        let candidates = homes::candidates(self.peers.members(), &view.out);
        self.homes.update(&topology, &candidates);
        let shares = homes::connections(&topology, &self.homes);
        self.client.set_connection_limits(shares);
        for service in topology.services().keys() {
            let size = u32::try_from(self.homes.of(service).len()).unwrap_or(u32::MAX);
            self.engine.set_sender_count(service, size);
        }
        self.set_voters(&topology, &view);
        if batch.records > 0 {
            self.engine.apply(Arc::clone(&topology));
            let records = json!({"records": batch.records, "names": batch.names});
            let kind = event::Kind::Configured;
            let cause = "records accepted from the platform or a peer";
            let at = self.rt.wall();
            self.events
                .record(at, kind, "configuration", cause, records);
        }
        self.follow_moves(&view);
        self.follow_warmth(&topology);
    }

    fn view(&self) -> View {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    fn set_voters(&mut self, topology: &topology::Topology, view: &View) {
        let live = |i: &&instance::Instance| i.state == instance::State::Live;
        let instances: Vec<_> = view
            .instances
            .values()
            .filter(live)
            .map(|i| home::Candidate {
                name: Arc::from(i.name.as_str()),
                domain: Arc::from(i.domain.as_str()),
            })
            .collect();
        for (upstream, voters) in self.electorates.changed(topology, &instances) {
            self.peers.leases().set_voters(&upstream, voters);
        }
    }

    fn follow_moves(&self, view: &View) {
        for record in view.moves.values() {
            let names = recipients(record, || homes::names(&self.homes.of(&record.service)));
            let exchange = self.peers.exchange();
            exchange.set_recipients(Space::Evidence, &prefix(&record.name), names);
        }
    }

    /// Word of warm upstreams goes to the home set of their service only. An instance that
    /// enters a home set asks others in it, because it may have learned the rest elsewhere.
    fn follow_warmth(&mut self, topology: &topology::Topology) {
        let own = self.peers.own().identity.name;
        let mut asked = BTreeSet::new();
        for service in topology.services().keys() {
            let names = homes::names(&self.homes.of(service));
            match names.contains(&own) {
                true if self.home.insert(Arc::clone(service)) => {
                    let others = names.iter().filter(|name| **name != own);
                    asked.extend(others.take(warmth::ASKED).cloned());
                }
                true => {}
                false => drop(self.home.remove(service)),
            }
            let exchange = self.peers.exchange();
            exchange.set_recipients(Space::Warm, &prefix(service), names);
        }
        for name in asked {
            let exchange = self.peers.exchange().clone();
            self.rt.spawn(async move {
                if let Err(error) = exchange.fetch(Space::Warm, &name).await {
                    tracing::debug!(%error, instance = %name, "warm upstreams not learned");
                }
            });
        }
    }
}

/// What the names of a move's evidence entries, and of the entries about a service's warm
/// upstreams, start with; no name contains a slash.
fn prefix(name: &str) -> String {
    format!("{name}/")
}

/// The instances that get the evidence of a move: the home set of its service while it
/// runs, nobody once it has ended, because its status holds the evidence then.
pub fn recipients(
    record: &version_move::VersionMove,
    home: impl FnOnce() -> Vec<Arc<str>>,
) -> Vec<Arc<str>> {
    match record.status.phase {
        version_move::Phase::Running => home(),
        version_move::Phase::Done | version_move::Phase::TakenBack => Vec::new(),
    }
}
