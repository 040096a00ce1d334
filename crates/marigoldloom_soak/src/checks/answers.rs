//! Whether answers are whole, sound and from one set of shards.

use std::collections::BTreeSet;
use std::sync::Arc;

use marigoldloom_standin::users::caller::Response;
use marigoldloom_standin::users::server::{self, Identity};
use marigoldloom_standin::users::shard::RECORD_LEN;

use super::responses;
use crate::history::{Kind, Outcome, Record, Request, Version};
use crate::promises::{Promise, Violation};
use crate::world;

pub(super) fn answers(record: &Record) -> Vec<Violation> {
    let surplus = record.requests.iter().filter_map(|(id, r)| match &r.end {
        Some((_, Outcome::Answered { surplus: true, .. })) => Some(Violation::new(
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
        fault.map(|(promise, detail)| Violation::new(promise, Some(id), detail))
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
    let Some(parts) = response.part_signatures() else {
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
pub(super) fn matching<'a>(
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
