//! Runs a scenario: sends its requests, sets its faults and records the results.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use futures::future;
use http_types::{Method, StatusCode};
use marigoldloom_http::{message as http, pool};
use marigoldloom_upstream::message;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use crate::{caller, recorder, report, scenario};

/// Time limit for setting a fault on a stand-in.
const FAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Greatest number of connections that are being opened to a target at a time.
const MAX_OPENING: usize = 16;

/// Interval of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// State that the tasks of a run share.
struct Context {
    scenario: scenario::Scenario,
    /// Connections to each target.
    target_pools: Vec<pool::Pool>,
    /// Connections of each stream to its own upstream, if it has one.
    direct_pools: Vec<Option<pool::Pool>>,
    start: Instant,
    /// Random part of all ids, so that they differ from those of other runs.
    run_id: u64,
    recorder: Mutex<recorder::Recorder>,
    /// Number of requests that wait for answers.
    pending: AtomicUsize,
    next_target: AtomicUsize,
}

impl Context {
    fn recorder(&self) -> MutexGuard<'_, recorder::Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connections to the stream's own upstream, or else to the next target in turn.
    fn pool(&self, index: usize) -> &pool::Pool {
        if let Some(pool) = &self.direct_pools[index] {
            return pool;
        }
        let next = self.next_target.fetch_add(1, Ordering::Relaxed);
        &self.target_pools[next % self.target_pools.len()]
    }

    /// Sleeps until `due` after the start of the run.
    async fn sleep_until(&self, due: Duration) {
        task::sleep(due.saturating_sub(self.start.elapsed())).await;
    }
}

/// Runs a scenario to its end. A line about its progress is written to `progress` each second.
pub async fn run(
    scenario: scenario::Scenario,
    progress: impl Write + Send + 'static,
) -> report::Report {
    let context = Arc::new(Context {
        target_pools: target_pools(&scenario),
        direct_pools: direct_pools(&scenario),
        scenario,
        start: Instant::now(),
        run_id: rand::random(),
        recorder: Mutex::default(),
        pending: AtomicUsize::new(0),
        next_target: AtomicUsize::new(0),
    });
    let progress_task = task::spawn(show_progress(Arc::clone(&context), progress));
    let indices = 0..context.scenario.streams.len();
    let streams = indices.map(|index| task::spawn(send_stream(Arc::clone(&context), index)));
    let faults = context.scenario.faults.iter();
    let faults = future::join_all(faults.map(|fault| set_fault(&context, fault)));
    let (_, faults) = future::join(future::join_all(streams), faults).await;
    progress_task.cancel().await;
    let recorder = context.recorder();
    report::Report::new(&context.scenario, &recorder, faults)
}

fn target_pools(scenario: &scenario::Scenario) -> Vec<pool::Pool> {
    let new = |address: &SocketAddr| new_pool(scenario, *address);
    scenario.targets.iter().map(new).collect()
}

fn direct_pools(scenario: &scenario::Scenario) -> Vec<Option<pool::Pool>> {
    let new = |direct: &scenario::Direct| new_pool(scenario, direct.address);
    let streams = scenario.streams.iter();
    streams.map(|s| s.direct.as_ref().map(new)).collect()
}

fn new_pool(scenario: &scenario::Scenario, address: SocketAddr) -> pool::Pool {
    let connections = scenario.connections / scenario.targets.len();
    let settings = pool::Settings {
        max_connections: connections.max(1),
        max_opening: MAX_OPENING,
        connect_timeout: Duration::from_secs(1),
        ..pool::Settings::default()
    };
    pool::Pool::new(address, settings)
}

/// Sends the requests of one stream at their intended times and waits until all have ended.
async fn send_stream(context: Arc<Context>, index: usize) {
    let stream = &context.scenario.streams[index];
    let end = stream.end.map(Duration::from_secs_f64);
    let end = end.unwrap_or_else(|| context.scenario.length());
    // Fails only for rates that a checked scenario can't have.
    let Ok(gaps) = Exp::new(stream.rate) else {
        return;
    };
    let mut rng = ChaCha8Rng::seed_from_u64(context.scenario.seed);
    rng.set_stream(index as u64);
    let (running, ended) = async_channel::bounded::<()>(1);
    let mut due = Duration::from_secs_f64(stream.start);
    for number in 0.. {
        due += Duration::from_secs_f64(gaps.sample(&mut rng));
        if due >= end {
            break;
        }
        context.sleep_until(due).await;
        let (context, running) = (Arc::clone(&context), running.clone());
        task::spawn(async move {
            send(&context, index, number, due).await;
            drop(running);
        });
    }
    drop(running);
    // Returns an error when the last request has ended and dropped its sender.
    let _ = ended.recv().await;
}

