//! Checks the guarantees of the query tier on the observations of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use answers::check_answers;
use configurations::{check_configurations, check_drains};
use marigoldloom_standin::users::caller::Response;
use notices::{check_cold, check_leaving, check_pauses};
use versions::{check_crashing, check_versions};

use crate::guarantees::{Guarantee, Violation};
use crate::history::{Disruption, Execution, Observations, Outcome, Request, RequestKind, Scope};
use crate::{deployment, plan};

mod answers;
mod configurations;
mod notices;
mod versions;

/// Time without a disruption after which an instance is held to its time limits: by then it has a
/// working connection to the store. This limit and the ones below and in `configurations` are those
/// that the operators state for their deployments.
const UNDISRUPTED_TIME: Duration = Duration::from_millis(4_000);

/// Time in which attempts may still start after their caller has disconnected, and by which the
/// time limit of an attempt may exceed the time until the caller's deadline.
const TIMING_TOLERANCE: Duration = Duration::from_millis(500);

/// Length of the sliding window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// Extra attempts that a service may get in a window, as a ratio of its requests.
const BUDGET_RATIO: f64 = 0.2;

/// Extra attempts that a service may get in a window in addition to the ratio.
const BUDGET_SLACK: f64 = 54.0;

/// Time after the last fault from which most requests must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Minimum share of requests that must be served then. The operators require only a quarter.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Minimum share of requests that must be served from `RECOVERY_TIME` after the return of all
/// instances, as the operators require.
const MIN_RETURN_SHARE: f64 = 0.25;

/// Time in which requests count for it.
const RETURN_WINDOW: Duration = Duration::from_secs(3);

/// Minimum number of ended requests for which the share of served ones is checked; with fewer it
/// varies too much.
const MIN_SAMPLE: usize = 50;

/// Returns all violations that `observations` show.
pub fn violations(observations: &Observations) -> Vec<Violation> {
    let checks = [
        check_answers,
        check_refusals,
        check_executions,
        check_configurations,
        check_drains,
        check_retry_budget,
        check_left_callers,
        check_versions,
        check_crashing,
        check_leaving,
        check_pauses,
        check_cold,
        check_maintenance,
        check_recovery,
        check_exits,
        check_return,
    ];
    checks
        .iter()
        .flat_map(|check| check(observations))
        .collect()
}

/// Whether no disruption of a relevant scope overlaps the time from `from` to `until`.
fn is_undisrupted(
    observations: &Observations,
    from: Duration,
    until: Duration,
    relevant: impl Fn(Scope) -> bool,
) -> bool {
    let overlaps = |d: &Disruption| {
        relevant(d.scope) && d.from <= until && d.until.is_none_or(|end| end >= from)
    };
    !observations.disruptions.iter().any(overlaps)
}

/// Whether the store and the instances that may have handled `request` were undisrupted until `at`,
/// and long enough before the request that the time limits apply.
fn instances_undisrupted(observations: &Observations, request: &Request, at: Duration) -> bool {
    let from = request.sent_at.saturating_sub(UNDISRUPTED_TIME);
    is_undisrupted(observations, from, at, |scope| match scope {
        // Queries may be forwarded to any instance.
        Scope::Instance(instance) => {
            request.kind == RequestKind::Query || instance == request.instance
        }
        Scope::Store => true,
        Scope::Replica(_) => false,
    })
}

/// Whether the replica was undisrupted from the request until its execution. A disrupted link may
/// delay the bytes of an attempt that was in time when the instance sent it.
fn replica_undisrupted(
    observations: &Observations,
    request: &Request,
    execution: &Execution,
) -> bool {
    is_undisrupted(observations, request.sent_at, execution.at, |scope| {
        scope == Scope::Replica(execution.replica)
    })
}

/// Answered requests as (id, request, time of the response, response).
fn responses(
    observations: &Observations,
) -> impl Iterator<Item = (&Arc<str>, &Request, Duration, &Response)> {
    observations
        .requests
        .iter()
        .filter_map(|(id, r)| match &r.end {
            Some((at, Outcome::Answered { response, .. })) => Some((id, r, *at, response)),
            _ => None,
        })
}

