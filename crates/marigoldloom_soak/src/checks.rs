//! The promises of the system, checked on what was seen.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_standin::users::caller::Response;
use marigoldloom_standin::users::server::{self, Identity};
use marigoldloom_standin::users::shard::RECORD_LEN;
use serde::Serialize;

use crate::history::{Closed, Disturbance, Kind, Outcome, Record, Request, Run, Scope, Version};
use crate::{plan, world};

/// Time without a fault after which an instance and the store count as in touch. This bound and
/// the ones below are those that the operators state for their deployments.
const CONTACT: Duration = Duration::from_millis(4_000);

/// Time in which a configuration is in force.
const APPLY: Duration = Duration::from_millis(3_000);

/// Time after which what an instance showed of a configuration holds for new requests.
const DOWNGRADE: Duration = Duration::from_millis(250);

/// Time in which a replica that leaves gets nothing new.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Time in which the replicas of a failure domain get nothing new.
const EVACUATION: Duration = Duration::from_millis(5_000);

/// Time in which the attempts of a caller that left end, and by which a replica may be given
/// more time than is left.
const SLACK: Duration = Duration::from_millis(500);

/// Length of the windows of the retry budget.
const WINDOW: Duration = Duration::from_secs(10);

/// Extra attempts at a service in a window, as a share of its requests and beside the share.
const BUDGET_SHARE: f64 = 0.2;
const BUDGET_FIXED: f64 = 54.0;

/// Time after the last fault from which most requests are served.
const RECOVERY: Duration = Duration::from_secs(12);

/// Least share of requests served then. The operators ask for a quarter.
const RECOVERED_SHARE: f64 = 0.9;

