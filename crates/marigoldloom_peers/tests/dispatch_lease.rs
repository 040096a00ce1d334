//! Tests that at most one instance at a time holds the dispatch lease of a cold upstream.

mod fleet;

use std::sync::Arc;

use fleet::{Fleet, millis, secs};
use marigoldloom_peers::dispatch_lease::{DispatchLease, TERM};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

const UPSTREAM: &str = "search-1";

/// Number of instances; all of them vote and request the lease.
const VOTERS: usize = 5;

fn set_voters(fleet: &Fleet, index: usize, upstream: &str, voters: usize) {
    let names = fleet.instances[..voters].iter();
    let names = names.map(|i| Arc::clone(&i.identity.name));
    let leases = fleet.instances[index].peers.leases();
    leases.set_voters(upstream, names.collect());
}

async fn start(rt: &VirtualRuntime) -> Fleet {
    let fleet = Fleet::start(rt, VOTERS, 1).await;
    for index in 0..VOTERS {
        set_voters(&fleet, index, UPSTREAM, VOTERS);
    }
    fleet
}

fn holders(fleet: &Fleet, upstream: &str) -> Vec<usize> {
    let holds = |index: &usize| {
        let leases = fleet.instances[*index].peers.leases();
        leases.expiry(upstream).is_some()
    };
    (0..fleet.instances.len()).filter(holds).collect()
}

fn request_everywhere(fleet: &Fleet, upstream: &str) {
    for instance in &fleet.instances {
        instance.peers.leases().request(upstream);
    }
}

/// Injects or ends a random fault. A killed instance is restarted within 0.5 s, while holders
/// still rely on the promises of its former process.
async fn inject_fault(rt: &VirtualRuntime, fleet: &mut Fleet) {
    let pick = |bound| usize::try_from(runtime::random_below(rt, bound)).unwrap();
    let index = pick(VOTERS as u64);
    match pick(8) {
        0 => fleet.instances[index].rt.pause(),
        1 | 2 => fleet.instances.iter().for_each(|i| i.rt.resume()),
        3 => {
            fleet.kill(index, true);
            rt.sleep(millis(runtime::random_below(rt, 500))).await;
            fleet.restart(index);
            set_voters(fleet, index, UPSTREAM, VOTERS);
        }
        4 => {
            let names: Vec<Arc<str>> = fleet
                .instances
                .iter()
                .map(|i| Arc::clone(&i.identity.name))
                .collect();
            let groups: Vec<(&str, u32)> = names
                .iter()
                .map(|n| (&**n, u32::try_from(pick(2)).unwrap()))
                .collect();
            fleet.partition(&groups);
        }
        5 => fleet.partition(&[]),
        6 => fleet.set_late(runtime::random_below(rt, 40)),
        _ => fleet.instances[index].peers.leases().release(UPSTREAM),
    }
}

/// Guards against two holders at a time under pauses, partitions, restarts, releases and messages
/// that arrive up to 3 s late, and against a lease that no instance gets after the faults.
#[test]
fn at_most_one_holder_under_faults() {
    let mut held = 0;
    for seed in 0..200 {
        held += virtual_runtime::block_on(seed, move |rt| async move {
            let mut fleet = start(&rt).await;
            let mut held = 0;
            for step in 0..1_000_u64 {
                if step % 10 == 0 {
                    request_everywhere(&fleet, UPSTREAM);
                }
                if runtime::random_below(&rt, 20) == 0 {
                    inject_fault(&rt, &mut fleet).await;
                }
                rt.sleep(millis(20)).await;
                let holders = holders(&fleet, UPSTREAM);
                assert!(holders.len() <= 1, "seed {seed}, step {step}: {holders:?}");
                held += holders.len();
            }
            fleet.instances.iter().for_each(|i| i.rt.resume());
            fleet.partition(&[]);
            fleet.set_late(0);
            rt.sleep(secs(4)).await;
            request_everywhere(&fleet, UPSTREAM);
            let is_held = |f: &Fleet| holders(f, UPSTREAM).len() == 1;
            let regained = fleet.wait(secs(10), is_held).await;
            assert!(
                regained.is_some(),
                "seed {seed}: no instance holds the lease"
            );
            held
        });
    }
    // The assertions above only mean something if the lease was held for much of the time.
    assert!(held > 200 * 1_000 / 10, "{held}");
}

