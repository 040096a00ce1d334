//! Simulates moves to good and bad versions on eight instances, with fixed seeds.

mod fleet;

use std::ops::Range;
use std::time::Duration;

use fleet::{Outcome, Scenario};
use marigoldloom_records::version_move::Phase;

const GOOD_SEEDS: Range<u64> = 0..50;
const BAD_SEEDS: Range<u64> = 0..20;

/// Seeds other than those that the constants of the comparison were chosen with.
const LONG_GOOD_SEEDS: Range<u64> = 1_000..1_200;
const LONG_BAD_SEEDS: Range<u64> = 1_000..1_100;

/// Maximum time from evidence of a fault to the last request to the new version.
const MAX_STOP_TIME: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    scenario: Scenario,
}

fn good_cases() -> Vec<Case> {
    let base = Scenario::default();
    vec![
        Case {
            name: "plain",
            scenario: base,
        },
        Case {
            name: "both slow",
            scenario: Scenario {
                both_bad: Some((60, 90)),
                ..base
            },
        },
        Case {
            name: "both slow at the last step",
            scenario: Scenario {
                both_bad: Some((130, 150)),
                ..base
            },
        },
        Case {
            name: "platform down",
            scenario: Scenario {
                outage: Some((10, 150)),
                ..base
            },
        },
        Case {
            name: "platform down beyond the deadline",
            scenario: Scenario {
                outage: Some((100, 230)),
                ..base
            },
        },
        Case {
            name: "instance paused",
            scenario: Scenario {
                pause: Some((150, 175)),
                min_duration: 190,
                ..base
            },
        },
        Case {
            name: "cold at first",
            scenario: Scenario {
                cold_until: 30,
                ..base
            },
        },
    ]
}

fn bad_cases() -> Vec<Case> {
    let base = Scenario {
        failure_rate: 300,
        ..Scenario::default()
    };
    let slow = Scenario {
        slow_rate: 800,
        ..Scenario::default()
    };
    vec![
        Case {
            name: "fails",
            scenario: Scenario {
                failure_rate: 1_000,
                ..base
            },
        },
        Case {
            name: "fails sometimes",
            scenario: Scenario {
                failure_rate: 150,
                ..base
            },
        },
        Case {
            name: "slow",
            scenario: Scenario {
                slow_rate: 1_000,
                ..slow
            },
        },
        Case {
            name: "slow often",
            scenario: Scenario {
                slow_rate: 600,
                ..slow
            },
        },
        Case {
            name: "fails at 5%",
            scenario: Scenario {
                fault_start: 35,
                ..base
            },
        },
        Case {
            name: "fails at 25%",
            scenario: Scenario {
                fault_start: 60,
                ..base
            },
        },
        Case {
            name: "fails at 50%",
            scenario: Scenario {
                fault_start: 100,
                ..base
            },
        },
        Case {
            name: "fails at 98%",
            scenario: Scenario {
                fault_start: 140,
                ..base
            },
        },
        Case {
            name: "slow at 98%",
            scenario: Scenario {
                fault_start: 140,
                ..slow
            },
        },
        Case {
            name: "fails while cold",
            scenario: Scenario {
                cold_until: 200,
                ..base
            },
        },
        Case {
            name: "fails under load",
            scenario: Scenario {
                min_load: 8,
                ..base
            },
        },
        Case {
            name: "slow under load",
            scenario: Scenario {
                min_load: 16,
                ..slow
            },
        },
        Case {
            name: "fails on one route",
            scenario: Scenario {
                fault_route: Some("tag"),
                ..base
            },
        },
        Case {
            name: "slow on one route, later",
            scenario: Scenario {
                fault_route: Some("tag"),
                fault_start: 90,
                ..slow
            },
        },
        Case {
            name: "fails while both are slow",
            scenario: Scenario {
                both_bad: Some((0, 260)),
                evident_results: 40,
                ..base
            },
        },
        Case {
            name: "fails while the platform is down",
            scenario: Scenario {
                fault_start: 60,
                outage: Some((20, 150)),
                ..base
            },
        },
        Case {
            name: "fails while an instance is paused",
            scenario: Scenario {
                fault_start: 60,
                pause: Some((50, 80)),
                min_duration: 100,
                ..base
            },
        },
    ]
}

fn ratio(counts: impl Iterator<Item = (u64, u64)>) -> f64 {
    let (part, whole) = counts.fold((0, 0), |sum, (p, w)| (sum.0 + p, sum.1 + w));
    part as f64 / whole as f64
}

/// Guards against taking back or delaying good versions, and against a share above 5% before the
/// proof or above 1% without evidence.
#[test]
fn good_versions_complete_in_time() {
    check_good(&GOOD_SEEDS);
}

/// Guards against constants that hold only for the seeds of the test above.
#[test]
#[ignore = "takes minutes"]
fn good_versions_complete_in_time_long() {
    check_good(&LONG_GOOD_SEEDS);
}