/// Requests below which a share says little.
const LEAST_SAMPLE: usize = 50;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[derive(derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An answer is whole, sound and belongs to its request.
    #[display("answers are whole and belong to their requests")]
    Whole,
    /// An answer of several shards is from one set of shards.
    #[display("answers are from one set of shards")]
    OneSet,
    /// A proper request is not refused as improper.
    #[display("proper requests are not refused as improper")]
    Allowed,
    /// A refusal that promises so is of a request that never runs.
    #[display("refused requests don't run")]
    TrueRefusal,
    /// A request that may run once runs once at most.
    #[display("requests that may run once run once at most")]
    Once,
    /// What runs was sent by a caller, unchanged.
    #[display("only what callers sent runs, unchanged")]
    Unchanged,
    /// A request runs at a service that a configuration names for it.
    #[display("requests run where a configuration sends them")]
    Routed,
    /// A configuration is in force in its time.
    #[display("configurations are in force in time")]
    InForce,
    /// A process does not go back to an older configuration.
    #[display("configurations don't go back")]
    NotBack,
    /// Replicas that leave and evacuated domains get nothing new.
    #[display("replicas that leave and evacuated domains get nothing new")]
    Closed,
    /// Extra attempts stay in the budget, over all instances.
    #[display("extra attempts stay in their budget")]
    Budget,
    /// Nothing is started for a caller that has left.
    #[display("nothing is started for callers that left")]
    Left,
    /// A replica is not given more time than is left.
    #[display("replicas are given no more time than is left")]
    Patience,
    /// Planned work cuts no request.
    #[display("planned work cuts no request")]
    Delivered,
    /// Requests are answered in their time while all is calm.
    #[display("requests are answered in time")]
    Answered,
    /// After the last fault most requests are served.
    #[display("most requests are served after the last fault")]
    Recovered,
    /// No instance ends by itself.
    #[display("instances don't end by themselves")]
    Alive,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// Id of the request that shows it, if one does.
    pub request: Option<Arc<str>>,
    /// What was seen.
    pub detail: String,
}

/// The promises that `record` shows to be broken.
pub fn broken(record: &Record) -> Vec<Violation> {
    let checks = [
        answers, refusals, runs, versions, closures, budget, left, calm, recovered, ended,
    ];
    checks.iter().flat_map(|check| check(record)).collect()
}

fn violation(promise: Promise, id: Option<&Arc<str>>, detail: impl Into<String>) -> Violation {
    Violation {
        promise,
        request: id.cloned(),
        detail: detail.into(),
    }
}

/// Whether nothing that `wanted` names was disturbed between `from` and `until`.
fn undisturbed(
    record: &Record,
    from: Duration,
    until: Duration,
    wanted: impl Fn(Scope) -> bool,
) -> bool {
    let overlaps = |d: &Disturbance| {
        wanted(d.scope) && d.from <= until && d.until.is_none_or(|end| end >= from)
    };
    !record.disturbances.iter().any(overlaps)
}

/// Whether the instances that worked on `request` were in touch until `at`.
fn in_touch(record: &Record, request: &Request, at: Duration) -> bool {
    let from = request.sent.saturating_sub(CONTACT);
    undisturbed(record, from, at, |scope| match scope {
        // Queries may be forwarded to any instance.
        Scope::Instance(instance) => request.kind == Kind::Query || instance == request.instance,
        Scope::Store => true,
        Scope::Replica(_) => false,
    })
}

/// Responses to requests, by id.
fn responses(record: &Record) -> impl Iterator<Item = (&Arc<str>, &Request, Duration, &Response)> {
    record.requests.iter().filter_map(|(id, r)| match &r.end {
        Some((at, Outcome::Answered { response, .. })) => Some((id, r, *at, response)),
        _ => None,
    })
}

fn answers(record: &Record) -> Vec<Violation> {
    let surplus = record.requests.iter().filter_map(|(id, r)| match &r.end {
        Some((_, Outcome::Answered { surplus: true, .. })) => Some(violation(
            Promise::Whole,
            Some(id),
            "bytes after the response",
        )),
        _ => None,
    });
    let wrong = responses(record).filter_map(|(id, request, _, response)| {
        let fault = match (response.status(), request.kind) {
            (200..=299, Kind::Query) => merged_fault(record, id, response),
            (200..=299, _) => passed_fault(id, request, response),
            (status @ (300..=407 | 409..=420 | 422..=428 | 430..=499), _) => {
                Some((Promise::Allowed, format!("status {status}")))
            }
            _ => None,
        };
        fault.map(|(promise, detail)| violation(promise, Some(id), detail))
    });
    surplus.chain(wrong).collect()
}

/// What is wrong with an answer that an upstream gave.
fn passed_fault(
    id: &Arc<str>,
    request: &Request,
    response: &Response,
) -> Option<(Promise, String)> {
    let Some(signature) = response.signature() else {
        return Some((Promise::Whole, "no signature".to_owned()));
    };
    let identity = Identity {
        id: signature.replica,
        service: signature.service,
        shard: false,
    };
    match () {
        () if *signature.request != **id => {
            let detail = format!("the answer to {}", signature.request);
            Some((Promise::Whole, detail))
        }
        () if !world::serves(request.kind, &identity.service) => {
            let detail = format!("an answer of {}", identity.service);
            Some((Promise::Routed, detail))
        }
        () if response.body != server::body(&identity, id) => {
            Some((Promise::Whole, "another body".to_owned()))
        }
        () => None,
    }
}

/// What is wrong with an answer that was merged from parts.
fn merged_fault(record: &Record, id: &Arc<str>, response: &Response) -> Option<(Promise, String)> {
    let Some(parts) = response.parts() else {
        let detail = "a part without a signature".to_owned();
        return Some((Promise::Whole, detail));
    };
    let Some(missing) = response.missing() else {
        let detail = "no number of missing shards".to_owned();
        return Some((Promise::Whole, detail));
    };
    if let Some(other) = parts.iter().find(|p| *p.request != **id) {
        let detail = format!("a part of the answer to {}", other.request);
        return Some((Promise::Whole, detail));
    }
    let services: BTreeSet<_> = parts.iter().map(|p| p.service.as_str()).collect();
    if services.len() < parts.len() {
        return Some((Promise::Whole, "two parts of one shard".to_owned()));
    }
    let sets = matching(&record.versions, &services, parts.len() + missing);
    let Some(version) = sets.first() else {
        let detail = format!("{} parts, {missing} missing: {services:?}", parts.len());
        return Some((Promise::OneSet, detail));
    };
    let least = (version.shards.len() as f64 * world::LEAST_SHARE).ceil();
    if (parts.len() as f64) < least {
        let detail = format!("{} of {} shards", parts.len(), version.shards.len());
        return Some((Promise::Whole, detail));
    }
    let bodies = parts.into_iter().map(|part| {
        let identity = Identity {
            id: part.replica,
            service: part.service,
            shard: true,
        };
        server::body(&identity, id)
    });
    let merged = greatest(bodies, world::TOP);
    (merged != response.body).then(|| {
        let detail = "not the greatest records of its parts".to_owned();
        (Promise::Whole, detail)
    })
}

/// The configurations that name a set of so many shards, `services` among them.
fn matching<'a>(
    versions: &'a [Version],
    services: &BTreeSet<&str>,
    total: usize,
) -> Vec<&'a Version> {
    let names = |v: &&Version| {
        v.shards.len() == total
            && services
                .iter()
                .all(|s| v.shards.iter().any(|name| name == s))
    };
    versions.iter().filter(names).collect()
}

