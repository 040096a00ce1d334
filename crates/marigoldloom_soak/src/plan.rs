//! The schedule of a run, drawn from its seed.

use std::time::Duration;

use marigoldloom_standin::users::replica::Copy as SecondCopy;
use marigoldloom_standin::users::server::{Behaviour, Echo};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::Serialize;

use crate::plan::starts::{Disturbance, HangUps};
use crate::proxy::Condition;

pub mod starts;

/// Time from the last fault to the maintenance phase: longer than the time without a fault after
/// which the checks hold an instance to its time limits.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time from the kill of all instances after the fault phase to their start.
pub const RETURN_TIME: Duration = Duration::from_secs(1);

/// Steps drawn for each second of the fault phase.
const STEPS_PER_SECOND: f64 = 1.0;

/// Duration of a fault, in milliseconds.
const FAULT_TIME_MS: std::ops::Range<u64> = 300..4_000;

/// Probabilities, one of which is drawn for a step: each instance beside the first one is affected
/// with it.
const INSTANCE_PROBABILITIES: [f64; 4] = [0.0, 0.0, 0.5, 1.0];

/// Like `INSTANCE_PROBABILITIES`, for replicas.
const REPLICA_PROBABILITIES: [f64; 4] = [0.0, 0.1, 0.3, 0.7];

/// Milliseconds between two steps of the maintenance phase before the stops.
const MAINTENANCE_GAP_MS: usize = 1_500;

/// Milliseconds from the start of the maintenance phase to its first stop. All earlier steps are
/// over by then.
const FIRST_STOP_MS: u64 = 14_000;

/// Milliseconds from a stop signal to the next step. An instance exits 6 s after the signal at the
/// latest, and callers must still find other instances.
const STOP_GAP_MS: usize = 2_500;

/// Duration of an evacuation in the maintenance phase, in milliseconds. The domain must get no new
/// requests from 5 s on.
const EVACUATION_MS: u64 = 8_000;

/// Distinguishes the generator of moves and crashing requests from that of the other steps.
const INCIDENT_SEED: u64 = 0x5eed_cafe;

/// Distinguishes the generator of what replicas say and of odd store entries from the others.
const NOTICE_SEED: u64 = 0x0ddb_a11d;

/// Distinguishes the generator of the store's returns from older copies from the others.
const RETURN_SEED: u64 = 0x0c0b_1e5e;

/// Probability that a plan contains a return of the store, and that it contains another one soon after.
const RETURN_PROBABILITY: f64 = 0.5;

/// Probability that a plan contains a step of [`draw_notices`] other than the first one.
const NOTICE_PROBABILITY: f64 = 0.6;

/// Milliseconds before the end of an evacuation at which the replicas become cold.
const CHILL_LEAD_MS: u64 = 500;

/// Number of bytes of an odd store entry.
const ODD_BYTES: std::ops::Range<usize> = 8..60;

/// What a plan is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Number of instances of the query tier.
    pub instances: usize,
    /// Number of replicas at the start.
    pub replicas: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Length of the fault phase.
    pub fault_phase: Duration,
}

/// A link whose proxy can disrupt its connections. The numbers are indexes of instances and
/// replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// From an instance to the store.
    Store(usize),
    /// From other instances to an instance.
    Peer(usize),
    /// From callers to an instance.
    Callers(usize),
    /// From instances to a replica.
    Replica(usize),
}

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers each call with an error.
    Busy,
    /// It closes the connection of each call.
    Away,
}

/// How a new version differs from the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionFault {
    /// It doesn't.
    None,
    /// All requests fail.
    Fails,
    /// All requests fail from half of the move's window on.
    FailsLater,
    /// All replies are slow.
    Slow,
    /// Requests fail at the rate that the version gets after the move.
    FailsUnderLoad,
}

impl VersionFault {
    const ALL: [Self; 5] = [
        Self::None,
        Self::Fails,
        Self::FailsLater,
        Self::Slow,
        Self::FailsUnderLoad,
    ];

    /// How its replicas behave while it is bad; `None` if it is good.
    pub const fn behaviour(self) -> Option<Behaviour> {
        match self {
            Self::None => None,
            Self::Fails | Self::FailsLater => Some(Behaviour::Failing),
            Self::Slow => Some(Behaviour::Slow),
            Self::FailsUnderLoad => Some(Behaviour::FailingUnderLoad),
        }
    }
}

/// Kind of a store entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A replica's announcement.
    Replica,
    /// An evacuation.
    Evacuation,
    /// An order to move a service to a version.
    Rollout,
}

