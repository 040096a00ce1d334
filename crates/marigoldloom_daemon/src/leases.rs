//! Adapts the dispatch leases of the peer protocol to the query engine's interface.

use marigoldloom_limits::cold;
use marigoldloom_peers::dispatch_lease::DispatchLease;
use marigoldloom_runtime::time::Timestamp;

/// Forwards the engine's calls to the dispatch leases of the peer protocol.
#[derive(Clone, Debug)]
pub(crate) struct PeerLeases<L>(pub(crate) L);

impl<L: DispatchLease> cold::Leases for PeerLeases<L> {
    fn expiry(&self, upstream: &str) -> Option<Timestamp> {
        self.0.expiry(upstream)
    }

    fn request(&self, upstream: &str) {
        self.0.request(upstream);
    }
}
