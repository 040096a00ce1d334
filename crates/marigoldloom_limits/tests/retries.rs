//! Tests the retry that a fingerprint has after a lost connection.

use marigoldloom_limits::fingerprint::{CrashTracker, Fingerprint};
use marigoldloom_runtime::time::WallTime;

/// Guards against a query that fails although another replica could answer it: an earlier query
/// with the same fingerprint lost its connection in another crash, used the retry and succeeded.
#[test]
fn harmless_run_restores_the_retry() {
    let tracker = CrashTracker::new(1);
    let fingerprint = Fingerprint::new(&["search", "set-piece"], b"corner");
    tracker.add_strike(WallTime(1), fingerprint, None);
    assert!(tracker.take_retry(fingerprint));
    assert!(
        !tracker.take_retry(fingerprint),
        "a request that crashes upstreams is retried again"
    );
    tracker.mark_harmless(fingerprint);
    tracker.add_strike(WallTime(2), fingerprint, None);
    assert!(tracker.take_retry(fingerprint));
}
