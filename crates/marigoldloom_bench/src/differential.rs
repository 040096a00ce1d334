//! Compares the answers of the engine and the naive baseline to the same requests under the
//! same faults.

use std::collections::BTreeMap;

use crate::checks;
use crate::measure::Run;
use crate::world::Call;

/// Result of the comparison. It considers requests to which both gave an answer that covers
/// every shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Pairs of answers from the same snapshot, which must be equal.
    pub compared: u32,
    /// Compared pairs that differ, and pairs from different snapshots with a part that differs
    /// from what its shard returns for the request.
    pub differing: u32,
}

impl Difference {
    /// Compares a run of the engine with a run of the naive baseline for the same scenario and
    /// seed.
    pub fn between(engine: &Run, naive: &Run) -> Self {
        let by_id: BTreeMap<_, _> = naive.calls.iter().map(|c| (&c.request.id, c)).collect();
        let mut difference = Self::default();
        for call in &engine.calls {
            if let Some(other) = by_id.get(&call.request.id) {
                difference.add(call, other);
            }
        }
        difference
    }

    /// Adds the counts of `other`, the comparison of another pair of runs.
    pub fn merge(&mut self, other: Self) {
        self.compared += other.compared;
        self.differing += other.differing;
    }

    fn add(&mut self, call: &Call, other: &Call) {
        let (Ok(ours), Ok(theirs)) = (&call.result, &other.result) else {
            return;
        };
        if !ours.coverage.is_full() || !theirs.coverage.is_full() {
            return;
        }
        let same_snapshot = ours.snapshot == theirs.snapshot;
        self.compared += u32::from(same_snapshot);
        let differs = match same_snapshot {
            true => ours != theirs,
            false => checks::wrong_parts(call) + checks::wrong_parts(other) > 0,
        };
        self.differing += u32::from(differs);
    }
}
