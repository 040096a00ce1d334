//! Platform calls of the instances that watch the configuration, in an idle fleet and after an
//! outage of the platform.

use std::time::Duration;

use marigoldloom_platform::memory::{Counters, Faults};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

use crate::control;
use crate::fleet::{self, Fleet};
use crate::report::{Report, Row};

/// Duration of the idle phase, on virtual time.
const REST_DURATION: Duration = Duration::from_secs(60);

/// Duration of the platform's outage.
const OUTAGE: Duration = Duration::from_secs(60);

/// Seconds after an outage in which calls are counted, second by second.
const RECONNECT_SECONDS: u32 = 10;

/// Upper limit of the time until a change is everywhere. A change that takes longer is reported
/// with this time.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);

const SEED: u64 = 3;

/// Measures a fleet for each number of instances in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "calls",
        unit: "instances",
        target: control::TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(count: usize) -> Row {
    let figures = virtual_runtime::block_on(SEED, move |rt| async move {
        let fleet = Fleet::start(&rt, count, 0).await;
        let before = fleet.platform.counters();
        rt.sleep(REST_DURATION).await;
        let after = fleet.platform.counters();
        let [peak, total, recovery] = outage(&fleet).await;
        let rate =
            |f: fn(&Counters) -> u64| (f(&after) - f(&before)) as f64 / REST_DURATION.as_secs_f64();
        [
            ("start_calls", before.calls() as f64),
            ("waiting_watches", after.waiting as f64),
            ("watches_per_s", rate(|c| c.watch)),
            ("reads_per_s", rate(|c| c.get + c.list)),
            ("writes_per_s", rate(|c| c.put + c.delete)),
            ("reconnect_peak_calls_per_s", peak),
            ("reconnect_calls_in_10_s", total),
            ("reconnect_in_force_ms", recovery),
        ]
    });
    Row::new(count, figures)
}

/// Simulates an outage of the platform. Returns the greatest number of calls in one second
/// afterwards, the calls in the first [`RECONNECT_SECONDS`], and the milliseconds until every
/// instance has a change that was written at the end of the outage.
async fn outage(fleet: &Fleet) -> [f64; 3] {
    let down = Faults {
        down: true,
        ..fleet.platform.faults()
    };
    fleet.platform.set_faults(down);
    fleet.rt.sleep(OUTAGE).await;
    fleet.platform.set_faults(fleet::normal_platform());
    let start = fleet.platform.counters().calls();
    let (name, stamp) = fleet.write_change(1).await;
    let in_force = fleet.wait_for(&name, stamp, CHANGE_LIMIT);
    let counts = async {
        let mut counts = vec![start];
        for _ in 0..RECONNECT_SECONDS {
            fleet.rt.sleep(Duration::from_secs(1)).await;
            counts.push(fleet.platform.counters().calls());
        }
        counts
    };
    let (time, counts) = futures::future::join(in_force, counts).await;
    let seconds = counts.windows(2).map(|pair| pair[1] - pair[0]);
    let peak = seconds.max().unwrap_or(0) as f64;
    let total = counts.last().copied().unwrap_or(start) - start;
    let millis = time.unwrap_or(CHANGE_LIMIT).as_secs_f64() * 1e3;
    [peak, total as f64, millis]
}
