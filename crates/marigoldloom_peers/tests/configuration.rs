//! Tests that a configuration change reaches every instance within 3 s and is never reverted.

mod fleet;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet::{Fleet, Instance, millis, secs};
use marigoldloom_peers::exchange::Space;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

/// Time within which a change must reach every instance.
const PROPAGATION_LIMIT: Duration = secs(3);

/// Counts the entries that an instance reports with a smaller stamp than before. Must stay 0.
#[derive(Clone, Default)]
struct RevertCounter(Arc<Mutex<u32>>);

impl RevertCounter {
    /// Subscribes to the accepted entries of all instances.
    fn watch(fleet: &Fleet) -> Self {
        let reverts = Self::default();
        for instance in &fleet.instances {
            reverts.follow(instance);
        }
        reverts
    }

    fn follow(&self, instance: &Instance) {
        let subscription = instance.peers.exchange().subscribe();
        let reverts = Arc::clone(&self.0);
        instance.rt.spawn(async move {
            let mut stamps = BTreeMap::new();
            loop {
                let entries = subscription.next().await;
                for entry in entries.iter().filter(|e| e.space == Space::Config) {
                    let before = stamps.insert(Arc::clone(&entry.name), entry.stamp);
                    *reverts.lock().unwrap() += u32::from(before > Some(entry.stamp));
                }
            }
        });
    }

    fn count(&self) -> u32 {
        *self.0.lock().unwrap()
    }
}

fn all_hold(fleet: &Fleet, name: &str, value: Option<&str>) -> bool {
    (0..fleet.instances.len()).all(|i| fleet.config(i, name).as_deref() == value)
}

/// Writes a service record and returns the time until all instances hold the value; `None` if it
/// exceeds [`PROPAGATION_LIMIT`].
async fn write_and_wait(fleet: &Fleet, name: &str, value: Option<&str>) -> Option<Duration> {
    fleet.platform.write(name, value);
    fleet
        .wait(PROPAGATION_LIMIT, |f| all_hold(f, name, value))
        .await
}

/// Guards against changes and deletions that reach an instance late or never.
#[test]
fn changes_are_in_force_within_the_bound() {
    for seed in 0..100 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            for value in [Some("1"), Some("2"), None, Some("3")] {
                rt.sleep(millis(rt.random() % 2_000)).await;
                let took = write_and_wait(&fleet, "search", value).await;
                assert!(took.is_some(), "seed {seed}: {value:?}");
            }
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against watchers that keep waiting on a connection that was lost silently.
#[test]
fn lost_watches_are_replaced() {
    for seed in 0..100 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            rt.sleep(millis(rt.random() % 2_000)).await;
            fleet.platform.drop_watch_connections();
            let took = write_and_wait(&fleet, "search", Some("1")).await;
            assert!(took.is_some(), "seed {seed}");
        });
    }
}

/// Guards against a platform outage after which changes don't arrive, during which the shared map
/// loses entries, or during which a restarted instance doesn't get the configuration.
#[test]
fn platform_outage_of_an_hour_loses_nothing() {
    for seed in 0..5 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let mut fleet = Fleet::start(&rt, 8, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            assert!(write_and_wait(&fleet, "search", Some("1")).await.is_some());
            fleet.platform.set_down(true);
            rt.sleep(secs(1_800)).await;
            fleet.kill(3, false);
            rt.sleep(secs(1)).await;
            fleet.restart(3);
            reverts.follow(&fleet.instances[3]);
            let learned =
                |f: &Fleet| f.instances[3].peers.is_ready() && all_hold(f, "search", Some("1"));
            assert!(
                fleet.wait(PROPAGATION_LIMIT, learned).await.is_some(),
                "seed {seed}"
            );
            rt.sleep(secs(1_800)).await;
            assert!(all_hold(&fleet, "search", Some("1")), "seed {seed}");
            fleet.platform.set_down(false);
            let took = write_and_wait(&fleet, "search", Some("2")).await;
            assert!(took.is_some(), "seed {seed}");
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against an instance that reports that it is ready without a configuration.
#[test]
fn no_instance_is_ready_without_a_configuration() {
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = Fleet::start_in_outage(&rt, 8, 3).await;
        rt.sleep(secs(60)).await;
        assert!(!fleet.instances.iter().any(|i| i.peers.is_ready()));
        fleet.platform.set_down(false);
        let ready = |f: &Fleet| f.instances.iter().all(|i| i.peers.is_ready());
        assert!(fleet.wait(secs(5), ready).await.is_some());
    });
}