/// Guards against a restarted voter that grants the lease although its former process promised
/// it to another holder.
#[test]
fn restarted_voters_grant_nothing_for_a_term() {
    for seed in 0..50 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let mut fleet = start(&rt).await;
            rt.sleep(secs(3)).await;
            fleet.instances[0].peers.leases().request(UPSTREAM);
            let held = fleet.wait(secs(5), |f| holders(f, UPSTREAM) == [0]).await;
            assert!(held.is_some(), "seed {seed}");
            fleet.partition(&[("i0", 1)]);
            for index in 1..VOTERS {
                fleet.kill(index, false);
                fleet.restart(index);
                set_voters(&fleet, index, UPSTREAM, VOTERS);
            }
            for _ in 0..150 {
                request_everywhere(&fleet, UPSTREAM);
                rt.sleep(millis(20)).await;
                assert!(holders(&fleet, UPSTREAM).len() <= 1, "seed {seed}");
            }
            let others = |f: &Fleet| holders(f, UPSTREAM).first() > Some(&0);
            request_everywhere(&fleet, UPSTREAM);
            assert!(fleet.wait(secs(10), others).await.is_some(), "seed {seed}");
        });
    }
}

/// Guards against two holders while instances have different voter lists.
#[test]
fn changed_voter_list_leaves_one_holder() {
    for seed in 0..100 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = start(&rt).await;
            let mut waiting: Vec<usize> = (0..VOTERS).collect();
            for step in 0..750_u64 {
                request_everywhere(&fleet, UPSTREAM);
                rt.sleep(millis(20)).await;
                // All instances get the new list within 3 s, in a random order.
                if step >= 250 && !waiting.is_empty() && step % 30 == 0 {
                    let next = runtime::random_below(&rt, waiting.len() as u64);
                    let index = waiting.swap_remove(usize::try_from(next).unwrap());
                    set_voters(&fleet, index, UPSTREAM, 3);
                }
                assert!(holders(&fleet, UPSTREAM).len() <= 1, "seed {seed}");
            }
            let is_held = |f: &Fleet| holders(f, UPSTREAM).len() == 1;
            request_everywhere(&fleet, UPSTREAM);
            assert!(fleet.wait(secs(5), is_held).await.is_some(), "seed {seed}");
        });
    }
}

/// Guards against leases that outlive their candidacy, and against a released lease that other
/// instances get only after its term.
#[test]
fn released_lease_passes_on() {
    for seed in 0..50 {
        virtual_runtime::block_on(seed, move |rt| async move {
            let fleet = start(&rt).await;
            let is_held = |f: &Fleet| holders(f, UPSTREAM).len() == 1;
            request_everywhere(&fleet, UPSTREAM);
            assert!(fleet.wait(secs(5), is_held).await.is_some(), "seed {seed}");
            let first = holders(&fleet, UPSTREAM)[0];
            fleet.instances[first].peers.leases().release(UPSTREAM);
            assert!(holders(&fleet, UPSTREAM).is_empty());
            assert!(fleet.wait(TERM, is_held).await.is_some(), "seed {seed}");
            rt.sleep(secs(10)).await;
            assert!(
                holders(&fleet, UPSTREAM).is_empty(),
                "seed {seed}: candidacy ended"
            );
        });
    }
}

/// Guards against one message per cold upstream, of which a recovering failure domain has many.
#[test]
fn many_upstreams_share_messages() {
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = start(&rt).await;
        let upstreams: Vec<String> = (0..880).map(|n| format!("search-{n}")).collect();
        for upstream in &upstreams {
            (0..VOTERS).for_each(|index| set_voters(&fleet, index, upstream, VOTERS));
            fleet.instances[2].peers.leases().request(upstream);
        }
        fleet.take_messages();
        rt.sleep(secs(4)).await;
        let held = upstreams.iter().filter(|u| holders(&fleet, u) == [2]);
        assert_eq!(held.count(), upstreams.len());
        let messages = fleet.take_messages();
        assert!(messages < 1_000, "{messages} messages in 4 s");
    });
}
