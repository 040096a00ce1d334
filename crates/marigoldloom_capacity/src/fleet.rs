//! Simulated fleet of instances on virtual time, with an in-memory platform.

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

/// Time in which the instances of a new fleet discover each other and receive the configuration.
const DISCOVERY_TIME: Duration = Duration::from_secs(10);

/// Duration of a platform call in milliseconds.
const PLATFORM_MS: u64 = 4;

/// Number of instances that a new instance contacts first.
const SEED_COUNT: usize = 3;

/// Interval at which [`Fleet::wait_for`] checks the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct Host {
    rt: VirtualRuntime,
    peers: NetPeers,
}

/// Instances with their network, their platform and their clock.
pub struct Fleet {
    /// Virtual clock and executor.
    pub rt: VirtualRuntime,
    /// Platform from which the instances read the configuration.
    pub platform: MemoryPlatform<VirtualRuntime>,
    net: Net,
    hosts: BTreeMap<usize, Host>,
}

/// Traffic of all instances together, and of the busiest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetTraffic {
    /// Sum over all instances.
    pub sum: Traffic,
    /// Bytes that the busiest instance sent and received.
    pub busiest_bytes: usize,
}

impl Fleet {
    /// Starts `count` instances and waits until they have discovered each other. The
    /// configuration has `upstreams` upstreams and as many instance records as the ratio at the
    /// target size gives, 1,300 to 5,300 upstreams.
    pub async fn start(rt: &VirtualRuntime, count: usize, upstreams: usize) -> Self {
        let platform = MemoryPlatform::new(rt.clone());
        let instances = upstreams * 1_300 / 5_300;
        records::write(&platform, &records::all(upstreams, instances)).await;
        platform.set_faults(normal_platform());
        let mut fleet = Self {
            rt: rt.clone(),
            platform,
            net: Net::new(rt),
            hosts: BTreeMap::new(),
        };
        (0..count).for_each(|index| fleet.start_instance(index));
        rt.sleep(DISCOVERY_TIME).await;
        fleet
    }

    /// Starts the instance with this number.
    pub fn start_instance(&mut self, index: usize) {
        let identity = Identity {
            name: Arc::from(records::instance_name(index)),
            domain: Arc::from(records::domain_name(index)),
            address: records::address(index),
        };
        let rt = self.rt.fork();
        let net = self.net.handle(identity.address);
        let config = Config {
            identity,
            seeds: (0..SEED_COUNT).map(records::address).collect(),
            events: event::Events::new(),
        };
        let platform = self.platform.client();
        let peers = Peers::start(rt.clone(), net.clone(), platform, Echo, config);
        net.connect(&rt, &peers);
        self.hosts.insert(index, Host { rt, peers });
    }

    /// Stops an instance. If `graceful`, it announces its leave first; otherwise its process is
    /// killed without notice.
    pub async fn stop_instance(&mut self, index: usize, graceful: bool) {
        let Some(host) = self.hosts.remove(&index) else {
            return;
        };
        if graceful {
            host.peers.leave().await;
        }
        self.net.disconnect(records::address(index));
        host.rt.kill();
    }

    /// Returns the number of running instances.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether no instance is running.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Writes the record of service 0 with a deadline that depends on `number`. Returns the
    /// record's name in the shared map and its revision.
    pub async fn write_change(&self, number: u64) -> (String, u64) {
        let mut service = records::service(0);
        service.deadline_ms = 280 + number;
        let record = marigoldloom_records::record::AnyRecord::Service(service);
        let (key, value) = records::object(&record);
        let written = self.platform.put(&key, &value, Condition::Any).await;
        (key.to_string(), written.map_or(0, |o| o.revision.0))
    }

    /// Waits until every instance has revision `stamp` or a newer one of the entry `name`.
    /// Returns the time that this took, or `None` if it took longer than `limit`.
    pub async fn wait_for(&self, name: &str, stamp: u64, limit: Duration) -> Option<Duration> {
        let start = self.rt.now();
        let mut outdated: Vec<&Host> = self.hosts.values().collect();
        while self.rt.now().since(start) <= limit {
            outdated.retain(|host| entry_stamp(host, name).is_none_or(|held| held < stamp));
            if outdated.is_empty() {
                return Some(self.rt.now().since(start));
            }
            self.rt.sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns the number of configuration entries that an instance has.
    pub fn config_entries(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        host.map_or(0, |h| h.peers.exchange().scan(Space::Config, "").len())
    }

    /// Returns the number of members that an instance knows, in any state.
    pub fn members(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        host.map_or(0, |h| h.peers.members().len())
    }

    /// Returns the number of members that an instance considers alive, including itself.
    pub fn live_members(&self, index: usize) -> usize {
        let host = self.hosts.get(&index);
        let members = host.map_or_else(Vec::new, |h| h.peers.members());
        members.iter().filter(|m| m.state == State::Alive).count()
    }

    /// Returns the numbers of the running instances.
    pub fn indices(&self) -> impl Iterator<Item = usize> {
        self.hosts.keys().copied()
    }

    /// Makes calls to stopped instances get no reply, as after the failure of their hosts or
    /// switches.
    pub fn set_silent(&self) {
        self.net.set_silent();
    }

    /// Partitions the network. `group` returns the partition of a failure domain.
    pub fn partition(&self, group: impl Fn(usize) -> usize) {
        let partition = |index: usize| (records::address(index), group(index % records::DOMAINS));
        self.net.partition(self.indices().map(partition).collect());
    }

    /// Returns the traffic since the last call.
    pub fn take_traffic(&self) -> FleetTraffic {
        let mut total = FleetTraffic::default();
        for traffic in self.net.take_traffic() {
            total.sum.sent += traffic.sent;
            total.sum.received += traffic.received;
            total.sum.messages += traffic.messages;
            total.busiest_bytes = total.busiest_bytes.max(traffic.sent + traffic.received);
        }
        total
    }
}

/// Returns the platform's settings in normal operation, in which each call takes a few
/// milliseconds.
pub fn normal_platform() -> Faults {
    Faults {
        delay_ms: PLATFORM_MS,
        ..Faults::default()
    }
}

fn entry_stamp(host: &Host, name: &str) -> Option<u64> {
    let entries: Vec<Entry> = host.peers.exchange().scan(Space::Config, name);
    let entry = entries.into_iter().find(|entry| *entry.name == *name);
    entry.map(|entry| entry.stamp)
}
