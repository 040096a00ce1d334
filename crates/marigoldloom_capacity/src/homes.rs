//! Connections and home roles per instance and upstream, from home sets.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigoldloom_routing::home;

use crate::control;
use crate::records;
use crate::report::{Report, Row};

/// Connections that one instance wants to an upstream, as in the daemon.
const POOL: u32 = 2;

/// Queries per second and instance at the target.
const QUERIES_PER_INSTANCE: f64 = 160_000.0 / 1_300.0;

/// Home sets by service.
type Sets = Vec<Vec<home::Candidate>>;

/// Measures fleets of these numbers of instances, with as many upstreams as the target's
/// ratio gives, in services of 53.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "homes",
        unit: "instances",
        target: control::TARGET,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(instances: usize) -> Row {
    let upstreams = instances * 5_300 / control::TARGET;
    let services = upstreams.div_ceil(records::FAN_OUT);
    let all: Vec<home::Candidate> = (0..instances).map(candidate).collect();
    let lost = records::domain_name(0);
    let left: Vec<home::Candidate> = all.iter().filter(|c| *c.domain != *lost).cloned().collect();
    let (before, after) = (sets(services, &all), sets(services, &left));
    let homes = before.first().map_or(1, Vec::len);
    let share = home::connections_per_home(records::CONNECTIONS, homes);
    let per_role = records::FAN_OUT * share;
    let roles = roles(&before);
    let greatest = roles.values().copied().max().unwrap_or(0);
    let greatest_after = self::roles(&after).values().copied().max().unwrap_or(0);
    let mean = (services * homes) as f64 / instances as f64;
    let queries = QUERIES_PER_INSTANCE * instances as f64 / (services * homes) as f64;
    let load = queries * records::FAN_OUT as f64;
    Row::new(
        instances,
        [
            ("services", services as f64),
            ("home_set", homes as f64),
            ("connections_per_pool", share as f64),
            ("connections_per_upstream", (homes * share) as f64),
            ("connections_mean", mean * per_role as f64),
            ("connections_greatest", (greatest * per_role) as f64),
            ("roles_mean", mean),
            ("roles_greatest", greatest as f64),
            ("instances_without_role", (instances - roles.len()) as f64),
            ("subqueries_per_s_and_role", load),
            ("subqueries_per_s_greatest", load * greatest as f64),
            ("roles_greatest_after_loss", greatest_after as f64),
            ("roles_moved_by_loss", moved(&before, &after) as f64),
        ],
    )
}

fn candidate(index: usize) -> home::Candidate {
    home::Candidate {
        name: records::instance_name(index).into(),
        domain: records::domain_name(index).into(),
    }
}

fn sets(services: usize, instances: &[home::Candidate]) -> Sets {
    let size = home::size(instances.len(), records::CONNECTIONS, POOL);
    let names = (0..services).map(records::service_name);
    names
        .map(|name| home::home_set(&name, instances, size))
        .collect()
}

/// Home roles by instance.
fn roles(sets: &Sets) -> BTreeMap<Arc<str>, usize> {
    let mut roles = BTreeMap::new();
    for member in sets.iter().flatten() {
        *roles.entry(Arc::clone(&member.name)).or_default() += 1;
    }
    roles
}

/// Roles that instances have after the loss and had not before.
fn moved(before: &Sets, after: &Sets) -> usize {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(old, new)| new.iter().filter(|c| !old.contains(c)).count())
        .sum()
}
