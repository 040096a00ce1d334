//! Comparison of the answers that the engine and the naive version give to the same
//! requests under the same faults.

use std::collections::BTreeMap;

use crate::checks;
use crate::measure::Run;
use crate::world::Call;

/// Answers that both gave in full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Answers of the same snapshot, which are compared.
    pub compared: u32,
    /// Compared answers that differ, and answers of different snapshots with a part that
    /// is not what the shard gives for the request.
    pub differing: u32,
}

impl Difference {
    /// Compares two runs of one scenario and seed.
    pub fn between(own: &Run, naive: &Run) -> Self {
        let by_id: BTreeMap<_, _> = naive.calls.iter().map(|c| (&c.request.id, c)).collect();
        let mut difference = Self::default();
        for call in &own.calls {
            if let Some(other) = by_id.get(&call.request.id) {
                difference.add(call, other);
            }
        }
        difference
    }

    /// Adds the counts of another comparison.
    pub fn merge(&mut self, other: Self) {
        self.compared += other.compared;
        self.differing += other.differing;
    }

    fn add(&mut self, call: &Call, other: &Call) {
        let (Ok(one), Ok(two)) = (&call.result, &other.result) else {
            return;
        };
        if !one.coverage.is_full() || !two.coverage.is_full() {
            return;
        }
        let same = one.snapshot == two.snapshot;
        self.compared += u32::from(same);
        let differs = match same {
            true => one != two,
            false => checks::wrong_parts(call) + checks::wrong_parts(other) > 0,
        };
        self.differing += u32::from(differs);
    }
}
