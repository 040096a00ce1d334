//! Heap bytes of an instance's state: configuration records, members, topology and health.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_peers::membership::{Identity, Member, State};
use marigoldloom_peers::shared_map::SharedMap;
use marigoldloom_records::record::AnyRecord;
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::time::{Timestamp, WallTime};

use crate::cost;
use crate::records;
use crate::report::{Report, Row};

/// Upstreams at the target size.
pub const TARGET_UPSTREAMS: usize = 5_300;

/// Measures the state of one instance for each number of upstreams in `sizes`, with as many members
/// as the ratio at the target size gives.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "memory",
        unit: "upstreams",
        target: TARGET_UPSTREAMS,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(upstreams: usize) -> Row {
    let members = (upstreams * 1_300 / TARGET_UPSTREAMS).max(1);
    let records = records::all(upstreams, members);
    let (map, records_bytes) = cost::heap(|| config_map(&records));
    let (membership, members_bytes) = cost::heap(|| member_map(members));
    let (builder, topology_bytes) = cost::heap(|| build_topology(&records));
    let (table, health_bytes) = cost::heap(|| health_table(&builder.1));
    drop((map, membership, builder, table));
    let count = records.len() as f64;
    Row::new(
        upstreams,
        [
            ("members", members as f64),
            ("records", count),
            ("config_bytes", records_bytes),
            ("config_bytes_per_record", records_bytes / count),
            ("member_bytes", members_bytes),
            ("member_bytes_per_member", members_bytes / members as f64),
            ("topology_bytes", topology_bytes),
            (
                "topology_bytes_per_upstream",
                topology_bytes / upstreams as f64,
            ),
            ("health_bytes", health_bytes),
            ("health_bytes_per_upstream", health_bytes / upstreams as f64),
        ],
    )
}

/// Returns a shared map with the configuration entries of an instance.
fn config_map(records: &[AnyRecord]) -> SharedMap {
    let mut map = SharedMap::new();
    for (stamp, record) in (1..).zip(records) {
        let (key, value) = records::object(record);
        let entry = Entry {
            space: Space::Config,
            name: Arc::from(key.to_string()),
            stamp,
            value: Some(Arc::from(value.to_string())),
            expires: None,
        };
        map.merge(entry, WallTime(0));
    }
    map
}

/// Returns a shared map with the member entries, and the members decoded from them. The store of
/// an instance keeps both.
fn member_map(count: usize) -> (SharedMap, BTreeMap<Arc<str>, Member>) {
    let mut map = SharedMap::new();
    let mut members = BTreeMap::new();
    for index in 0..count {
        let member = Member {
            identity: Identity {
                name: Arc::from(records::instance_name(index)),
                domain: Arc::from(records::domain_name(index)),
                address: records::address(index),
            },
            incarnation: 1_700_000_000_000,
            state: State::Alive,
        };
        let entry = member.entry(WallTime(0));
        let read = Member::from_entry(&entry);
        map.merge(entry, WallTime(0));
        members.extend(read.map(|m| (Arc::clone(&m.identity.name), m)));
    }
    (map, members)
}

/// Returns the topology and its builder, both of which an instance keeps.
fn build_topology(records: &[AnyRecord]) -> (topology::Builder, Arc<topology::Topology>) {
    let mut builder = topology::Builder::new(&records::domain_name(0));
    records
        .iter()
        .for_each(|record| builder.set(record.clone()));
    let topology = builder.build();
    (builder, topology)
}

fn health_table(topology: &topology::Topology) -> health::table::Table {
    let table = health::table::Table::new(health::Observation::default());
    table.update(Timestamp::ZERO, topology);
    table
}
