//! Home sets of all services, as this instance sees the tier.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use marigoldloom_peers::membership;
use marigoldloom_routing::{home, topology};

/// Connections that one instance wants to an upstream. With 2 to 3 slots per upstream,
/// more connections per instance would only wait.
const POOL: u32 = 2;

/// Connection cap of a service without upstreams.
const NO_CAP: u32 = 1;

/// Members that vote on the dispatch lease of an upstream. Five tolerate two failures.
const VOTERS: usize = 5;

type Sets = BTreeMap<Arc<str>, Arc<[home::Candidate]>>;

/// The home sets in force.
#[derive(Debug, Default)]
pub struct Homes {
    sets: RwLock<Arc<Sets>>,
    basis: Mutex<Basis>,
}

/// What the home sets in force were computed from.
#[derive(Debug, Default)]
struct Basis {
    candidates: Vec<home::Candidate>,
    caps: BTreeMap<Arc<str>, u32>,
}

impl Homes {
    /// Computes the home sets whose candidates or connection cap changed, and returns their
    /// number. Computing all of them takes milliseconds at the target, and most changes
    /// concern one service.
    pub fn update(&self, topology: &topology::Topology, candidates: &[home::Candidate]) -> usize {
        let mut basis = self.basis.lock().unwrap_or_else(PoisonError::into_inner);
        let held = Arc::clone(&self.sets.read().unwrap_or_else(PoisonError::into_inner));
        let is_same = basis.candidates == candidates;
        let mut computed = 0;
        let mut caps = BTreeMap::new();
        let mut sets = Sets::new();
        for (name, view) in topology.services() {
            let cap = connection_cap(view);
            let known = held
                .get(name)
                .filter(|_| is_same && basis.caps.get(name) == Some(&cap));
            computed += usize::from(known.is_none());
            let set = known
                .cloned()
                .unwrap_or_else(|| home_set(name, cap, candidates));
            sets.insert(Arc::clone(name), set);
            caps.insert(Arc::clone(name), cap);
        }
        let mut current = self.sets.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(sets);
        drop(current);
        if !is_same {
            basis.candidates = candidates.to_vec();
        }
        basis.caps = caps;
        computed
    }

    /// The home set of a service; empty if the service is unknown. Every request asks.
    pub fn of(&self, service: &str) -> Arc<[home::Candidate]> {
        let sets = self.sets.read().unwrap_or_else(PoisonError::into_inner);
        sets.get(service).cloned().unwrap_or_default()
    }
}

/// The members that may be home: live, and in a failure domain that is in use.
pub fn candidates(
    members: impl IntoIterator<Item = membership::Member>,
    out: &BTreeSet<String>,
) -> Vec<home::Candidate> {
    let members = members.into_iter().filter(membership::Member::is_live);
    let in_use = members.filter(|m| !out.contains(&*m.identity.domain));
    in_use
        .map(|m| home::Candidate {
            name: m.identity.name,
            domain: m.identity.domain,
        })
        .collect()
}

/// This instance's share of the connections to each upstream.
pub fn connections(topology: &topology::Topology, homes: &Homes) -> BTreeMap<Arc<str>, usize> {
    let mut shares = BTreeMap::new();
    for (name, view) in topology.services() {
        let size = homes.of(name).len();
        for (upstream, replica) in view.upstreams() {
            let share = home::connections_per_home(replica.connections, size);
            shares.insert(Arc::clone(upstream), share);
        }
    }
    shares
}

/// Chooses the voters on the dispatch leases of upstreams from the configured instances.
///
/// They are instances of the upstream's failure domain, so that a failure domain which is
/// cut off warms its own upstreams, or any instances if that one has none.
#[derive(Debug, Default)]
pub struct Electorates {
    instances: Vec<home::Candidate>,
    views: BTreeMap<Arc<str>, Arc<topology::ServiceView>>,
}

impl Electorates {
    /// The voters of the upstreams whose service changed since the last call, or of all
    /// upstreams if the instances changed.
    pub fn changed(
        &mut self,
        topology: &topology::Topology,
        instances: &[home::Candidate],
    ) -> BTreeMap<Arc<str>, Vec<Arc<str>>> {
        if self.instances != instances {
            self.instances = instances.to_vec();
            self.views.clear();
        }
        let domains = by_domain(&self.instances);
        let mut voters = BTreeMap::new();
        for (name, view) in topology.services() {
            let known = self.views.get(name);
            if !known.is_some_and(|known| Arc::ptr_eq(known, view)) {
                add_voters(name, view, &domains, &self.instances, &mut voters);
            }
        }
        self.views.clone_from(topology.services());
        voters
    }
}

type Domains = BTreeMap<Arc<str>, Vec<home::Candidate>>;

fn by_domain(instances: &[home::Candidate]) -> Domains {
    let mut domains = Domains::new();
    for candidate in instances {
        let members = domains.entry(Arc::clone(&candidate.domain)).or_default();
        members.push(candidate.clone());
    }
    domains
}

fn add_voters(
    service: &str,
    view: &topology::ServiceView,
    domains: &Domains,
    instances: &[home::Candidate],
    voters: &mut BTreeMap<Arc<str>, Vec<Arc<str>>>,
) {
    let mut electorates: BTreeMap<&str, Vec<Arc<str>>> = BTreeMap::new();
    for (upstream, replica) in view.upstreams() {
        let electorate = electorates.entry(&replica.domain).or_insert_with(|| {
            let inside = domains.get(&replica.domain);
            electorate(service, inside.map_or(instances, Vec::as_slice))
        });
        voters.insert(Arc::clone(upstream), electorate.clone());
    }
}

fn electorate(service: &str, electors: &[home::Candidate]) -> Vec<Arc<str>> {
    names(&home::home_set(service, electors, VOTERS))
}

/// The least connection cap of a service's upstreams.
fn connection_cap(view: &topology::ServiceView) -> u32 {
    let caps = view.upstreams().values().map(|r| r.connections);
    caps.min().unwrap_or(NO_CAP)
}

fn home_set(name: &str, cap: u32, candidates: &[home::Candidate]) -> Arc<[home::Candidate]> {
    home::home_set(name, candidates, home::size(candidates.len(), cap, POOL)).into()
}

/// The names of instances.
pub fn names(candidates: &[home::Candidate]) -> Vec<Arc<str>> {
    candidates.iter().map(|c| Arc::clone(&c.name)).collect()
}
