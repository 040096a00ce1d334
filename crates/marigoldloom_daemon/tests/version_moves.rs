//! Guards how the daemon bounds a version move and where its evidence goes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_daemon::{capacity, config};
use marigoldloom_records::record::AnyRecord;
use marigoldloom_records::version_move::{Intent, Phase, Status, VersionMove};
use marigoldloom_records::{instance, service, upstream};
use marigoldloom_routing::health::{Availability, View};
use marigoldloom_routing::topology::{Builder, ServiceView};
use marigoldloom_runtime::time::WallTime;

const SLOTS: u32 = 3;
const COLD_SLOTS: u32 = 1;

struct Case {
    name: &'static str,
    /// Availability of the new version's upstreams, one string per shard.
    shards: &'static [&'static str],
    wanted: u64,
    cold: bool,
}

fn version(shards: u32) -> service::Version {
    service::Version { shards, epoch: 1 }
}

fn replica(name: &str, version: &str, shard: u32) -> AnyRecord {
    AnyRecord::Upstream(upstream::Upstream {
        schema: 1,
        name: name.to_owned(),
        service: "index".to_owned(),
        version: version.to_owned(),
        epoch: 1,
        shards: vec![shard],
        domain: "riga".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        slots: SLOTS,
        cold_slots: COLD_SLOTS,
        connections: 25,
        state: instance::State::Live,
        extra: BTreeMap::default(),
    })
}

/// A service whose version v1 has two shards with two replicas each.
fn build(case: &Case) -> Arc<ServiceView> {
    let mut builder = Builder::new("riga");
    let shards = u32::try_from(case.shards.len()).unwrap();
    builder.set(AnyRecord::Service(service::Service {
        schema: 1,
        name: "index".to_owned(),
        active: "v1".to_owned(),
        versions: [
            ("v1".to_owned(), version(2)),
            ("v2".to_owned(), version(shards)),
        ]
        .into(),
        routes: BTreeMap::new(),
        deadline_ms: 1_000,
        extra: BTreeMap::default(),
    }));
    for (shard, copy) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
        builder.set(replica(&format!("old-{shard}-{copy}"), "v1", shard));
    }
    for (shard, availabilities) in (0..).zip(case.shards) {
        for (copy, availability) in availabilities.chars().enumerate() {
            builder.set(replica(
                &format!("{availability}-{shard}-{copy}"),
                "v2",
                shard,
            ));
        }
    }
    let topology = builder.build();
    Arc::clone(topology.service("index").unwrap())
}

/// The availability that the first letter of an upstream's name says; none if never seen.
fn health(upstream: &str) -> Option<View> {
    let availability = match upstream.chars().next()? {
        'r' => Availability::Ready,
        'c' => Availability::Cold,
        'e' => Availability::Ejected,
        'p' => Availability::Probe,
        _ => return None,
    };
    Some(View {
        start_id: None,
        in_flight: 0,
        latency: Duration::ZERO,
        silence: Duration::ZERO,
        failure_rate: 0.0,
        availability,
        cold: availability == Availability::Cold,
        shedding: false,
        answered_recently: false,
        reported_load: 0.0,
    })
}

/// Guards against steps that the new version's warm upstreams can't carry, against a cold
/// version that gets no traffic and so never becomes warm, and against slow replies of cold
/// upstreams that count against the version.
#[test]
fn capacity_is_that_of_the_weakest_shard() {
    let cases = [
        Case {
            name: "all warm",
            shards: &["rr", "rr"],
            wanted: 1_000,
            cold: false,
        },
        Case {
            name: "more than needed",
            shards: &["rrr", "rrr"],
            wanted: 1_000,
            cold: false,
        },
        Case {
            name: "all cold",
            shards: &["cc", "cc"],
            wanted: 333,
            cold: true,
        },
        Case {
            name: "never seen",
            shards: &["nn", "nn"],
            wanted: 333,
            cold: true,
        },
        Case {
            name: "one cold replica",
            shards: &["rr", "rc"],
            wanted: 666,
            cold: false,
        },
        Case {
            name: "one ejected replica",
            shards: &["er", "rr"],
            wanted: 500,
            cold: false,
        },
        Case {
            name: "a probe carries no traffic",
            shards: &["rr", "pp"],
            wanted: 0,
            cold: false,
        },
        Case {
            name: "a shard without replicas",
            shards: &["rr", ""],
            wanted: 0,
            cold: true,
        },
        Case {
            name: "other number of shards",
            shards: &["rr", "rr", "cr"],
            wanted: 666,
            cold: false,
        },
    ];
    for case in cases {
        let got = capacity::per_mille(&build(&case), "v1", "v2", health);
        assert_eq!(got, case.wanted, "{}", case.name);
        let cold = capacity::is_cold(&build(&case), "v2", health);
        assert_eq!(cold, case.cold, "{}", case.name);
    }
}

/// Guards against a division by zero, and a move that can't leave a version that is gone.
#[test]
fn version_without_upstreams_needs_nothing() {
    let case = Case {
        name: "",
        shards: &["rr"],
        wanted: 1_000,
        cold: false,
    };
    let got = capacity::per_mille(&build(&case), "v0", "v2", health);
    assert_eq!(got, case.wanted);
}

/// Guards against evidence of ended moves that is still sent.
#[test]
fn only_running_moves_have_recipients() {
    let home: Vec<Arc<str>> = vec!["i1".into(), "i2".into()];
    let cases = [
        (Phase::Running, home.clone()),
        (Phase::Done, vec![]),
        (Phase::TakenBack, vec![]),
    ];
    for (phase, wanted) in cases {
        let record = VersionMove {
            schema: 1,
            name: "to-v2".to_owned(),
            service: "index".to_owned(),
            from: "v1".to_owned(),
            to: "v2".to_owned(),
            start_ms: WallTime(0),
            deadline_ms: WallTime(1),
            intent: Intent::Proceed,
            status: Status {
                phase,
                ..Status::default()
            },
            extra: BTreeMap::default(),
        };
        let got = config::recipients(&record, || home.clone());
        assert_eq!(got, wanted, "{phase:?}");
    }
}
