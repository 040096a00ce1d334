//! Incremental updates of home sets and lease voters: a change of one service must not recompute
//! those of all services, and reuse must not keep outdated ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use marigoldloom_daemon::homes::{Homes, LeaseVoters};
use marigoldloom_records::record::{self, AnyRecord};
use marigoldloom_records::{instance, service, upstream};
use marigoldloom_routing::home::Candidate;
use marigoldloom_routing::topology::{Builder, Topology};

const SERVICES: usize = 5;
const SHARDS: usize = 4;

fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        name: Arc::from(format!("i{index:03}")),
        domain: Arc::from(format!("d{}", index % 3)),
    };
    (0..count).map(candidate).collect()
}

fn service(number: usize) -> AnyRecord {
    let version = service::Version {
        shards: SHARDS as u32,
        epoch: 1,
    };
    AnyRecord::Service(service::Service {
        schema: record::SCHEMA,
        name: format!("s{number}"),
        active: "v1".to_owned(),
        versions: BTreeMap::from([("v1".to_owned(), version)]),
        routes: BTreeMap::new(),
        deadline_ms: 280,
        extra: record::Extra::new(),
    })
}

fn upstream(service: usize, shard: usize, connections: u32) -> AnyRecord {
    AnyRecord::Upstream(upstream::Upstream {
        schema: record::SCHEMA,
        name: format!("u{service}-{shard}"),
        service: format!("s{service}"),
        version: "v1".to_owned(),
        epoch: 1,
        shards: vec![shard as u32],
        domain: format!("d{}", shard % 3),
        address: SocketAddr::from(([10, 0, service as u8, shard as u8], 80)),
        slots: 3,
        cold_slots: 2,
        connections,
        state: instance::State::Live,
        extra: record::Extra::new(),
    })
}

fn builder() -> Builder {
    let mut builder = Builder::new("d0");
    for number in 0..SERVICES {
        builder.set(service(number));
        (0..SHARDS).for_each(|shard| builder.set(upstream(number, shard, 30)));
    }
    builder
}

/// Whether the current home sets equal those computed from scratch.
fn are_up_to_date(homes: &Homes, topology: &Topology, candidates: &[Candidate]) -> bool {
    let fresh = Homes::default();
    fresh.update(topology, candidates);
    let names = topology.services().keys();
    names.into_iter().all(|n| homes.get(n) == fresh.get(n))
}

#[test]
fn home_sets_are_recomputed_only_if_their_inputs_changed() {
    struct Case {
        name: &'static str,
        record: Option<AnyRecord>,
        instances: usize,
        computed: usize,
    }
    let case = |name, record, instances, computed| Case {
        name,
        record,
        instances,
        computed,
    };
    let cases = [
        case("first", None, 40, SERVICES),
        case("no change", None, 40, 0),
        case("same cap", Some(upstream(1, 0, 31)), 40, 0),
        case("lower cap", Some(upstream(1, 0, 10)), 40, 1),
        case("cap back", Some(upstream(1, 0, 30)), 40, 1),
        case("member lost", None, 39, SERVICES),
        case("new service", Some(service(SERVICES)), 39, 1),
    ];
    let (homes, mut builder) = (Homes::default(), builder());
    for case in cases {
        set_record(&mut builder, case.record);
        let (topology, candidates) = (builder.build(), candidates(case.instances));
        let computed = homes.update(&topology, &candidates);
        assert_eq!(computed, case.computed, "{}", case.name);
        assert!(
            are_up_to_date(&homes, &topology, &candidates),
            "{}",
            case.name
        );
    }
}

#[test]
fn voters_are_chosen_only_if_their_inputs_changed() {
    let (mut lease_voters, mut builder) = (LeaseVoters::default(), builder());
    let steps = [
        ("first", None, 40, SERVICES * SHARDS),
        ("no change", None, 40, 0),
        ("one upstream", Some(upstream(2, 1, 25)), 40, SHARDS),
        ("instance lost", None, 39, SERVICES * SHARDS),
    ];
    let mut current = BTreeMap::new();
    for (name, record, count, changed) in steps {
        set_record(&mut builder, record);
        let (topology, instances) = (builder.build(), candidates(count));
        let voters = lease_voters.update(&topology, &instances);
        assert_eq!(voters.len(), changed, "{name}");
        current.extend(voters);
        let fresh = LeaseVoters::default().update(&topology, &instances);
        assert_eq!(current, fresh, "{name}");
    }
}

/// Guards against voters outside an isolated failure domain: its instances alone must be able to
/// warm up its upstreams.
#[test]
fn voters_are_in_the_failure_domain_of_the_upstream_if_it_has_instances() {
    let topology = builder().build();
    let all = candidates(40);
    let few: Vec<Candidate> = all.iter().filter(|c| *c.domain != *"d1").cloned().collect();
    for (instances, has_d1) in [(&all, true), (&few, false)] {
        let voters = LeaseVoters::default().update(&topology, instances);
        let names: BTreeMap<_, _> = instances.iter().map(|c| (&c.name, &c.domain)).collect();
        let domains: BTreeSet<_> = voters["u0-1"].iter().map(|v| &**names[v]).collect();
        assert_eq!(domains == BTreeSet::from(["d1"]), has_d1);
        assert_eq!(voters["u0-1"].len(), 5);
    }
}

fn set_record(builder: &mut Builder, record: Option<AnyRecord>) {
    record.into_iter().for_each(|r| builder.set(r));
}
