//! Bytes, messages and CPU time of control traffic per instance.

use std::time::Duration;

use cpu_time::ProcessTime;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

use crate::fleet::{Fleet, FleetTraffic};
use crate::report::{Report, Row};

/// Instances at the target size.
pub const TARGET_INSTANCES: usize = 1_300;

/// Duration of a phase on virtual time, unless it has its own.
const PHASE_DURATION: Duration = Duration::from_secs(64);

/// Time between two changes at the target size, which has 5,400 changes a day.
const CHANGE_PERIOD: Duration = Duration::from_secs(16);

/// Number of changes in a burst. They are written one after the other without a pause.
const BURST_CHANGES: u64 = 64;

/// Duration of a burst's phase, in which the traffic of the changes and of the repairs after them
/// ends.
const BURST_DURATION: Duration = Duration::from_secs(8);

/// Time between two restarts. The restarted instance is stopped for a quarter of it.
const RESTART_PERIOD: Duration = Duration::from_secs(8);

/// Duration of the only phase of [`measure_rest`].
const REST_DURATION: Duration = Duration::from_secs(16);

const SEED: u64 = 1;

/// Figures of one phase, averaged over the instances unless noted.
struct Phase {
    /// Bytes sent and received per second.
    bytes: f64,
    /// Bytes sent per second.
    sent: f64,
    /// Messages sent per second.
    messages: f64,
    /// Bytes per second that the busiest instance sent and received.
    busiest_bytes: f64,
    /// CPU time per second, in microseconds.
    cpu: f64,
}

/// Measures a fleet for each number of instances in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "control",
        unit: "instances",
        target: TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

/// Measures idle fleets only, which takes little time even at large sizes.
pub fn measure_rest(sizes: &[usize]) -> Report {
    Report {
        measure: "rest",
        unit: "instances",
        target: TARGET_INSTANCES,
        rows: sizes.iter().map(|size| rest_row(*size)).collect(),
    }
}

fn rest_row(count: usize) -> Row {
    let rest = virtual_runtime::block_on(SEED, move |rt| async move {
        let fleet = Fleet::start(&rt, count, 0).await;
        let start = begin_phase(&fleet);
        rt.sleep(REST_DURATION).await;
        end_phase(&fleet, start, REST_DURATION)
    });
    Row::new(count, rest.rest_figures())
}

fn row(count: usize) -> Row {
    let phases = virtual_runtime::block_on(SEED, move |rt| async move {
        let mut fleet = Fleet::start(&rt, count, 0).await;
        let rest = rest(&fleet).await;
        let changes = changes(&fleet).await;
        let burst = burst(&fleet).await;
        let restarts = restarts(&mut fleet).await;
        [rest, changes, burst, restarts]
    });
    let [rest, changes, burst, restarts] = phases;
    let duration = BURST_DURATION.as_secs_f64();
    let per_change = |value: f64, base: f64| (value - base) * duration / BURST_CHANGES as f64;
    let per_restart = |value: f64, base: f64| (value - base) * RESTART_PERIOD.as_secs_f64();
    let figures = [
        ("changes_bytes_per_s", changes.bytes),
        ("changes_greatest_bytes_per_s", changes.busiest_bytes),
        ("changes_messages_per_s", changes.messages),
        ("changes_cpu_us_per_s", changes.cpu),
        (
            "burst_bytes_per_change",
            per_change(burst.bytes, rest.bytes),
        ),
        ("burst_cpu_us_per_change", per_change(burst.cpu, rest.cpu)),
        ("burst_greatest_bytes_per_s", burst.busiest_bytes),
        (
            "restart_bytes_per_restart",
            per_restart(restarts.bytes, rest.bytes),
        ),
        (
            "restart_cpu_us_per_restart",
            per_restart(restarts.cpu, rest.cpu),
        ),
    ];
    Row::new(count, rest.rest_figures().into_iter().chain(figures))
}

impl Phase {
    fn rest_figures(&self) -> [(&'static str, f64); 5] {
        [
            ("rest_bytes_per_s", self.bytes),
            ("rest_sent_bytes_per_s", self.sent),
            ("rest_messages_per_s", self.messages),
            ("rest_greatest_bytes_per_s", self.busiest_bytes),
            ("rest_cpu_us_per_s", self.cpu),
        ]
    }
}

/// Runs a phase without changes.
async fn rest(fleet: &Fleet) -> Phase {
    let start = begin_phase(fleet);
    fleet.rt.sleep(PHASE_DURATION).await;
    end_phase(fleet, start, PHASE_DURATION)
}

/// Runs a phase with changes at the rate of the target size.
async fn changes(fleet: &Fleet) -> Phase {
    let start = begin_phase(fleet);
    let count = PHASE_DURATION.as_secs() / CHANGE_PERIOD.as_secs();
    for number in 0..count {
        fleet.write_change(number).await;
        fleet.rt.sleep(CHANGE_PERIOD).await;
    }
    end_phase(fleet, start, PHASE_DURATION)
}

/// Runs a phase that begins with a burst of changes.
async fn burst(fleet: &Fleet) -> Phase {
    let start = begin_phase(fleet);
    for number in 0..BURST_CHANGES {
        fleet.write_change(1_000 + number).await;
    }
    fleet.rt.sleep(BURST_DURATION).await;
    end_phase(fleet, start, BURST_DURATION)
}

/// Runs a phase in which instances restart one after the other, every second one without
/// announcing its leave.
async fn restarts(fleet: &mut Fleet) -> Phase {
    let start = begin_phase(fleet);
    let count = usize::try_from(PHASE_DURATION.as_secs() / RESTART_PERIOD.as_secs()).unwrap_or(1);
    let rt = fleet.rt.clone();
    for number in 0..count {
        let index = number % fleet.len();
        fleet.stop_instance(index, number % 2 == 0).await;
        rt.sleep(RESTART_PERIOD / 4).await;
        fleet.start_instance(index);
        rt.sleep(RESTART_PERIOD * 3 / 4).await;
    }
    end_phase(fleet, start, PHASE_DURATION)
}

/// Starts a phase: resets the traffic counters and reads the CPU time.
fn begin_phase(fleet: &Fleet) -> ProcessTime {
    fleet.take_traffic();
    ProcessTime::now()
}

/// Ends a phase of `duration` and returns its figures.
fn end_phase(fleet: &Fleet, start: ProcessTime, duration: Duration) -> Phase {
    let cpu = start.elapsed();
    let FleetTraffic { sum, busiest_bytes } = fleet.take_traffic();
    let seconds = duration.as_secs_f64();
    let per_instance = |value: f64| value / seconds / fleet.len() as f64;
    Phase {
        bytes: per_instance((sum.sent + sum.received) as f64),
        sent: per_instance(sum.sent as f64),
        messages: per_instance(sum.messages as f64),
        busiest_bytes: busiest_bytes as f64 / seconds,
        cpu: per_instance(cpu.as_secs_f64() * 1e6),
    }
}
