//! CPU time of applying one change: topology, home sets, connection shares, lease voters and
//! health, as the daemon's applier computes them.

use std::time::Duration;

use marigoldloom_daemon::homes;
use marigoldloom_records::record::AnyRecord;
use marigoldloom_routing::{health, home, topology};
use marigoldloom_runtime::time::Timestamp;

use crate::cost;
use crate::records;
use crate::report::{Report, Row};

/// Upstreams at the target size.
pub const TARGET_UPSTREAMS: usize = 5_300;

/// Number of changes of each kind that are applied at each size.
const CHANGES: usize = 10;

/// State that the daemon's applier keeps between changes.
struct Applier {
    builder: topology::Builder,
    homes: homes::Homes,
    electorates: homes::LeaseVoters,
    health: health::table::Table,
    instances: Vec<home::Candidate>,
}

/// CPU time of the applier's steps.
#[derive(Clone, Copy, Debug, Default)]
struct Steps {
    topology: Duration,
    homes: Duration,
    shares: Duration,
    voters: Duration,
    health: Duration,
}

impl Steps {
    fn total(&self) -> Duration {
        self.topology + self.homes + self.shares + self.voters + self.health
    }
}

/// Measures a configuration for each number of upstreams in `sizes`, with as many instances as the
/// ratio at the target size gives.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "rebuild",
        unit: "upstreams",
        target: TARGET_UPSTREAMS,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(upstreams: usize) -> Row {
    let mut applier = Applier::new(upstreams);
    let first = applier.apply();
    let mut record = Steps::default();
    for number in 0..CHANGES {
        let mut changed = records::upstream(number % upstreams);
        changed.slots = 4;
        applier.builder.set(AnyRecord::Upstream(changed));
        record.add(applier.apply());
    }
    let mut member = Steps::default();
    for _ in 0..CHANGES {
        // Changes alternate between a member that leaves and one that joins.
        match applier.instances.len() % 2 {
            0 => drop(applier.instances.pop()),
            _ => applier.instances.push(candidate(applier.instances.len())),
        }
        member.add(applier.apply());
    }
    let mean_us = |time: Duration| time.as_secs_f64() * 1e6 / CHANGES as f64;
    Row::new(
        upstreams,
        [
            ("first_us", first.total().as_secs_f64() * 1e6),
            ("record_us", mean_us(record.total())),
            ("record_topology_us", mean_us(record.topology)),
            ("record_homes_us", mean_us(record.homes)),
            ("record_shares_us", mean_us(record.shares)),
            ("record_voters_us", mean_us(record.voters)),
            ("record_health_us", mean_us(record.health)),
            ("member_us", mean_us(member.total())),
            ("member_homes_us", mean_us(member.homes)),
            ("member_voters_us", mean_us(member.voters)),
        ],
    )
}

impl Steps {
    fn add(&mut self, other: Self) {
        self.topology += other.topology;
        self.homes += other.homes;
        self.shares += other.shares;
        self.voters += other.voters;
        self.health += other.health;
    }
}

impl Applier {
    fn new(upstreams: usize) -> Self {
        let instances = (upstreams * 1_300 / TARGET_UPSTREAMS).max(1);
        let mut builder = topology::Builder::new(&records::domain_name(0));
        let records = records::all(upstreams, instances);
        records.into_iter().for_each(|record| builder.set(record));
        Self {
            builder,
            homes: homes::Homes::default(),
            electorates: homes::LeaseVoters::default(),
            health: health::table::Table::new(health::Observation::default()),
            instances: (0..instances).map(candidate).collect(),
        }
    }

    /// Applies the current records and returns the CPU time of each step.
    fn apply(&mut self) -> Steps {
        let (topology, topology_time) = cost::cpu(|| self.builder.build());
        let (_, homes) = cost::cpu(|| self.homes.update(&topology, &self.instances));
        let (_, shares) = cost::cpu(|| homes::connection_shares(&topology, &self.homes));
        let (_, voters) = cost::cpu(|| self.electorates.update(&topology, &self.instances));
        let (_, health) = cost::cpu(|| self.health.update(Timestamp::ZERO, &topology));
        Steps {
            topology: topology_time,
            homes,
            shares,
            voters,
            health,
        }
    }
}

fn candidate(index: usize) -> home::Candidate {
    home::Candidate {
        name: records::instance_name(index).into(),
        domain: records::domain_name(index).into(),
    }
}
