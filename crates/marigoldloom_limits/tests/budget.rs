//! Guards the budget of extra attempts.

use std::time::Duration;

use marigoldloom_limits::budget::{Budget, Limits};
use marigoldloom_runtime::time::Timestamp;

const START: Timestamp = Timestamp::ZERO;

/// Guards against an advance that adds to what requests earn: the extra load would exceed its
/// fraction of the requests for as long as the process runs.
#[test]
fn advance_is_made_up_for() {
    let limits = Limits::default();
    let budget = Budget::new(START, limits);
    let mut retries = 0;
    for first in 1..=1_000_u64 {
        budget.earn(1);
        while budget.take_retries(START, 1) {
            retries += 1;
        }
        let allowed = (first * limits.extra / 1_000).max(limits.advance);
        assert_eq!(retries, allowed, "after {first} requests");
    }
}

/// Guards against hedges that take the advance, which is for upstreams that are lost.
#[test]
fn advance_allows_no_hedge() {
    let budget = Budget::new(START, Limits::default());
    assert!(!budget.take_hedge(START));
    assert!(budget.take_retries(START, 1));
}

/// Guards against extra attempts beyond what operators allow beside the fraction: over any
/// span they are at most the inflow of the span and what was saved up before it.
#[test]
fn steady_inflow_is_bounded() {
    let limits = Limits {
        hedges: 130,
        extra: 150,
        burst: 3,
        advance: 0,
        steady: 700,
    };
    let budget = Budget::new(START, limits);
    let mut taken = Vec::new();
    // Looks that come more often than a thousandth of a token flows in must not lose it.
    for micros in (0..30_000_000).step_by(500) {
        let now = START + Duration::from_micros(micros);
        if micros > 12_000_000 && budget.take_retries(now, 1) {
            taken.push(now);
        }
    }
    let window = Duration::from_secs(10);
    let allowed = limits.burst + limits.steady * window.as_secs() / 1_000;
    for (index, first) in taken.iter().enumerate() {
        let within = taken[index..].iter().filter(|at| at.since(*first) < window);
        assert!(within.count() as u64 <= allowed, "after {first}");
    }
    let span = 18;
    let expected = limits.burst + limits.steady * span / 1_000;
    assert!(
        taken.len() as u64 + 1 >= expected,
        "{} of {expected} attempts were allowed",
        taken.len()
    );
}
