//! Connections and home roles of instances and upstreams, computed from the services' home sets.
//!
//! An instance has a home role for each service whose home set contains it.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigoldloom_routing::home;

use crate::control;
use crate::records;
use crate::report::{Report, Row};

/// Preferred number of connections from one instance to an upstream, as in the daemon.
const POOL_SIZE: u32 = 2;

/// Queries per second of one instance at the target size.
const QUERIES_PER_INSTANCE: f64 = 160_000.0 / 1_300.0;

/// Home set of each service, in the order of the services' numbers.
type HomeSets = Vec<Vec<home::Candidate>>;

/// Computes the home sets for each number of instances in `sizes`, with as many upstreams as the
/// ratio at the target size gives, 53 of them in each service.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "homes",
        unit: "instances",
        target: control::TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(instances: usize) -> Row {
    let upstreams = instances * 5_300 / control::TARGET_INSTANCES;
    let services = upstreams.div_ceil(records::FAN_OUT);
    let all: Vec<home::Candidate> = (0..instances).map(candidate).collect();
    let lost_domain = records::domain_name(0);
    let remaining: Vec<home::Candidate> = all
        .iter()
        .filter(|c| *c.domain != *lost_domain)
        .cloned()
        .collect();
    let (before, after) = (home_sets(services, &all), home_sets(services, &remaining));
    let home_count = before.first().map_or(1, Vec::len);
    let pool_connections = home::connections_per_home(records::CONNECTIONS, home_count);
    let connections_per_role = records::FAN_OUT * pool_connections;
    let roles = count_roles(&before);
    let max_roles = roles.values().copied().max().unwrap_or(0);
    let max_roles_after = self::count_roles(&after)
        .values()
        .copied()
        .max()
        .unwrap_or(0);
    let mean_roles = (services * home_count) as f64 / instances as f64;
    let queries_per_role = QUERIES_PER_INSTANCE * instances as f64 / (services * home_count) as f64;
    let subqueries_per_role = queries_per_role * records::FAN_OUT as f64;
    Row::new(
        instances,
        [
            ("services", services as f64),
            ("home_set", home_count as f64),
            ("connections_per_pool", pool_connections as f64),
            (
                "connections_per_upstream",
                (home_count * pool_connections) as f64,
            ),
            ("connections_mean", mean_roles * connections_per_role as f64),
            (
                "connections_greatest",
                (max_roles * connections_per_role) as f64,
            ),
            ("roles_mean", mean_roles),
            ("roles_greatest", max_roles as f64),
            ("instances_without_role", (instances - roles.len()) as f64),
            ("subqueries_per_s_and_role", subqueries_per_role),
            (
                "subqueries_per_s_greatest",
                subqueries_per_role * max_roles as f64,
            ),
            ("roles_greatest_after_loss", max_roles_after as f64),
            (
                "roles_moved_by_loss",
                count_moved_roles(&before, &after) as f64,
            ),
        ],
    )
}

fn candidate(index: usize) -> home::Candidate {
    home::Candidate {
        name: records::instance_name(index).into(),
        domain: records::domain_name(index).into(),
    }
}

/// Computes the home sets of the first `services` services.
fn home_sets(services: usize, instances: &[home::Candidate]) -> HomeSets {
    let size = home::size(instances.len(), records::CONNECTIONS, POOL_SIZE);
    let names = (0..services).map(records::service_name);
    names
        .map(|name| home::home_set(&name, instances, size))
        .collect()
}

/// Counts the home roles of each instance that has any.
fn count_roles(home_sets: &HomeSets) -> BTreeMap<Arc<str>, usize> {
    let mut roles = BTreeMap::new();
    for member in home_sets.iter().flatten() {
        *roles.entry(Arc::clone(&member.name)).or_default() += 1;
    }
    roles
}

/// Counts the home roles that instances have only after the loss of a failure domain.
fn count_moved_roles(before: &HomeSets, after: &HomeSets) -> usize {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(old, new)| new.iter().filter(|c| !old.contains(c)).count())
        .sum()
}
