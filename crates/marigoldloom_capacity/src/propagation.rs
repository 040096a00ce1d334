//! Time from a write on the platform until every instance has the new value.

use std::time::Duration;

use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

use crate::control;
use crate::fleet::Fleet;
use crate::report::{Report, Row};

/// Number of changes that are written at each size.
const CHANGES: u64 = 20;

/// Pause between two changes. It isn't a multiple of the heartbeat interval, so that changes
/// fall at different times within it.
const CHANGE_GAP: Duration = Duration::from_millis(1_370);

/// Upper limit of the time until a change is everywhere. A change that takes longer is reported
/// with this time.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

const SEED: u64 = 2;

/// Measures a fleet for each number of instances in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "propagation",
        unit: "instances",
        target: control::TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(count: usize) -> Row {
    let mut times = virtual_runtime::block_on(SEED, move |rt| async move {
        let fleet = Fleet::start(&rt, count, 0).await;
        let mut times = Vec::new();
        for number in 0..CHANGES {
            rt.sleep(CHANGE_GAP).await;
            let (name, stamp) = fleet.write_change(number).await;
            let time = fleet.wait_for(&name, stamp, CHANGE_LIMIT).await;
            times.push(time.unwrap_or(CHANGE_LIMIT).as_secs_f64() * 1e3);
        }
        times
    });
    times.sort_by(f64::total_cmp);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let greatest = times.last().copied().unwrap_or(0.0);
    Row::new(count, [("mean_ms", mean), ("greatest_ms", greatest)])
}
