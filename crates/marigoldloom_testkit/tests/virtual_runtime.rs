//! Tests of the executor that the deterministic tests run on.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::virtual_runtime;

type Log = Arc<Mutex<Vec<(u64, u32)>>>;

fn entries(log: &Log) -> Vec<(u64, u32)> {
    log.lock().unwrap().clone()
}

async fn tick(rt: virtual_runtime::VirtualRuntime, id: u32, log: Log) {
    for _ in 0..3 {
        rt.sleep(Duration::from_millis(10)).await;
        log.lock()
            .unwrap()
            .push((rt.now().as_nanos() / 1_000_000, id));
    }
}

fn run(seed: u64) -> Vec<(u64, u32)> {
    virtual_runtime::block_on(seed, |rt| async move {
        let log = Log::default();
        for id in 0..4 {
            rt.spawn(tick(rt.clone(), id, log.clone()));
        }
        rt.sleep(Duration::from_millis(100)).await;
        entries(&log)
    })
}

/// Guards against two runs with the same seed that differ, and against a seed without effect.
#[test]
fn same_seed_gives_same_run() {
    assert_eq!(run(7), run(7));
    assert_eq!(run(7).len(), 12);
    assert!((0..20).any(|seed| run(seed) != run(7)));
}

/// Guards against a paused group that still runs, and against a wake-up during the pause that is
/// lost.
#[test]
fn paused_group_runs_only_after_resume() {
    let log = virtual_runtime::block_on(1, |rt| async move {
        let log = Log::default();
        let process = rt.fork();
        process.spawn(tick(process.clone(), 0, log.clone()));
        rt.sleep(Duration::from_millis(15)).await;
        process.pause();
        rt.sleep(Duration::from_millis(100)).await;
        process.resume();
        rt.sleep(Duration::from_millis(100)).await;
        entries(&log)
    });
    assert_eq!(log, [(10, 0), (115, 0), (125, 0)]);
}

/// Guards against tasks that run after their group was killed.
#[test]
fn killed_group_never_runs_again() {
    let log = virtual_runtime::block_on(1, |rt| async move {
        let log = Log::default();
        let process = rt.fork();
        process.spawn(tick(process.clone(), 0, log.clone()));
        rt.sleep(Duration::from_millis(15)).await;
        process.kill();
        process.spawn(tick(process.clone(), 1, log.clone()));
        rt.sleep(Duration::from_millis(100)).await;
        entries(&log)
    });
    assert_eq!(log, [(10, 0)]);
}

/// Guards against a timeout that fires early, late or not at all.
#[test]
fn timeout_ends_at_its_limit() {
    let (result, millis) = virtual_runtime::block_on(1, |rt| async move {
        let slow = rt.sleep(Duration::from_secs(5));
        let result = runtime::timeout(&rt, Duration::from_millis(30), slow).await;
        (result, rt.now().as_nanos() / 1_000_000)
    });
    assert_eq!((result, millis), (Err(runtime::Elapsed), 30));
}
