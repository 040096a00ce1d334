//! Checks measures against the budgets at the target size, and the linear fit.
#![allow(clippy::print_stdout, reason = "prints the figures")]

use marigoldloom_capacity::report::{Report, Row};
use marigoldloom_capacity::{calls, control};

/// Bytes per second that an instance may send and receive as control traffic.
const MAX_BYTES_PER_S: f64 = 9_000.0;

/// Maximum number of platform calls in the first 10 s. The expected number is 300: 12 watchers
/// each list 5 kinds of records, then watch and read about once a second.
const MAX_START_CALLS: f64 = 400.0;

/// Sizes for the linear fit. An instance probes 3 members of its failure domain, so a fleet with
/// fewer than 4 instances in each of the 6 domains sends less and would distort the fit.
const FIT_SIZES: [usize; 3] = [32, 128, 256];

/// Size that is too small for the linear fit, but must stay within the budget too.
const SMALL_SIZE: usize = 8;

/// Fails if the number or the size of the heartbeats grows with the fleet.
#[test]
fn control_bytes_at_rest_stay_within_the_budget_at_the_target() {
    let small = control::measure_rest(&[SMALL_SIZE]);
    let report = control::measure_rest(&FIT_SIZES);
    for figure in ["rest_bytes_per_s", "rest_greatest_bytes_per_s"] {
        for row in small.rows.iter().chain(&report.rows) {
            let value = row.figures[figure];
            println!("{} instances: {figure} {value:.0}", row.size);
            assert!(value > 0.0 && value < MAX_BYTES_PER_S, "{figure} {value}");
        }
        let line = report.line(figure).unwrap();
        let target = line.at(control::TARGET_INSTANCES);
        println!(
            "{figure}: slope {:.3}, at the target {target:.0}",
            line.slope
        );
        assert!(target < MAX_BYTES_PER_S, "{figure} {target} at the target");
    }
}

/// Covers the start of a whole fleet, when no instance knows the others yet. If each instance
/// became a watcher and listed all kinds, the calls would exceed the platform's rate limits.
#[test]
fn platform_calls_at_the_start_of_a_fleet_do_not_grow_with_it() {
    let report = calls::measure(&[32, 64, 128]);
    for row in &report.rows {
        let calls = row.figures["start_calls"];
        println!("{} instances: {calls} calls in 10 s", row.size);
        assert!(calls > 0.0 && calls <= MAX_START_CALLS, "{calls} calls");
    }
}

/// Checks the linear fit that all extrapolations use.
#[test]
fn line_passes_through_exact_points() {
    let rows = [(8, 26.0), (32, 74.0), (128, 266.0)];
    let report = Report {
        measure: "test",
        unit: "instances",
        target: 1_300,
        rows: rows.map(|(size, y)| Row::new(size, [("y", y)])).to_vec(),
    };
    let line = report.line("y").unwrap();
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.base - 10.0).abs() < 1e-9);
    assert!((line.at(1_300) - 2_610.0).abs() < 1e-6);
    assert_eq!(report.line("absent"), None);
}
