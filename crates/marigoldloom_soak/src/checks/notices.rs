//! Checks what replicas get after they said that they leave, want no requests for a time, or are
//! cold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{UNDISRUPTED_TIME, is_undisrupted, responses};
use crate::deployment::COLD_RATE;
use crate::guarantees::{Guarantee, Violation};
use crate::history::{Observations, Request, RequestKind, Scope};

/// Time from an answer in which a replica says that it leaves until new requests to the same process
/// must not reach it.
const LEAVE_LIMIT: Duration = Duration::from_millis(3_000);

/// Time from a refusal until the pause that it states is in force.
const PAUSE_DELAY: Duration = Duration::from_millis(500);

/// Requests of one process that may reach a replica in a pause.
const PAUSE_SLACK: usize = 2;

/// Factor by which a cold replica may get more requests in one second than it tolerates.
const COLD_FACTOR: f64 = 1.5;

/// Requests that it may get in one second in addition.
const COLD_SLACK: f64 = 5.0;

/// A request that reached a replica.
struct Arrival<'a> {
    id: &'a Arc<str>,
    replica: usize,
    at: Duration,
}

/// Requests that ran or were refused.
fn arrivals(observations: &Observations) -> impl Iterator<Item = Arrival<'_>> {
    let ran = observations.executions.iter().map(|e| Arrival {
        id: &e.id,
        replica: e.replica,
        at: e.at,
    });
    let refused = observations.refusals.iter().map(|r| Arrival {
        id: &r.id,
        replica: r.replica,
        at: r.at,
    });
    ran.chain(refused)
}

/// The request with this id if the process that it was sent to also sent it to the replica. Other
/// instances may send requests that may run more than once.
fn direct<'a>(observations: &'a Observations, id: &Arc<str>) -> Option<&'a Request> {
    let request = observations.requests.get(id);
    request.filter(|r| r.kind == RequestKind::Job)
}

fn same_process(first: &Request, second: &Request) -> bool {
    (first.instance, first.process) == (second.instance, second.process)
}

/// Checks that a process sends nothing new to a replica after it has passed on an answer in which
/// the replica says that it leaves.
pub(super) fn check_leaving(observations: &Observations) -> Vec<Violation> {
    let executions: BTreeMap<_, _> = observations.executions.iter().map(|e| (&e.id, e)).collect();
    let told: Vec<_> = responses(observations)
        .filter(|(id, ..)| direct(observations, id).is_some())
        .filter_map(|(id, request, end, response)| {
            let signature = response.signature()?;
            let execution = executions.get(id)?;
            let since = observations.leaving.get(&execution.replica)?;
            let told = *signature.request == **id && execution.at >= *since;
            told.then_some((execution.replica, request, end))
        })
        .collect();
    let found = arrivals(observations).filter_map(|arrival| {
        let request = direct(observations, arrival.id)?;
        let (_, _, end) = told.iter().find(|(replica, first, end)| {
            *replica == arrival.replica
                && same_process(first, request)
                && request.sent_at > *end + LEAVE_LIMIT
                && is_undisrupted(observations, *end, arrival.at, |scope| {
                    scope == Scope::Instance(request.instance)
                })
        })?;
        let detail = format!(
            "reached replica {} {:?} after an answer that it leaves",
            arrival.replica,
            arrival.at - *end
        );
        Some(Violation::new(Guarantee::Closed, Some(arrival.id), detail))
    });
    found.collect()
}

/// Checks that a process sends little to a replica in the time for which the replica has asked it
/// for no requests.
pub(super) fn check_pauses(observations: &Observations) -> Vec<Violation> {
    let found = observations.refusals.iter().filter_map(|refusal| {
        let (pause, request) = (refusal.pause?, direct(observations, &refusal.id)?);
        let end = refusal.at + pause;
        let from = refusal.at + PAUSE_DELAY;
        let late = arrivals(observations).filter(|arrival| {
            arrival.replica == refusal.replica
                && arrival.at > from
                && arrival.at <= end
                && direct(observations, arrival.id).is_some_and(|r| same_process(r, request))
        });
        let late: Vec<_> = late.collect();
        let broken = late.len() > PAUSE_SLACK
            && is_undisrupted(observations, refusal.at, end, |scope| {
                matches!(scope, Scope::Instance(i) if i == request.instance)
                    || scope == Scope::Replica(refusal.replica)
            });
        let detail = format!(
            "replica {} got {} requests from instance {} in a pause of {pause:?}",
            refusal.replica,
            late.len(),
            request.instance
        );
        let last = late.last().map(|arrival| arrival.id);
        broken.then(|| Violation::new(Guarantee::Pause, last, detail))
    });
    found.collect()
}

/// Checks the rate of requests to cold replicas.
pub(super) fn check_cold(observations: &Observations) -> Vec<Violation> {
    const WINDOW: Duration = Duration::from_secs(1);
    let allowed = COLD_RATE * COLD_FACTOR + COLD_SLACK;
    let found = observations.cold_periods.iter().filter_map(|cold| {
        let inside = |at: Duration| at >= cold.from && at <= cold.until;
        let times = arrivals(observations)
            .filter(|arrival| arrival.replica == cold.replica && inside(arrival.at))
            .filter_map(|arrival| {
                let request = observations.requests.get(arrival.id)?;
                Some((request.sent_at, arrival.at))
            });
        let times: Vec<_> = times.collect();
        let most = times.iter().map(|(_, end)| {
            let from = end.saturating_sub(WINDOW);
            let counted = times.iter().filter(|(sent, at)| *sent >= from && at <= end);
            (counted.count(), *end)
        });
        let (count, end) = most.max()?;
        let from = cold.from.saturating_sub(UNDISRUPTED_TIME);
        let broken = count as f64 > allowed
            && is_undisrupted(observations, from, end, |scope| {
                matches!(scope, Scope::Instance(_) | Scope::Store)
            });
        let detail = format!(
            "cold replica {} got {count} requests in the second until {end:?}",
            cold.replica
        );
        broken.then(|| Violation::new(Guarantee::Cold, None, detail))
    });
    found.collect()
}
