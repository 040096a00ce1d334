//! Tests of latency quantiles by route.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use marigoldloom_routing::quantile::{RouteTrackers, Tracker};
use marigoldloom_runtime::time::Timestamp;
use quickcheck::quickcheck;

/// Maximum latency that trackers distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of samples below which there is no quantile.
const MIN_SAMPLES: usize = 20;

quickcheck! {
    /// Guards against quantiles that differ from those of a histogram with a counter for each latency.
    fn quantile_is_that_of_a_dense_histogram(samples: Vec<u32>, percent: u8) -> bool {
        let quantile = f64::from(percent % 100 + 1) / 100.0;
        let tracker = Tracker::new(quantile);
        let mut dense = Histogram::<u32>::new_with_bounds(1, MAX_LATENCY_US, 2).unwrap();
        let now = Timestamp::ZERO + Duration::from_secs(1);
        // Most latencies are short.
        for micros in samples.iter().map(|s| u64::from(s >> (s % 32))) {
            tracker.record(now, Duration::from_micros(micros));
            dense.saturating_record(micros.clamp(1, MAX_LATENCY_US));
        }
        let expected = Duration::from_micros(dense.value_at_quantile(quantile));
        let expected = (samples.len() >= MIN_SAMPLES).then_some(expected);
        tracker.value(now) == expected
    }
}

/// Guards against memory that grows with each route that was ever used: only the trackers of the
/// routes that were used last are kept, and a route in use keeps its own.
#[test]
fn trackers_of_routes_no_longer_used_are_forgotten() {
    let trackers = RouteTrackers::new(0.9);
    let regular = trackers.tracker("regular");
    let first = Arc::downgrade(&trackers.tracker("r0"));
    let others: Vec<_> = (1..1_000)
        .map(|number| {
            assert!(Arc::ptr_eq(&regular, &trackers.tracker("regular")));
            Arc::downgrade(&trackers.tracker(&format!("r{number}")))
        })
        .collect();
    let kept = others.iter().filter(|t| t.strong_count() > 0).count();
    assert_eq!(first.strong_count(), 0, "the first route is remembered");
    assert!(kept <= 64, "{kept} trackers");
}
