//! A fleet of instances on virtual time, over an in-memory platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::membership::{Identity, State};
use marigoldloom_peers::peers::{Config, Peers};
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::event;
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;

use crate::net::{Echo, Net, NetPeers, Traffic};
use crate::records;

/// Time in which a new fleet finds itself and learns its configuration.
const SETTLE: Duration = Duration::from_secs(10);

/// Time that a platform call takes.
const PLATFORM_MS: u64 = 4;

/// Instances that a new one contacts at first.
const SEEDS: usize = 3;

/// Step of [`Fleet::wait`].
const POLL: Duration = Duration::from_millis(10);

struct Host {
    rt: VirtualRuntime,
    peers: NetPeers,
}

/// The fleet.
pub struct Fleet {
    /// The clock.
    pub rt: VirtualRuntime,
    /// The platform, to write to.
    pub platform: MemoryPlatform<VirtualRuntime>,
    net: Net,
    hosts: BTreeMap<usize, Host>,
}

/// Sum of the traffic of all instances, and of the busiest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Total {
    /// Sum over all instances.
    pub sum: Traffic,
    /// Bytes sent and received by the busiest instance.
    pub greatest: usize,
}

impl Fleet {
    /// Starts `count` instances whose configuration has `upstreams` upstreams, and lets
    /// them find each other. Instance records are in the target's proportion to upstreams.
    pub async fn start(rt: &VirtualRuntime, count: usize, upstreams: usize) -> Self {
        let platform = MemoryPlatform::new(rt.clone());
        let listed = upstreams * 1_300 / 5_300;
        records::write(&platform, &records::all(upstreams, listed)).await;
        platform.set_faults(faults());
        let mut fleet = Self {
            rt: rt.clone(),
            platform,
            net: Net::new(rt),
            hosts: BTreeMap::new(),
        };
        (0..count).for_each(|index| fleet.launch(index));
        rt.sleep(SETTLE).await;
        fleet
    }

    /// Starts the instance with this number.
    pub fn launch(&mut self, index: usize) {
        let identity = Identity {
            name: Arc::from(records::instance_name(index)),
            domain: Arc::from(records::domain_name(index)),
            address: records::address(index),
        };
        let rt = self.rt.fork();
        let net = self.net.of(identity.address);
        let config = Config {
            identity,
            seeds: (0..SEEDS).map(records::address).collect(),
            events: event::Events::new(),
        };
        let platform = self.platform.client();
        let peers = Peers::start(rt.clone(), net.clone(), platform, Echo, config);
        net.connect(&rt, &peers);
        self.hosts.insert(index, Host { rt, peers });
    }

    /// Stops an instance: it leaves in good order, or its process is killed.
    pub async fn stop(&mut self, index: usize, graceful: bool) {
        let Some(host) = self.hosts.remove(&index) else {
            return;
        };
        if graceful {
            host.peers.leave().await;
        }
        self.net.disconnect(records::address(index));
        host.rt.kill();
    }

    /// Instances in service.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no instance is in service.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Writes the record of service 0 with another deadline; returns its name in the map
    /// and its revision.
    pub async fn change(&self, number: u64) -> (String, u64) {
        let mut service = records::service(0);
        service.deadline_ms = 280 + number;
        let record = marigoldloom_records::record::AnyRecord::Service(service);
        let (key, value) = records::object(&record);
        let written = self.platform.put(&key, &value, Condition::Any).await;
        (key.to_string(), written.map_or(0, |o| o.revision.0))
    }

    /// Waits until every instance holds `name` at `stamp`; the time that took, or none
    /// after `limit`.
    pub async fn wait(&self, name: &str, stamp: u64, limit: Duration) -> Option<Duration> {
        let start = self.rt.now();
        let mut behind: Vec<&Host> = self.hosts.values().collect();
        while self.rt.now().since(start) <= limit {
            behind.retain(|host| stamp_of(host, name).is_none_or(|held| held < stamp));
            if behind.is_empty() {
                return Some(self.rt.now().since(start));
            }
            self.rt.sleep(POLL).await;
        }
        None
    }

    /// Configuration entries that an instance holds.
    pub fn entries(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        host.map_or(0, |h| h.peers.exchange().scan(Space::Config, "").len())
    }

    /// Members that an instance knows.
    pub fn members(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        host.map_or(0, |h| h.peers.members().len())
    }

    /// Live members that an instance sees, itself included.
    pub fn live(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        let members = host.map_or_else(Vec::new, |h| h.peers.members());
        members.iter().filter(|m| m.state == State::Alive).count()
    }

    /// Numbers of the instances in service.
    pub fn indices(&self) -> impl Iterator<Item = usize> {
        self.hosts.keys().copied()
    }

    /// Makes calls to lost instances wait, as when their hosts or switches are gone.
    pub fn set_silent(&self) {
        self.net.set_silent();
    }

    /// Parts the network by a number for each failure domain.
    pub fn cut(&self, group: impl Fn(usize) -> usize) {
        let number = |index: usize| (records::address(index), group(index % records::DOMAINS));
        self.net.part(self.indices().map(number).collect());
    }

    /// Traffic since the last call.
    pub fn take_traffic(&self) -> Total {
        let mut total = Total::default();
        for traffic in self.net.take() {
            total.sum.sent += traffic.sent;
            total.sum.received += traffic.received;
            total.sum.messages += traffic.messages;
            total.greatest = total.greatest.max(traffic.sent + traffic.received);
        }
        total
    }
}

/// The platform's normal state: calls take a few milliseconds.
pub fn faults() -> Faults {
    Faults {
        delay_ms: PLATFORM_MS,
        ..Faults::default()
    }
}

fn stamp_of(host: &Host, name: &str) -> Option<u64> {
    let entries: Vec<Entry> = host.peers.exchange().scan(Space::Config, name);
    let entry = entries.into_iter().find(|entry| *entry.name == *name);
    entry.map(|entry| entry.stamp)
}
