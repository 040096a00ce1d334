//! Applies the shared map's entries to the instance: topology, home sets, connection shares,
//! dispatch lease voters, version moves, warm upstreams and crash strikes.

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
use crate::warm_entries;

/// Maximum number of record names in one event. Without a limit, the event about the first batch
/// would list the whole configuration.
const EVENT_NAME_LIMIT: usize = 20;

/// A configuration entry of the shared map that can't be applied.
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
    /// The record is invalid.
    #[display("{_0}")]
    Record(record::Invalid),
}

/// Instances, failure domains and version moves of the current configuration.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Configured instances by name.
    pub instances: BTreeMap<String, instance::Instance>,
    /// Failure domains that operators took out of service.
    pub out_domains: BTreeSet<String>,
    /// Version moves by name, including completed ones and those taken back.
    pub moves: BTreeMap<String, version_move::VersionMove>,
}

/// Applies entries of the shared map as they are accepted.
pub(crate) struct Applier<P: platform::Platform> {
    pub(crate) rt: AsyncStd,
    pub(crate) engine: Engine<P>,
    pub(crate) client: client::Client<AsyncStd>,
    pub(crate) peers: Peers<P>,
    pub(crate) homes: Arc<homes::Homes>,
    pub(crate) lease_voters: homes::LeaseVoters,
    pub(crate) events: event::Events,
    pub(crate) builder: topology::Builder,
    pub(crate) view: Arc<Mutex<View>>,
    /// Services whose home set contains this instance.
    pub(crate) home_services: BTreeSet<Arc<str>>,
}

/// What changed with one batch of entries.
#[derive(Debug, Default)]
struct Batch {
    record_count: u64,
    /// Names of the first records, at most [`EVENT_NAME_LIMIT`].
    names: Vec<Arc<str>>,
    members_changed: bool,
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
            self.finish_batch(&batch);
        }
    }

    fn apply(&mut self, entry: &Entry, batch: &mut Batch) {
        match entry.space {
            Space::Config => {
                batch.record_count += 1;
                if batch.names.len() < EVENT_NAME_LIMIT {
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
            Space::Member => batch.members_changed = true,
            Space::Strike => self.apply_strike(entry),
            Space::Warm => warm_entries::apply(&self.engine, entry),
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
                view.out_domains.insert(d.name.clone());
            }
            AnyRecord::FailureDomain(d) => {
                view.out_domains.remove(&d.name);
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
                view.out_domains.remove(name);
            }
            Kind::VersionMove => {
                view.moves.remove(name);
                self.peers
                    .exchange()
                    .set_recipients(Space::Evidence, &entry_prefix(name), vec![]);
            }
            Kind::Service | Kind::Upstream => {}
        }
        drop(view);
        self.builder.remove(kind, name);
    }

    fn apply_strike(&self, entry: &Entry) {
        match observer::parse_strike(entry) {
            Some((fingerprint, origin, strike)) if origin != &*self.peers.own().identity.name => {
                let strikes = fingerprint::Strikes {
                    count: strike.count,
                    latest: strike.latest,
                    ..fingerprint::Strikes::default()
                };
                self.engine.merge_strikes(origin, fingerprint, strikes);
            }
            _ => {}
        }
    }

    /// Recomputes what depends on the records and members that changed.
    fn finish_batch(&mut self, batch: &Batch) {
        if batch.record_count == 0 && !batch.members_changed {
            return;
        }
        let view = self.view();
        let topology = self.builder.build();
        let candidates = homes::candidates(self.peers.members(), &view.out_domains);
        self.homes.update(&topology, &candidates);
        let shares = homes::connection_shares(&topology, &self.homes);
        self.client.set_connection_limits(shares);
        for service in topology.services().keys() {
            let size = u32::try_from(self.homes.get(service).len()).unwrap_or(u32::MAX);
            self.engine.set_sender_count(service, size);
        }
        self.set_voters(&topology, &view);
        if batch.record_count > 0 {
            self.engine.apply(Arc::clone(&topology));
            let evidence = json!({"records": batch.record_count, "names": batch.names});
            let kind = event::Kind::Configured;
            let cause = "records accepted from the platform or a peer";
            let at = self.rt.wall();
            self.events
                .record(at, kind, "configuration", cause, evidence);
        }
        self.set_evidence_recipients(&view);
        self.set_warm_recipients(&topology);
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
        for (upstream, voters) in self.lease_voters.update(topology, &instances) {
            self.peers.leases().set_voters(&upstream, voters);
        }
    }

    fn set_evidence_recipients(&self, view: &View) {
        for record in view.moves.values() {
            let names =
                evidence_recipients(record, || homes::names(&self.homes.get(&record.service)));
            let exchange = self.peers.exchange();
            exchange.set_recipients(Space::Evidence, &entry_prefix(&record.name), names);
        }
    }

    /// Sends entries about warm upstreams only to the home set of their service. When this instance
    /// joins a home set, it fetches the entries that it didn't receive before from other members of
    /// that set.
    fn set_warm_recipients(&mut self, topology: &topology::Topology) {
        let own = self.peers.own().identity.name;
        let mut fetch_from = BTreeSet::new();
        for service in topology.services().keys() {
            let names = homes::names(&self.homes.get(service));
            match names.contains(&own) {
                true if self.home_services.insert(Arc::clone(service)) => {
                    let others = names.iter().filter(|name| **name != own);
                    fetch_from.extend(others.take(warm_entries::FETCH_PEERS).cloned());
                }
                true => {}
                false => drop(self.home_services.remove(service)),
            }
            let exchange = self.peers.exchange();
            exchange.set_recipients(Space::Warm, &entry_prefix(service), names);
        }
        for name in fetch_from {
            let exchange = self.peers.exchange().clone();
            self.rt.spawn(async move {
                if let Err(error) = exchange.fetch(Space::Warm, &name).await {
                    tracing::debug!(%error, instance = %name, "warm upstreams not learned");
                }
            });
        }
    }
}

/// Returns the name prefix of a move's evidence entries, or of the entries about a service's warm
/// upstreams. It is unambiguous because names of moves and services contain no slash.
fn entry_prefix(name: &str) -> String {
    format!("{name}/")
}

/// Returns the instances that receive the evidence of a move: the home set of its service while
/// the move runs, none afterwards, because the move's status then holds the evidence.
pub fn evidence_recipients(
    record: &version_move::VersionMove,
    home_set: impl FnOnce() -> Vec<Arc<str>>,
) -> Vec<Arc<str>> {
    match record.status.phase {
        version_move::Phase::Running => home_set(),
        version_move::Phase::Done | version_move::Phase::TakenBack => Vec::new(),
    }
}
