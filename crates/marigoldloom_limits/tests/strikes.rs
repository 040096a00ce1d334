//! Tests how many strikes the ends of upstreams add up to.

use marigoldloom_limits::fingerprint::{
    CrashTracker, FatalRun, Fingerprint, SAVED_ORIGIN, STRIKE_LIMIT, Status, Strikes,
};
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
        let trackers = [1, 2, 3].map(CrashTracker::new);
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
        let reader = CrashTracker::new(9);
        for (origin, own) in ["x", "y", "z"].into_iter().zip(records) {
            if let Some(own) = own {
                reader.merge(origin, fingerprint, own);
            }
        }
        let strikes = reader.strike_count(WallTime(4_000), fingerprint);
        assert_eq!(strikes, case.strikes, "{}", case.name);
    }
}

/// Names of the instances.
const ORIGINS: [&str; 4] = ["w", "x", "y", "z"];

/// Sends what the instance `from` recorded to the others that `reached` returns true for.
fn share(
    trackers: &[CrashTracker],
    from: usize,
    fingerprint: Fingerprint,
    record: &Strikes,
    reached: impl Fn(usize) -> bool,
) {
    for (index, tracker) in trackers.iter().enumerate() {
        if index != from && reached(index) {
            tracker.merge(ORIGINS[from], fingerprint, record.clone());
        }
    }
}

/// Guards against trials of a refused request that are too many in sum, and against a request that
/// stays refused though an upstream survived its trial.
#[test]
fn trials_of_a_refused_request_are_few_over_all_instances() {
    struct Case {
        name: &'static str,
        /// Instances that recorded one strike each, in this order.
        strikes: Vec<usize>,
        /// Time between two strikes in milliseconds.
        period: u64,
        /// Instances that end after the strikes; others with the same records replace them.
        replaced: Vec<usize>,
        /// Whether upstreams survive the trials.
        harmless: bool,
        trials: u32,
    }
    let cases = [
        Case {
            name: "strikes of one instance",
            strikes: vec![0, 0, 0],
            period: 1_000,
            replaced: vec![],
            harmless: false,
            trials: 2,
        },
        Case {
            name: "strikes of three instances",
            strikes: vec![0, 1, 2],
            period: 1_000,
            replaced: vec![],
            harmless: false,
            trials: 2,
        },
        Case {
            name: "many strikes",
            strikes: vec![0, 1, 2, 3, 0, 1, 2, 3],
            period: 1_000,
            replaced: vec![],
            harmless: false,
            trials: 2,
        },
        Case {
            name: "strikes at the same moment",
            strikes: vec![0, 1, 2, 3],
            period: 0,
            replaced: vec![],
            harmless: true,
            trials: 1,
        },
        Case {
            name: "the instance with the latest strike is replaced",
            strikes: vec![0, 1, 2],
            period: 1_000,
            replaced: vec![2],
            harmless: false,
            trials: 2,
        },
        Case {
            name: "all instances are replaced",
            strikes: vec![0, 1, 2],
            period: 1_000,
            replaced: vec![0, 1, 2, 3],
            harmless: false,
            trials: 2,
        },
        Case {
            name: "upstreams survive",
            strikes: vec![0, 1, 2],
            period: 1_000,
            replaced: vec![],
            harmless: true,
            trials: 1,
        },
    ];
    let fingerprint = Fingerprint::new(&["search"], b"same");
    for case in cases {
        let mut trackers = [1, 2, 3, 4].map(CrashTracker::new);
        let mut records: [Option<Strikes>; 4] = [const { None }; 4];
        for (number, from) in (1..).zip(&case.strikes) {
            let now = WallTime(1_000 + number * case.period);
            let own = trackers[*from].add_strike(now, fingerprint, None).unwrap();
            share(&trackers, *from, fingerprint, &own, |_| true);
            records[*from] = Some(own);
        }
        for index in &case.replaced {
            trackers[*index] = CrashTracker::new(5);
            for (origin, record) in ORIGINS.iter().zip(&records) {
                // The new process publishes under another name.
                if let Some(record) = record {
                    trackers[*index].merge(origin, fingerprint, record.clone());
                }
            }
        }
        let mut trials = 0;
        let last = 1_000 + u64::try_from(case.strikes.len()).unwrap() * case.period;
        // The request comes to each instance every second.
        for second in 0..500 {
            for from in 0..4 {
                let now = WallTime(last + second * 1_000);
                let Some(own) = trackers[from].begin_trial(now, &[fingerprint]) else {
                    continue;
                };
                let [(_, own)] = &own[..] else {
                    unreachable!("there is one fingerprint");
                };
                trials += 1;
                assert!(second >= 10, "{}: a trial after {second} s", case.name);
                share(&trackers, from, fingerprint, own, |_| true);
                let own = match case.harmless {
                    true => trackers[from].clear_strikes(now, fingerprint),
                    false => trackers[from].add_strike(now, fingerprint, None),
                };
                share(&trackers, from, fingerprint, &own.unwrap(), |_| true);
            }
        }
        assert_eq!(trials, case.trials, "{}", case.name);
        let now = WallTime(last + 30_000);
        let refused =
            |t: &CrashTracker| matches!(t.status(now, fingerprint), Status::Quarantined(_));
        let refused = trackers.iter().filter(|t| refused(t)).count();
        let expected = if case.harmless { 0 } else { 4 };
        assert_eq!(refused, expected, "{}", case.name);
    }
}

