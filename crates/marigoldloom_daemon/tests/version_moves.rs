//! Capacity limits of version moves and recipients of their evidence.

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
    /// Availability of the new version's upstreams: one string per shard with one letter per replica,
    /// see [`health`].
    shards: &'static [&'static str],
    expected: u64,
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

/// Builds a service whose version v1 has two shards with two replicas each and whose version v2 has
/// the replicas of `case`.
fn build_service(case: &Case) -> Arc<ServiceView> {
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

/// Returns the availability given by the first letter of an upstream's name; `None` for other
/// letters, as for an upstream that the instance never contacted.
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
        resumes_at: None,
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

/// Guards against a traffic share that the new version's warm upstreams can't carry, against a cold
/// version that gets no traffic and so never becomes warm, and against slow replies of cold
/// upstreams that count against the version.
#[test]
fn capacity_is_limited_by_the_shard_with_the_fewest_slots() {
    let cases = [
        Case {
            name: "all warm",
            shards: &["rr", "rr"],
            expected: 1_000,
            cold: false,
        },
        Case {
            name: "more than needed",
            shards: &["rrr", "rrr"],
            expected: 1_000,
            cold: false,
        },
        Case {
            name: "all cold",
            shards: &["cc", "cc"],
            expected: 333,
            cold: true,
        },
        Case {
            name: "never seen",
            shards: &["nn", "nn"],
            expected: 333,
            cold: true,
        },
        Case {
            name: "one cold replica",
            shards: &["rr", "rc"],
            expected: 666,
            cold: false,
        },
        Case {
            name: "one ejected replica",
            shards: &["er", "rr"],
            expected: 500,
            cold: false,
        },
        Case {
            name: "a probe carries no traffic",
            shards: &["rr", "pp"],
            expected: 0,
            cold: false,
        },
        Case {
            name: "a shard without replicas",
            shards: &["rr", ""],
            expected: 0,
            cold: true,
        },
        Case {
            name: "other number of shards",
            shards: &["rr", "rr", "cr"],
            expected: 666,
            cold: false,
        },
    ];
    for case in cases {
        let actual = capacity::per_mille(&build_service(&case), "v1", "v2", health);
        assert_eq!(actual, case.expected, "{}", case.name);
        let cold = capacity::is_cold(&build_service(&case), "v2", health);
        assert_eq!(cold, case.cold, "{}", case.name);
    }
}

/// Guards against a division by zero, and against a move that is stuck on a version without
/// upstreams.
#[test]
fn old_version_without_upstreams_needs_no_capacity() {
    let case = Case {
        name: "",
        shards: &["rr"],
        expected: 1_000,
        cold: false,
    };
    let actual = capacity::per_mille(&build_service(&case), "v0", "v2", health);
    assert_eq!(actual, case.expected);
}

/// Guards against sending evidence of moves that have ended.
#[test]
fn only_running_moves_have_evidence_recipients() {
    let home: Vec<Arc<str>> = vec!["i1".into(), "i2".into()];
    let cases = [
        (Phase::Running, home.clone()),
        (Phase::Done, vec![]),
        (Phase::TakenBack, vec![]),
    ];
    for (phase, expected) in cases {
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
        let actual = config::evidence_recipients(&record, || home.clone());
        assert_eq!(actual, expected, "{phase:?}");
    }
}
