//! Tests the choice between the replicas of a shard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_records::service;
use marigoldloom_routing::choice::{self, Candidate};
use marigoldloom_routing::health::{Availability, View};
use marigoldloom_routing::topology;
use marigoldloom_upstream::upstream;

fn replica() -> topology::Replica {
    topology::Replica {
        version: Arc::from("v1"),
        target: upstream::Target {
            name: Arc::from("search-000-0"),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000)),
        },
        domain: Arc::from("far"),
        distance: topology::Distance::Remote,
        snapshot: service::Snapshot {
            version: "v1".to_owned(),
            epoch: 1,
        },
        shards: vec![0],
        slots: 2,
        cold_slots: 2,
        pace: None,
        start_pace: None,
        connections: 30,
        usable: true,
        born: None,
    }
}

/// Returns a replica at a distance.
fn replica_at(distance: topology::Distance) -> topology::Replica {
    topology::Replica {
        distance,
        ..replica()
    }
}

/// Returns a candidate without requests in flight and with an estimate of `latency` milliseconds.
fn candidate(
    replica: &topology::Replica,
    latency: u64,
    availability: Availability,
) -> Candidate<'_> {
    Candidate {
        replica,
        view: View {
            silence: Duration::ZERO,
            failure_rate: 0.0,
            start_id: None,
            resumes_at: None,
            in_flight: 0,
            latency: Duration::from_millis(latency),
            availability,
            cold: false,
            shedding: false,
            answered_recently: true,
            reported_load: 0.0,
        },
        cold_limit: 2,
        senders: 1,
        throttled: false,
    }
}

struct Case {
    name: &'static str,
    availability: Availability,
    cold: bool,
    answered_recently: bool,
    senders: u32,
    /// Expected maximum of requests in flight.
    limit: u32,
}

/// Guards against answers that lack a shard although its replicas are alive, and against too
/// many requests to replicas that are lost, cold, shared or may have restarted.
#[test]
fn request_limit_depends_on_availability() {
    let cases = [
        Case {
            name: "ready",
            availability: Availability::Ready,
            cold: false,
            answered_recently: true,
            senders: 1,
            limit: 8,
        },
        Case {
            name: "shared by two instances",
            availability: Availability::Ready,
            cold: false,
            answered_recently: true,
            senders: 2,
            limit: 4,
        },
        Case {
            name: "shared by many instances",
            availability: Availability::Ready,
            cold: false,
            answered_recently: true,
            senders: 12,
            limit: 2,
        },
        Case {
            name: "no recent reply",
            availability: Availability::Ready,
            cold: false,
            answered_recently: false,
            senders: 1,
            limit: 2,
        },
        Case {
            name: "ejected but replying",
            availability: Availability::Ejected,
            cold: false,
            answered_recently: true,
            senders: 1,
            limit: 8,
        },
        Case {
            name: "ejected and silent",
            availability: Availability::Ejected,
            cold: false,
            answered_recently: false,
            senders: 1,
            limit: 1,
        },
        Case {
            name: "ejected and cold",
            availability: Availability::Ejected,
            cold: true,
            answered_recently: true,
            senders: 1,
            limit: 1,
        },
    ];
    let replica = replica();
    for case in cases {
        for in_flight in 0..10 {
            let mut candidate = candidate(&replica, 20, case.availability);
            candidate.senders = case.senders;
            candidate.view.in_flight = in_flight;
            candidate.view.cold = case.cold;
            candidate.view.answered_recently = case.answered_recently;
            let chosen = choice::choose(&[candidate], || 1);
            let expected = (in_flight < case.limit).then_some(0);
            assert_eq!(chosen, expected, "{}: {in_flight} in flight", case.name);
        }
    }
}

/// Guards against requests to ejected replicas while another replica is ready.
#[test]
fn ejected_replica_is_chosen_last() {
    let replica = replica();
    let candidates =
        [Availability::Ejected, Availability::Ready].map(|s| candidate(&replica, 20, s));
    for random in 0..10 {
        assert_eq!(choice::choose(&candidates, || random), Some(1));
    }
}

/// Guards against needless traffic between regions: two random draws out of three replicas
/// would miss the only near one a third of the time.
#[test]
fn near_replica_is_always_considered() {
    let remote = replica_at(topology::Distance::Remote);
    for distance in [topology::Distance::Domain, topology::Distance::Region] {
        let near = replica_at(distance);
        let replicas = [&remote, &remote, &near, &remote];
        let candidates = replicas.map(|r| candidate(r, 20, Availability::Ready));
        for random in 0..100 {
            assert_eq!(choice::choose(&candidates, || random), Some(2));
        }
    }
}

/// Guards against a remote candidate that is preferred because its latency estimate is out of
/// date: the estimate starts low and decays while no requests are sent to the candidate.
#[test]
fn nearest_candidate_not_ejected_is_chosen() {
    let replicas = topology::Distance::ALL.map(replica_at);
    struct Case {
        name: &'static str,
        availabilities: [Availability; 3],
        chosen: Option<usize>,
    }
    let cases = [
        Case {
            name: "all ready",
            availabilities: [
                Availability::Ready,
                Availability::Ready,
                Availability::Ready,
            ],
            chosen: Some(0),
        },
        Case {
            name: "the near one ejected",
            availabilities: [
                Availability::Ejected,
                Availability::Ready,
                Availability::Ready,
            ],
            chosen: Some(1),
        },
        Case {
            name: "only the remote one ready",
            availabilities: [
                Availability::Ejected,
                Availability::Ejected,
                Availability::Ready,
            ],
            chosen: Some(2),
        },
        Case {
            name: "all ejected",
            availabilities: [Availability::Ejected; 3],
            chosen: None,
        },
    ];
    for case in cases {
        // Estimates in milliseconds: the farther the replica, the faster it seems.
        let latencies = [100, 10, 1];
        let candidates =
            [0, 1, 2].map(|i| candidate(&replicas[i], latencies[i], case.availabilities[i]));
        for random in 0..10 {
            let chosen = choice::choose_nearest(&candidates, || random);
            assert_eq!(chosen, case.chosen, "{}", case.name);
        }
    }
}
