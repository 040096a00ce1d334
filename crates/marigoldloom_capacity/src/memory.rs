//! Heap bytes per record, member, upstream and connection.

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

/// Upstreams at the target.
pub const TARGET: usize = 5_300;

/// Measures the state of one instance with these numbers of upstreams, and with as many
/// members as the target's ratio gives.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "memory",
        unit: "upstreams",
        target: TARGET,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(upstreams: usize) -> Row {
    let members = (upstreams * 1_300 / TARGET).max(1);
    let records = records::all(upstreams, members);
    let (map, records_bytes) = cost::heap(|| config_map(&records));
    let (membership, members_bytes) = cost::heap(|| member_map(members));
    let (builder, topology_bytes) = cost::heap(|| build(&records));
    let (table, health_bytes) = cost::heap(|| follow(&builder.1));
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

/// The shared map's configuration, as an instance holds it.
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

/// The shared map's member entries and the members read from them, as the store holds both.
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

/// The builder and the topology in force.
fn build(records: &[AnyRecord]) -> (topology::Builder, Arc<topology::Topology>) {
    let mut builder = topology::Builder::new(&records::domain_name(0));
    records
        .iter()
        .for_each(|record| builder.set(record.clone()));
    let topology = builder.build();
    (builder, topology)
}

fn follow(topology: &topology::Topology) -> health::table::Table {
    let table = health::table::Table::new(health::Observation::default());
    table.update(Timestamp::ZERO, topology);
    table
}
