//! The home instances of lists of shards, and of services of one shard.
//!
//! A replica accepts few connections, and an instance that rarely sends to it would open a new
//! one each time. So only the home set of a list of shards connects to their replicas. It lies in
//! the failure domains of the replicas, so that one message to it takes the place of one message
//! to each shard, and leaves out instances that are far weaker than others there. A service of one
//! shard has a home set only if its replicas don't accept the connections of all instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::fleet::{self, Member};
use marigoldloom_catalog::view::View;
use marigoldloom_limits::allowance::Sender;
use marigoldloom_records::service;
use marigoldloom_routing::topology::{Distance, Replica, ServiceView};
use marigoldloom_routing::{choice, home};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream::Target;

use crate::forward::Peer;

/// Connections that a home instance wants to a replica; they bound how many instances are home.
const POOL: u32 = 2;

/// Instances that a deployment is taken to have until they are counted.
pub(crate) const UNCOUNTED: u32 = 8;

/// Queries that one home instance is given at a time before another one is preferred.
const QUERIES: u32 = 16;

/// The home instances of one list of shards, as this instance sees them.
struct Set {
    /// The others, for the choice among them.
    others: Vec<Home>,
    /// How this instance sends to the shards itself.
    sender: Sender,
}

struct Home {
    /// The instance as a target.
    target: Replica,
    peer: Arc<Peer>,
}

#[derive(Default)]
struct State {
    members: Vec<Member>,
    view: Option<Arc<View>>,
    /// Home sets for the members and the view in force.
    sets: BTreeMap<Arc<str>, Arc<Set>>,
    peers: BTreeMap<SocketAddr, Arc<Peer>>,
}

/// The home sets of all services.
pub(crate) struct Homes<R> {
    rt: R,
    own: home::Candidate,
    place: Place,
    state: Mutex<State>,
}

impl<R: Runtime> Homes<R> {
    /// Creates the home sets of an instance that knows no other yet.
    pub(crate) fn new(rt: R, own: home::Candidate, place: Place) -> Self {
        Self {
            rt,
            own,
            place,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the instances of the tier.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        let mut state = self.state();
        state
            .peers
            .retain(|address, _| members.iter().any(|m| m.address == *address));
        state.members = members;
        state.sets.clear();
    }

    /// Replaces the routes and replicas.
    pub(crate) fn set_view(&self, view: Arc<View>) {
        let mut state = self.state();
        state.view = Some(view);
        state.sets.clear();
    }

    /// How this instance sends to the replicas of the engine's service `key`.
    pub(crate) fn sender(&self, key: &Arc<str>) -> Sender {
        self.set(key).map_or(Sender::Regular(1), |set| set.sender)
    }

    /// A home instance of `key` that takes a query; none if this instance is one itself or no
    /// other is known to answer.
    pub(crate) fn choose(&self, key: &Arc<str>) -> Option<Reserved> {
        let set = self.set(key)?;
        if matches!(set.sender, Sender::Regular(_)) {
            return None;
        }
        let now = self.rt.now();
        let candidates = set.others.iter().map(|home| choice::Candidate {
            replica: &home.target,
            view: home.peer.health.view(now),
            cold_limit: 0,
            senders: 1,
            throttled: false,
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = choice::choose_nearest(&candidates, || self.rt.random())?;
        let candidate = &candidates[chosen];
        let peer = Arc::clone(&set.others[chosen].peer);
        let reserved = peer
            .health
            .try_begin(now, &candidate.view, candidate.request_limit());
        reserved.then_some(Reserved { peer, sent: now })
    }

    fn set(&self, key: &Arc<str>) -> Option<Arc<Set>> {
        let mut state = self.state();
        if let Some(set) = state.sets.get(key) {
            return Some(Arc::clone(set));
        }
        let view = Arc::clone(state.view.as_ref()?);
        let service = view.topology.service(key)?;
        let connections = connections(&view, service.shard_services());
        let count = state.members.len();
        let set = match service.shard_services() {
            _ if count == 0 => Set {
                others: Vec::new(),
                sender: Sender::Regular(UNCOUNTED),
            },
            [_] if home::size(count, connections, POOL) == count => alone(&state.members),
            _ => self.compute(&mut state, key, service, connections),
        };
        let set = Arc::new(set);
        state.sets.insert(Arc::clone(key), Arc::clone(&set));
        Some(set)
    }

    fn compute(
        &self,
        state: &mut State,
        key: &str,
        service: &ServiceView,
        connections: u32,
    ) -> Set {
        let able = able(&state.members, service);
        let size = home::size(state.members.len(), connections, POOL);
        let homes = home::home_set(key, &able, size);
        if homes.is_empty() || homes.contains(&self.own) {
            let senders = u32::try_from(homes.len()).unwrap_or(u32::MAX);
            return Set {
                others: Vec::new(),
                sender: Sender::Regular(senders.max(1)),
            };
        }
        let others = state
            .members
            .iter()
            .filter(|m| homes.contains(&m.candidate));
        let others: Vec<_> = others.cloned().collect();
        let others = others.into_iter().map(|member| Home {
            target: self.target(&member),
            peer: self.peer(state, member.address),
        });
        let others = others.collect();
        Set {
            others,
            sender: Sender::Other(count(&state.members)),
        }
    }

    fn peer(&self, state: &mut State, address: SocketAddr) -> Arc<Peer> {
        let peer = state.peers.entry(address);
        Arc::clone(peer.or_insert_with(|| Arc::new(Peer::new(self.rt.now(), address))))
    }

    fn target(&self, member: &Member) -> Replica {
        let domain = Arc::clone(&member.candidate.domain);
        let distance = Distance::between(&self.own.domain, &domain, |domain| {
            self.place.regions.get(domain)
        });
        Replica {
            target: Target {
                name: Arc::clone(&member.candidate.name),
                address: member.address,
            },
            domain,
            distance,
            snapshot: service::Snapshot {
                version: String::new(),
                epoch: 0,
            },
            shards: Vec::new(),
            slots: QUERIES,
            cold_slots: QUERIES,
            pace: None,
            connections: QUERIES,
            usable: true,
        }
    }
}

/// A home instance with a place for one query.
pub(crate) struct Reserved {
    pub(crate) peer: Arc<Peer>,
    pub(crate) sent: Timestamp,
}

/// A service of one shard whose replicas accept the connections of all instances: a request to it
/// is one message, whoever sends it.
fn alone(members: &[Member]) -> Set {
    Set {
        others: Vec::new(),
        sender: Sender::Regular(count(members)),
    }
}

/// Instances in the failure domains of a service's replicas, without the far weaker ones. All
/// instances if there is none, so that a home set never is empty.
fn able(members: &[Member], service: &ServiceView) -> Vec<home::Candidate> {
    let usable = service.upstreams().values().filter(|r| r.usable);
    let domains: BTreeSet<_> = usable.map(|r| &r.domain).collect();
    let inside = members
        .iter()
        .filter(|m| domains.contains(&m.candidate.domain));
    let mut inside: Vec<_> = inside.collect();
    if inside.is_empty() {
        inside = members.iter().collect();
    }
    let (strong, _) = fleet::split_by_capacity(inside.into_iter());
    strong.into_iter().map(|m| m.candidate.clone()).collect()
}

/// Connections that a replica of every part accepts.
fn connections(view: &View, parts: &[Arc<str>]) -> u32 {
    let caps = parts.iter().filter_map(|part| view.connections.get(part));
    caps.min().copied().unwrap_or(1)
}

fn count(members: &[Member]) -> u32 {
    u32::try_from(members.len()).unwrap_or(u32::MAX)
}
