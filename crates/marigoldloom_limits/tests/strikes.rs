//! Tests how many strikes the ends of upstreams add up to.

use marigoldloom_limits::fingerprint::{CrashTracker, FatalRun, Fingerprint};
use marigoldloom_runtime::time::WallTime;

/// A run that ended with its upstream.
struct Crash {
    /// Index of the instance that sent it.
    instance: usize,
    upstream: &'static str,
    /// When it was sent and when the end was noticed, in milliseconds.
    sent: u64,
    ended: u64,
}

const fn crash(instance: usize, upstream: &'static str, sent: u64, ended: u64) -> Crash {
    Crash {
        instance,
        upstream,
        sent,
        ended,
    }
}

/// Guards against one end of an upstream that counts several times, and against an end that doesn't
/// count because the upstream ended before.
#[test]
fn each_end_of_an_upstream_is_one_strike() {
    struct Case {
        name: &'static str,
        crashes: Vec<Crash>,
        strikes: u32,
    }
    let cases = [
        Case {
            name: "runs of one instance on one process",
            crashes: vec![
                crash(0, "a", 1_000, 1_500),
                crash(0, "a", 1_100, 1_501),
                crash(0, "a", 1_400, 1_900),
            ],
            strikes: 1,
        },
        Case {
            name: "runs of three instances on one process, not in touch",
            crashes: vec![
                crash(0, "a", 1_000, 1_500),
                crash(1, "a", 1_100, 1_520),
                crash(2, "a", 1_400, 1_600),
            ],
            strikes: 1,
        },
        Case {
            name: "the same upstream after its return",
            crashes: vec![
                crash(0, "a", 1_000, 1_100),
                crash(0, "a", 1_600, 1_700),
                crash(1, "a", 2_200, 2_300),
            ],
            strikes: 3,
        },
        Case {
            name: "several upstreams at a time",
            crashes: vec![
                crash(0, "a", 1_000, 1_100),
                crash(0, "b", 1_000, 1_100),
                crash(1, "c", 1_000, 1_100),
            ],
            strikes: 3,
        },
        Case {
            name: "another clock is an hour ahead",
            crashes: vec![
                crash(0, "a", 3_601_000, 3_601_100),
                crash(1, "a", 2_000, 2_100),
                crash(1, "a", 3_000, 3_100),
            ],
            strikes: 3,
        },
    ];
    let fingerprint = Fingerprint::new(&["search"], b"same");
    for case in cases {
        let trackers = [(); 3].map(|()| CrashTracker::new());
        let mut records = [const { None }; 3];
        for crash in &case.crashes {
            let run = FatalRun {
                upstream: crash.upstream,
                sent: WallTime(crash.sent),
            };
            let tracker = &trackers[crash.instance];
            let own = tracker.add_strike(WallTime(crash.ended), fingerprint, Some(run));
            records[crash.instance] = own.or(records[crash.instance].take());
        }
        let reader = CrashTracker::new();
        for (origin, own) in ["x", "y", "z"].into_iter().zip(records) {
            if let Some(own) = own {
                reader.merge(origin, fingerprint, own);
            }
        }
        let strikes = reader.strike_count(WallTime(4_000), fingerprint);
        assert_eq!(strikes, case.strikes, "{}", case.name);
    }
}
