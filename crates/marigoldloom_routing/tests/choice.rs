//! Guards the choice between the replicas of a shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::service;
use marigoldloom_routing::choice::{self, Candidate};
use marigoldloom_routing::health::{Standing, View};
use marigoldloom_routing::topology;
use marigoldloom_upstream::upstream;

fn replica() -> topology::Replica {
    topology::Replica {
        target: upstream::Target {
            name: Arc::from("search-000-0"),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000)),
        },
        domain: Arc::from("far"),
        proximity: topology::Proximity::Remote,
        snapshot: service::Snapshot {
            version: "v1".to_owned(),
            epoch: 1,
        },
        shards: vec![0],
        slots: 2,
        cold_slots: 2,
        pace: None,
        connections: 30,
        usable: true,
    }
}

/// A replica at a distance.
fn at(proximity: topology::Proximity) -> topology::Replica {
    topology::Replica {
        proximity,
        ..replica()
    }
}

/// A candidate without requests in flight that has answered in `latency`.
fn candidate(replica: &topology::Replica, latency: u64, standing: Standing) -> Candidate<'_> {
    Candidate {
        replica,
        view: View {
            waiting: Duration::ZERO,
            failing: 0.0,
            start: None,
            in_flight: 0,
            latency: Duration::from_millis(latency),
            standing,
            cold: false,
            shedding: false,
            confirmed: true,
            reported: 0.0,
        },
        cold: 2,
        sharers: 1,
        paced: false,
    }
}

struct Case {
    name: &'static str,
    standing: Standing,
    cold: bool,
    confirmed: bool,
    sharers: u32,
    /// Requests in flight up to which it takes another.
    room: u32,
}

/// Guards against a shard that misses from answers although its replicas are alive, and
/// against load on replicas that are lost, cold, shared or may have restarted.
#[test]
fn room_follows_standing() {
    let cases = [
        Case {
            name: "ready",
            standing: Standing::Ready,
            cold: false,
            confirmed: true,
            sharers: 1,
            room: 8,
        },
        Case {
            name: "shared by two instances",
            standing: Standing::Ready,
            cold: false,
            confirmed: true,
            sharers: 2,
            room: 4,
        },
        Case {
            name: "shared by many instances",
            standing: Standing::Ready,
            cold: false,
            confirmed: true,
            sharers: 12,
            room: 2,
        },
        Case {
            name: "not heard of lately",
            standing: Standing::Ready,
            cold: false,
            confirmed: false,
            sharers: 1,
            room: 2,
        },
        Case {
            name: "ejected while it answers",
            standing: Standing::Ejected,
            cold: false,
            confirmed: true,
            sharers: 1,
            room: 8,
        },
        Case {
            name: "ejected and silent",
            standing: Standing::Ejected,
            cold: false,
            confirmed: false,
            sharers: 1,
            room: 1,
        },
        Case {
            name: "ejected and cold",
            standing: Standing::Ejected,
            cold: true,
            confirmed: true,
            sharers: 1,
            room: 1,
        },
    ];
    let replica = replica();
    for case in cases {
        for in_flight in 0..10 {
            let mut candidate = candidate(&replica, 20, case.standing);
            candidate.sharers = case.sharers;
            candidate.view.in_flight = in_flight;
            candidate.view.cold = case.cold;
            candidate.view.confirmed = case.confirmed;
            let chosen = choice::choose(&[candidate], || 1);
            let expected = (in_flight < case.room).then_some(0);
            assert_eq!(chosen, expected, "{}: {in_flight} in flight", case.name);
        }
    }
}

/// Guards against ejected replicas that get work while another replica is ready.
#[test]
fn ejected_replica_is_the_last_resort() {
    let replica = replica();
    let candidates = [Standing::Ejected, Standing::Ready].map(|s| candidate(&replica, 20, s));
    for random in 0..10 {
        assert_eq!(choice::choose(&candidates, || random), Some(1));
    }
}

/// Guards against bytes between regions that nobody needs: of three replicas, two draws without
/// regard to distance would miss the only near one each third time.
#[test]
fn near_replica_is_always_considered() {
    let remote = at(topology::Proximity::Remote);
    for proximity in [topology::Proximity::Domain, topology::Proximity::Region] {
        let near = at(proximity);
        let replicas = [&remote, &remote, &near, &remote];
        let candidates = replicas.map(|r| candidate(r, 20, Standing::Ready));
        for random in 0..100 {
            assert_eq!(choice::choose(&candidates, || random), Some(2));
        }
    }
}

/// Guards against a remote instance that is preferred because little is known of it: its estimate
/// starts low and falls while it isn't asked.
#[test]
fn nearest_candidate_that_answers_is_chosen() {
    let replicas = topology::Proximity::ALL.map(at);
    struct Case {
        name: &'static str,
        standings: [Standing; 3],
        chosen: Option<usize>,
    }
    let cases = [
        Case {
            name: "all ready",
            standings: [Standing::Ready, Standing::Ready, Standing::Ready],
            chosen: Some(0),
        },
        Case {
            name: "the near one ejected",
            standings: [Standing::Ejected, Standing::Ready, Standing::Ready],
            chosen: Some(1),
        },
        Case {
            name: "only the remote one ready",
            standings: [Standing::Ejected, Standing::Ejected, Standing::Ready],
            chosen: Some(2),
        },
        Case {
            name: "all ejected",
            standings: [Standing::Ejected; 3],
            chosen: None,
        },
    ];
    for case in cases {
        // The farther, the faster it seems.
        let latencies = [100, 10, 1];
        let candidates =
            [0, 1, 2].map(|i| candidate(&replicas[i], latencies[i], case.standings[i]));
        for random in 0..10 {
            let chosen = choice::choose_nearest(&candidates, || random);
            assert_eq!(chosen, case.chosen, "{}", case.name);
        }
    }
}
