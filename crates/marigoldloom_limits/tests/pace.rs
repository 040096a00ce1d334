//! Guards the pace of requests to cold upstreams.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_limits::pace::Paces;
use marigoldloom_runtime::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What operators allow in any second: so many times the rate, and so many beside it.
const OVER: f64 = 1.5;
const SLACK: f64 = 5.0;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

/// Guards against several senders that together send more than a cold upstream bears, also when
/// all of them have work for it all the time and begin at once.
#[test]
fn senders_together_keep_the_rate() {
    for seed in 0..20 {
        for (rate, senders) in [(0.5, 12), (2.0, 1), (2.0, 12), (10.0, 7), (40.0, 87)] {
            let mut rng = StdRng::seed_from_u64(seed);
            let upstream: Arc<str> = Arc::from("u");
            let gap = Duration::from_secs_f64(f64::from(senders) / rate);
            let paces: Vec<_> = (0..senders).map(|_| Paces::new()).collect();
            let mut sent = Vec::new();
            for step in 0..2_000 {
                let now = Timestamp::ZERO + STEP * step;
                for paces in &paces {
                    let due = paces.is_due(&upstream, now, gap, || rng.random());
                    if due && paces.take(&upstream, now, gap) {
                        sent.push(now);
                    }
                }
            }
            let within = |end: &Timestamp| {
                let first = sent.partition_point(|at| end.since(*at) >= SECOND);
                sent.partition_point(|at| at <= end) - first
            };
            let most = sent.iter().map(within).max().unwrap_or(0);
            let allowed = rate * OVER + SLACK;
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

/// Guards against a second request that takes the same place, and against an upstream that stays
/// paced by what was noted of it before it was forgotten.
#[test]
fn places_are_taken_once_and_forgotten() {
    let upstream: Arc<str> = Arc::from("u");
    let (paces, gap) = (Paces::new(), SECOND);
    let at = |millis| Timestamp::ZERO + Duration::from_millis(millis);
    assert!(!paces.take(&upstream, at(0), gap), "nothing is known of it");
    assert!(!paces.is_due(&upstream, at(0), gap, || 0.5));
    assert!(!paces.is_due(&upstream, at(499), gap, || 0.0));
    assert!(paces.is_due(&upstream, at(500), gap, || 0.0));
    assert!(paces.take(&upstream, at(500), gap));
    assert!(!paces.take(&upstream, at(500), gap));
    assert!(!paces.is_due(&upstream, at(1_499), gap, || 0.0));
    paces.retain(|_| false);
    assert!(!paces.take(&upstream, at(9_000), gap));
}