/// Guards against a refused request that nobody tries: the instance with the latest strike against
/// one of its fingerprints isn't the one with the latest strike against the other.
#[test]
fn fingerprints_of_a_request_agree_on_who_tries_it() {
    struct Case {
        name: &'static str,
        /// Instance, index of the fingerprint and time of each strike, in milliseconds.
        strikes: Vec<(usize, usize, u64)>,
    }
    let cases = [
        Case {
            name: "in the same order",
            strikes: vec![(0, 0, 1_000), (0, 1, 1_000), (1, 0, 1_001), (1, 1, 1_001)],
        },
        Case {
            name: "both record an end at the same time",
            strikes: vec![(0, 0, 1_000), (1, 0, 1_001), (1, 1, 1_001), (0, 1, 1_002)],
        },
        Case {
            name: "a strike is counted after one with a later time",
            strikes: vec![
                (0, 0, 1_000),
                (0, 1, 1_000),
                (1, 0, 1_002),
                (1, 1, 1_002),
                (1, 0, 998),
                (1, 1, 998),
            ],
        },
        Case {
            name: "one records a later end at another service",
            strikes: vec![
                (0, 0, 1_000),
                (0, 1, 1_000),
                (1, 0, 1_200),
                (1, 1, 1_200),
                (0, 1, 1_900),
            ],
        },
    ];
    let fingerprints = [b"service", b"callers"].map(|body| Fingerprint::new(&["search"], body));
    for case in cases {
        let trackers = [1, 2].map(CrashTracker::new);
        let mut records = Vec::new();
        for (from, fingerprint, at) in &case.strikes {
            let fingerprint = fingerprints[*fingerprint];
            for _ in 0..STRIKE_LIMIT {
                let own = trackers[*from].add_strike(WallTime(*at), fingerprint, None);
                records.push((*from, fingerprint, own.unwrap()));
            }
        }
        for (from, fingerprint, own) in &records {
            share(&trackers, *from, *fingerprint, own, |_| true);
        }
        let mut trials = Vec::new();
        for second in 0..20 {
            for (from, tracker) in trackers.iter().enumerate() {
                let now = WallTime(2_000 + second * 1_000);
                for (fingerprint, own) in tracker
                    .begin_trial(now, &fingerprints)
                    .into_iter()
                    .flatten()
                {
                    trials.push((from, second));
                    share(&trackers, from, fingerprint, &own, |_| true);
                }
            }
        }
        let seconds: Vec<_> = trials.iter().map(|(_, second)| *second).collect();
        assert!(
            matches!(seconds[..], [9..=10, 9..=10]),
            "{}: {trials:?}",
            case.name
        );
    }
}

