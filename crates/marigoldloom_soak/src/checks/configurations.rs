//! Whether instances follow the store in time and never go back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigoldloom_standin::users::caller::Response;

use super::answers::matching;
use super::{SLACK, in_touch, prompt, responses};
use crate::history::{Closed, Kind, Record, Request, Version};
use crate::promises::{Promise, Violation};
use crate::world;

/// Time in which a configuration is in force.
const APPLY: Duration = Duration::from_millis(3_000);

/// Time after which what an instance showed of a configuration holds for new requests.
const DOWNGRADE: Duration = Duration::from_millis(250);

/// Time in which a replica that leaves gets nothing new.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time in which the replicas of a failure domain get nothing new.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// The numbers of the configurations by which a response may have been given.
fn shown(record: &Record, request: &Request, end: Duration, response: &Response) -> Vec<u64> {
    let known = record.versions.iter().filter(|v| v.at <= end + SLACK);
    let fits = |v: &&Version| match request.kind {
        Kind::Version => {
            let service = response.signature().map(|s| s.service);
            service.is_some_and(|s| s == world::version_service(v.number))
        }
        Kind::Query => {
            let parts = response.part_signatures().unwrap_or_default();
            let services: BTreeSet<_> = parts.iter().map(|p| p.service.as_str()).collect();
            let total = parts.len() + response.missing().unwrap_or(0);
            !matching(std::slice::from_ref(*v), &services, total).is_empty()
        }
        Kind::Fetch | Kind::Job => true,
    };
    known.filter(fits).map(|v| v.number).collect()
}

pub(super) fn versions(record: &Record) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut by_end: Vec<_> = responses(record)
        .filter(|(_, r, _, response)| {
            response.status() == 200 && matches!(r.kind, Kind::Version | Kind::Query)
        })
        .collect();
    by_end.sort_by_key(|(_, _, end, _)| *end);
    // What each process has shown: when, and the greatest number until then.
    let mut proven: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
    for (id, request, end, response) in by_end {
        let shown = shown(record, request, end, response);
        let due = record.versions.iter().rev();
        let mut due = due.filter(|v| v.at + APPLY <= request.sent);
        let due = due.next().map_or(0, |v| v.number);
        let newest = shown.iter().max().copied().unwrap_or(0);
        if newest < due && in_touch(record, request, request.sent) {
            let detail = format!("handled by {newest}, {due} was due");
            found.push(Violation::new(Promise::InForce, Some(id), detail));
        }
        let proofs = proven
            .entry((request.instance, request.process))
            .or_default();
        let before = proofs.partition_point(|(at, _)| *at + DOWNGRADE <= request.sent);
        let least = proofs[..before].last().map_or(0, |(_, number)| *number);
        match shown.iter().find(|number| **number >= least) {
            Some(number) => {
                let latest = proofs.last().map_or(0, |(_, n)| *n);
                proofs.push((end, latest.max(*number)));
            }
            None => {
                let detail = format!("handled by {newest} after {least}");
                found.push(Violation::new(Promise::NotBack, Some(id), detail));
            }
        }
    }
    found
}

pub(super) fn closures(record: &Record) -> Vec<Violation> {
    let mut found = Vec::new();
    for closure in &record.closures {
        let late = record.runs.iter().filter(|run| {
            let (inside, bound) = match closure.what {
                Closed::Replica(replica) => (run.replica == replica, DRAIN),
                Closed::Domain(domain) => (record.domains[run.replica] == domain, EVACUATION),
            };
            let due = run.at > closure.from + bound;
            inside && due && closure.until.is_none_or(|end| run.at < end)
        });
        let touched = late.filter(|run| {
            let request = record.requests.get(&run.id);
            request.is_some_and(|r| in_touch(record, r, run.at) && prompt(record, r, run))
        });
        found.extend(touched.map(|run| {
            let after = run.at - closure.from;
            let detail = format!("ran on {:?} {after:?} after the word", closure.what);
            Violation::new(Promise::Closed, Some(&run.id), detail)
        }));
    }
    found
}