impl EntryKind {
    const ALL: [Self; 3] = [Self::Replica, Self::Evacuation, Self::Rollout];
}

/// A fault or a planned operation. Instances, replicas and failure domains are given by index.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Instances are killed and restarted.
    Kill {
        /// The instances.
        instances: Vec<usize>,
        /// Milliseconds from the kill to the restart.
        down_ms: u64,
    },
    /// An instance gets SIGTERM and is restarted once it has exited.
    Stop(usize),
    /// An instance is suspended with SIGSTOP.
    Pause {
        /// The instance.
        instance: usize,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// An instance gets SIGHUP.
    HangUp(usize),
    /// A link changes its condition.
    Link {
        /// The link.
        #[serde(rename = "place")]
        link: Link,
        /// How it treats connections.
        condition: Condition,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// The open connections of a link are reset.
    Reset(Link),
    /// The open connections of a link stop carrying bytes for good; new ones work.
    Mute(Link),
    /// The store fails.
    Outage {
        /// How it fails.
        outage: Outage,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// The store drops its event history, so that watches must list again.
    Forget,
    /// The store is away and comes back from an older copy.
    Restore {
        /// Milliseconds for which it is away.
        away_ms: u64,
        /// Age of the copy in milliseconds when the store goes away.
        age_ms: u64,
        /// Milliseconds from the return until what others than instances wrote is written again.
        again_ms: u64,
        /// Whether all instances are killed when it goes away.
        kill: bool,
    },
    /// Replicas crash and are restarted.
    Crash {
        /// The replicas.
        replicas: Vec<usize>,
        /// Milliseconds from the crash to the restart.
        down_ms: u64,
    },
    /// Replicas misbehave.
    Behave {
        /// The replicas.
        replicas: Vec<usize>,
        /// How they behave.
        behaviour: Behaviour,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// A replica drains and stops, and a replica of another service reuses its address.
    Leave(usize),
    /// A failure domain is evacuated: its replicas get no new requests.
    Evacuate {
        /// The failure domain.
        domain: usize,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// Traffic of a service moves to a new version.
    Move {
        /// Whether the service is a shard instead of the one of the fetch route.
        shard: bool,
        /// How the new version differs.
        fault: VersionFault,
        /// Seconds in which the move must be complete.
        window_s: u64,
    },
    /// A caller sends a request that crashes the replicas that run it, again and again.
    CrashReplicas {
        /// Whether it goes to all shards instead of one replica.
        query: bool,
        /// Number of times that it is sent.
        count: u32,
        /// Milliseconds between two of them.
        gap_ms: u64,
    },
    /// Replicas send some responses a second time, late.
    Stutter {
        /// The replicas.
        replicas: Vec<usize>,
        /// When the second copy is sent.
        copy: SecondCopy,
        /// Responses in which they echo the id of the attempt.
        echo: Echo,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// A replica leaves while it is slow and requests wait for it.
    LeaveLoaded {
        /// Whether it is one of the job service instead of the fetch service.
        job: bool,
        /// Whether it is slow.
        slow: bool,
        /// Milliseconds from its first response that tells so until its entry does.
        entry_ms: u64,
        /// Number of requests that are sent in addition.
        requests: u32,
        /// Milliseconds between two of them.
        gap_ms: u64,
    },
    /// Replicas refuse requests and want none for a time.
    Decline {
        /// Whether they are those of the job service instead of the fetch service.
        job: bool,
        /// Number of replicas.
        replicas: usize,
        /// The time that they state, in seconds.
        pause_s: u64,
        /// Number of requests that are sent in addition.
        requests: u32,
        /// Milliseconds between two of them.
        gap_ms: u64,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// The replicas of a failure domain become cold.
    Chill {
        /// The failure domain.
        domain: usize,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// A caller sends a request of a weighted split that crashes the replicas that run it, again
    /// and again.
    CrashSplit {
        /// Number of times that it is sent.
        count: u32,
        /// Milliseconds between two of them.
        gap_ms: u64,
    },
    /// The store has an entry with a string of random bytes.
    OddEntry {
        /// Kind of the entry.
        kind: EntryKind,
        /// Whether the string is one field of the entry instead of all of it.
        field: bool,
        /// The bytes. They can stand in a JSON string, but needn't be UTF-8.
        bytes: Vec<u8>,
        /// Duration in milliseconds.
        time_ms: u64,
    },
    /// New configurations are written to the store.
    Configure {
        /// Number of configurations.
        count: u32,
        /// Milliseconds between two configurations.
        gap_ms: u64,
        /// Whether the first one switches to another set of shards.
        reshard: bool,
    },
    /// An instance is disturbed, and gets SIGHUP meanwhile.
    Disturb {
        /// The instance.
        instance: usize,
        /// What disturbs it.
        disturbance: Disturbance,
        /// Whether it is killed and restarted at the beginning.
        restart: bool,
        /// Duration in microseconds, from the beginning of the program if it is restarted.
        time_us: u64,
    },
    /// The store has an entry that breaks the JSON around it.
    BreakEntry {
        /// Kind of the entry.
        kind: &'static str,
        /// Name of the entry.
        name: &'static str,
        /// Content of the entry.
        content: Vec<u8>,
        /// Duration in milliseconds. `None` if the entry stays until the end of the run.
        time_ms: Option<u64>,
    },
}

/// A step with its time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct TimedStep {
    /// Milliseconds from the start of the phase.
    pub at_ms: u64,
    /// What happens.
    pub step: Step,
}

/// The steps of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Plan {
    /// SIGHUPs at the starts of each instance.
    #[serde(rename = "starts")]
    pub hang_ups: Vec<HangUps>,
    /// Steps of the fault phase: faults and planned operations.
    #[serde(rename = "trouble")]
    pub fault_steps: Vec<TimedStep>,
    /// What follows the fault phase: all instances are killed and restarted.
    #[serde(rename = "return")]
    pub return_step: TimedStep,
    /// Steps of the maintenance phase: planned operations only.
    #[serde(rename = "calm")]
    pub maintenance_steps: Vec<TimedStep>,
}

/// Draws the steps of the run with `seed`. The same seed and sizes give the same plan.
pub fn generate(seed: u64, sizes: &Sizes) -> Plan {
    let mut rng = StdRng::seed_from_u64(seed);
    let count = (sizes.fault_phase.as_secs_f64() * STEPS_PER_SECOND) as usize;
    let last = u64::try_from(sizes.fault_phase.as_millis()).unwrap_or(u64::MAX);
    let fault_steps = (0..count).map(|_| TimedStep {
        at_ms: rng.random_range(0..last),
        step: draw_step(&mut rng, sizes),
    });
    let mut fault_steps: Vec<_> = fault_steps.collect();
    fault_steps.extend(draw_incidents(seed, last));
    fault_steps.extend(draw_notices(seed, last, sizes));
    let (hang_ups, start_steps) = starts::draw(seed, last, sizes);
    fault_steps.extend(start_steps);
    fault_steps.extend(draw_returns(seed, last));
    fault_steps.sort_by_key(|s| s.at_ms);
    let mut maintenance_steps = draw_maintenance(&mut rng, sizes);
    maintenance_steps.extend(draw_cold_return(seed, &maintenance_steps));
    maintenance_steps.sort_by_key(|s| s.at_ms);
    let return_step = Step::Kill {
        instances: (0..sizes.instances).collect(),
        down_ms: u64::try_from(RETURN_TIME.as_millis()).unwrap_or(u64::MAX),
    };
    Plan {
        hang_ups,
        fault_steps,
        return_step: TimedStep {
            at_ms: 0,
            step: return_step,
        },
        maintenance_steps,
    }
}

/// Draws moves of versions and crashing requests, with a generator of their own, so that the other
/// steps of a seed stay the same.
fn draw_incidents(seed: u64, last: u64) -> impl Iterator<Item = TimedStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ INCIDENT_SEED);
    let moved = Step::Move {
        shard: rng.random(),
        fault: VersionFault::ALL[rng.random_range(0..VersionFault::ALL.len())],
        window_s: rng.random_range(8..14),
    };
    let crash = Step::CrashReplicas {
        query: rng.random(),
        count: rng.random_range(12..20),
        gap_ms: rng.random_range(300..900),
    };
    let mut timed = |step| TimedStep {
        at_ms: rng.random_range(0..last / 2),
        step,
    };
    [timed(moved), timed(crash)].into_iter()
}

/// Draws what replicas say in their responses, cold returns and odd store entries, with a generator
/// of their own, so that the other steps of a seed stay the same.
fn draw_notices(seed: u64, last: u64, sizes: &Sizes) -> impl Iterator<Item = TimedStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ NOTICE_SEED);
    let stutter = TimedStep {
        at_ms: rng.random_range(0..last / 2),
        step: draw_stutter(&mut rng, sizes),
    };
    let domain = rng.random_range(0..sizes.domains);
    let (at_ms, time_ms) = (rng.random_range(0..last / 2), last / 2);
    let cold_return = [
        TimedStep {
            at_ms,
            step: Step::Evacuate { domain, time_ms },
        },
        draw_chill(&mut rng, domain, at_ms + time_ms),
    ];
    let others = [
        draw_leave(&mut rng),
        draw_decline(&mut rng),
        Step::CrashSplit {
            count: rng.random_range(12..20),
            gap_ms: rng.random_range(300..900),
        },
        draw_odd_entry(&mut rng),
    ];
    let timed = others.map(|step| {
        let drawn = rng.random_bool(NOTICE_PROBABILITY);
        let at_ms = rng.random_range(0..last / 2);
        drawn.then_some(TimedStep { at_ms, step })
    });
    let cold_return = rng.random_bool(NOTICE_PROBABILITY).then_some(cold_return);
    [stutter]
        .into_iter()
        .chain(timed.into_iter().flatten())
        .chain(cold_return.into_iter().flatten())
}

/// Draws returns of the store from an older copy, with a generator of their own, so that the other steps of
/// a seed stay the same.
fn draw_returns(seed: u64, last: u64) -> Vec<TimedStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ RETURN_SEED);
    let mut steps = Vec::new();
    let mut at_ms = rng.random_range(0..last / 2);
    while rng.random_bool(RETURN_PROBABILITY) && at_ms < last {
        let step = Step::Restore {
            away_ms: rng.random_range(200..3_000),
            age_ms: rng.random_range(1_000..10_000),
            again_ms: rng.random_range(0..1_500),
            kill: rng.random_ratio(1, 4),
        };
        steps.push(TimedStep { at_ms, step });
        at_ms += rng.random_range(4_000..10_000);
    }
    steps
}

