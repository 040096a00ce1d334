//! Checks the number of platform calls per request. The platform limits the rate of calls.

use std::time::Duration;

use marigoldloom_claims::claims::Claims;
use marigoldloom_claims::outcome::{DispatchResult, Response};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::{Counters, Faults, MemoryPlatform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

const REQUESTS: u64 = 1_024;

struct Case {
    buckets: u32,
    instances: u64,
    concurrency: u64,
    /// Maximum number of writes per 100 requests.
    max_writes: u64,
    /// Maximum number of reads per 100 requests.
    max_reads: u64,
}

const CASES: [Case; 7] = [
    Case {
        buckets: 1_024,
        instances: 1,
        concurrency: 1,
        max_writes: 200,
        max_reads: 100,
    },
    Case {
        buckets: 1_024,
        instances: 8,
        concurrency: 64,
        max_writes: 300,
        max_reads: 260,
    },
    Case {
        buckets: 16,
        instances: 1,
        concurrency: 1,
        max_writes: 200,
        max_reads: 2,
    },
    Case {
        buckets: 16,
        instances: 1,
        concurrency: 8,
        max_writes: 200,
        max_reads: 2,
    },
    Case {
        buckets: 16,
        instances: 1,
        concurrency: 64,
        max_writes: 80,
        max_reads: 2,
    },
    Case {
        buckets: 16,
        instances: 1,
        concurrency: 512,
        max_writes: 20,
        max_reads: 2,
    },
    Case {
        buckets: 16,
        instances: 8,
        concurrency: 64,
        max_writes: 300,
        max_reads: 30,
    },
];

fn run_case(case: &Case) -> Counters {
    let (buckets, instances, concurrency) = (case.buckets, case.instances, case.concurrency);
    virtual_runtime::block_on(1, move |rt| async move {
        let platform = MemoryPlatform::new(rt.clone());
        platform.set_faults(Faults {
            delay_ms: 4,
            ..Faults::default()
        });
        let new = |_| Claims::new(rt.clone(), platform.client(), buckets);
        let claims: Vec<_> = (0..instances).map(new).collect();
        for worker in 0..concurrency {
            let (rt, claims) = (rt.clone(), claims[(worker % instances) as usize].clone());
            rt.clone().spawn(async move {
                for number in 0..REQUESTS / concurrency {
                    let name = format!("k{worker}-{number}");
                    let key = Key::new("rampe", "crew", &name).unwrap();
                    let request = Request {
                        key,
                        hash: 1,
                        kind: AttemptKind::Repeated,
                    };
                    let deadline = rt.now() + Duration::from_secs(5);
                    let dispatch = || async {
                        rt.sleep(Duration::from_millis(10)).await;
                        DispatchResult::Finished(Response {
                            status: 200,
                            body: None,
                        })
                    };
                    claims.run(&request, deadline, dispatch).await.unwrap();
                }
            });
        }
        rt.sleep(Duration::from_secs(600)).await;
        platform.counters()
    })
}

/// Guards against additional platform calls per request, e.g. because changes of a bucket are no
/// longer written together.
#[test]
fn calls_per_request_stay_bounded() {
    for case in &CASES {
        let counters = run_case(case);
        let (writes, reads) = (counters.put * 100, counters.get * 100);
        println!(
            "{} buckets, {} instances, {} at a time: {:.2} writes and {:.2} reads per request",
            case.buckets,
            case.instances,
            case.concurrency,
            counters.put as f64 / REQUESTS as f64,
            counters.get as f64 / REQUESTS as f64,
        );
        assert!(
            writes <= case.max_writes * REQUESTS,
            "{} writes",
            counters.put
        );
        assert!(reads <= case.max_reads * REQUESTS, "{} reads", counters.get);
    }
}
