//! Checks what bad versions and crashing requests got, over all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{UNDISRUPTED_TIME, instances_undisrupted};
use crate::guarantees::{Guarantee, Violation};
use crate::history::{Execution, Observations, VersionMove};
use crate::replicas::CRASH_MARK;

/// Largest part of a service's executions that a bad version may get in the window of its move.
const EXPOSURE_RATIO: f64 = 0.1;

/// Executions that it may get in addition; fewer than operators allow, because callers send less.
const EXPOSURE_SLACK: f64 = 20.0;

/// Executions of a bad version after which it must get no more, and the time until then.
const BAD_REPLIES: usize = 50;
const STOP_TIME: Duration = Duration::from_secs(5);

/// Number of replicas that a request may crash before all instances must refuse it.
const CRASH_LIMIT: usize = 3;

/// Executions that a crashing request may still get after that.
const CRASH_SLACK: usize = 3;

/// Checks the exposure to bad versions.
pub(super) fn check_versions(observations: &Observations) -> Vec<Violation> {
    let bad = observations.moves.iter().filter(|m| m.bad_from.is_some());
    bad.filter_map(|bad| check_version(observations, bad))
        .collect()
}

fn check_version(observations: &Observations, bad: &VersionMove) -> Option<Violation> {
    let is_new = |e: &&Execution| bad.replicas.contains(&e.replica);
    let end = bad.from + bad.window;
    let of_service = observations
        .executions
        .iter()
        .filter(|e| *e.service == *bad.service && e.at >= bad.from && e.at <= end);
    let (all, new) = (
        of_service.clone().count(),
        of_service.filter(is_new).count(),
    );
    let allowed = all as f64 * EXPOSURE_RATIO + EXPOSURE_SLACK;
    let over = bad.state.is_some() && new as f64 > allowed;
    let shown = observations.executions.iter().filter(is_new);
    let shown = shown.filter(|e| bad.bad_from.is_some_and(|from| e.at >= from));
    let last = shown.clone().nth(BAD_REPLIES - 1).map(|e| e.at);
    let late = shown.filter(|e| {
        last.is_some_and(|last| e.at > last + STOP_TIME) && is_settled(observations, e)
    });
    let late = late.count();
    let detail = format!(
        "{} got {new} of {all} executions, and {late} after it showed; state {:?}",
        bad.service, bad.state
    );
    (over || late > 0).then(|| Violation::new(Guarantee::Exposure, None, detail))
}

/// Checks that requests which crash replicas stop.
pub(super) fn check_crashing(observations: &Observations) -> Vec<Violation> {
    let mut by_line: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    let crashing = observations.executions.iter();
    for execution in crashing.filter(|e| e.line.contains(CRASH_MARK)) {
        by_line.entry(&execution.line).or_default().push(execution);
    }
    let exceeded = by_line.into_iter().filter_map(|(line, executions)| {
        let known = executions.get(CRASH_LIMIT - 1)?.at + UNDISRUPTED_TIME;
        let late = executions.iter().filter(|e| e.at > known);
        let late: Vec<_> = late.filter(|e| is_settled(observations, e)).collect();
        let detail = format!(
            "{line} crashed {} replicas, {} of them later than {known:?}",
            executions.len(),
            late.len()
        );
        let last = late.last().map(|e| &e.id);
        (late.len() > CRASH_SLACK).then(|| Violation::new(Guarantee::Crashing, last, detail))
    });
    exceeded.collect()
}

/// Whether the store and the instances that handled the request were undisrupted for some time.
fn is_settled(observations: &Observations, execution: &Execution) -> bool {
    let request = observations.requests.get(&execution.id);
    request.is_some_and(|r| instances_undisrupted(observations, r, execution.at))
}
