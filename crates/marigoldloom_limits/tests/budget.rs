//! Tests the budget of extra attempts.

use std::time::Duration;

use marigoldloom_limits::budget::{Budget, Limits};
use marigoldloom_runtime::time::Timestamp;

const START: Timestamp = Timestamp::ZERO;

/// Guards against initial retries on top of the fraction of first attempts: the extra load would
/// exceed the fraction for as long as the process runs.
#[test]
fn initial_retries_are_made_up_for() {
    let limits = Limits::default();
    let budget = Budget::new(START, limits);
    let mut retries = 0;
    for first in 1..=1_000_u64 {
        budget.add_first_attempts(1);
        while budget.take_retries(START, 1) {
            retries += 1;
        }
        let allowed = (first * limits.extra / 1_000).max(limits.initial_retries);
        assert_eq!(retries, allowed, "after {first} requests");
    }
}

/// Guards against hedges that use up the initial retries, which are for lost upstreams.
#[test]
fn initial_retries_allow_no_hedge() {
    let budget = Budget::new(START, Limits::default());
    assert!(!budget.take_hedge(START));
    assert!(budget.take_retries(START, 1));
}

/// Guards against more extra attempts than operators allow: in any span of time, those in addition
/// to the fraction are at most the refill during the span plus the burst.
#[test]
fn constant_refill_is_bounded() {
    let limits = Limits {
        hedges: 130,
        extra: 150,
        burst: 3,
        initial_retries: 0,
        refill_rate: 700,
    };
    let budget = Budget::new(START, limits);
    let mut taken = Vec::new();
    // Calls at intervals too short to refill a thousandth of a token must not lose it.
    for micros in (0..30_000_000).step_by(500) {
        let now = START + Duration::from_micros(micros);
        if micros > 12_000_000 && budget.take_retries(now, 1) {
            taken.push(now);
        }
    }
    let window = Duration::from_secs(10);
    let allowed = limits.burst + limits.refill_rate * window.as_secs() / 1_000;
    for (index, first) in taken.iter().enumerate() {
        let within = taken[index..].iter().filter(|at| at.since(*first) < window);
        assert!(within.count() as u64 <= allowed, "after {first}");
    }
    let span = 18;
    let expected = limits.burst + limits.refill_rate * span / 1_000;
    assert!(
        taken.len() as u64 + 1 >= expected,
        "{} of {expected} attempts were allowed",
        taken.len()
    );
}
