//! Rate limit of log lines.

use marigoldloom_telemetry::log::{self, LINES_PER_SECOND};

/// Guards against a burst of failures whose log lines use up the CPU, and against lines that are
/// dropped without being counted.
#[test]
fn lines_beyond_the_limit_are_counted() {
    let log = log::init_stdout("info").expect("logging isn't initialized yet");
    let counter = log.counter();
    for number in 0..LINES_PER_SECOND * 10 {
        tracing::info!(number, "a line");
    }
    let limited = counter.dropped().limited;
    // The lines may fall into two one-second windows.
    assert!(limited >= u64::from(LINES_PER_SECOND) * 8, "{limited}");
    for number in 0..LINES_PER_SECOND * 10 {
        tracing::warn!(number, "a warning");
    }
    assert_eq!(counter.dropped().limited, limited, "a warning was dropped");
}