/// The replicas of a domain whose evacuation ends at `end` become cold shortly before.
fn draw_chill(rng: &mut impl Rng, domain: usize, end: u64) -> TimedStep {
    TimedStep {
        at_ms: end.saturating_sub(CHILL_LEAD_MS),
        step: Step::Chill {
            domain,
            time_ms: rng.random_range(3_000..6_000),
        },
    }
}

fn draw_stutter(rng: &mut impl Rng, sizes: &Sizes) -> Step {
    const COPIES: [SecondCopy; 4] = [
        SecondCopy::Late,
        SecondCopy::AtNextRequest,
        SecondCopy::Split,
        SecondCopy::Anonymous,
    ];
    const ECHOES: [Echo; 4] = [Echo::All, Echo::Refusals, Echo::Answers, Echo::None];
    Step::Stutter {
        replicas: draw_subset(rng, sizes.replicas, REPLICA_PROBABILITIES),
        copy: COPIES[rng.random_range(0..COPIES.len())],
        echo: ECHOES[rng.random_range(0..ECHOES.len())],
        time_ms: rng.random_range(2_000..8_000),
    }
}

fn draw_leave(rng: &mut impl Rng) -> Step {
    Step::LeaveLoaded {
        job: rng.random(),
        slow: rng.random(),
        entry_ms: rng.random_range(0..6_000),
        requests: rng.random_range(60..180),
        gap_ms: rng.random_range(2..60),
    }
}

