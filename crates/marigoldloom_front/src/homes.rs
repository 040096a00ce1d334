//! Home instances: the instances that connect to the replicas of a service.
//!
//! A replica accepts few connections, and an instance that rarely sends to it would open a new
//! one each time. So only the home set of a list of shards connects to their replicas, and other
//! instances forward queries to it. Home instances are in the failure domains of the replicas, so
//! that one message to a home instance replaces one message to each shard. Instances with far less
//! capacity than others there are left out. A service of one shard has a home set only if its
//! replicas don't accept the connections of all instances.

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

use crate::body::Memory;
use crate::forward::Peer;

/// Connections to a replica that each home instance needs; limits the size of a home set.
const MIN_CONNECTIONS: u32 = 2;

/// Assumed number of instances in a deployment until the members are known.
pub(crate) const ASSUMED_INSTANCES: u32 = 8;

/// Concurrent queries sent to one home instance before another one is preferred.
const MAX_QUERIES: u32 = 16;

/// The home set of one service from the view of this instance.
struct HomeSet {
    /// Home instances to forward queries to; empty if this instance is one itself or no home
    /// set is needed.
    others: Vec<Home>,
    /// Whether this instance is a regular sender to the shards, and how many senders there are.
    sender: Sender,
}

/// A home instance other than this one.
struct Home {
    /// The instance in the form that the choice of a replica takes.
    target: Replica,
    peer: Arc<Peer>,
}

#[derive(Default)]
struct State {
    members: Vec<Member>,
    view: Option<Arc<View>>,
    /// Home sets computed from the current members and view, by service.
    sets: BTreeMap<Arc<str>, Arc<HomeSet>>,
    peers: BTreeMap<SocketAddr, Arc<Peer>>,
}

/// The home sets of all services.
pub(crate) struct Homes<R> {
    rt: R,
    own: home::Candidate,
    place: Place,
    /// Memory for the answers of other instances.
    memory: Memory,
    /// Memory for answers that are being sent.
    sending: Memory,
    state: Mutex<State>,
}

impl<R: Runtime> Homes<R> {
    /// Creates the state of an instance that knows no other instance yet.
    pub(crate) fn new(rt: R, own: home::Candidate, place: Place, memory: Memory) -> Self {
        Self {
            rt,
            own,
            place,
            sending: memory.for_sending(),
            memory,
            state: Mutex::default(),
        }
    }

    /// Returns the memory for answers that are being sent.
    pub(crate) const fn sending(&self) -> &Memory {
        &self.sending
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the list of instances in the tier.
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

    /// How this instance sends to the replicas of the engine's service `key`: as a regular sender
    /// or not.
    pub(crate) fn sender(&self, key: &Arc<str>) -> Sender {
        self.home_set(key)
            .map_or(Sender::Regular(1), |set| set.sender)
    }

    /// Reserves a place for a query on a home instance of `key`; `None` if this instance is a
    /// regular sender itself or no home instance is available.
    pub(crate) fn choose(&self, key: &Arc<str>) -> Option<ReservedHome> {
        let set = self.home_set(key)?;
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
        reserved.then_some(ReservedHome { peer, sent: now })
    }

    fn home_set(&self, key: &Arc<str>) -> Option<Arc<HomeSet>> {
        let mut state = self.state();
        if let Some(set) = state.sets.get(key) {
            return Some(Arc::clone(set));
        }
        let view = Arc::clone(state.view.as_ref()?);
        let service = view.topology.service(key)?;
        let connections = replica_connections(&view, service.shard_services());
        let count = state.members.len();
        let set = match service.shard_services() {
            _ if count == 0 => HomeSet {
                others: Vec::new(),
                sender: Sender::Regular(ASSUMED_INSTANCES),
            },
            [_] if home::size(count, connections, MIN_CONNECTIONS) == count => {
                all_regular(&state.members)
            }
            _ => self.compute_set(&mut state, key, service, connections),
        };
        let set = Arc::new(set);
        state.sets.insert(Arc::clone(key), Arc::clone(&set));
        Some(set)
    }

    fn compute_set(
        &self,
        state: &mut State,
        key: &str,
        service: &ServiceView,
        connections: u32,
    ) -> HomeSet {
        let eligible = eligible(&state.members, service);
        let size = home::size(state.members.len(), connections, MIN_CONNECTIONS);
        let homes = home::home_set(key, &eligible, size);
        if homes.is_empty() || homes.contains(&self.own) {
            let senders = u32::try_from(homes.len()).unwrap_or(u32::MAX);
            return HomeSet {
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
        HomeSet {
            others,
            sender: Sender::Other(instance_count(&state.members)),
        }
    }

    fn peer(&self, state: &mut State, address: SocketAddr) -> Arc<Peer> {
        let peer = state.peers.entry(address);
        let new = || Arc::new(Peer::new(self.rt.now(), address, &self.memory));
        Arc::clone(peer.or_insert_with(new))
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
            version: Arc::default(),
            snapshot: service::Snapshot {
                version: String::new(),
                epoch: 0,
            },
            shards: Vec::new(),
            slots: MAX_QUERIES,
            cold_slots: MAX_QUERIES,
            pace: None,
            start_pace: None,
            connections: MAX_QUERIES,
            usable: true,
            born: None,
        }
    }
}

/// A home instance on which a place for one query is reserved.
pub(crate) struct ReservedHome {
    pub(crate) peer: Arc<Peer>,
    pub(crate) sent: Timestamp,
}

/// For a service of one shard whose replicas accept the connections of all instances: every
/// instance sends directly, because a request is one message in any case.
fn all_regular(members: &[Member]) -> HomeSet {
    HomeSet {
        others: Vec::new(),
        sender: Sender::Regular(instance_count(members)),
    }
}

/// Instances in the failure domains of a service's usable replicas, or all instances if there is
/// none, so that a home set is never empty. Instances with far less capacity are left out.
fn eligible(members: &[Member], service: &ServiceView) -> Vec<home::Candidate> {
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

/// The smallest number of connections that a replica of any of `shard_services` accepts; 1 if
/// unknown.
fn replica_connections(view: &View, shard_services: &[Arc<str>]) -> u32 {
    let caps = shard_services
        .iter()
        .filter_map(|shard_service| view.connections.get(shard_service));
    caps.min().copied().unwrap_or(1)
}

fn instance_count(members: &[Member]) -> u32 {
    u32::try_from(members.len()).unwrap_or(u32::MAX)
}
