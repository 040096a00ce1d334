//! Processor time of putting one change in force: topology, home sets, connection
//! shares and lease voters, as the daemon's applier does it.

use std::time::Duration;

use marigoldloom_daemon::homes;
use marigoldloom_records::record::AnyRecord;
use marigoldloom_routing::{health, home, topology};
use marigoldloom_runtime::time::Timestamp;

use crate::cost;
use crate::records;
use crate::report::{Report, Row};

/// Upstreams at the target.
pub const TARGET: usize = 5_300;

/// Changes per size.
const CHANGES: usize = 10;

/// State that the applier keeps.
struct Applier {
    builder: topology::Builder,
    homes: homes::Homes,
    electorates: homes::LeaseVoters,
    health: health::table::Table,
    instances: Vec<home::Candidate>,
}

/// Processor time of the applier's steps.
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

/// Measures configurations with these numbers of upstreams, and with as many instances
/// as the target's ratio gives.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "rebuild",
        unit: "upstreams",
        target: TARGET,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(upstreams: usize) -> Row {
    let mut applier = Applier::new(upstreams);
    let first = applier.put_in_force();
    let mut record = Steps::default();
    for number in 0..CHANGES {
        let mut changed = records::upstream(number % upstreams);
        changed.slots = 4;
        applier.builder.set(AnyRecord::Upstream(changed));
        record.add(applier.put_in_force());
    }
    let mut member = Steps::default();
    for _ in 0..CHANGES {
        // A member leaves, and the next change brings it back.
        match applier.instances.len() % 2 {
            0 => drop(applier.instances.pop()),
            _ => applier.instances.push(candidate(applier.instances.len())),
        }
        member.add(applier.put_in_force());
    }
    let each = |time: Duration| time.as_secs_f64() * 1e6 / CHANGES as f64;
    Row::new(
        upstreams,
        [
            ("first_us", first.total().as_secs_f64() * 1e6),
            ("record_us", each(record.total())),
            ("record_topology_us", each(record.topology)),
            ("record_homes_us", each(record.homes)),
            ("record_shares_us", each(record.shares)),
            ("record_voters_us", each(record.voters)),
            ("record_health_us", each(record.health)),
            ("member_us", each(member.total())),
            ("member_homes_us", each(member.homes)),
            ("member_voters_us", each(member.voters)),
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
        let instances = (upstreams * 1_300 / TARGET).max(1);
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

    fn put_in_force(&mut self) -> Steps {
        let (topology, built) = cost::cpu(|| self.builder.build());
        let (_, homes) = cost::cpu(|| self.homes.update(&topology, &self.instances));
        let (_, shares) = cost::cpu(|| homes::connection_shares(&topology, &self.homes));
        let (_, voters) = cost::cpu(|| self.electorates.update(&topology, &self.instances));
        let (_, health) = cost::cpu(|| self.health.update(Timestamp::ZERO, &topology));
        Steps {
            topology: built,
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