fn check_refusals(observations: &Observations) -> Vec<Violation> {
    let ran: BTreeSet<_> = observations.executions.iter().map(|r| &r.id).collect();
    let refused_but_ran = responses(observations).filter(|(id, _, _, response)| {
        matches!(response.status(), 408 | 421 | 429 | 503) && ran.contains(id)
    });
    refused_but_ran
        .map(|(id, _, _, response)| {
            let detail = format!("ran and was refused with status {}", response.status());
            Violation::new(Guarantee::TrueRefusal, Some(id), detail)
        })
        .collect()
}

fn check_executions(observations: &Observations) -> Vec<Violation> {
    let mut jobs = BTreeSet::new();
    let shards: BTreeSet<_> = observations
        .configurations
        .iter()
        .flat_map(|c| &c.shards)
        .collect();
    let faults = observations.executions.iter().flat_map(|execution| {
        let Some(request) = observations.requests.get(&execution.id) else {
            let detail = format!(
                "no caller sent {}, which ran on {}",
                execution.line, execution.service
            );
            return vec![Violation::new(
                Guarantee::Unchanged,
                Some(&execution.id),
                detail,
            )];
        };
        let is_shard = shards.iter().any(|s| **s == *execution.service);
        let allowed = match request.kind {
            RequestKind::Query => is_shard,
            kind => deployment::serves(kind, &execution.service),
        };
        let repeated = request.kind == RequestKind::Job && !jobs.insert(&execution.id);
        let changed = execution.line != request.line || execution.body != request.body;
        let too_long = exceeds_deadline(observations, request, execution);
        let faults = [
            (repeated, Guarantee::Once, "ran more than once"),
            (
                changed,
                Guarantee::Unchanged,
                "request line or body was changed",
            ),
            (
                !allowed,
                Guarantee::Routed,
                "ran on a service that no configuration names for it",
            ),
            (
                too_long,
                Guarantee::Patience,
                "got no time limit or one past the caller's deadline",
            ),
        ];
        let faults = faults.into_iter().filter(|(found, _, _)| *found);
        faults
            .map(|(_, guarantee, what)| {
                let detail = format!("{what}: {} on {}", execution.line, execution.service);
                Violation::new(guarantee, Some(&execution.id), detail)
            })
            .collect()
    });
    faults.collect()
}

/// Whether the time limit of an attempt is missing or ends after the caller's deadline.
fn exceeds_deadline(observations: &Observations, request: &Request, execution: &Execution) -> bool {
    let remaining = (request.sent_at + request.timeout).saturating_sub(execution.at);
    let allowed = remaining + TIMING_TOLERANCE;
    execution.timeout.is_none_or(|p| p > allowed)
        && instances_undisrupted(observations, request, execution.at)
        && replica_undisrupted(observations, request, execution)
}

fn check_retry_budget(observations: &Observations) -> Vec<Violation> {
    let mut services: BTreeMap<&str, (Vec<Duration>, Vec<Duration>)> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for execution in &observations.executions {
        let (first, extra) = services.entry(&execution.service).or_default();
        match seen.insert((&execution.service, &execution.id)) {
            true => first.push(execution.at),
            false => extra.push(execution.at),
        }
    }
    let exceeded = services.iter().filter_map(|(service, (first, extra))| {
        let within = |times: &[Duration], end: Duration| {
            let from = end.saturating_sub(BUDGET_WINDOW);
            times.iter().filter(|t| **t > from && **t <= end).count()
        };
        extra.iter().find_map(|end| {
            let spans = [
                *end,
                end.saturating_sub(BUDGET_WINDOW / 2),
                end.saturating_sub(BUDGET_WINDOW),
            ];
            let most = spans.map(|e| within(first, e)).into_iter().max();
            let allowed = most.unwrap_or(0) as f64 * BUDGET_RATIO + BUDGET_SLACK;
            let used = within(extra, *end);
            (used as f64 > allowed).then(|| {
                let detail =
                    format!("{used} extra attempts at {service} in the window until {end:?}");
                Violation::new(Guarantee::Budget, None, detail)
            })
        })
    });
    exceeded.collect()
}

