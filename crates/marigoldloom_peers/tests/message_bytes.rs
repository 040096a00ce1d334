//! Tests the limit on control traffic: 9 KB/s per instance, independent of the fleet's size.
#![allow(clippy::print_stdout)] // Prints the figures that docs/CAPACITY.md derives from.

mod fleet;

use fleet::{Fleet, secs};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

/// Greatest rate of control messages that an instance sends and receives, in bytes per second.
const MAX_RATE: f64 = 9_000.0;

/// Duration of a measurement, in seconds.
const RUN_SECS: u64 = 40;

/// Returns the mean and the greatest rate of the instances, in bytes per second. A configuration
/// change every 4 s is four times the target's rate.
fn measure(count: usize) -> (f64, f64) {
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = Fleet::start(&rt, count, 6).await;
        rt.sleep(secs(5)).await;
        fleet.take_bytes();
        for change in 0..RUN_SECS / 4 {
            let value = format!("{change}{}", "x".repeat(300));
            fleet.platform.write("search", Some(&value));
            rt.sleep(secs(4)).await;
        }
        let bytes = fleet.take_bytes();
        let rate = |bytes: usize| bytes as f64 / RUN_SECS as f64;
        let mean = rate(bytes.iter().sum()) / count as f64;
        (mean, rate(bytes.into_iter().max().unwrap_or(0)))
    })
}

/// Guards against control traffic per instance that grows with the fleet.
#[test]
fn bytes_per_instance_stay_within_the_limit() {
    let mut means = Vec::new();
    for count in [8, 32, 128] {
        let (mean, greatest) = measure(count);
        println!("{count} instances: mean {mean:.0} B/s, greatest {greatest:.0} B/s");
        assert!(greatest <= MAX_RATE, "{count} instances: {greatest} B/s");
        means.push(mean);
    }
    assert!(means[2] <= means[1] * 1.25, "{means:?}");
}
