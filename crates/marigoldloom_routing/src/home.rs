//! Home sets: the instances that hold connections to a service's upstreams.
//!
//! An upstream accepts few connections, so only some instances connect to it. They are chosen
//! by rendezvous hashing: every instance computes the same set from the same membership, and
//! when an instance is lost only its services get a new home instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3;

/// Part of an upstream's connections that home instances may use, in percent. The rest is for
/// instances that still act on an older membership.
const HOME_PERCENT: u32 = 80;

/// A live instance that may be in a home set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub domain: Arc<str>,
}

/// Returns the size of a home set: `min(instances, max(1, floor(0.8 * connections /
/// connections_per_instance)))`.
///
/// `connections` is the number that one upstream accepts, and `connections_per_instance` the
/// number that one instance opens to it.
pub fn size(instances: usize, connections: u32, connections_per_instance: u32) -> usize {
    let usable = connections.saturating_mul(HOME_PERCENT) / 100;
    let homes = usize::try_from(usable / connections_per_instance.max(1)).unwrap_or(usize::MAX);
    instances.min(homes.max(1))
}

/// Returns how many connections to an upstream each of `homes` home instances may open, at
/// least 1.
pub fn connections_per_home(connections: u32, homes: usize) -> usize {
    let usable = usize::try_from(connections.saturating_mul(HOME_PERCENT) / 100);
    (usable.unwrap_or(usize::MAX) / homes.max(1)).max(1)
}

/// Returns the home set of `service`: at most `size` of `instances`, spread over failure domains.
///
/// The failure domains, and the instances within each, are sorted in rendezvous order. Each
/// round then takes the next instance of every failure domain.
pub fn home_set(service: &str, instances: &[Candidate], size: usize) -> Vec<Candidate> {
    let seed = xxh3::xxh3_64(service.as_bytes());
    let mut domains: BTreeMap<&str, Vec<Ranked<'_>>> = BTreeMap::new();
    for candidate in instances {
        let ranked = (rank(seed, &candidate.name), candidate);
        domains.entry(&candidate.domain).or_default().push(ranked);
    }
    for members in domains.values_mut() {
        truncate_sorted(members, size);
    }
    let mut order: Vec<_> = domains.into_iter().collect();
    order.sort_by_key(|(name, _)| rank(seed, name));
    let longest = order.iter().map(|(_, m)| m.len()).max().unwrap_or(0);
    let rounds = (0..longest).flat_map(|i| order.iter().filter_map(move |(_, m)| m.get(i)));
    rounds.take(size).map(|(_, c)| (*c).clone()).collect()
}

/// A candidate after its rank, so that sorting goes by rank.
type Ranked<'a> = (u64, &'a Candidate);

/// Sorts the first `count` members by rank and drops the others. A home set takes only a few of
/// hundreds of instances, and sorting all of them for each service would dominate the cost of
/// a membership change.
fn truncate_sorted(members: &mut Vec<Ranked<'_>>, count: usize) {
    if count > 0 && count < members.len() {
        members.select_nth_unstable(count - 1);
        members.truncate(count);
    }
    members.sort_unstable();
}

/// Returns the sort key in rendezvous order, which puts the greatest hash first.
fn rank(seed: u64, name: &str) -> u64 {
    u64::MAX - xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}