fn draw_decline(rng: &mut impl Rng) -> Step {
    Step::Decline {
        job: rng.random(),
        replicas: rng.random_range(1..4),
        pause_s: rng.random_range(1..5),
        requests: rng.random_range(60..180),
        gap_ms: rng.random_range(10..40),
        time_ms: rng.random_range(1_000..5_000),
    }
}

fn draw_odd_entry(rng: &mut impl Rng) -> Step {
    let count = rng.random_range(ODD_BYTES);
    let bytes = (0..count).map(|_| rng.random_range(b' '..=u8::MAX));
    let bytes = bytes.filter(|b| !matches!(b, b'"' | b'\\')).collect();
    Step::OddEntry {
        kind: EntryKind::ALL[rng.random_range(0..EntryKind::ALL.len())],
        field: rng.random(),
        bytes,
        time_ms: draw_time_ms(rng),
    }
}

fn draw_time_ms(rng: &mut impl Rng) -> u64 {
    rng.random_range(FAULT_TIME_MS)
}

fn draw_link(rng: &mut impl Rng, sizes: &Sizes) -> Link {
    let instance = rng.random_range(0..sizes.instances);
    match rng.random_range(0..4) {
        0 => Link::Store(instance),
        1 => Link::Peer(instance),
        2 => Link::Callers(instance),
        _ => Link::Replica(rng.random_range(0..sizes.replicas)),
    }
}

