//! Tests the rate limit of requests to cold upstreams.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_limits::pace::Pacer;
use marigoldloom_runtime::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Operators allow this many times the rate in any second, plus [`EXTRA_REQUESTS`].
const RATE_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

/// Guards against several senders that together exceed the request rate of a cold upstream, even
/// when all of them always have requests for it and begin at the same time.
#[test]
fn senders_together_stay_within_the_rate() {
    for seed in 0..20 {
        for (rate, senders) in [(0.5, 12), (2.0, 1), (2.0, 12), (10.0, 7), (40.0, 87)] {
            let mut rng = StdRng::seed_from_u64(seed);
            let upstream: Arc<str> = Arc::from("u");
            let interval = Duration::from_secs_f64(f64::from(senders) / rate);
            let pacers: Vec<_> = (0..senders).map(|_| Pacer::new()).collect();
            let mut sent = Vec::new();
            for step in 0..2_000 {
                let now = Timestamp::ZERO + STEP * step;
                for pacer in &pacers {
                    let due = pacer.is_due(&upstream, now, interval, || rng.random());
                    if due && pacer.take(&upstream, now, interval) {
                        sent.push(now);
                    }
                }
            }
            let within = |end: &Timestamp| {
                let first = sent.partition_point(|at| end.since(*at) >= SECOND);
                sent.partition_point(|at| at <= end) - first
            };
            let most = sent.iter().map(within).max().unwrap_or(0);
            let allowed = rate * RATE_FACTOR + EXTRA_REQUESTS;
            assert!(
                most as f64 <= allowed,
                "seed {seed}, {senders} senders at {rate}/s: {most}"
            );
            let expected = rate * (STEP * 2_000).as_secs_f64();
            assert!(
                sent.len() as f64 >= expected * 0.5,
                "seed {seed}, {senders} senders at {rate}/s: {} sent",
                sent.len()
            );
        }
    }
}

/// Guards against two requests within one interval, and against an upstream that is still limited
/// by its old state after it was removed.
#[test]
fn requests_are_taken_once_and_removed() {
    let upstream: Arc<str> = Arc::from("u");
    let (pacer, interval) = (Pacer::new(), SECOND);
    let at = |millis| Timestamp::ZERO + Duration::from_millis(millis);
    assert!(
        !pacer.take(&upstream, at(0), interval),
        "the upstream is not known"
    );
    assert!(!pacer.is_due(&upstream, at(0), interval, || 0.5));
    assert!(!pacer.is_due(&upstream, at(499), interval, || 0.0));
    assert!(pacer.is_due(&upstream, at(500), interval, || 0.0));
    assert!(pacer.take(&upstream, at(500), interval));
    assert!(!pacer.take(&upstream, at(500), interval));
    assert!(!pacer.is_due(&upstream, at(1_499), interval, || 0.0));
    pacer.retain(|_| false);
    assert!(!pacer.take(&upstream, at(9_000), interval));
}
