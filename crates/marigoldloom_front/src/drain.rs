//! Decides which requests an instance takes while it stops, and ends those that run for too long.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use marigoldloom_runtime::scope::Scope;
use marigoldloom_runtime::time::Timestamp;

/// The last part of a planned stop. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// When requests that still run are answered; empty before the stop.
    end: Arc<OnceLock<Timestamp>>,
    ended: Scope,
}

impl Drain {
    /// Starts the stop. Requests that still run at `end` are answered then.
    pub(crate) fn begin(&self, end: Timestamp) {
        // A second stop changes nothing.
        let _ = self.end.set(end);
    }

    /// Answers the requests that still run.
    pub(crate) fn finish(&self) {
        self.ended.cancel();
    }

    /// Completes once requests that still run must be answered.
    pub(crate) async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Returns whether a request that may take until `limit` is taken at `now`.
    ///
    /// A caller can repeat an idempotent request that doesn't end in time. Others are taken only if
    /// their limit passes before the end, so that their outcome is never left open.
    pub(crate) fn admits(&self, now: Timestamp, limit: Duration, idempotent: bool) -> bool {
        match self.end.get() {
            Some(end) if !idempotent => now + limit <= *end,
            _ => true,
        }
    }
}