fn draw_condition(rng: &mut impl Rng) -> Condition {
    match rng.random_range(0..4) {
        0 => Condition::Slow {
            delay_ms: rng.random_range(20..400),
        },
        1 => Condition::Silent,
        2 => Condition::AnswersHeld,
        _ => Condition::Refusing,
    }
}

fn draw_behaviour(rng: &mut impl Rng) -> Behaviour {
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

/// Draws a fault or a planned operation.
fn draw_step(rng: &mut impl Rng, sizes: &Sizes) -> Step {
    let instance = rng.random_range(0..sizes.instances);
    let replica = rng.random_range(0..sizes.replicas);
    let time_ms = draw_time_ms(rng);
    match rng.random_range(0..16) {
        0 => Step::Kill {
            instances: draw_subset(rng, sizes.instances, INSTANCE_PROBABILITIES),
            down_ms: time_ms / 2,
        },
        1 => Step::Stop(instance),
        2 => Step::Pause { instance, time_ms },
        3 => Step::HangUp(instance),
        4 | 5 => Step::Link {
            link: draw_link(rng, sizes),
            condition: draw_condition(rng),
            time_ms,
        },
        6 => Step::Reset(draw_link(rng, sizes)),
        7 => Step::Mute(draw_link(rng, sizes)),
        8 => Step::Outage {
            outage: match rng.random::<bool>() {
                true => Outage::Busy,
                false => Outage::Away,
            },
            time_ms,
        },
        9 => Step::Forget,
        10 => Step::Crash {
            replicas: draw_subset(rng, sizes.replicas, REPLICA_PROBABILITIES),
            down_ms: time_ms,
        },
        11 | 12 => Step::Behave {
            replicas: draw_subset(rng, sizes.replicas, REPLICA_PROBABILITIES),
            behaviour: draw_behaviour(rng),
            time_ms,
        },
        13 => Step::Leave(replica),
        14 => Step::Evacuate {
            domain: rng.random_range(0..sizes.domains),
            time_ms,
        },
        _ => Step::Configure {
            count: rng.random_range(1..6),
            gap_ms: rng.random_range(20..400),
            reshard: rng.random(),
        },
    }
}

/// Draws one of the indexes below `total`, and each other one with a probability that is drawn
/// from `probabilities`.
fn draw_subset(rng: &mut impl Rng, total: usize, probabilities: [f64; 4]) -> Vec<usize> {
    let probability = probabilities[rng.random_range(0..probabilities.len())];
    let one = rng.random_range(0..total);
    let chosen = (0..total).filter(|i| *i == one || rng.random_bool(probability));
    chosen.collect()
}

/// Draws for each evacuation among `steps` that its replicas become cold before it ends.
fn draw_cold_return(seed: u64, steps: &[TimedStep]) -> Vec<TimedStep> {
    let mut rng = StdRng::seed_from_u64(seed ^ NOTICE_SEED);
    let evacuations = steps.iter().filter_map(|timed| match timed.step {
        Step::Evacuate { domain, time_ms } => Some((domain, timed.at_ms + time_ms)),
        _ => None,
    });
    let chills = evacuations.map(|(domain, end)| draw_chill(&mut rng, domain, end));
    chills.collect()
}

/// Draws planned operations that must not affect callers. Those that instances must apply within
/// a time limit come first, in random order: a stop is a disruption, and the checks don't hold a
/// disrupted instance to its time limits.
fn draw_maintenance(rng: &mut impl Rng, sizes: &Sizes) -> Vec<TimedStep> {
    let instance = rng.random_range(0..sizes.instances);
    let configure = |reshard| Step::Configure {
        count: 1,
        gap_ms: 0,
        reshard,
    };
    let mut timely = [
        Step::HangUp((instance + 1) % sizes.instances),
        configure(false),
        configure(true),
        Step::Leave(rng.random_range(0..sizes.replicas)),
        Step::Evacuate {
            domain: rng.random_range(0..sizes.domains),
            time_ms: EVACUATION_MS,
        },
    ];
    for last in (1..timely.len()).rev() {
        timely.swap(last, rng.random_range(0..=last));
    }
    let stops = [
        Step::Stop(instance),
        configure(rng.random()),
        Step::Stop((instance + 2) % sizes.instances),
        Step::Leave(rng.random_range(0..sizes.replicas)),
    ];
    let first = (0..).step_by(MAINTENANCE_GAP_MS).zip(timely);
    let second = (FIRST_STOP_MS..).step_by(STOP_GAP_MS).zip(stops);
    let steps = first.chain(second);
    steps
        .map(|(at_ms, step)| TimedStep { at_ms, step })
        .collect()
}