/// Sends one request, unless too many wait for answers, and records its result.
async fn send(context: &Context, index: usize, number: u64, due: Duration) {
    let stream = &context.scenario.streams[index];
    let pending = context.pending.fetch_add(1, Ordering::Relaxed);
    let result = match pending < context.scenario.pending {
        true => {
            let id = format!("load-{:016x}-{index}-{number}", context.run_id);
            call(context, index, id, number, due).await
        }
        false => caller::CallResult {
            outcome: caller::Outcome::Skipped,
            coverage: None,
        },
    };
    context.pending.fetch_sub(1, Ordering::Relaxed);
    let latency = context.start.elapsed().saturating_sub(due);
    let group = recorder::Group {
        tenant: stream.tenant.clone(),
        class: stream.class,
    };
    let mut recorder = context.recorder();
    recorder.observe(&group, due, mark_late(result, stream, latency), latency);
}

async fn call(
    context: &Context,
    index: usize,
    id: String,
    number: u64,
    due: Duration,
) -> caller::CallResult {
    let stream = &context.scenario.streams[index];
    let call = caller::Call {
        stream,
        id,
        subquery: subquery_id(context.run_id, index, number),
        number,
        late: context.start.elapsed().saturating_sub(due),
    };
    call.send(context.pool(index)).await
}

/// Returns a subquery id that is unique within the run and differs from those of other runs.
fn subquery_id(run_id: u64, index: usize, number: u64) -> message::SubqueryId {
    let request = (index as u64) << 48 | number;
    message::SubqueryId(u128::from(run_id) << 64 | u128::from(request))
}

/// Changes the outcome of an answer to `Late` if it came after the deadline.
fn mark_late(
    result: caller::CallResult,
    stream: &scenario::Stream,
    latency: Duration,
) -> caller::CallResult {
    let late = latency > Duration::from_millis(stream.deadline_ms);
    match result.outcome {
        caller::Outcome::Complete | caller::Outcome::Partial if late => caller::CallResult {
            outcome: caller::Outcome::Late,
            ..result
        },
        _ => result,
    }
}

/// Waits until a fault is due and sets it on all its stand-ins.
async fn set_fault(context: &Context, fault: &scenario::Fault) -> report::FaultReport {
    context.sleep_until(Duration::from_secs_f64(fault.at)).await;
    let calls = fault
        .addresses
        .iter()
        .map(|address| post_fault(*address, fault));
    let results = future::join_all(calls).await;
    report::FaultReport {
        at: fault.at,
        name: fault.name.clone(),
        failed: results.iter().filter(|ok| !**ok).count(),
    }
}

/// Sets a fault on one stand-in; returns whether it accepted the change.
async fn post_fault(address: SocketAddr, fault: &scenario::Fault) -> bool {
    let pool = pool::Pool::new(address, pool::Settings::default());
    let body = fault.set.to_string();
    let request = http::Request::new(Method::Post, &fault.path).with_body(body);
    let response = caller::exchange(&pool, request, FAULT_TIMEOUT).await;
    response.is_ok_and(|response| response.status() == StatusCode::Ok)
}

async fn show_progress(context: Arc<Context>, mut output: impl Write) {
    for second in 1.. {
        context.sleep_until(PROGRESS_INTERVAL * second).await;
        let line = progress_line(&context);
        // The run goes on without progress lines if they can't be written.
        if write_line(&mut output, &line).is_err() {
            return;
        }
    }
}

fn write_line(output: &mut impl Write, line: &str) -> io::Result<()> {
    writeln!(output, "{line}")?;
    output.flush()
}

fn progress_line(context: &Context) -> String {
    let recorder = context.recorder();
    let all = &recorder.all;
    format!(
        "{:>3} s  ended {}  complete {}  partial {}  refused {}  pending {}  p99 {:.1} ms",
        context.start.elapsed().as_secs(),
        all.total(),
        all.count(caller::Outcome::Complete),
        all.count(caller::Outcome::Partial),
        all.count(caller::Outcome::Refused),
        context.pending.load(Ordering::Relaxed),
        all.latency_ms(0.99).unwrap_or(0.0),
    )
}