#[expect(clippy::print_stdout, reason = "called by tests only")]
fn check_good(seeds: &Range<u64>) {
    let mut all = Vec::new();
    for case in good_cases() {
        let outcomes = fleet::run_all(seeds.clone(), case.scenario);
        let done = outcomes
            .iter()
            .filter(|o| o.status.phase == Phase::Done)
            .count();
        println!("{}: {done} of {} completed", case.name, outcomes.len());
        all.extend(outcomes);
    }
    let completed = all.iter().filter(|o| o.status.phase == Phase::Done).count();
    let taken_back = all
        .iter()
        .filter(|o| o.status.phase == Phase::TakenBack)
        .count();
    let before_proof = ratio(all.iter().map(|o| o.before_proof));
    let without_evidence = ratio(all.iter().map(|o| o.without_evidence));
    println!(
        "{completed} of {} completed, {taken_back} taken back",
        all.len()
    );
    println!("share before proof {before_proof:.4}, without evidence {without_evidence:.4}");
    assert!(completed * 100 > all.len() * 99, "{completed} completed");
    assert!(taken_back * 100 < all.len(), "{taken_back} taken back");
    assert!(
        before_proof <= 0.05 && without_evidence <= 0.01,
        "shares {before_proof} and {without_evidence}"
    );
    assert!(
        all.iter().all(|o| o.rewrites == 0),
        "a final status was written again"
    );
}

/// Guards against bad versions that aren't detected, stop too late or get requests again.
#[test]
fn bad_versions_are_taken_back_within_the_bound() {
    check_bad(&BAD_SEEDS);
}

/// Guards against constants that hold only for the seeds of the test above.
#[test]
#[ignore = "takes minutes"]
fn bad_versions_are_taken_back_within_the_bound_long() {
    check_bad(&LONG_BAD_SEEDS);
}

#[expect(clippy::print_stdout, reason = "called by tests only")]
fn check_bad(seeds: &Range<u64>) {
    for case in bad_cases() {
        let outcomes = fleet::run_all(seeds.clone(), case.scenario);
        let stops: Vec<_> = outcomes.iter().map(|o| stop_time(case.name, o)).collect();
        let slowest = stops.into_iter().max().unwrap_or_default();
        let before_proof = ratio(outcomes.iter().map(|o| o.before_proof));
        println!(
            "{}: stopped within {slowest:?}, share before proof {before_proof:.4}",
            case.name
        );
        assert!(before_proof <= 0.05, "{}: {before_proof}", case.name);
    }
}

/// Returns the time from evidence of the fault to the last request to the new version.
fn stop_time(name: &str, outcome: &Outcome) -> Duration {
    let context = format!("{name}: {outcome:?}");
    assert_eq!(outcome.status.phase, Phase::TakenBack, "{context}");
    assert_eq!((outcome.resumed, outcome.rewrites), (0, 0), "{context}");
    let evident = outcome.evident_at.unwrap_or(outcome.last_new);
    let time = outcome.last_new.saturating_sub(evident);
    assert!(time <= MAX_STOP_TIME, "stopped after {time:?}: {context}");
    time
}

struct Expectation {
    name: &'static str,
    scenario: Scenario,
    reason: &'static str,
}

/// Guards against moves that continue without proof, beyond the new version's capacity or after the
/// operator asked to take them back.
#[test]
fn moves_end_for_the_stated_reason() {
    let base = Scenario::default();
    let expectations = [
        Expectation {
            name: "rare route",
            scenario: Scenario {
                rare_route: true,
                ..base
            },
            reason: "proof is missing at the deadline on route \"replay\"",
        },
        Expectation {
            name: "no traffic",
            scenario: Scenario {
                burst_size: 0,
                ..base
            },
            reason: "no evidence exists at the deadline",
        },
        Expectation {
            name: "operator at once",
            scenario: Scenario {
                take_back: Some(0),
                ..base
            },
            reason: "the operator asked for it",
        },
        Expectation {
            name: "operator at 98%",
            scenario: Scenario {
                take_back: Some(150),
                ..base
            },
            reason: "the operator asked for it",
        },
        Expectation {
            name: "no capacity",
            scenario: Scenario {
                warm_capacity: Some(0),
                ..base
            },
            reason: "the move wasn't complete at the deadline",
        },
        Expectation {
            name: "too little capacity",
            scenario: Scenario {
                warm_capacity: Some(300),
                ..base
            },
            reason: "the move wasn't complete at the deadline",
        },
        Expectation {
            name: "too short",
            scenario: Scenario {
                duration: 30,
                ..base
            },
            reason: "the move wasn't complete at the deadline",
        },
    ];
    for expectation in expectations {
        for outcome in fleet::run_all(0..8, expectation.scenario) {
            let context = format!("{}: {outcome:?}", expectation.name);
            assert_eq!(outcome.status.phase, Phase::TakenBack, "{context}");
            assert_eq!(outcome.status.reason, expectation.reason, "{context}");
            let warm = expectation.scenario.warm_capacity.unwrap_or(1_000);
            let within = outcome.new_requests * 1_000 <= outcome.requests * warm;
            assert!(within, "more than the capacity: {context}");
            assert_eq!((outcome.resumed, outcome.rewrites), (0, 0), "{context}");
        }
    }
}

/// Guards against undoing a completed move, wholly or partly, because an operator asks to take it
/// back at the time of its completion.
#[test]
fn take_back_during_completion_yields_one_final_phase() {
    for tenths in 0..20 {
        let scenario = Scenario {
            take_back: Some(158 + tenths / 4),
            min_duration: 190,
            ..Scenario::default()
        };
        let outcome = fleet::run(tenths, scenario);
        let phase = outcome.status.phase;
        assert_ne!(phase, Phase::Running, "{outcome:?}");
        // If the intent is written after the final phase, that is one more write, which changes no
        // phase.
        assert!(outcome.rewrites <= 1, "{outcome:?}");
        assert_eq!(outcome.resumed, 0, "{outcome:?}");
    }
}
