//! Draws what disturbs starts, and store entries that break the JSON around them, with a generator of
//! their own, so that the other steps of a seed stay the same.

use std::ops::Range;

use marigoldloom_standin::users::documents::{CONFIGURATION, EVACUATIONS, REPLICAS, ROLLOUTS};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::Serialize;

use super::{Sizes, Step, TimedStep};

/// Distinguishes the generator of these steps from the others.
const START_SEED: u64 = 0x57a7_7ed0;

/// Probability that an instance gets SIGHUP while it starts.
const HANG_UP_PROBABILITY: f64 = 0.4;

/// Time from the beginning of a program to a signal, in microseconds.
const SIGNAL_DELAY_US: Range<u64> = 500..30_000;

/// Range of most of these times, in which programs prepare to run.
const EARLY_DELAY_US: Range<u64> = 500..3_000;

/// Number of starts of an instance that are drawn. Later ones get the signals of these.
const STARTS: usize = 8;

/// Probability that a plan contains a disturbance or an entry.
const STEP_PROBABILITY: f64 = 0.6;

/// Milliseconds from an entry to the steps that follow it, and from its end to the next one.
const ENTRY_GAP_MS: u64 = 500;

/// Kinds of store entries, the last two of which are the program's own.
const KINDS: [&str; 6] = [
    REPLICAS,
    CONFIGURATION,
    EVACUATIONS,
    ROLLOUTS,
    "marigoldloom-instances",
    "marigoldloom-state",
];

/// Names that precede, divide and follow those of other entries.
const NAMES: [&str; 3] = ["-broken", "i-broken", "~broken"];

/// Contents of entries that break the JSON around them. Random bytes are used beside these.
const CONTENTS: [&[u8]; 4] = [
    b"\"files",
    b"{\"Service\":[{\"a\":[",
    b"{}}]}",
    b"{\"Service\":\"files\",\"Address\":\"127.0.0.1:80",
];

/// Times from the beginning of the program to each SIGHUP in microseconds, for each start of an
/// instance.
pub type HangUps = Vec<Vec<u64>>;

/// What an instance meets while it starts or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Disturbance {
    /// It gets SIGTERM at the end of the disturbance.
    Stop,
    /// Another socket has one of its addresses, given by index.
    AddressInUse(usize),
    /// Its settings file has only this share of its bytes, in percent.
    TruncatedSettings(usize),
    /// Another settings file with the same content takes the name of the old one.
    RenamedSettings,
    /// Its settings aren't valid.
    InvalidSettings,
    /// Its settings file doesn't exist.
    NoSettings,
}

/// Draws the signals at the starts, and steps of a fault phase that ends after `last` milliseconds.
pub(super) fn draw(seed: u64, last: u64, sizes: &Sizes) -> (Vec<HangUps>, Vec<TimedStep>) {
    let mut rng = StdRng::seed_from_u64(seed ^ START_SEED);
    let mut steps = draw_entries(&mut rng, last, sizes);
    let address = Disturbance::AddressInUse(rng.random_range(0..3));
    let truncated = Disturbance::TruncatedSettings(rng.random_range(0..100));
    let disturbances = [
        (Disturbance::Stop, true, EARLY_DELAY_US),
        (address, true, 200_000..3_000_000),
        (truncated, rng.random(), 0..200_000),
        (Disturbance::RenamedSettings, rng.random(), SIGNAL_DELAY_US),
        (
            Disturbance::InvalidSettings,
            rng.random(),
            2_000_000..2_000_001,
        ),
        (Disturbance::NoSettings, rng.random(), 1_000_000..1_000_001),
    ];
    for (disturbance, restart, times) in disturbances {
        let at_ms = rng.random_range(0..last);
        let step = Step::Disturb {
            instance: rng.random_range(0..sizes.instances),
            disturbance,
            restart,
            time_us: rng.random_range(times),
        };
        if rng.random_bool(STEP_PROBABILITY) {
            steps.push(TimedStep { at_ms, step });
        }
    }
    let mut draw_start = || {
        let count = match rng.random_bool(HANG_UP_PROBABILITY) {
            true => rng.random_range(1..4),
            false => 0,
        };
        let ranges = [EARLY_DELAY_US, EARLY_DELAY_US, SIGNAL_DELAY_US];
        let delays = ranges.into_iter().take(count);
        delays.map(|range| rng.random_range(range)).collect()
    };
    let mut draw_starts = || (0..STARTS).map(|_| draw_start()).collect();
    let hang_ups = (0..sizes.instances).map(|_| draw_starts()).collect();
    (hang_ups, steps)
}

/// Draws an entry that is removed and a later one that stays, each followed by a new configuration
/// and a new replica.
fn draw_entries(rng: &mut impl Rng, last: u64, sizes: &Sizes) -> Vec<TimedStep> {
    let at_ms = rng.random_range(0..last / 2);
    let time_ms = rng.random_range(2_000..8_000);
    let later = at_ms + time_ms + ENTRY_GAP_MS;
    let mut steps = Vec::new();
    for (at_ms, time_ms) in [(at_ms, Some(time_ms)), (later, None)] {
        let random = (0..256).map(|_| rng.random()).collect();
        let number = rng.random_range(0..=CONTENTS.len());
        let entry = Step::BreakEntry {
            kind: KINDS[rng.random_range(0..KINDS.len())],
            name: NAMES[rng.random_range(0..NAMES.len())],
            content: CONTENTS.get(number).map_or(random, |c| c.to_vec()),
            time_ms,
        };
        let configure = Step::Configure {
            count: 1,
            gap_ms: 0,
            reshard: rng.random(),
        };
        let leave = Step::Leave(rng.random_range(0..sizes.replicas));
        if rng.random_bool(STEP_PROBABILITY) && at_ms + ENTRY_GAP_MS < last {
            let gaps = [0, ENTRY_GAP_MS, ENTRY_GAP_MS].map(|gap| at_ms + gap);
            let timed = gaps.into_iter().zip([entry, configure, leave]);
            steps.extend(timed.map(|(at_ms, step)| TimedStep { at_ms, step }));
        }
    }
    steps
}
