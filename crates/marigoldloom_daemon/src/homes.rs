//! Home sets of all services and voters of dispatch leases, computed from this instance's view
//! of the tier.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use marigoldloom_peers::membership;
use marigoldloom_routing::{home, topology};

/// Target number of connections from one instance to an upstream. Upstreams have 2 to 3 slots, so
/// requests on more connections would only wait.
const TARGET_CONNECTIONS: u32 = 2;

/// Connection cap of a service without upstreams.
const DEFAULT_CONNECTION_CAP: u32 = 1;

/// Number of voters on the dispatch lease of an upstream. Five tolerate two failures.
const VOTER_COUNT: usize = 5;

type HomeSets = BTreeMap<Arc<str>, Arc<[home::Candidate]>>;

/// Current home sets of all services.
#[derive(Debug, Default)]
pub struct Homes {
    sets: RwLock<Arc<HomeSets>>,
    inputs: Mutex<Inputs>,
}

/// Inputs that the current home sets were computed from.
#[derive(Debug, Default)]
struct Inputs {
    candidates: Vec<home::Candidate>,
    caps: BTreeMap<Arc<str>, u32>,
}

impl Homes {
    /// Recomputes the home sets whose candidates or connection cap changed, and returns their
    /// number. Recomputing all of them takes milliseconds at the target size, and most changes
    /// affect only one service.
    pub fn update(&self, topology: &topology::Topology, candidates: &[home::Candidate]) -> usize {
        let mut inputs = self.inputs.lock().unwrap_or_else(PoisonError::into_inner);
        let current_sets = Arc::clone(&self.sets.read().unwrap_or_else(PoisonError::into_inner));
        let same_candidates = inputs.candidates == candidates;
        let mut computed = 0;
        let mut caps = BTreeMap::new();
        let mut sets = HomeSets::new();
        for (name, view) in topology.services() {
            let cap = connection_cap(view);
            let unchanged = current_sets
                .get(name)
                .filter(|_| same_candidates && inputs.caps.get(name) == Some(&cap));
            computed += usize::from(unchanged.is_none());
            let set = unchanged
                .cloned()
                .unwrap_or_else(|| home_set(name, cap, candidates));
            sets.insert(Arc::clone(name), set);
            caps.insert(Arc::clone(name), cap);
        }
        let mut current = self.sets.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(sets);
        drop(current);
        if !same_candidates {
            inputs.candidates = candidates.to_vec();
        }
        inputs.caps = caps;
        computed
    }

    /// Returns the home set of a service; empty if the service is unknown. Called for every
    /// request.
    pub fn get(&self, service: &str) -> Arc<[home::Candidate]> {
        let sets = self.sets.read().unwrap_or_else(PoisonError::into_inner);
        sets.get(service).cloned().unwrap_or_default()
    }
}

/// Returns the members eligible for home sets: live, and not in a failure domain of
/// `out_domains`.
pub fn candidates(
    members: impl IntoIterator<Item = membership::Member>,
    out_domains: &BTreeSet<String>,
) -> Vec<home::Candidate> {
    let members = members.into_iter().filter(membership::Member::is_live);
    let in_use = members.filter(|m| !out_domains.contains(&*m.identity.domain));
    in_use
        .map(|m| home::Candidate {
            name: m.identity.name,
            domain: m.identity.domain,
        })
        .collect()
}

/// Returns the number of connections that this instance may open to each upstream.
pub fn connection_shares(
    topology: &topology::Topology,
    homes: &Homes,
) -> BTreeMap<Arc<str>, usize> {
    let mut shares = BTreeMap::new();
    for (name, view) in topology.services() {
        let size = homes.get(name).len();
        for (upstream, replica) in view.upstreams() {
            let share = home::connections_per_home(replica.connections, size);
            shares.insert(Arc::clone(upstream), share);
        }
    }
    shares
}

/// Chooses the voters on the dispatch leases of upstreams from the configured instances.
///
/// Voters are instances of the upstream's failure domain, so that an isolated failure domain can
/// warm up its own upstreams. If it has no instances, they are chosen from all instances.
#[derive(Debug, Default)]
pub struct LeaseVoters {
    instances: Vec<home::Candidate>,
    views: BTreeMap<Arc<str>, Arc<topology::ServiceView>>,
}

impl LeaseVoters {
    /// Returns the voters for each upstream whose service changed since the last call, or for all
    /// upstreams if the instances changed.
    pub fn update(
        &mut self,
        topology: &topology::Topology,
        instances: &[home::Candidate],
    ) -> BTreeMap<Arc<str>, Vec<Arc<str>>> {
        if self.instances != instances {
            self.instances = instances.to_vec();
            self.views.clear();
        }
        let domains = group_by_domain(&self.instances);
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

type CandidatesByDomain = BTreeMap<Arc<str>, Vec<home::Candidate>>;

fn group_by_domain(instances: &[home::Candidate]) -> CandidatesByDomain {
    let mut domains = CandidatesByDomain::new();
    for candidate in instances {
        let members = domains.entry(Arc::clone(&candidate.domain)).or_default();
        members.push(candidate.clone());
    }
    domains
}

fn add_voters(
    service: &str,
    view: &topology::ServiceView,
    domains: &CandidatesByDomain,
    instances: &[home::Candidate],
    voters: &mut BTreeMap<Arc<str>, Vec<Arc<str>>>,
) {
    let mut voters_by_domain: BTreeMap<&str, Vec<Arc<str>>> = BTreeMap::new();
    for (upstream, replica) in view.upstreams() {
        let chosen = voters_by_domain.entry(&replica.domain).or_insert_with(|| {
            let domain_instances = domains.get(&replica.domain);
            choose_voters(service, domain_instances.map_or(instances, Vec::as_slice))
        });
        voters.insert(Arc::clone(upstream), chosen.clone());
    }
}

fn choose_voters(service: &str, candidates: &[home::Candidate]) -> Vec<Arc<str>> {
    names(&home::home_set(service, candidates, VOTER_COUNT))
}

/// Returns the smallest connection cap of a service's upstreams.
fn connection_cap(view: &topology::ServiceView) -> u32 {
    let caps = view.upstreams().values().map(|r| r.connections);
    caps.min().unwrap_or(DEFAULT_CONNECTION_CAP)
}

fn home_set(name: &str, cap: u32, candidates: &[home::Candidate]) -> Arc<[home::Candidate]> {
    home::home_set(
        name,
        candidates,
        home::size(candidates.len(), cap, TARGET_CONNECTIONS),
    )
    .into()
}

/// Returns the names of `candidates`.
pub fn names(candidates: &[home::Candidate]) -> Vec<Arc<str>> {
    candidates.iter().map(|c| Arc::clone(&c.name)).collect()
}