/// Guards against a failure domain that misses changes while it can't reach either the other
/// instances or the platform, or after it could reach neither.
#[test]
fn cut_domain_learns_what_it_can() {
    for seed in 0..50 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 9, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            fleet.partition(&[("d2", 1)]);
            rt.sleep(secs(rt.random() % 8)).await;
            let took = write_and_wait(&fleet, "search", Some("1")).await;
            assert!(took.is_some(), "seed {seed}: cut off from instances");
            fleet.partition(&[]);
            fleet.platform.disconnect_domains(&["d2"]);
            rt.sleep(secs(8)).await;
            let took = write_and_wait(&fleet, "search", Some("2")).await;
            assert!(took.is_some(), "seed {seed}: cut off from the platform");
            fleet.partition(&[("d2", 1)]);
            fleet.platform.write("search", Some("3"));
            rt.sleep(secs(20)).await;
            let others = |f: &Fleet| {
                (0..9)
                    .filter(|i| i % 3 != 2)
                    .all(|i| f.config(i, "search").as_deref() == Some("3"))
            };
            assert!(others(&fleet), "seed {seed}: reachable instances");
            fleet.partition(&[]);
            let took = fleet
                .wait(PROPAGATION_LIMIT, |f| all_hold(f, "search", Some("3")))
                .await;
            assert!(took.is_some(), "seed {seed}: after the cut");
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against a listing from a lagging platform replica that restores old values or deleted
/// records, or deletes new records.
#[test]
fn stale_listing_reverts_nothing() {
    for seed in 0..50 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            assert!(write_and_wait(&fleet, "old", Some("1")).await.is_some());
            assert!(write_and_wait(&fleet, "search", Some("1")).await.is_some());
            fleet.platform.freeze_listings();
            assert!(write_and_wait(&fleet, "search", Some("2")).await.is_some());
            assert!(write_and_wait(&fleet, "old", None).await.is_some());
            assert!(write_and_wait(&fleet, "new", Some("1")).await.is_some());
            fleet.platform.compact();
            fleet.platform.drop_watch_connections();
            rt.sleep(secs(10)).await;
            let holds = |f: &Fleet| {
                all_hold(f, "search", Some("2"))
                    && all_hold(f, "old", None)
                    && all_hold(f, "new", Some("1"))
            };
            assert!(holds(&fleet), "seed {seed}");
            fleet.platform.unfreeze_listings();
            assert!(
                write_and_wait(&fleet, "search", Some("3")).await.is_some(),
                "seed {seed}"
            );
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against a deletion that is missed because no watch was running when it happened.
#[test]
fn deletion_during_an_outage_is_found_by_listing() {
    for seed in 0..20 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            assert!(write_and_wait(&fleet, "search", Some("1")).await.is_some());
            fleet.platform.set_down(true);
            rt.sleep(secs(60)).await;
            fleet.platform.write("search", None);
            fleet.platform.compact();
            fleet.platform.set_down(false);
            let gone = fleet
                .wait(PROPAGATION_LIMIT, |f| all_hold(f, "search", None))
                .await;
            assert!(gone.is_some(), "seed {seed}");
        });
    }
}

/// Guards against a record that was deleted during a partition and comes back afterwards, because
/// the instances that were cut off still hold it.
#[test]
fn deletion_during_a_partition_of_an_hour_stays() {
    for seed in 0..3 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 9, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            assert!(write_and_wait(&fleet, "search", Some("1")).await.is_some());
            fleet.partition(&[("d2", 1)]);
            fleet.platform.disconnect_domains(&["d2"]);
            fleet.platform.write("search", None);
            rt.sleep(secs(3_600)).await;
            let is_cut = |i: &usize| i % 3 == 2;
            let gone = |f: &Fleet, i| f.config(i, "search").is_none();
            assert!((0..9).all(|i| gone(&fleet, i) != is_cut(&i)), "seed {seed}");
            fleet.partition(&[]);
            // The platform stays unreachable, so the deletion can only come from other instances.
            let healed = fleet
                .wait(PROPAGATION_LIMIT, |f| (0..9).all(|i| gone(f, i)))
                .await;
            assert!(healed.is_some(), "seed {seed}");
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against instances that end up with different values after writes in quick succession.
#[test]
fn racing_operators_leave_one_value() {
    for seed in 0..100 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 8, 3).await;
            let reverts = RevertCounter::watch(&fleet);
            for round in 0..10_u64 {
                rt.sleep(millis(rt.random() % 40)).await;
                let value = format!("{}", round % 2);
                fleet.platform.write("search", Some(&value));
            }
            let took = fleet
                .wait(PROPAGATION_LIMIT, |f| all_hold(f, "search", Some("1")))
                .await;
            assert!(took.is_some(), "seed {seed}");
            assert_eq!(reverts.count(), 0, "seed {seed}");
        });
    }
}

/// Guards against more than two watchers per failure domain, and against a crashed watcher that
/// isn't replaced.
#[test]
fn dead_watcher_is_replaced_within_two_seconds() {
    for seed in 0..50 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = Fleet::start(&rt, 12, 3).await;
            let before = fleet.platform.take_watchers();
            rt.sleep(secs(5)).await;
            let watchers = fleet.platform.take_watchers();
            assert_eq!(watchers.len(), 6, "seed {seed}: {before:?} {watchers:?}");
            let dead = fleet.index_of(watchers.first().unwrap());
            rt.sleep(millis(rt.random() % 1_000)).await;
            fleet.kill(dead, seed % 2 == 0);
            let domain = Arc::clone(&fleet.instances[dead].identity.domain);
            let is_new = |f: &Fleet| {
                let now = f.platform.watchers();
                let mut fresh = now.difference(&watchers);
                fresh.any(|name| f.instances[f.index_of(name)].identity.domain == domain)
            };
            let took = fleet.wait(secs(4), is_new).await;
            assert!(took.is_some_and(|t| t <= secs(2)), "seed {seed}: {took:?}");
        });
    }
}
