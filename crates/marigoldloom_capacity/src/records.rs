//! Creates configuration records with the proportions of the target size, in any number.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use marigoldloom_platform::object::Key;
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_records::record::{self, AnyRecord, Kind, Record};
use marigoldloom_records::{instance, service, upstream};

/// Upstreams that receive a subquery of one query, at the target size.
pub const FAN_OUT: usize = 53;

/// Number of failure domains at the target size.
pub const DOMAINS: usize = 6;

/// Connection limit of an upstream, from the example of the design page.
pub const CONNECTIONS: u32 = 30;

/// Returns the name of the instance with this number.
pub fn instance_name(index: usize) -> String {
    format!("instance-{index:05}")
}

/// Returns the failure domain of the instance or upstream with this number.
pub fn domain_name(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Returns the name of the service with this number.
pub fn service_name(index: usize) -> String {
    format!("service-{index:04}")
}

/// Returns an address that is different for each number.
pub fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

/// Returns the record of the service with this number.
pub fn service(index: usize) -> service::Service {
    let shards = u32::try_from(FAN_OUT).unwrap_or(u32::MAX);
    let version = service::Version { shards, epoch: 1 };
    let route = |name: &str, idempotent| (name.to_owned(), service::Route { idempotent });
    service::Service {
        schema: record::SCHEMA,
        name: service_name(index),
        active: "v1".to_owned(),
        versions: BTreeMap::from([("v1".to_owned(), version)]),
        routes: BTreeMap::from([route("search", true), route("book", false)]),
        deadline_ms: 280,
        extra: record::Extra::new(),
    }
}

/// Returns the record of the upstream with this number, which serves shard `index mod 53` of
/// service `index / 53`.
pub fn upstream(index: usize) -> upstream::Upstream {
    upstream::Upstream {
        schema: record::SCHEMA,
        name: format!("upstream-{index:05}"),
        service: service_name(index / FAN_OUT),
        version: "v1".to_owned(),
        epoch: 1,
        shards: vec![u32::try_from(index % FAN_OUT).unwrap_or(0)],
        domain: domain_name(index),
        address: address(1_000_000 + index),
        slots: 3,
        cold_slots: 2,
        connections: CONNECTIONS,
        state: instance::State::Live,
        extra: record::Extra::new(),
    }
}

/// Returns the record of the instance with this number.
pub fn instance(index: usize) -> instance::Instance {
    instance::Instance {
        schema: record::SCHEMA,
        name: instance_name(index),
        domain: domain_name(index),
        peer: address(index),
        state: instance::State::Live,
        extra: record::Extra::new(),
    }
}

/// Returns the records of `upstreams` upstreams, their services and `instances` instances.
pub fn all(upstreams: usize, instances: usize) -> Vec<AnyRecord> {
    let services = (0..upstreams.div_ceil(FAN_OUT)).map(|i| AnyRecord::Service(service(i)));
    let upstreams = (0..upstreams).map(|i| AnyRecord::Upstream(upstream(i)));
    let instances = (0..instances).map(|i| AnyRecord::Instance(instance(i)));
    services.chain(upstreams).chain(instances).collect()
}

/// Returns the key and the value of the platform object that stores a record.
pub fn object(record: &AnyRecord) -> (Key, serde_json::Value) {
    match record {
        AnyRecord::Service(r) => encode(r),
        AnyRecord::FailureDomain(r) => encode(r),
        AnyRecord::Upstream(r) => encode(r),
        AnyRecord::Instance(r) => encode(r),
        AnyRecord::VersionMove(r) => encode(r),
    }
}

fn encode<T: Record + serde::Serialize>(record: &T) -> (Key, serde_json::Value) {
    let kind: Kind = T::KIND;
    let value = serde_json::to_value(record).unwrap_or_default();
    (Key::new(kind.as_str(), record.name()), value)
}

/// Writes records to a platform. Failed writes are ignored: they leave records missing, which the
/// measures notice because instances wait for the last one.
pub async fn write(platform: &impl Platform, records: &[AnyRecord]) {
    for record in records {
        let (key, value) = object(record);
        platform.put(&key, &value, Condition::Any).await.ok();
    }
}
