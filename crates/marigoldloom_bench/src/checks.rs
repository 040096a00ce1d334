//! Checks of calls against the ledger of what really ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldloom_query::{answer, refusal};
use marigoldloom_testkit::fake_fleet;
use marigoldloom_upstream::message;

use crate::world::Call;

/// The parts that are wrong: not what the shard gives for this request on the answer's
/// snapshot. Covers one snapshot per answer and answers of other requests.
pub fn wrong_parts(call: &Call) -> usize {
    let Ok(answer) = &call.result else { return 0 };
    let wrong = |p: &&answer::Part| {
        let body = fake_fleet::answer_body(p.shard, &answer.snapshot, &call.request.body);
        p.body.0 != body
    };
    answer.results.iter().filter(wrong).count()
}

/// The entries of a ledger by request.
#[derive(Debug)]
pub struct Index<'a> {
    entries: BTreeMap<&'a message::RequestId, Vec<&'a fake_fleet::Entry>>,
}

impl<'a> Index<'a> {
    /// Sorts a ledger by request.
    pub fn new(ledger: &'a fake_fleet::Ledger) -> Self {
        let mut entries: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for entry in &ledger.entries {
            entries.entry(&entry.request).or_default().push(entry);
        }
        Self { entries }
    }

    /// Whether the answer's coverage is what the ledger shows.
    pub fn coverage_true(&self, call: &Call) -> bool {
        covers(call, self.of(call))
    }

    /// Whether a refusal that says "not run" is true.
    pub fn not_run_true(&self, call: &Call) -> bool {
        !says_not_run(call) || !self.of(call).any(|e| e.ran)
    }

    fn of(&self, call: &Call) -> impl Iterator<Item = &'a fake_fleet::Entry> {
        let entries = self.entries.get(&call.request.id);
        entries.map_or(&[][..], Vec::as_slice).iter().copied()
    }
}

/// Whether the answer's coverage is what the ledger shows.
pub fn coverage_true(call: &Call, ledger: &fake_fleet::Ledger) -> bool {
    covers(call, of(call, ledger))
}

/// Whether a refusal that says "not run" is true.
pub fn not_run_true(call: &Call, ledger: &fake_fleet::Ledger) -> bool {
    !says_not_run(call) || !of(call, ledger).any(|e| e.ran)
}

fn of<'a>(
    call: &'a Call,
    ledger: &'a fake_fleet::Ledger,
) -> impl Iterator<Item = &'a fake_fleet::Entry> {
    let entries = ledger.entries.iter();
    entries.filter(|e| e.request == call.request.id)
}

/// Whether the entries of a call contain each shard that its answer covers.
fn covers<'a>(call: &Call, entries: impl Iterator<Item = &'a fake_fleet::Entry>) -> bool {
    let Ok(answer) = &call.result else {
        return true;
    };
    let ran: BTreeSet<u32> = entries
        .filter(|e| e.answered && e.snapshot == answer.snapshot)
        .map(|e| e.shard)
        .collect();
    let coverage = &answer.coverage;
    let parts: Vec<u32> = answer.results.iter().map(|p| p.shard).collect();
    let mut all: Vec<u32> = coverage.missing.iter().map(|m| m.shard).collect();
    all.extend(&coverage.answered);
    all.sort_unstable();
    let answered = coverage.answered.iter().all(|s| ran.contains(s));
    parts == coverage.answered && answered && all == (0..coverage.total).collect::<Vec<_>>()
}

fn says_not_run(call: &Call) -> bool {
    let refusal = call.result.as_ref().err();
    refusal.is_some_and(|r| r.run == refusal::RunStatus::NotRun)
}

/// The latency below which `percent` of the calls lie.
pub fn percentile(calls: &[Call], percent: usize) -> Duration {
    let latencies = calls.iter().map(|c| c.latency).collect();
    rank(latencies, percent).unwrap_or_default()
}

/// The value below which `percent` of the values lie; none without values.
pub fn rank(mut values: Vec<Duration>, percent: usize) -> Option<Duration> {
    values.sort_unstable();
    let last = values.len().checked_sub(1)?;
    Some(values[(values.len() * percent / 100).min(last)])
}
