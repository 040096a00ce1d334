//! Guards the retry that a fingerprint has after a lost connection.

use marigoldloom_limits::fingerprint::{Fingerprint, Ledger};
use marigoldloom_runtime::time::WallTime;

/// Guards against a query that fails although another replica could answer it, because an
/// earlier query with the same fingerprint met another crash and ran well on its retry.
#[test]
fn harmless_run_gives_the_retry_back() {
    let ledger = Ledger::new();
    let print = Fingerprint::new("search", "set-piece", b"corner");
    ledger.strike(WallTime(1), print);
    assert!(ledger.take_retry(print));
    assert!(
        !ledger.take_retry(print),
        "a request that crashes upstreams is retried again"
    );
    ledger.harmless(print);
    ledger.strike(WallTime(2), print);
    assert!(ledger.take_retry(print));
}