fn greatest(bodies: impl Iterator<Item = Vec<u8>>, top: usize) -> Vec<u8> {
    let bodies: Vec<_> = bodies.collect();
    let mut records: Vec<_> = bodies
        .iter()
        .flat_map(|b| b.chunks_exact(RECORD_LEN))
        .collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}

fn refusals(record: &Record) -> Vec<Violation> {
    let ran: BTreeSet<_> = record.runs.iter().map(|r| &r.id).collect();
    let promised = responses(record).filter(|(id, _, _, response)| {
        matches!(response.status(), 408 | 421 | 429 | 503) && ran.contains(id)
    });
    promised
        .map(|(id, _, _, response)| {
            let detail = format!("ran and was answered {}", response.status());
            violation(Promise::TrueRefusal, Some(id), detail)
        })
        .collect()
}

fn runs(record: &Record) -> Vec<Violation> {
    let mut once = BTreeSet::new();
    let named: BTreeSet<_> = record.versions.iter().flat_map(|v| &v.shards).collect();
    let faults = record.runs.iter().flat_map(|run| {
        let Some(request) = record.requests.get(&run.id) else {
            let detail = format!("{} on {}", run.line, run.service);
            return vec![violation(Promise::Unchanged, Some(&run.id), detail)];
        };
        let shard = named.iter().any(|s| **s == *run.service);
        let allowed = match request.kind {
            Kind::Query => shard,
            kind => world::serves(kind, &run.service),
        };
        let again = request.kind == Kind::Job && !once.insert(&run.id);
        let changed = run.line != request.line || run.body != request.body;
        let generous = generous(record, request, run);
        let faults = [
            (again, Promise::Once, "ran again"),
            (changed, Promise::Unchanged, "its line or body changed"),
            (!allowed, Promise::Routed, "ran on another service"),
            (generous, Promise::Patience, "was given more time"),
        ];
        let faults = faults.into_iter().filter(|(found, _, _)| *found);
        faults
            .map(|(_, promise, what)| {
                let detail = format!("{what}: {} on {}", run.line, run.service);
                violation(promise, Some(&run.id), detail)
            })
            .collect()
    });
    faults.collect()
}

/// Whether a replica was given more time than its caller waits.
fn generous(record: &Record, request: &Request, run: &Run) -> bool {
    let left = (request.sent + request.patience).saturating_sub(run.at);
    let allowed = left + SLACK;
    run.patience.is_none_or(|p| p > allowed) && in_touch(record, request, run.at)
}

/// The numbers of the configurations by which a response may have been given.
fn shown(record: &Record, request: &Request, end: Duration, response: &Response) -> Vec<u64> {
    let known = record.versions.iter().filter(|v| v.at <= end + SLACK);
    let fits = |v: &&Version| match request.kind {
        Kind::Version => {
            let service = response.signature().map(|s| s.service);
            service.is_some_and(|s| s == world::version_service(v.number))
        }
        Kind::Query => {
            let parts = response.parts().unwrap_or_default();
            let services: BTreeSet<_> = parts.iter().map(|p| p.service.as_str()).collect();
            let total = parts.len() + response.missing().unwrap_or(0);
            !matching(std::slice::from_ref(*v), &services, total).is_empty()
        }
        Kind::Fetch | Kind::Job => true,
    };
    known.filter(fits).map(|v| v.number).collect()
}

