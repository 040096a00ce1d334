//! What happens in a run, drawn from its seed.

use std::time::Duration;

use marigoldloom_standin::users::server::Behaviour;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::Serialize;

use crate::proxy::Condition;

/// Time from the last fault to the calm part: longer than the time after which instances count
/// as in touch.
pub const REST: Duration = Duration::from_secs(5);

/// Faults drawn for each second of trouble.
const FAULTS_PER_SECOND: f64 = 1.0;

/// Time of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..4_000;

/// Shares of the instances that a fault affects, beside one.
const INSTANCE_SHARES: [f64; 4] = [0.0, 0.0, 0.5, 1.0];

/// Shares of the replicas that a fault affects, beside one.
const REPLICA_SHARES: [f64; 4] = [0.0, 0.1, 0.3, 0.7];

/// Milliseconds from one planned step to the next in the calm part.
const CALM_GAP_MS: usize = 1_500;

/// Milliseconds from the start of the calm part to the first stop: all that comes before it is over.
const STOPS_AT_MS: u64 = 14_000;

/// Milliseconds from a stop signal to the next step: an instance is gone after 6 s at most, and
/// callers must still find others.
const STOP_GAP_MS: usize = 2_500;

/// Time of an evacuation in the calm part, in milliseconds. What is sent after 5 s is too late.
const EVACUATION_MS: u64 = 8_000;

/// Sizes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Instances of the query tier.
    pub instances: usize,
    /// Replicas.
    pub replicas: usize,
    /// Failure domains.
    pub domains: usize,
    /// Time in which faults happen.
    pub trouble: Duration,
}

/// A link on which bytes can be harmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// From an instance to the store.
    Store(usize),
    /// From other instances to an instance.
    Peer(usize),
    /// From callers to an instance.
    Callers(usize),
    /// To a replica.
    Replica(usize),
}

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It refuses each call.
    Busy,
    /// It closes each connection.
    Away,
}

/// One step of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Instances are killed and start again.
    Kill {
        /// Which.
        instances: Vec<usize>,
        /// When they start again.
        down_ms: u64,
    },
    /// An instance gets a stop signal, and starts again once it has ended.
    Stop(usize),
    /// An instance stands still.
    Pause {
        /// Which.
        instance: usize,
        /// For how long.
        time_ms: u64,
    },
    /// An instance gets a hangup signal.
    HangUp(usize),
    /// A link is harmed.
    Link {
        /// Which.
        place: Place,
        /// How.
        condition: Condition,
        /// For how long.
        time_ms: u64,
    },
    /// The connections of a link are reset.
    Reset(Place),
    /// The connections of a link fall silent for good; new ones work.
    Mute(Place),
    /// The store fails.
    Outage {
        /// How.
        outage: Outage,
        /// For how long.
        time_ms: u64,
    },
    /// The store forgets its history.
    Forget,
    /// Replicas crash and start again.
    Crash {
        /// Which.
        replicas: Vec<usize>,
        /// When they start again.
        down_ms: u64,
    },
    /// Replicas misbehave.
    Behave {
        /// Which.
        replicas: Vec<usize>,
        /// How.
        behaviour: Behaviour,
        /// For how long.
        time_ms: u64,
    },
    /// A replica announces that it leaves, and another process takes its address after that.
    Leave(usize),
    /// Nothing is to be sent to a failure domain for a while.
    Evacuate {
        /// Which.
        domain: usize,
        /// For how long.
        time_ms: u64,
    },
    /// New configurations are written.
    Configure {
        /// How many.
        count: u32,
        /// Time between two.
        gap_ms: u64,
        /// Whether they name another set of shards.
        reshard: bool,
    },
}

/// A step and when it happens, from the start of its part of the run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Timed {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What.
    pub step: Step,
}

/// The steps of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Plan {
    /// Faults and planned work together.
    pub trouble: Vec<Timed>,
    /// Planned work alone.
    pub calm: Vec<Timed>,
}

/// The steps of the run with `seed`.
pub fn plan(seed: u64, shape: &Shape) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (shape.trouble.as_secs_f64() * FAULTS_PER_SECOND) as usize;
    let last = u64::try_from(shape.trouble.as_millis()).unwrap_or(u64::MAX);
    let trouble = (0..count).map(|_| Timed {
        at_ms: rng.random_range(0..last),
        step: draw(&mut rng, shape),
    });
    let mut trouble: Vec<_> = trouble.collect();
    trouble.sort_by_key(|s| s.at_ms);
    let calm = calm(&mut rng, shape);
    Plan { trouble, calm }
}

