//! Tests when an upstream counts as one whose process has started anew.

use std::time::Duration;

use marigoldloom_routing::health::{ColdStart, Health, Observation, Warmup};
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::message::Report;
use marigoldloom_upstream::upstream::Error;

/// Time for which a process is cold after its start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Time between two requests.
const PERIOD: Duration = Duration::from_secs(1);

/// Guards against a process that gets the usual rate of requests although the one before it has ended, and
/// against slow starts after failures that show no end.
#[test]
fn upstream_whose_process_has_ended_may_be_cold() {
    struct Case {
        name: &'static str,
        /// Results of requests; `None` stands for a success.
        results: &'static [Option<Error>],
        /// Whether it may be cold after the last one, and until when, in seconds after that.
        expected: Option<u64>,
    }
    let cases = [
        Case {
            name: "success",
            results: &[None],
            expected: None,
        },
        Case {
            name: "lost connections",
            results: &[Some(Error::Lost), Some(Error::Lost), Some(Error::Lost)],
            expected: None,
        },
        Case {
            name: "a connection that can't be opened",
            results: &[Some(Error::Unreachable), Some(Error::Unreachable), None],
            expected: None,
        },
        Case {
            name: "ended, no reply yet",
            results: &[Some(Error::Ended), Some(Error::Unreachable)],
            expected: Some(3),
        },
        Case {
            name: "ended and replaced",
            results: &[Some(Error::Ended), None],
            expected: Some(3),
        },
        Case {
            name: "replies of the next process",
            results: &[Some(Error::Ended), None, None, None],
            expected: Some(1),
        },
        Case {
            name: "warm again",
            results: &[Some(Error::Ended), None, None, None, None],
            expected: None,
        },
        Case {
            name: "unreachable for long",
            results: &[
                Some(Error::Unreachable),
                Some(Error::Unreachable),
                Some(Error::Unreachable),
                None,
            ],
            expected: Some(3),
        },
        Case {
            name: "ended twice",
            results: &[Some(Error::Ended), None, Some(Error::Ended), None],
            expected: Some(3),
        },
    ];
    for case in cases {
        let observation = Observation {
            cold_start: ColdStart::Announced,
            detect_silence: true,
        };
        let mut now = Timestamp::ZERO + PERIOD;
        let health = Health::new(now, observation);
        for result in case.results {
            now = now + PERIOD;
            match result {
                None => {
                    health.record_success(now, now, &Report::default(), &Warmup::default());
                }
                Some(error) => {
                    health.record_failure(now, now, now, error);
                }
            }
        }
        let until = health.restarted_until(now, COLD_TIME);
        let left = until.map(|until| until.since(now).as_secs());
        assert_eq!(left, case.expected, "{}", case.name);
    }
}
