//! Tests the division of the operators' allowance among the instances that send.

use std::time::Duration;

use marigoldloom_limits::allowance::{Allowance, Sender};

struct Case {
    name: &'static str,
    fixed: f64,
    regular: u32,
    others: u32,
}

/// Guards against instances that together send more extra attempts in a window than operators
/// allow, e.g. because a limit was not divided by their number.
#[test]
fn senders_together_stay_within_the_allowance() {
    let cases = [
        Case {
            name: "few instances",
            fixed: 54.0,
            regular: 5,
            others: 2,
        },
        Case {
            name: "many instances, few homes",
            fixed: 214.0,
            regular: 6,
            others: 81,
        },
        Case {
            name: "all instances send",
            fixed: 188.0,
            regular: 74,
            others: 0,
        },
    ];
    for case in cases {
        let allowance = Allowance {
            share: 0.2,
            fixed: case.fixed,
            window: Duration::from_secs(10),
        };
        let most = |sender| {
            let limits = allowance.limits(sender);
            assert!(limits.extra < 200, "{}", case.name);
            limits.burst as f64 + limits.refill_rate as f64 * 10.0 / 1_000.0
        };
        let regular = f64::from(case.regular) * most(Sender::Regular(case.regular));
        let others = f64::from(case.others) * most(Sender::Other(case.others));
        let sum = regular + others;
        assert!(
            sum <= case.fixed,
            "{}: {sum} of {} allowed",
            case.name,
            case.fixed
        );
    }
}
