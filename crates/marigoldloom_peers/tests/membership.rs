//! Tests of failure detection with crashes, leaving instances, message loss, pauses and partitions.

mod fleet;

use fleet::{Fleet, millis, secs};
use marigoldloom_peers::membership::State;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

/// Whether `wanted` is true of the state of member `of` in the map of every other instance that
/// isn't in `except`.
fn others_see(fleet: &Fleet, of: usize, except: &[usize], wanted: fn(State) -> bool) -> bool {
    (0..fleet.instances.len())
        .filter(|index| *index != of && !except.contains(index))
        .all(|index| fleet.state(index, of).is_some_and(wanted))
}

fn all_alive(fleet: &Fleet) -> bool {
    (0..fleet.instances.len()).all(|of| others_see(fleet, of, &[], |s| s == State::Alive))
}

/// Guards against instances that don't find each other, and against slow detection of a crash.
#[test]
fn crash_is_known_within_three_seconds() {
    for seed in 0..100 {
        let took = virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            assert!(all_alive(&fleet), "seed {seed}");
            rt.sleep(millis(rt.random() % 1_000)).await;
            fleet.kill(5, seed % 2 == 0);
            fleet
                .wait(secs(10), |f| others_see(f, 5, &[], |s| s == State::Down))
                .await
        });
        assert!(took.is_some_and(|t| t <= secs(3)), "seed {seed}: {took:?}");
    }
}

/// Guards against the loss of a failure domain being detected one member after the other.
#[test]
fn loss_of_a_domain_is_known_within_five_seconds() {
    for seed in 0..20 {
        let took = virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 24, 3).await;
            rt.sleep(millis(rt.random() % 1_000)).await;
            let lost: Vec<usize> = (0..24).filter(|index| index % 3 == 1).collect();
            lost.iter().for_each(|index| fleet.kill(*index, true));
            let is_down = |f: &Fleet, of| others_see(f, of, &lost, |s| s == State::Down);
            fleet
                .wait(secs(20), |f| lost.iter().all(|of| is_down(f, *of)))
                .await
        });
        assert!(took.is_some_and(|t| t <= secs(5)), "seed {seed}: {took:?}");
    }
}

/// Guards against a leaving instance that others consider alive for longer than 3 s.
#[test]
fn leaving_instance_is_known_within_three_seconds() {
    for seed in 0..100 {
        let took = virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            let leaving = fleet.instances[2].clone();
            let (peers, rt) = (leaving.peers, leaving.rt);
            rt.spawn(async move { peers.leave().await });
            fleet
                .wait(secs(10), |f| others_see(f, 2, &[], |s| s == State::Leaving))
                .await
        });
        assert!(took.is_some_and(|t| t <= secs(3)), "seed {seed}: {took:?}");
    }
}

/// Guards against members that are declared down because messages are lost.
#[test]
fn message_loss_causes_no_false_down() {
    for seed in 0..20 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            fleet.set_loss(5);
            for _ in 0..600 {
                rt.sleep(millis(200)).await;
                assert!(!has_down(&fleet), "seed {seed}");
            }
        });
    }
}

fn has_down(fleet: &Fleet) -> bool {
    let count = fleet.instances.len();
    (0..count).any(|of| (0..count).any(|by| fleet.state(by, of) == Some(State::Down)))
}

/// Guards against a process that declares all other members suspect after a pause, because its
/// probes timed out meanwhile.
#[test]
fn paused_instance_spreads_no_suspicion() {
    for seed in 0..50 {
        let (suspected, healed) = virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            fleet.instances[4].rt.pause();
            rt.sleep(millis(700 + seed * 200)).await;
            fleet.instances[4].rt.resume();
            let suspected = fleet
                .wait(secs(5), |f| {
                    let others = (0..8).filter(|of| *of != 4);
                    let bad = |of| matches!(f.state(4, of), Some(State::Suspect | State::Down));
                    others.clone().any(bad)
                })
                .await;
            (suspected, fleet.wait(secs(5), all_alive).await)
        });
        assert_eq!(suspected, None, "seed {seed}");
        assert!(healed.is_some(), "seed {seed}");
    }
}

/// Guards against members that are declared down because their process was paused for 1 s.
#[test]
fn short_pauses_cause_no_false_down() {
    for seed in 0..20 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            for round in 0..20 {
                let member = &fleet.instances[round % 8];
                member.rt.pause();
                for _ in 0..10 {
                    rt.sleep(millis(100)).await;
                    assert!(!has_down(&fleet), "seed {seed}, round {round}");
                }
                member.rt.resume();
                for _ in 0..20 {
                    rt.sleep(millis(100)).await;
                    assert!(!has_down(&fleet), "seed {seed}, round {round}");
                }
            }
        });
    }
}

/// Guards against two parts of the fleet that don't merge again after a long partition.
#[test]
fn partition_of_an_hour_heals() {
    for seed in 0..3 {
        let (split, healed) = virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            fleet.partition(&[("d0", 1)]);
            let split = fleet
                .wait(secs(20), |f| {
                    others_see(f, 0, &[3, 6], |s| s == State::Down)
                })
                .await;
            rt.sleep(secs(3_600)).await;
            fleet.partition(&[]);
            (split, fleet.wait(secs(30), all_alive).await)
        });
        assert!(split.is_some(), "seed {seed}");
        assert!(
            healed.is_some_and(|t| t <= secs(10)),
            "seed {seed}: {healed:?}"
        );
    }
}
