//! Checks that instances apply configurations and drains in time and never return to an older
//! configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldloom_standin::users::caller::Response;

use super::answers::matching_configurations;
use super::{TIMING_TOLERANCE, instances_undisrupted, replica_undisrupted, responses};
use crate::deployment;
use crate::guarantees::{Guarantee, Violation};
use crate::history::{Configuration, DrainTarget, Observations, Request, RequestKind};

/// Time from the write of a configuration until instances must use it for new requests.
const APPLY_LIMIT: Duration = Duration::from_millis(3_000);

/// Time from an answer by a configuration until new requests to the same process must not be
/// handled by an older one.
const SWITCH_TOLERANCE: Duration = Duration::from_millis(250);

/// Time from the start of a replica's drain until it must get no new requests.
const REPLICA_DRAIN_LIMIT: Duration = Duration::from_millis(3_000);

/// Time from the start of an evacuation until the domain's replicas must get no new requests.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

/// Numbers of the configurations, oldest first, that may have produced `response`.
fn possible_configurations(
    observations: &Observations,
    request: &Request,
    end: Duration,
    response: &Response,
) -> Vec<u64> {
    let known = observations
        .configurations
        .iter()
        .filter(|c| c.at <= end + TIMING_TOLERANCE);
    let fits = |c: &&Configuration| match request.kind {
        RequestKind::Version => {
            let service = response.signature().map(|s| s.service);
            service.is_some_and(|s| s == deployment::version_service(c.number))
        }
        RequestKind::Query => {
            let parts = response.part_signatures().unwrap_or_default();
            let services: BTreeSet<_> = parts.iter().map(|p| p.service.as_str()).collect();
            let total = parts.len() + response.missing().unwrap_or(0);
            !matching_configurations(std::slice::from_ref(*c), &services, total).is_empty()
        }
        RequestKind::Fetch | RequestKind::Job | RequestKind::Split => true,
    };
    known.filter(fits).map(|c| c.number).collect()
}

pub(super) fn check_configurations(observations: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut by_end: Vec<_> = responses(observations)
        .filter(|(_, r, _, response)| {
            response.status() == 200 && matches!(r.kind, RequestKind::Version | RequestKind::Query)
        })
        .collect();
    by_end.sort_by_key(|(_, _, end, _)| *end);
    // For each process, the answers that prove a configuration: when the answer came, and the
    // greatest number proven until then.
    let mut lower_bounds_by_process: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
    for (id, request, end, response) in by_end {
        let possible = possible_configurations(observations, request, end, response);
        let due = observations.configurations.iter().rev();
        let mut due = due.filter(|c| c.at + APPLY_LIMIT <= request.sent_at);
        let due = due.next().map_or(0, |c| c.number);
        let newest = possible.iter().max().copied().unwrap_or(0);
        if newest < due && instances_undisrupted(observations, request, request.sent_at) {
            let detail =
                format!("handled by configuration {newest} although {due} must be in force");
            found.push(Violation::new(Guarantee::InForce, Some(id), detail));
        }
        let lower_bounds = lower_bounds_by_process
            .entry((request.instance, request.process))
            .or_default();
        let settled =
            lower_bounds.partition_point(|(at, _)| *at + SWITCH_TOLERANCE <= request.sent_at);
        let least = lower_bounds[..settled]
            .last()
            .map_or(0, |(_, number)| *number);
        match possible.iter().find(|number| **number >= least) {
            Some(number) => {
                let latest = lower_bounds.last().map_or(0, |(_, n)| *n);
                lower_bounds.push((end, latest.max(*number)));
            }
            None => {
                let detail =
                    format!("handled by configuration {newest} after an answer by {least}");
                found.push(Violation::new(Guarantee::NotBack, Some(id), detail));
            }
        }
    }
    found
}

pub(super) fn check_drains(observations: &Observations) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &observations.drains {
        let late = observations.executions.iter().filter(|execution| {
            let (affected, limit) = match drain.target {
                DrainTarget::Replica(replica) => {
                    (execution.replica == replica, REPLICA_DRAIN_LIMIT)
                }
                DrainTarget::Domain(domain) => (
                    observations.domains[execution.replica] == domain,
                    EVACUATION_LIMIT,
                ),
            };
            let due = execution.at > drain.from + limit;
            affected && due && drain.until.is_none_or(|end| execution.at < end)
        });
        let undisrupted = late.filter(|execution| {
            let request = observations.requests.get(&execution.id);
            request.is_some_and(|r| {
                instances_undisrupted(observations, r, execution.at)
                    && replica_undisrupted(observations, r, execution)
            })
        });
        found.extend(undisrupted.map(|execution| {
            let after = execution.at - drain.from;
            let detail = format!(
                "ran on {:?} {after:?} after the start of its drain",
                drain.target
            );
            Violation::new(Guarantee::Closed, Some(&execution.id), detail)
        }));
    }
    found
}
