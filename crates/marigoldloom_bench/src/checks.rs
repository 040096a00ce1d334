//! Checks calls against the ledger, in which the fake fleet records what it really ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldloom_query::{answer, refusal};
use marigoldloom_testkit::fake_fleet;
use marigoldloom_upstream::message;

use crate::world::Call;

/// Counts the parts of an answer that differ from what their shard returns for this request on
/// the answer's snapshot. This finds parts from other snapshots and from other requests.
pub fn wrong_parts(call: &Call) -> usize {
    let Ok(answer) = &call.result else { return 0 };
    let wrong = |p: &&answer::Part| {
        let body = fake_fleet::answer_body(p.shard, &answer.snapshot, &call.request.body);
        p.body.0 != body
    };
    answer.results.iter().filter(wrong).count()
}

/// Ledger entries grouped by request id, for checks of many calls.
#[derive(Debug)]
pub struct LedgerIndex<'a> {
    entries: BTreeMap<&'a message::RequestId, Vec<&'a fake_fleet::Entry>>,
}

impl<'a> LedgerIndex<'a> {
    /// Groups the entries of a ledger by request id.
    pub fn new(ledger: &'a fake_fleet::Ledger) -> Self {
        let mut entries: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for entry in &ledger.entries {
            entries.entry(&entry.request).or_default().push(entry);
        }
        Self { entries }
    }

    /// Like [`coverage_matches_ledger`], but looks the entries up in the index.
    pub fn coverage_matches(&self, call: &Call) -> bool {
        coverage_matches(call, self.entries_of(call))
    }

    /// Like [`not_run_matches_ledger`], but looks the entries up in the index.
    pub fn not_run_matches(&self, call: &Call) -> bool {
        !says_not_run(call) || !self.entries_of(call).any(|e| e.ran)
    }

    fn entries_of(&self, call: &Call) -> impl Iterator<Item = &'a fake_fleet::Entry> {
        let entries = self.entries.get(&call.request.id);
        entries.map_or(&[][..], Vec::as_slice).iter().copied()
    }
}

/// Returns whether the shards that the answer claims to cover did answer according to the
/// ledger. A refused call always passes.
pub fn coverage_matches_ledger(call: &Call, ledger: &fake_fleet::Ledger) -> bool {
    coverage_matches(call, entries_of(call, ledger))
}

/// Returns whether a request that was refused as "not run" didn't run according to the ledger.
/// All other calls pass.
pub fn not_run_matches_ledger(call: &Call, ledger: &fake_fleet::Ledger) -> bool {
    !says_not_run(call) || !entries_of(call, ledger).any(|e| e.ran)
}

fn entries_of<'a>(
    call: &'a Call,
    ledger: &'a fake_fleet::Ledger,
) -> impl Iterator<Item = &'a fake_fleet::Entry> {
    let entries = ledger.entries.iter();
    entries.filter(|e| e.request == call.request.id)
}

/// Returns whether the entries contain each shard that the call's answer covers, and whether
/// its parts, its answered shards and its missing shards are consistent.
fn coverage_matches<'a>(call: &Call, entries: impl Iterator<Item = &'a fake_fleet::Entry>) -> bool {
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

/// Returns the latency below which `percent` of the calls lie, or zero without calls.
pub fn percentile(calls: &[Call], percent: usize) -> Duration {
    let latencies = calls.iter().map(|c| c.latency).collect();
    percentile_of(latencies, percent).unwrap_or_default()
}

/// Returns the value below which `percent` of the values lie, or `None` without values.
pub fn percentile_of(mut values: Vec<Duration>, percent: usize) -> Option<Duration> {
    values.sort_unstable();
    let last = values.len().checked_sub(1)?;
    Some(values[(values.len() * percent / 100).min(last)])
}
