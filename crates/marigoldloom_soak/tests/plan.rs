//! Guards the plans of the soak.

use std::collections::BTreeSet;
use std::time::Duration;

use marigoldloom_soak::plan::{self, Shape, Step};

const SHAPE: Shape = Shape {
    instances: 6,
    replicas: 40,
    domains: 2,
    trouble: Duration::from_secs(14),
};

/// Guards against runs that a seed does not repeat.
#[test]
fn seed_decides_the_plan() {
    for seed in 0..50 {
        assert_eq!(plan::plan(seed, &SHAPE), plan::plan(seed, &SHAPE));
    }
    assert_ne!(plan::plan(1, &SHAPE), plan::plan(2, &SHAPE));
}

/// Guards against a kind of fault that no seed draws.
#[test]
fn fifty_seeds_draw_every_kind_of_step() {
    let name = |step: &Step| {
        let debug = format!("{step:?}");
        debug.split([' ', '(']).next().unwrap().to_owned()
    };
    let plans = (0..50).map(|seed| plan::plan(seed, &SHAPE));
    let names: BTreeSet<_> = plans
        .flat_map(|p| p.trouble)
        .map(|timed| name(&timed.step))
        .collect();
    let expected = [
        "Behave",
        "Configure",
        "Crash",
        "Evacuate",
        "Forget",
        "HangUp",
        "Kill",
        "Leave",
        "Link",
        "Mute",
        "Outage",
        "Pause",
        "Reset",
        "Stop",
    ];
    assert_eq!(
        names.iter().map(String::as_str).collect::<Vec<_>>(),
        expected
    );
}

/// Guards against steps after the time of trouble, and against a calm part with faults.
#[test]
fn parts_keep_their_time_and_their_steps() {
    for seed in 0..50 {
        let plan = plan::plan(seed, &SHAPE);
        let last = SHAPE.trouble.as_millis();
        assert!(plan.trouble.iter().all(|t| u128::from(t.at_ms) < last));
        let planned = |step: &Step| {
            matches!(
                step,
                Step::Stop(_)
                    | Step::HangUp(_)
                    | Step::Configure { .. }
                    | Step::Leave(_)
                    | Step::Evacuate { .. }
            )
        };
        assert!(plan.calm.iter().all(|t| planned(&t.step)), "seed {seed}");
    }
}
