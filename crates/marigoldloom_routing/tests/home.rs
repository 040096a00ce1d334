//! Tests that home sets match their definition, however they are computed: instances of
//! different builds must agree on them.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigoldloom_routing::home::{Candidate, home_set};
use quickcheck::{QuickCheck, TestResult};
use xxhash_rust::xxh3;

/// Returns the home set by its definition, from the full rendezvous order within and between
/// failure domains.
fn reference(service: &str, instances: &[Candidate], size: usize) -> Vec<Candidate> {
    let seed = xxh3::xxh3_64(service.as_bytes());
    let hash = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
    let mut domains: BTreeMap<&str, Vec<&Candidate>> = BTreeMap::new();
    for candidate in instances {
        domains
            .entry(&candidate.domain)
            .or_default()
            .push(candidate);
    }
    for members in domains.values_mut() {
        members.sort_by_key(|c| (u64::MAX - hash(&c.name), &c.name));
    }
    let mut order: Vec<_> = domains.into_iter().collect();
    order.sort_by_key(|(name, _)| u64::MAX - hash(name));
    let longest = order.iter().map(|(_, m)| m.len()).max().unwrap_or(0);
    let rounds = (0..longest).flat_map(|i| order.iter().filter_map(move |(_, m)| m.get(i)));
    rounds.take(size).map(|c| (*c).clone()).collect()
}

fn candidates(count: usize, domains: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        name: Arc::from(format!("i{index}")),
        domain: Arc::from(format!("d{}", index % domains)),
    };
    (0..count).map(candidate).collect()
}

#[test]
fn home_set_is_the_start_of_the_full_rendezvous_order() {
    fn check(service: u16, count: u16, domains: u8, size: u8) -> TestResult {
        let instances = candidates(usize::from(count % 400), usize::from(domains % 8) + 1);
        let service = format!("service-{service}");
        let size = usize::from(size);
        let expected = reference(&service, &instances, size);
        TestResult::from_bool(home_set(&service, &instances, size) == expected)
    }
    QuickCheck::new().quickcheck(check as fn(u16, u16, u8, u8) -> TestResult);
}
