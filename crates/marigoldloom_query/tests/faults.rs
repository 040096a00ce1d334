//! Tests single faults: crashing requests, failure domains that leave and return, leaving upstreams
//! and cold starts shared by instances. Also compares answers with those of the naive version.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_query::{engine, hooks, refusal};
use marigoldloom_records::{failure_domain, record};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::fake_fleet::{self, Mode};
use support::tier::SharedLeases;

const SECOND: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_millis(15);

fn world(rt: &support::Rt) -> support::World {
    let plan = fake_fleet::Plan::default();
    support::World::new(rt, plan, engine::Settings::default())
}

fn full(call: &support::Call) -> bool {
    call.result.as_ref().is_ok_and(|a| a.coverage.is_full())
}

/// Sends the crashing request 20 times, 100 ms after each refusal.
async fn resend_crashing(world: support::World, refusals: Arc<Mutex<Vec<refusal::Refusal>>>) {
    for number in 0..20 {
        let id = format!("crash-{number}");
        let request = world.request(&id, fake_fleet::CRASH_BODY, SECOND);
        let refusal = world.engine.run(&request).await.unwrap_err();
        refusals.lock().unwrap().push(refusal);
        world.rt.sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a request that crashes one upstream after the other. Without the canary its
/// first run takes down one replica of each shard; without strikes every resend crashes more.
#[test]
fn crashing_request_takes_down_a_handful() {
    let mut worst = 0;
    for seed in 0..100 {
        let (calls, crashes, refusals) = support::run(seed, |rt| async move {
            let world = world(&rt);
            world.warm_up().await;
            let refusals = Arc::default();
            for _ in 0..2 {
                rt.spawn(resend_crashing(world.clone(), Arc::clone(&refusals)));
            }
            let calls = world.drive("q", 200, GAP, SECOND).await;
            let refusals = refusals.lock().unwrap().clone();
            (calls, world.fleet.ledger().crashes, refusals)
        });
        worst = worst.max(crashes.len());
        assert!(crashes.len() <= 5, "seed {seed}: {crashes:?}");
        let answered = calls.iter().filter(|c| full(c)).count();
        assert!(
            answered >= 196,
            "seed {seed}: {answered} of 200 answered in full"
        );
        let last = refusals.last().expect("at least one request is refused");
        assert_eq!(last.kind, refusal::Kind::Quarantined, "seed {seed}");
        assert!(
            last.retry_after > Some(SECOND * 500),
            "seed {seed}: {last:?}"
        );
    }
    println!("most crashes in a run: {worst}");
}

/// Returns the names of the upstreams that received requests after `since`.
fn upstreams_reached(ledger: &fake_fleet::Ledger, since: Timestamp) -> BTreeSet<Arc<str>> {
    let later = ledger.entries.iter().filter(|e| e.at > since);
    later.map(|e| Arc::clone(&e.upstream)).collect()
}

/// Guards against new work in a failure domain that is out, and against treating it as warm when
/// it returns: all its upstreams have restarted by then.
#[test]
fn failure_domain_leaves_and_returns() {
    for seed in 0..50 {
        support::run(seed, move |rt| async move {
            let world = world(&rt);
            world.warm_up().await;
            world.publish([fake_fleet::domain(1, failure_domain::State::Out)]);
            // Requests sent before the change may still arrive while a connection is opened.
            let out = rt.now() + Duration::from_millis(10);
            let calls = world.drive("out", 100, GAP, SECOND).await;
            assert!(
                calls.iter().all(full),
                "seed {seed}: incomplete answers while a domain is out"
            );
            let topology = world.engine.topology().unwrap();
            let upstreams = topology.service("search").unwrap().upstreams().clone();
            let inside: Vec<_> = upstreams.values().filter(|r| !r.usable).collect();
            assert!(!inside.is_empty());
            let reached = upstreams_reached(&world.fleet.ledger(), out);
            for replica in &inside {
                assert!(!reached.contains(&replica.target.name), "seed {seed}");
                world.fleet.crash(&replica.target.name, Duration::ZERO);
            }
            world.publish([fake_fleet::domain(1, failure_domain::State::Active)]);
            let back = rt.now();
            world.drive("back", 200, GAP, SECOND).await;
            let ledger = world.fleet.ledger();
            assert_eq!(ledger.cold_excess, 0, "seed {seed}: cold capacity exceeded");
            let served = self::upstreams_reached(&ledger, back);
            let used = inside.iter().filter(|r| served.contains(&r.target.name));
            assert!(
                used.count() > 0,
                "seed {seed}: the returned domain gets no work"
            );
        });
    }
}

/// Guards against new work for upstreams that are leaving.
#[test]
fn leaving_upstream_gets_no_new_work() {
    for seed in 0..50 {
        support::run(seed, move |rt| async move {
            let world = world(&rt);
            world.warm_up().await;
            world.fleet.leave("search-002-0");
            world.publish([]);
            let left = rt.now() + Duration::from_millis(10);
            let calls = world.drive("q", 100, GAP, SECOND).await;
            assert!(calls.iter().all(full), "seed {seed}");
            let reached = upstreams_reached(&world.fleet.ledger(), left);
            assert!(!reached.contains("search-002-0"), "seed {seed}");
        });
    }
}

type SharingEngine = engine::Engine<
    support::Rt,
    support::Fleet,
    hooks::HookSet<hooks::ActiveVersion, SharedLeases, hooks::NoObserver>,
>;

/// Guards the lease on cold upstreams: without it, three instances that each keep to the cold slots
/// exceed them together. Also checks that each subquery ends within the lease.
#[test]
fn instances_share_cold_capacity() {
    for seed in 0..50 {
        let cold_excess = support::run(seed, |rt| async move {
            let world = world(&rt);
            let lease_table = Arc::default();
            for instance in 0..3 {
                let hooks = hooks::HookSet {
                    versions: hooks::ActiveVersion,
                    leases: SharedLeases::new(&rt, instance, &lease_table),
                    observer: hooks::NoObserver,
                };
                let settings = engine::Settings::default();
                let engine = SharingEngine::new(rt.clone(), world.fleet.clone(), hooks, settings);
                engine.apply(world.engine.topology().unwrap());
                for number in 0..60 {
                    let (engine, rt2) = (engine.clone(), rt.clone());
                    let id = format!("{instance}-{number}");
                    let mut request = world.request(&id, id.as_bytes(), SECOND);
                    let start = GAP * number;
                    request.deadline = request.deadline + start;
                    rt.spawn(async move {
                        rt2.sleep(start).await;
                        let _ = engine.run(&request).await;
                    });
                }
            }
            rt.sleep(SECOND * 3).await;
            let ledger = world.fleet.ledger();
            assert!(ledger.entries.iter().any(|e| e.answered));
            ledger.cold_excess
        });
        assert_eq!(cold_excess, 0, "seed {seed}: cold capacity exceeded");
    }
}

/// Compares answers with those of the naive version where both are full.
#[test]
fn answers_agree_with_naive_version() {
    let mut compared = 0;
    for seed in 0..50 {
        compared += support::run(seed, move |rt| async move {
            let world = world(&rt);
            world.warm_up().await;
            let names = world.fleet.names();
            let drawn = runtime::random_below(&rt, names.len() as u64) as usize;
            world.fleet.slow_down(&names[drawn], 10.0);
            world
                .fleet
                .set_mode(&names[(drawn + 3) % names.len()], Mode::Down);
            let calls = world.drive("naive", 50, GAP, SECOND).await;
            let naive = world.drive_naive(50, GAP, SECOND).await;
            let by_id: BTreeMap<_, _> = naive.iter().map(|c| (c.request.id.clone(), c)).collect();
            let both = calls
                .iter()
                .filter(|c| full(c) && full(by_id[&c.request.id]));
            both.map(|call| {
                let other = by_id[&call.request.id].result.as_ref().unwrap();
                let own = call.result.as_ref().unwrap();
                assert_eq!(own, other, "seed {seed}");
                1
            })
            .sum::<u32>()
        });
    }
    println!("{compared} answers compared");
    assert!(compared > 2_000, "{compared} answers compared");
}

/// Tests the validation of a request against its service record.
#[test]
fn wrong_requests_are_refused_as_not_run() {
    struct Case {
        service: &'static str,
        route: &'static str,
        kind: refusal::Kind,
    }
    let cases = [
        Case {
            service: "nothing",
            route: "find",
            kind: refusal::Kind::UnknownService,
        },
        Case {
            service: "search",
            route: "nothing",
            kind: refusal::Kind::UnknownRoute,
        },
        Case {
            service: "search",
            route: "book",
            kind: refusal::Kind::KeyRequired,
        },
    ];
    for case in cases {
        let refusal = support::run(1, move |rt| async move {
            let world = world(&rt);
            let mut request = world.request("q", b"q", SECOND);
            request.service = Arc::from(case.service);
            request.route = Arc::from(case.route);
            world.engine.run(&request).await.unwrap_err()
        });
        assert_eq!(refusal, refusal::Refusal::not_run(case.kind));
    }
}

/// Tests the JSON form of answers and refusals that callers rely on.
#[test]
fn answers_and_refusals_have_the_documented_form() {
    let answer = support::run(1, |rt| async move {
        let world = world(&rt);
        world.fleet.leave("search-007-0");
        world.fleet.leave("search-007-1");
        world.publish([] as [record::AnyRecord; 0]);
        let request = world.request("q", b"text", SECOND);
        world.engine.run(&request).await.unwrap()
    });
    let json = serde_json::to_value(&answer).unwrap();
    let missing = serde_json::json!([{"shard": 7, "reason": "no_replica"}]);
    assert_eq!(json["coverage"]["missing"], missing);
    assert_eq!(json["coverage"]["total"], 8);
    assert_eq!(
        json["snapshot"],
        serde_json::json!({"version": "v1", "epoch": 1})
    );
    let part = serde_json::json!({"shard": 0, "body": "v1/1/0:text"});
    assert_eq!(json["results"][0], part);
    assert_eq!(
        serde_json::from_value::<marigoldloom_query::answer::Answer>(json).unwrap(),
        answer
    );
    let refusal = refusal::Refusal::not_run(refusal::Kind::Overloaded).with_retry_after(SECOND);
    let expected = serde_json::json!({"error": {
        "kind": "overloaded",
        "message": "the limits on load leave no room for the request",
        "run": "not_run",
        "reason": null,
        "retry_after_ms": 1_000,
    }});
    assert_eq!(serde_json::to_value(refusal).unwrap(), expected);
}
