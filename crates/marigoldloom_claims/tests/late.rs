//! Guards against a dispatch after the deadline and against writes that take effect too late.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use marigoldloom_claims::claims::Claims;
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::refusal::{Refusal, RunStatus};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::MemoryPlatform;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use support::Network;

const DEADLINE: Duration = Duration::from_millis(1_500);

const BUCKETS: u32 = 1;

fn request(kind: AttemptKind) -> Request {
    let key = Key::new("rampe", "crew", "k1").unwrap();
    let hash = 7;
    Request { key, hash, kind }
}

/// Sends the request through a new instance; `runs` counts the dispatches.
async fn send(
    process: &VirtualRuntime,
    network: &Network,
    kind: AttemptKind,
    runs: &AtomicU32,
) -> Result<Response, Refusal> {
    let claims = Claims::new(process.clone(), network.clone(), BUCKETS);
    let deadline = process.now() + DEADLINE;
    let dispatch = || async {
        runs.fetch_add(1, Ordering::Relaxed);
        DispatchResult::Finished(Response {
            status: 200,
            body: None,
        })
    };
    claims.run(&request(kind), deadline, dispatch).await
}

/// Guards against a dispatch by an instance that is paused between the acknowledgement of its
/// claim and the dispatch, and resumes after the deadline, when the caller has given up.
#[test]
fn paused_instance_dispatches_nothing_after_the_deadline() {
    for resume_after in [DEADLINE, DEADLINE * 2, Duration::from_secs(25 * 3_600)] {
        let (answer, runs) = virtual_runtime::block_on(1, move |rt| async move {
            let network = Network::new(&rt, MemoryPlatform::new(rt.clone()));
            let process = rt.fork();
            network.pause_after_write(&process);
            let (paused, clock) = (process.clone(), rt.clone());
            rt.spawn(async move {
                clock.sleep(resume_after).await;
                paused.resume();
            });
            let (runs, (tx, rx)) = (Arc::new(AtomicU32::new(0)), async_channel::bounded(1));
            let counter = Arc::clone(&runs);
            let instance = process.clone();
            process.spawn(async move {
                let answer = send(&instance, &network, AttemptKind::Repeated, &counter).await;
                tx.send(answer).await.unwrap();
            });
            let answer = rx.recv().await.unwrap();
            (answer, runs.load(Ordering::Relaxed))
        });
        assert_eq!(runs, 0, "resumed after {resume_after:?}: {answer:?}");
        // After the retention of 24 hours another attempt may have claimed the key and run the
        // request.
        let run = match resume_after < Duration::from_secs(24 * 3_600) {
            true => RunStatus::NotRun,
            false => RunStatus::Unknown,
        };
        assert_eq!(answer, Err(Refusal::Late { run }), "{resume_after:?}");
    }
}

/// Guards against a claim whose write takes effect after its attempt gave up: no attempt would
/// dispatch the request, and the key would be refused for 24 hours.
#[test]
fn claim_written_late_does_not_block_the_key() {
    let mut late = 0;
    for seed in 0..40 {
        let (first, second, runs) = virtual_runtime::block_on(seed, |rt| async move {
            let network = Network::new(&rt, MemoryPlatform::new(rt.clone()));
            let runs = AtomicU32::new(0);
            network.set_max_delay(Some(Duration::from_secs(20)));
            let (clock, network_handle) = (rt.clone(), network.clone());
            rt.spawn(async move {
                clock.sleep(DEADLINE).await;
                network_handle.set_max_delay(None);
            });
            let first = send(&rt, &network, AttemptKind::Repeated, &runs).await;
            rt.sleep(Duration::from_secs(30)).await;
            let second = send(&rt.fork(), &network, AttemptKind::Repeated, &runs).await;
            (first, second, runs.load(Ordering::Relaxed))
        });
        late += u32::from(first.is_err());
        assert!(second.is_ok(), "seed {seed}: {first:?}, then {second:?}");
        assert_eq!(runs, 1, "seed {seed}");
    }
    assert!(late > 0, "no write was late");
}
