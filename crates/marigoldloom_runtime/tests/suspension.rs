//! Tests the production runtime on a machine that is suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::{future, task};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::clock::{Clock, SystemClock};
use marigoldloom_runtime::runtime::{self, Runtime};

/// Clocks of a machine whose suspensions are added by the test.
#[derive(Clone, Debug, Default)]
struct MachineClock {
    suspended_ms: Arc<AtomicU64>,
    without_boot: bool,
}

impl MachineClock {
    fn suspend(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap();
        self.suspended_ms.fetch_add(millis, Ordering::SeqCst);
    }
}

impl Clock for MachineClock {
    fn steady(&self) -> Duration {
        SystemClock.steady()
    }

    fn boot(&self) -> Option<Duration> {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::SeqCst));
        (!self.without_boot).then(|| self.steady() + suspended)
    }
}

/// Returns a runtime that watches for suspensions of its machine.
fn start(clock: &MachineClock) -> AsyncStd<MachineClock> {
    let rt = AsyncStd::with_clock(clock.clone());
    rt.spawn(rt.clone().watch_suspensions());
    rt
}

/// Guards against a clock that stands still during a suspension, so that deadlines, leases and ages
/// that passed meanwhile still count as valid.
#[test]
fn clock_counts_suspensions() {
    let clock = MachineClock::default();
    let rt = AsyncStd::with_clock(clock.clone());
    let lease_end = rt.now() + Duration::from_secs(3);
    assert!(rt.now() < lease_end);
    clock.suspend(Duration::from_secs(3));
    assert!(rt.now() >= lease_end);
}

/// Guards against a runtime that stops on systems without a clock that counts suspensions.
#[test]
fn clock_runs_without_the_time_since_boot() {
    let clock = MachineClock {
        without_boot: true,
        ..MachineClock::default()
    };
    let rt = AsyncStd::with_clock(clock);
    let before = rt.now();
    task::block_on(rt.sleep(Duration::from_millis(20)));
    assert!(rt.now().since(before) >= Duration::from_millis(20));
}

/// Guards against a system clock that doesn't tell the time since boot on Linux, or whose two times
/// run at different rates.
#[test]
#[cfg(target_os = "linux")]
fn system_clock_tells_the_time_since_boot() {
    let read = || {
        (
            SystemClock.boot().expect("a boot clock"),
            SystemClock.steady(),
        )
    };
    let before = read();
    task::block_on(task::sleep(Duration::from_millis(200)));
    let after = read();
    let passed = (after.0 - before.0, after.1 - before.1);
    assert!(
        passed.0.abs_diff(passed.1) < Duration::from_millis(100),
        "{passed:?}"
    );
}

#[derive(Clone, Copy, Debug)]
struct TimerCase {
    timer: Duration,
    /// Suspension after 0.1 s.
    suspension: Duration,
    /// Time on the steady clock after which the timer has fired.
    latest: Duration,
    /// Time on the steady clock before which it hasn't.
    earliest: Duration,
}

/// Guards against timers that fire late by the time of a suspension, and against ones that it ends
/// too early.
#[test]
fn timers_fire_soon_after_a_suspension() {
    let case = |timer, suspension, earliest, latest| TimerCase {
        timer: Duration::from_millis(timer),
        suspension: Duration::from_millis(suspension),
        earliest: Duration::from_millis(earliest),
        latest: Duration::from_millis(latest),
    };
    let cases = [
        case(200, 0, 200, 1_500),
        case(2_000, 0, 2_000, 3_500),
        case(10_000, 9_950, 100, 2_500),
        case(10_000, 60_000, 100, 2_500),
        case(4_000, 2_000, 1_900, 3_500),
    ];
    let play = |case: TimerCase| async move {
        let clock = MachineClock::default();
        let rt = start(&clock);
        let begin = clock.steady();
        let limit = runtime::timeout(&rt, case.timer, std::future::pending::<()>());
        let timer = futures::future::join(rt.sleep(case.timer), limit);
        let suspend = async {
            task::sleep(Duration::from_millis(100)).await;
            clock.suspend(case.suspension);
        };
        let both = futures::future::join(timer, suspend);
        let fired = future::timeout(case.latest, both).await.is_ok();
        let passed = clock.steady() - begin;
        (!fired || passed < case.earliest).then(|| format!("{case:?}: {fired}, {passed:?}"))
    };
    let results = task::block_on(futures::future::join_all(cases.map(play)));
    let wrong: Vec<_> = results.into_iter().flatten().collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}
