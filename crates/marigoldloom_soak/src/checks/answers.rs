//! Checks that answers are complete, correct and from the shards of one configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use marigoldloom_standin::users::caller::Response;
use marigoldloom_standin::users::server::{self, Identity};
use marigoldloom_standin::users::shard::RECORD_LEN;

use super::responses;
use crate::deployment;
use crate::guarantees::{Guarantee, Violation};
use crate::history::{Configuration, Observations, Outcome, Request, RequestKind};

pub(super) fn check_answers(observations: &Observations) -> Vec<Violation> {
    let surplus = observations
        .requests
        .iter()
        .filter_map(|(id, r)| match &r.end {
            Some((_, Outcome::Answered { surplus: true, .. })) => Some(Violation::new(
                Guarantee::Whole,
                Some(id),
                "bytes followed the response",
            )),
            _ => None,
        });
    let faulty = responses(observations).filter_map(|(id, request, _, response)| {
        let fault = match (response.status(), request.kind) {
            (200..=299, RequestKind::Query) => merged_answer_fault(observations, id, response),
            (200..=299, _) => single_answer_fault(id, request, response),
            (status @ (300..=407 | 409..=420 | 422..=428 | 430..=499), _) => {
                Some((Guarantee::Allowed, format!("status {status}")))
            }
            _ => None,
        };
        fault.map(|(guarantee, detail)| Violation::new(guarantee, Some(id), detail))
    });
    surplus.chain(faulty).collect()
}

/// Returns what is wrong with the answer of a single upstream.
fn single_answer_fault(
    id: &Arc<str>,
    request: &Request,
    response: &Response,
) -> Option<(Guarantee, String)> {
    let Some(signature) = response.signature() else {
        return Some((Guarantee::Whole, "the answer has no signature".to_owned()));
    };
    let identity = Identity {
        id: signature.replica,
        service: signature.service,
        shard: false,
    };
    match () {
        () if *signature.request != **id => {
            let detail = format!("the answer belongs to request {}", signature.request);
            Some((Guarantee::Whole, detail))
        }
        () if !deployment::serves(request.kind, &identity.service) => {
            let detail = format!("answered by service {}", identity.service);
            Some((Guarantee::Routed, detail))
        }
        () if response.body != server::body(&identity, id) => {
            Some((Guarantee::Whole, "another body".to_owned()))
        }
        () => None,
    }
}

/// Returns what is wrong with an answer that was merged from the parts of several shards.
fn merged_answer_fault(
    observations: &Observations,
    id: &Arc<str>,
    response: &Response,
) -> Option<(Guarantee, String)> {
    let Some(parts) = response.part_signatures() else {
        let detail = "a part has no signature".to_owned();
        return Some((Guarantee::Whole, detail));
    };
    let Some(missing) = response.missing() else {
        let detail = "the number of missing shards can't be read".to_owned();
        return Some((Guarantee::Whole, detail));
    };
    if let Some(other) = parts.iter().find(|p| *p.request != **id) {
        let detail = format!("a part belongs to request {}", other.request);
        return Some((Guarantee::Whole, detail));
    }
    let services: BTreeSet<_> = parts.iter().map(|p| p.service.as_str()).collect();
    if services.len() < parts.len() {
        return Some((Guarantee::Whole, "two parts of one shard".to_owned()));
    }
    let candidates = matching_configurations(
        &observations.configurations,
        &services,
        parts.len() + missing,
    );
    let Some(configuration) = candidates.first() else {
        let detail = format!(
            "no configuration has {} parts and {missing} missing shards: {services:?}",
            parts.len()
        );
        return Some((Guarantee::OneSet, detail));
    };
    let least = (configuration.shards.len() as f64 * deployment::MIN_SHARD_SHARE).ceil();
    if (parts.len() as f64) < least {
        let detail = format!(
            "merged from only {} of {} shards",
            parts.len(),
            configuration.shards.len()
        );
        return Some((Guarantee::Whole, detail));
    }
    let bodies = parts.into_iter().map(|part| {
        let identity = Identity {
            id: part.replica,
            service: part.service,
            shard: true,
        };
        server::body(&identity, id)
    });
    let merged = merge_parts(bodies, deployment::RECORD_LIMIT);
    (merged != response.body).then(|| {
        let detail = "the body isn't the greatest records of its parts".to_owned();
        (Guarantee::Whole, detail)
    })
}

/// Returns the configurations with `total` shards that include all `services`.
pub(super) fn matching_configurations<'a>(
    configurations: &'a [Configuration],
    services: &BTreeSet<&str>,
    total: usize,
) -> Vec<&'a Configuration> {
    let names = |c: &&Configuration| {
        c.shards.len() == total
            && services
                .iter()
                .all(|s| c.shards.iter().any(|name| name == s))
    };
    configurations.iter().filter(names).collect()
}

fn merge_parts(bodies: impl Iterator<Item = Vec<u8>>, limit: usize) -> Vec<u8> {
    let bodies: Vec<_> = bodies.collect();
    let mut records: Vec<_> = bodies
        .iter()
        .flat_map(|b| b.chunks_exact(RECORD_LEN))
        .collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(limit);
    records.concat()
}
