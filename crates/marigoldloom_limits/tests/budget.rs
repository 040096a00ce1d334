//! Guards the budget of extra attempts.

use marigoldloom_limits::budget::{Budget, Limits};

/// Guards against an advance that adds to what requests earn: the extra load would exceed its
/// fraction of the requests for as long as the process runs.
#[test]
fn advance_is_made_up_for() {
    let limits = Limits::default();
    let budget = Budget::new(limits);
    let mut retries = 0;
    for first in 1..=1_000_u64 {
        budget.earn(1);
        while budget.take_retries(1) {
            retries += 1;
        }
        let allowed = (first * limits.extra / 1_000).max(limits.advance);
        assert_eq!(retries, allowed, "after {first} requests");
    }
}

/// Guards against hedges that take the advance, which is for upstreams that are lost.
#[test]
fn advance_allows_no_hedge() {
    let budget = Budget::new(Limits::default());
    assert!(!budget.take_hedge());
    assert!(budget.take_retries(1));
}