fn check_left_callers(observations: &Observations) -> Vec<Violation> {
    let late = observations.executions.iter().filter_map(|execution| {
        let request = observations.requests.get(&execution.id)?;
        let Some((end, Outcome::Left)) = &request.end else {
            return None;
        };
        let late = execution.at > *end + TIMING_TOLERANCE;
        let late = late
            && instances_undisrupted(observations, request, execution.at)
            && replica_undisrupted(observations, request, execution);
        late.then(|| {
            let detail = format!(
                "ran {:?} after its caller disconnected",
                execution.at - *end
            );
            Violation::new(Guarantee::Left, Some(&execution.id), detail)
        })
    });
    late.collect()
}

/// Checks that the planned operations of the maintenance phase leave no request unanswered.
fn check_maintenance(observations: &Observations) -> Vec<Violation> {
    let Some(maintenance_start) = observations.maintenance_start else {
        return Vec::new();
    };
    let ran: BTreeSet<_> = observations.executions.iter().map(|r| &r.id).collect();
    let requests = observations
        .requests
        .iter()
        .filter(|(_, r)| r.sent_at >= maintenance_start);
    let failed = requests.filter_map(|(id, request)| match &request.end {
        Some((_, Outcome::Lost)) if ran.contains(id) => Some(Violation::new(
            Guarantee::Delivered,
            Some(id),
            "ran, but its connection ended without a complete answer",
        )),
        Some((_, Outcome::Overdue)) => Some(Violation::new(
            Guarantee::Answered,
            Some(id),
            "got no answer in time",
        )),
        _ => None,
    });
    failed.collect()
}

fn check_recovery(observations: &Observations) -> Vec<Violation> {
    let Some(maintenance_start) = observations.maintenance_start else {
        return Vec::new();
    };
    let from = maintenance_start + RECOVERY_TIME.saturating_sub(plan::SETTLE_TIME);
    let sent = observations.requests.values().filter(|r| r.sent_at >= from);
    let ends = sent.filter_map(|r| r.end.as_ref().map(|(_, outcome)| (r.kind, outcome)));
    let ends: Vec<_> = ends.filter(|(_, o)| **o != Outcome::Left).collect();
    let failures = ends.iter().filter_map(|(kind, outcome)| match outcome {
        Outcome::Answered { response, .. } if response.status() == 200 => None,
        Outcome::Answered { response, .. } => Some(format!("{kind:?} {}", response.status())),
        other => Some(format!("{kind:?} {other:?}")),
    });
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for failure in failures {
        *counts.entry(failure).or_default() += 1;
    }
    let served = ends.len() - counts.values().sum::<usize>();
    let enough = served as f64 >= ends.len() as f64 * MIN_SERVED_SHARE;
    match ends.len() < MIN_SAMPLE || enough {
        true => Vec::new(),
        false => {
            let detail = format!(
                "{served} of {} requests were served: {counts:?}",
                ends.len()
            );
            vec![Violation::new(Guarantee::Recovered, None, detail)]
        }
    }
}

fn check_exits(observations: &Observations) -> Vec<Violation> {
    let exits = observations
        .unexpected_exits
        .iter()
        .map(|(instance, at, how)| {
            let detail = format!("instance {instance} exited at {at:?}: {how}");
            Violation::new(Guarantee::Alive, None, detail)
        });
    exits.collect()
}

fn check_return(observations: &Observations) -> Vec<Violation> {
    let Some(returned_at) = observations.returned_at else {
        return Vec::new();
    };
    let due = returned_at + RECOVERY_TIME;
    let window = due..due + RETURN_WINDOW;
    let requests = observations.requests.values();
    let sent = requests.filter(|r| window.contains(&r.sent_at));
    let ends = sent.filter_map(|r| r.end.as_ref().map(|(_, outcome)| outcome));
    let ends: Vec<_> = ends.filter(|o| **o != Outcome::Left).collect();
    let served = ends.iter().filter(
        |outcome| matches!(outcome, Outcome::Answered { response, .. } if response.status() == 200),
    );
    let (served, total) = (served.count(), ends.len());
    let few = total >= MIN_SAMPLE && (served as f64) < total as f64 * MIN_RETURN_SHARE;
    let violation = few.then(|| {
        let detail = format!("{served} of {total} requests were served in {window:?}");
        Violation::new(Guarantee::Return, None, detail)
    });
    violation.into_iter().collect()
}
