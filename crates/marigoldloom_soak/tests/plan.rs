//! Tests the plans of soak runs.

use std::collections::BTreeSet;
use std::time::Duration;

use marigoldloom_soak::plan::{self, Sizes, Step};

const SIZES: Sizes = Sizes {
    instances: 6,
    replicas: 40,
    domains: 2,
    fault_phase: Duration::from_secs(14),
};

/// Guards against plans that can't be reproduced from their seed.
#[test]
fn same_seed_gives_the_same_plan() {
    for seed in 0..50 {
        assert_eq!(plan::generate(seed, &SIZES), plan::generate(seed, &SIZES));
    }
    assert_ne!(plan::generate(1, &SIZES), plan::generate(2, &SIZES));
}

/// Guards against kinds of steps that are never drawn.
#[test]
fn fifty_seeds_draw_every_kind_of_step() {
    let name = |step: &Step| {
        let debug = format!("{step:?}");
        debug.split([' ', '(']).next().unwrap().to_owned()
    };
    let plans = (0..50).map(|seed| plan::generate(seed, &SIZES));
    let names: BTreeSet<_> = plans
        .flat_map(|p| p.fault_steps)
        .map(|timed| name(&timed.step))
        .collect();
    let expected = [
        "Behave",
        "BreakEntry",
        "Chill",
        "Configure",
        "Crash",
        "CrashReplicas",
        "CrashSplit",
        "Decline",
        "Disturb",
        "Evacuate",
        "Forget",
        "HangUp",
        "Kill",
        "Leave",
        "LeaveLoaded",
        "Link",
        "Move",
        "Mute",
        "OddEntry",
        "Outage",
        "Pause",
        "Reset",
        "Restore",
        "Stop",
        "Stutter",
    ];
    assert_eq!(
        names.iter().map(String::as_str).collect::<Vec<_>>(),
        expected
    );
}

/// Guards against steps after the end of the fault phase and faults in the maintenance phase.
#[test]
fn phases_keep_their_time_and_their_steps() {
    for seed in 0..50 {
        let plan = plan::generate(seed, &SIZES);
        let last = SIZES.fault_phase.as_millis();
        assert!(plan.fault_steps.iter().all(|t| u128::from(t.at_ms) < last));
        let planned = |step: &Step| {
            matches!(
                step,
                Step::Stop(_)
                    | Step::HangUp(_)
                    | Step::Configure { .. }
                    | Step::Leave(_)
                    | Step::Evacuate { .. }
                    | Step::Chill { .. }
            )
        };
        assert!(
            plan.maintenance_steps.iter().all(|t| planned(&t.step)),
            "seed {seed}"
        );
    }
}

/// Guards against runs in which instances don't start under signals or don't return together.
#[test]
fn plans_signal_starts_and_return_all_instances() {
    for seed in 0..50 {
        let plan = plan::generate(seed, &SIZES);
        assert_eq!(plan.hang_ups.len(), SIZES.instances, "seed {seed}");
        let mut delays = plan.hang_ups.iter().flatten().flatten();
        assert!(delays.all(|us| *us < 30_000), "seed {seed}");
        let all = Step::Kill {
            instances: (0..SIZES.instances).collect(),
            down_ms: 1_000,
        };
        assert_eq!(plan.return_step.step, all, "seed {seed}");
    }
}
