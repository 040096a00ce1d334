//! Keeps tasks running that an instance can't work without.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;

use crate::runtime::Runtime;

/// Pause before a task that has panicked is started again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs the task that `start` returns. If it panics, logs that and starts it again after a pause. A
/// task that is started again must not depend on what the last one has left unfinished.
pub async fn supervise<F: Future<Output = ()>>(
    rt: &impl Runtime,
    name: &'static str,
    start: impl Fn() -> F,
) {
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        tracing::error!(task = name, "a task has panicked and starts again");
        rt.sleep(RESTART_PAUSE).await;
    }
}
