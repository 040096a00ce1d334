//! Control traffic while many instances fail or return, and during and after a network partition
//! between regions.

use std::time::Duration;

use cpu_time::ProcessTime;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;

use crate::control;
use crate::fleet::Fleet;
use crate::records;
use crate::report::{Report, Row};

/// Divisor that gives the instances of one rack or switch: 1 in 32 of the fleet, which is 40
/// instances at the target size.
const RACK_DIVISOR: usize = 32;

/// Duration of each phase without a partition.
const PHASE_DURATION: Duration = Duration::from_secs(20);

/// Duration of the partition between the regions, and of the phase after it. A partition of an
/// hour would end in the same state, because members that are down are kept for 2 to 3 hours.
const PARTITION_DURATION: Duration = Duration::from_secs(60);

/// Interval at which bytes are counted and the instances' member lists are checked.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

const SEED: u64 = 7;

/// Figures of one phase, averaged over the instances.
#[derive(Clone, Copy, Debug, Default)]
struct Phase {
    /// Time in milliseconds until every instance sees the expected members.
    settled: f64,
    /// Bytes in the whole phase, in excess of those of an idle fleet in the same time.
    extra: f64,
    /// Greatest number of bytes per second.
    peak: f64,
    /// CPU time in the whole phase, in microseconds.
    cpu: f64,
}

/// Measures a fleet for each number of instances in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "bursts",
        unit: "instances",
        target: control::TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(count: usize) -> Row {
    let phases = virtual_runtime::block_on(SEED, move |rt| async move {
        let mut fleet = Fleet::start(&rt, count, 0).await;
        fleet.set_silent();
        let rest_rate = rest_rate(&fleet).await;
        let rack: Vec<usize> = (0..count / RACK_DIVISOR).map(|i| count / 2 + i).collect();
        let domain: Vec<usize> = (0..count).step_by(records::DOMAINS).collect();
        let [rack_lost, rack_back] = kill_and_restart(&mut fleet, &rack, rest_rate).await;
        let [domain_lost, domain_back] = kill_and_restart(&mut fleet, &domain, rest_rate).await;
        let parted = partition_regions(&fleet, rest_rate).await;
        let healed = heal(&fleet, rest_rate).await;
        [
            rack_lost,
            rack_back,
            domain_lost,
            domain_back,
            parted,
            healed,
        ]
    });
    let [
        rack_lost,
        rack_back,
        domain_lost,
        domain_back,
        parted,
        healed,
    ] = phases;
    Row::new(
        count,
        [
            ("rack_lost_settled_ms", rack_lost.settled),
            ("rack_lost_extra_bytes", rack_lost.extra),
            ("rack_lost_peak_bytes_per_s", rack_lost.peak),
            ("rack_back_settled_ms", rack_back.settled),
            ("rack_back_extra_bytes", rack_back.extra),
            ("domain_lost_settled_ms", domain_lost.settled),
            ("domain_lost_extra_bytes", domain_lost.extra),
            ("domain_lost_peak_bytes_per_s", domain_lost.peak),
            ("domain_lost_cpu_us", domain_lost.cpu),
            ("domain_back_settled_ms", domain_back.settled),
            ("domain_back_extra_bytes", domain_back.extra),
            ("domain_back_peak_bytes_per_s", domain_back.peak),
            ("domain_back_cpu_us", domain_back.cpu),
            ("parted_bytes_per_s", parted.peak),
            ("parted_settled_ms", parted.settled),
            ("healed_settled_ms", healed.settled),
            ("healed_extra_bytes", healed.extra),
            ("healed_peak_bytes_per_s", healed.peak),
            ("healed_cpu_us", healed.cpu),
        ],
    )
}

/// Returns the bytes per second and instance of an idle fleet.
async fn rest_rate(fleet: &Fleet) -> f64 {
    fleet.take_traffic();
    fleet.rt.sleep(PHASE_DURATION).await;
    take_bytes(fleet) / PHASE_DURATION.as_secs_f64()
}

/// Kills these instances at once and starts them again in a second phase.
async fn kill_and_restart(fleet: &mut Fleet, indices: &[usize], rest_rate: f64) -> [Phase; 2] {
    fleet.take_traffic();
    for index in indices {
        fleet.stop_instance(*index, false).await;
    }
    let lost = observe(fleet, PHASE_DURATION, rest_rate, |f, host| {
        f.live_members(host) == f.len()
    })
    .await;
    indices
        .iter()
        .for_each(|index| fleet.start_instance(*index));
    let back = observe(fleet, PHASE_DURATION, rest_rate, |f, host| {
        f.live_members(host) == f.len()
    })
    .await;
    [lost, back]
}

/// Partitions the network between the regions. The bytes per second are those of the last third
/// of the phase.
async fn partition_regions(fleet: &Fleet, rest_rate: f64) -> Phase {
    fleet.partition(|domain| domain % 2);
    let sees_half = |f: &Fleet, host| f.live_members(host) <= f.len() / 2;
    let parted = observe(fleet, PARTITION_DURATION * 2 / 3, rest_rate, sees_half).await;
    fleet.take_traffic();
    fleet.rt.sleep(PARTITION_DURATION / 3).await;
    Phase {
        peak: take_bytes(fleet) / (PARTITION_DURATION / 3).as_secs_f64(),
        ..parted
    }
}

/// Removes the partition.
async fn heal(fleet: &Fleet, rest_rate: f64) -> Phase {
    fleet.partition(|_| 0);
    observe(fleet, PARTITION_DURATION, rest_rate, |f, host| {
        f.live_members(host) == f.len()
    })
    .await
}

/// Observes the fleet for `duration`. `is_settled` returns whether an instance sees the expected
/// members.
async fn observe(
    fleet: &Fleet,
    duration: Duration,
    rest_rate: f64,
    is_settled: impl Fn(&Fleet, usize) -> bool,
) -> Phase {
    let start = ProcessTime::now();
    let begin = fleet.rt.now();
    let mut phase = Phase::default();
    let mut sum = 0.0;
    let mut settled = None;
    while fleet.rt.now().since(begin) < duration {
        fleet.rt.sleep(SAMPLE_INTERVAL).await;
        let step = take_bytes(fleet);
        sum += step;
        phase.peak = phase.peak.max(step / SAMPLE_INTERVAL.as_secs_f64());
        if settled.is_none() && fleet.indices().all(|host| is_settled(fleet, host)) {
            settled = Some(fleet.rt.now().since(begin));
        }
    }
    phase.settled = settled.unwrap_or(duration).as_secs_f64() * 1e3;
    phase.extra = sum - rest_rate * duration.as_secs_f64();
    phase.cpu = start.elapsed().as_secs_f64() * 1e6 / fleet.len() as f64;
    phase
}

/// Returns the bytes per instance that were sent and received since the last call.
fn take_bytes(fleet: &Fleet) -> f64 {
    let sum = fleet.take_traffic().sum;
    (sum.sent + sum.received) as f64 / fleet.len() as f64
}
