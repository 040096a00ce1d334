//! The requests that a connection has carried.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

/// Requests that were sent on one connection and whose deadlines haven't passed.
///
/// The id in a response tells which request it answers, but not which send of that request. A
/// second copy of the response to an earlier send can't be told from the response to a later one on
/// the same connection, so a request is sent on each connection only once.
#[derive(Debug, Default)]
pub(crate) struct SentRequests {
    /// Hash of each request id, and the deadline of the request.
    entries: VecDeque<(u64, Instant)>,
}

impl SentRequests {
    /// Whether the request `id` was sent before.
    pub(crate) fn contains(&self, id: &str) -> bool {
        let hash = hash(id);
        self.entries.iter().any(|(sent, _)| *sent == hash)
    }

    /// Records that the request `id` is sent, which isn't repeated after the time `left`.
    pub(crate) fn record(&mut self, id: &str, left: Duration) {
        let now = Instant::now();
        self.entries.retain(|(_, deadline)| *deadline >= now);
        self.entries.push_back((hash(id), now + left));
    }
}

fn hash(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}
