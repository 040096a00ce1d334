//! Platform calls of claims, by non-idempotent requests per second.

use std::time::Duration;

use marigoldloom_claims::claims::{self, Claims};
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::{Counters, MemoryPlatform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

use crate::fleet;
use crate::report::{Report, Row};

/// Non-idempotent requests per second that the extrapolation shows. The target names
/// none; this is 1 in 1,000 of its queries.
pub const TARGET: usize = 160;

/// Home instances that a service's requests meet at.
const INSTANCES: usize = 12;

/// Time in which requests are sent.
const LENGTH: Duration = Duration::from_secs(20);

/// Time in which outcomes are recorded.
const REST: Duration = Duration::from_secs(10);

/// Time that an upstream takes.
const WORK: Duration = Duration::from_millis(10);

/// Time limit of a request.
const LIMIT: Duration = Duration::from_secs(5);

const SEED: u64 = 4;

/// Measures these numbers of requests per second over all instances.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "claims",
        unit: "requests per second",
        target: TARGET,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(rate: usize) -> Row {
    let (counters, refused) = virtual_runtime::block_on(SEED, move |rt| drive(rt, rate));
    let seconds = LENGTH.as_secs_f64();
    let requests = rate as f64 * seconds;
    let reads = (counters.get + counters.list) as f64;
    let writes = (counters.put + counters.delete) as f64;
    Row::new(
        rate,
        [
            ("writes_per_request", writes / requests),
            ("reads_per_request", reads / requests),
            ("writes_per_s", writes / seconds),
            ("reads_per_s", reads / seconds),
            ("refused_requests", refused as f64),
        ],
    )
}

async fn drive(rt: VirtualRuntime, rate: usize) -> (Counters, usize) {
    let platform = MemoryPlatform::new(rt.clone());
    platform.set_faults(fleet::faults());
    let new = |_| Claims::new(rt.clone(), platform.client(), claims::BUCKETS);
    let instances: Vec<_> = (0..INSTANCES).map(new).collect();
    let (tx, refusals) = async_channel::unbounded();
    let gap = Duration::from_secs_f64(1.0 / rate as f64);
    let count = rate * usize::try_from(LENGTH.as_secs()).unwrap_or(1);
    for number in 0..count {
        let claims = instances[number % INSTANCES].clone();
        rt.spawn(send(rt.clone(), claims, number, tx.clone()));
        rt.sleep(gap).await;
    }
    rt.sleep(REST).await;
    (platform.counters(), refusals.len())
}

async fn send(
    rt: VirtualRuntime,
    claims: Claims<VirtualRuntime, MemoryPlatform<VirtualRuntime>>,
    number: usize,
    refused: async_channel::Sender<()>,
) {
    let Ok(key) = Key::new("tenant", "service", &format!("key-{number}")) else {
        return;
    };
    let request = Request {
        key,
        hash: 1,
        kind: AttemptKind::Repeated,
    };
    let dispatch = || async {
        rt.sleep(WORK).await;
        let body = None;
        DispatchResult::Finished(Response { status: 200, body })
    };
    let result = claims.run(&request, rt.now() + LIMIT, dispatch).await;
    if result.is_err() {
        refused.send(()).await.ok();
    }
}
