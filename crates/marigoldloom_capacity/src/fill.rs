//! Measure `fill`: the cost of an idle instance with a large configuration, and the cost and time
//! of copying that configuration to a new instance.

use std::time::Duration;

use cpu_time::ProcessTime;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

use crate::cost;
use crate::fleet::Fleet;
use crate::memory;
use crate::report::{Report, Row};

/// Number of instances before the new one.
const INSTANCES: usize = 8;

/// Duration of the idle phase.
const REST_DURATION: Duration = Duration::from_secs(20);

/// Upper limit of the time for copying the configuration. A longer copy is reported with this
/// time.
const COPY_LIMIT: Duration = Duration::from_secs(30);

const SEED: u64 = 6;

/// Measures a configuration for each number of upstreams in `sizes`, with as many instance records
/// as the ratio at the target size gives.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "fill",
        unit: "upstreams",
        target: memory::TARGET_UPSTREAMS,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(upstreams: usize) -> Row {
    let figures = virtual_runtime::block_on(SEED, move |rt| async move {
        let heap = cost::HeapCounter::start();
        let mut fleet = Fleet::start(&rt, INSTANCES, upstreams).await;
        let heap_per_instance = heap.bytes() / INSTANCES as f64;
        fleet.take_traffic();
        let start = ProcessTime::now();
        rt.sleep(REST_DURATION).await;
        let instance_seconds = REST_DURATION.as_secs_f64() * INSTANCES as f64;
        let rest_cpu = start.elapsed().as_secs_f64() * 1e6 / instance_seconds;
        let rest = fleet.take_traffic().sum;
        let rest_bytes = (rest.sent + rest.received) as f64 / instance_seconds;
        let start = ProcessTime::now();
        let time = add_instance(&mut fleet).await;
        let cpu = start.elapsed().as_secs_f64() * 1e6;
        let bytes = fleet.take_traffic().sum.sent as f64;
        [
            ("entries", fleet.config_entries(INSTANCES) as f64),
            ("heap_bytes_per_instance", heap_per_instance),
            ("rest_bytes_per_s", rest_bytes),
            ("rest_cpu_us_per_s", rest_cpu),
            ("fill_ms", time.as_secs_f64() * 1e3),
            ("fill_bytes", bytes),
            ("fill_cpu_us", cpu),
        ]
    });
    Row::new(upstreams, figures)
}

/// Starts one more instance. Returns the time until it has as many configuration entries as the
/// first instance.
async fn add_instance(fleet: &mut Fleet) -> Duration {
    let wanted = fleet.config_entries(0);
    let start = fleet.rt.now();
    fleet.start_instance(INSTANCES);
    while fleet.config_entries(INSTANCES) < wanted && fleet.rt.now().since(start) < COPY_LIMIT {
        fleet.rt.sleep(Duration::from_millis(10)).await;
    }
    fleet.rt.now().since(start)
}