/// Guards against a harmless request that is refused for minutes after the loss of all instances: those
/// that read the saved strikes have none of their own.
#[test]
fn saved_strikes_of_a_harmless_request_are_cleared_by_new_instances() {
    struct Case {
        name: &'static str,
        /// Trials before the loss.
        trials: u32,
        harmless: bool,
        /// Trials afterwards.
        expected: u32,
    }
    let cases = [
        Case {
            name: "harmless",
            trials: 0,
            harmless: true,
            expected: 1,
        },
        Case {
            name: "crashing",
            trials: 0,
            harmless: false,
            expected: 2,
        },
        Case {
            name: "crashing and tried once before",
            trials: 1,
            harmless: false,
            expected: 1,
        },
        Case {
            name: "tried twice before",
            trials: 2,
            harmless: false,
            expected: 0,
        },
    ];
    let fingerprints = [b"service", b"callers"].map(|body| Fingerprint::new(&["search"], body));
    for case in cases {
        let trackers = [1, 2, 3, 4].map(CrashTracker::new);
        let saved = Strikes {
            count: STRIKE_LIMIT,
            latest: WallTime(1_000),
            trials: case.trials,
            ..Strikes::default()
        };
        for (tracker, fingerprint) in trackers.iter().flat_map(|t| fingerprints.map(|f| (t, f))) {
            tracker.merge(SAVED_ORIGIN, fingerprint, saved.clone());
        }
        let mut trials = Vec::new();
        // The request comes to each instance every 100 ms, and records reach the others before the next.
        for step in 0..5_000 {
            let now = WallTime(1_000 + step * 100);
            for from in 0..trackers.len() {
                let Some(begun) = trackers[from].begin_trial(now, &fingerprints) else {
                    continue;
                };
                trials.push(step * 100);
                for (fingerprint, own) in begun {
                    share(&trackers, from, fingerprint, &own, |_| true);
                    let own = match case.harmless {
                        true => trackers[from].clear_strikes(now, fingerprint),
                        false => trackers[from].add_strike(now, fingerprint, None),
                    };
                    share(&trackers, from, fingerprint, &own.unwrap(), |_| true);
                }
            }
        }
        let count = u32::try_from(trials.len()).unwrap();
        assert_eq!(count, case.expected, "{}: {trials:?}", case.name);
        let first = trials.first().copied().unwrap_or(15_000);
        let due = match case.trials {
            0 => 15_000..=20_000,
            _ => 15_000..=80_000,
        };
        assert!(due.contains(&first), "{}: {trials:?}", case.name);
        let refused = |t: &CrashTracker| t.strike_count(WallTime(502_000), fingerprints[1]) > 0;
        assert_eq!(
            trackers.iter().any(refused),
            !case.harmless,
            "{}",
            case.name
        );
    }
}

/// Guards against trials that are spent while no upstream can be reached.
#[test]
fn cancelled_trial_is_not_spent() {
    let (tracker, peer) = (CrashTracker::new(1), CrashTracker::new(2));
    let fingerprint = Fingerprint::new(&["search"], b"same");
    for _ in 0..STRIKE_LIMIT {
        tracker.add_strike(WallTime(1_000), fingerprint, None);
    }
    for second in [11, 22, 33] {
        let now = WallTime(second * 1_000);
        assert!(tracker.begin_trial(now, &[fingerprint]).is_some());
        for (fingerprint, own) in tracker.cancel_trial(now, &[fingerprint]) {
            peer.merge("tracker", fingerprint, own);
        }
        let soon = WallTime(second * 1_000 + 9_000);
        assert!(tracker.begin_trial(soon, &[fingerprint]).is_none());
        assert_eq!(peer.total(now, fingerprint).trials, 0);
        assert_eq!(peer.strike_count(now, fingerprint), STRIKE_LIMIT);
    }
}