fn time(rng: &mut impl Rng) -> u64 {
    rng.random_range(FAULT_MS)
}

fn place(rng: &mut impl Rng, shape: &Shape) -> Place {
    let instance = rng.random_range(0..shape.instances);
    match rng.random_range(0..4) {
        0 => Place::Store(instance),
        1 => Place::Peer(instance),
        2 => Place::Callers(instance),
        _ => Place::Replica(rng.random_range(0..shape.replicas)),
    }
}

fn condition(rng: &mut impl Rng) -> Condition {
    match rng.random_range(0..4) {
        0 => Condition::Slow {
            delay_ms: rng.random_range(20..400),
        },
        1 => Condition::Silent,
        2 => Condition::AnswersHeld,
        _ => Condition::Refusing,
    }
}

fn behaviour(rng: &mut impl Rng) -> Behaviour {
    const ALL: [Behaviour; 6] = [
        Behaviour::Slow,
        Behaviour::Failing,
        Behaviour::Shedding,
        Behaviour::Truncating,
        Behaviour::Repeating,
        Behaviour::Mute,
    ];
    ALL[rng.random_range(0..ALL.len())]
}

/// A fault or a piece of planned work.
fn draw(rng: &mut impl Rng, shape: &Shape) -> Step {
    let instance = rng.random_range(0..shape.instances);
    let replica = rng.random_range(0..shape.replicas);
    let time_ms = time(rng);
    match rng.random_range(0..16) {
        0 => Step::Kill {
            instances: several(rng, shape.instances, INSTANCE_SHARES),
            down_ms: time_ms / 2,
        },
        1 => Step::Stop(instance),
        2 => Step::Pause { instance, time_ms },
        3 => Step::HangUp(instance),
        4 | 5 => Step::Link {
            place: place(rng, shape),
            condition: condition(rng),
            time_ms,
        },
        6 => Step::Reset(place(rng, shape)),
        7 => Step::Mute(place(rng, shape)),
        8 => Step::Outage {
            outage: match rng.random::<bool>() {
                true => Outage::Busy,
                false => Outage::Away,
            },
            time_ms,
        },
        9 => Step::Forget,
        10 => Step::Crash {
            replicas: several(rng, shape.replicas, REPLICA_SHARES),
            down_ms: time_ms,
        },
        11 | 12 => Step::Behave {
            replicas: several(rng, shape.replicas, REPLICA_SHARES),
            behaviour: behaviour(rng),
            time_ms,
        },
        13 => Step::Leave(replica),
        14 => Step::Evacuate {
            domain: rng.random_range(0..shape.domains),
            time_ms,
        },
        _ => Step::Configure {
            count: rng.random_range(1..6),
            gap_ms: rng.random_range(20..400),
            reshard: rng.random(),
        },
    }
}

/// One of `total`, and others with a probability that is drawn from `shares`.
fn several(rng: &mut impl Rng, total: usize, shares: [f64; 4]) -> Vec<usize> {
    let share = shares[rng.random_range(0..shares.len())];
    let one = rng.random_range(0..total);
    let chosen = (0..total).filter(|i| *i == one || rng.random_bool(share));
    chosen.collect()
}

/// Planned work that callers must not notice: first, in random order, what instances must follow
/// within a time limit, and then stops, after which their instances don't count as in touch.
fn calm(rng: &mut impl Rng, shape: &Shape) -> Vec<Timed> {
    let instance = rng.random_range(0..shape.instances);
    let configure = |reshard| Step::Configure {
        count: 1,
        gap_ms: 0,
        reshard,
    };
    let mut followed = [
        Step::HangUp((instance + 1) % shape.instances),
        configure(false),
        configure(true),
        Step::Leave(rng.random_range(0..shape.replicas)),
        Step::Evacuate {
            domain: rng.random_range(0..shape.domains),
            time_ms: EVACUATION_MS,
        },
    ];
    for last in (1..followed.len()).rev() {
        followed.swap(last, rng.random_range(0..=last));
    }
    let stops = [
        Step::Stop(instance),
        configure(rng.random()),
        Step::Stop((instance + 2) % shape.instances),
        Step::Leave(rng.random_range(0..shape.replicas)),
    ];
    let first = (0..).step_by(CALM_GAP_MS).zip(followed);
    let second = (STOPS_AT_MS..).step_by(STOP_GAP_MS).zip(stops);
    let steps = first.chain(second);
    steps.map(|(at_ms, step)| Timed { at_ms, step }).collect()
}
