//! Guards the bound on log lines.

use marigoldloom_telemetry::log::{self, LINES_PER_SECOND};

/// Guards against a burst of failures that takes the processor for its log lines, and against
/// lines that vanish without being counted.
#[test]
fn lines_beyond_the_bound_are_counted() {
    let log = log::init_stdout("info").expect("no logging yet");
    let counter = log.counter();
    for number in 0..LINES_PER_SECOND * 10 {
        tracing::info!(number, "a line");
    }
    let limited = counter.dropped().limited;
    // The lines may fall into two seconds.
    assert!(limited >= u64::from(LINES_PER_SECOND) * 8, "{limited}");
    for number in 0..LINES_PER_SECOND * 10 {
        tracing::warn!(number, "a warning");
    }
    assert_eq!(counter.dropped().limited, limited, "a warning was dropped");
}
