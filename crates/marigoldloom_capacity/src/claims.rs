//! Platform calls that the claims of non-idempotent requests make, by requests per second.

use std::time::Duration;

use marigoldloom_claims::claims::{self, Claims};
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::{Counters, MemoryPlatform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};

use crate::fleet;
use crate::report::{Report, Row};

/// Non-idempotent requests per second to which the figures are extrapolated. The target size
/// includes no such rate; this is 1 in 1,000 of its queries.
pub const TARGET_RATE: usize = 160;

/// Number of home instances that receive the requests of the service.
const INSTANCES: usize = 12;

/// Duration of the phase in which requests are sent.
const SEND_TIME: Duration = Duration::from_secs(20);

/// Time after the last request in which the remaining outcomes are recorded.
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Time that an upstream needs for a request.
const UPSTREAM_TIME: Duration = Duration::from_millis(10);

/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

const SEED: u64 = 4;

/// Measures each rate in `sizes`, in requests per second over all instances.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "claims",
        unit: "requests per second",
        target: TARGET_RATE,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(rate: usize) -> Row {
    let (counters, refused) = virtual_runtime::block_on(SEED, move |rt| send_all(rt, rate));
    let seconds = SEND_TIME.as_secs_f64();
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

/// Sends `rate` requests per second. Returns the platform calls and the number of refused
/// requests.
async fn send_all(rt: VirtualRuntime, rate: usize) -> (Counters, usize) {
    let platform = MemoryPlatform::new(rt.clone());
    platform.set_faults(fleet::normal_platform());
    let new = |_| Claims::new(rt.clone(), platform.client(), claims::BUCKETS);
    let instances: Vec<_> = (0..INSTANCES).map(new).collect();
    let (tx, refusals) = async_channel::unbounded();
    let gap = Duration::from_secs_f64(1.0 / rate as f64);
    let count = rate * usize::try_from(SEND_TIME.as_secs()).unwrap_or(1);
    for number in 0..count {
        let claims = instances[number % INSTANCES].clone();
        rt.spawn(send(rt.clone(), claims, number, tx.clone()));
        rt.sleep(gap).await;
    }
    rt.sleep(DRAIN_TIME).await;
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
        rt.sleep(UPSTREAM_TIME).await;
        let body = None;
        DispatchResult::Finished(Response { status: 200, body })
    };
    let result = claims
        .run(&request, rt.now() + REQUEST_TIMEOUT, dispatch)
        .await;
    if result.is_err() {
        refused.send(()).await.ok();
    }
}