fn versions(record: &Record) -> Vec<Violation> {
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
            found.push(violation(Promise::InForce, Some(id), detail));
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
                found.push(violation(Promise::NotBack, Some(id), detail));
            }
        }
    }
    found
}

fn closures(record: &Record) -> Vec<Violation> {
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
            request.is_some_and(|r| in_touch(record, r, run.at))
        });
        found.extend(touched.map(|run| {
            let after = run.at - closure.from;
            let detail = format!("ran on {:?} {after:?} after the word", closure.what);
            violation(Promise::Closed, Some(&run.id), detail)
        }));
    }
    found
}

fn budget(record: &Record) -> Vec<Violation> {
    let mut services: BTreeMap<&str, (Vec<Duration>, Vec<Duration>)> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for run in &record.runs {
        let (first, extra) = services.entry(&run.service).or_default();
        match seen.insert((&run.service, &run.id)) {
            true => first.push(run.at),
            false => extra.push(run.at),
        }
    }
    let spent = services.iter().filter_map(|(service, (first, extra))| {
        let within = |times: &[Duration], end: Duration| {
            let from = end.saturating_sub(WINDOW);
            times.iter().filter(|t| **t > from && **t <= end).count()
        };
        extra.iter().find_map(|end| {
            let spans = [
                *end,
                end.saturating_sub(WINDOW / 2),
                end.saturating_sub(WINDOW),
            ];
            let most = spans.map(|e| within(first, e)).into_iter().max();
            let allowed = most.unwrap_or(0) as f64 * BUDGET_SHARE + BUDGET_FIXED;
            let used = within(extra, *end);
            (used as f64 > allowed).then(|| {
                let detail = format!("{used} extra attempts at {service} until {end:?}");
                violation(Promise::Budget, None, detail)
            })
        })
    });
    spent.collect()
}

fn left(record: &Record) -> Vec<Violation> {
    let late = record.runs.iter().filter_map(|run| {
        let request = record.requests.get(&run.id)?;
        let Some((end, Outcome::Left)) = &request.end else {
            return None;
        };
        let late = run.at > *end + SLACK && in_touch(record, request, run.at);
        late.then(|| {
            let detail = format!("ran {:?} after its caller left", run.at - *end);
            violation(Promise::Left, Some(&run.id), detail)
        })
    });
    late.collect()
}

/// What must hold once faults are over and only planned work goes on.
fn calm(record: &Record) -> Vec<Violation> {
    let Some(calm) = record.calm else {
        return Vec::new();
    };
    let ran: BTreeSet<_> = record.runs.iter().map(|r| &r.id).collect();
    let requests = record.requests.iter().filter(|(_, r)| r.sent >= calm);
    let cut = requests.filter_map(|(id, request)| match &request.end {
        Some((_, Outcome::Lost)) if ran.contains(id) => Some(violation(
            Promise::Delivered,
            Some(id),
            "ran, and its connection ended without an answer",
        )),
        Some((_, Outcome::Overdue)) => {
            Some(violation(Promise::Answered, Some(id), "got no answer"))
        }
        _ => None,
    });
    cut.collect()
}

fn recovered(record: &Record) -> Vec<Violation> {
    let Some(calm) = record.calm else {
        return Vec::new();
    };
    let from = calm + RECOVERY.saturating_sub(plan::REST);
    let sent = record.requests.values().filter(|r| r.sent >= from);
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
    let enough = served as f64 >= ends.len() as f64 * RECOVERED_SHARE;
    match ends.len() < LEAST_SAMPLE || enough {
        true => Vec::new(),
        false => {
            let detail = format!(
                "{served} of {} requests were served: {counts:?}",
                ends.len()
            );
            vec![violation(Promise::Recovered, None, detail)]
        }
    }
}

fn ended(record: &Record) -> Vec<Violation> {
    let ended = record.ended.iter().map(|(instance, at, how)| {
        let detail = format!("instance {instance} ended at {at:?}: {how}");
        violation(Promise::Alive, None, detail)
    });
    ended.collect()
}
