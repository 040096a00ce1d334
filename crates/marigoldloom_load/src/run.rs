//! Runs a scenario.

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

/// Time for a call to a stand-in.
const FAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections that are being opened at a time, for each target.
const OPENING: usize = 16;

/// Interval of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

struct Context {
    scenario: scenario::Scenario,
    pools: Vec<pool::Pool>,
    /// Connections of each stream to the upstream that it asks directly.
    direct: Vec<Option<pool::Pool>>,
    begin: Instant,
    /// Distinguishes the ids of this run from those of earlier ones.
    run: u64,
    recorder: Mutex<recorder::Recorder>,
    pending: AtomicUsize,
    next: AtomicUsize,
}

impl Context {
    fn recorder(&self) -> MutexGuard<'_, recorder::Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stream's own upstream, or one of the targets, which take turns.
    fn pool(&self, index: usize) -> &pool::Pool {
        if let Some(pool) = &self.direct[index] {
            return pool;
        }
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        &self.pools[next % self.pools.len()]
    }

    async fn sleep_until(&self, due: Duration) {
        task::sleep(due.saturating_sub(self.begin.elapsed())).await;
    }
}

/// Runs a scenario to its end. `progress` receives a line each second.
pub async fn run(
    scenario: scenario::Scenario,
    progress: impl Write + Send + 'static,
) -> report::Report {
    let context = Arc::new(Context {
        pools: pools(&scenario),
        direct: direct(&scenario),
        scenario,
        begin: Instant::now(),
        run: rand::random(),
        recorder: Mutex::default(),
        pending: AtomicUsize::new(0),
        next: AtomicUsize::new(0),
    });
    let line = task::spawn(show_progress(Arc::clone(&context), progress));
    let indices = 0..context.scenario.streams.len();
    let streams = indices.map(|index| task::spawn(feed(Arc::clone(&context), index)));
    let faults = context.scenario.faults.iter();
    let faults = future::join_all(faults.map(|fault| set_fault(&context, fault)));
    let (_, faults) = future::join(future::join_all(streams), faults).await;
    line.cancel().await;
    let recorder = context.recorder();
    report::Report::new(&context.scenario, &recorder, faults)
}

fn pools(scenario: &scenario::Scenario) -> Vec<pool::Pool> {
    let new = |address: &SocketAddr| new_pool(scenario, *address);
    scenario.targets.iter().map(new).collect()
}

fn direct(scenario: &scenario::Scenario) -> Vec<Option<pool::Pool>> {
    let new = |direct: &scenario::Direct| new_pool(scenario, direct.address);
    let streams = scenario.streams.iter();
    streams.map(|s| s.direct.as_ref().map(new)).collect()
}

fn new_pool(scenario: &scenario::Scenario, address: SocketAddr) -> pool::Pool {
    let connections = scenario.connections / scenario.targets.len();
    let settings = pool::Settings {
        max_connections: connections.max(1),
        max_opening: OPENING,
        connect_timeout: Duration::from_secs(1),
        ..pool::Settings::default()
    };
    pool::Pool::new(address, settings)
}

/// Sends the requests of one stream at their intended times and waits for their ends.
async fn feed(context: Arc<Context>, index: usize) {
    let stream = &context.scenario.streams[index];
    let end = stream.end.map(Duration::from_secs_f64);
    let end = end.unwrap_or_else(|| context.scenario.length());
    // Fails only for rates that the scenario's check refuses.
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
    // Fails once no request is running.
    let _ = ended.recv().await;
}

async fn send(context: &Context, index: usize, number: u64, due: Duration) {
    let stream = &context.scenario.streams[index];
    let pending = context.pending.fetch_add(1, Ordering::Relaxed);
    let verdict = match pending < context.scenario.pending {
        true => {
            let id = format!("load-{:016x}-{index}-{number}", context.run);
            answer(context, index, id, number, due).await
        }
        false => caller::Verdict {
            outcome: caller::Outcome::Skipped,
            coverage: None,
        },
    };
    context.pending.fetch_sub(1, Ordering::Relaxed);
    let latency = context.begin.elapsed().saturating_sub(due);
    let group = recorder::Group {
        tenant: stream.tenant.clone(),
        class: stream.class,
    };
    let mut recorder = context.recorder();
    recorder.observe(&group, due, in_time(verdict, stream, latency), latency);
}

async fn answer(
    context: &Context,
    index: usize,
    id: String,
    number: u64,
    due: Duration,
) -> caller::Verdict {
    let stream = &context.scenario.streams[index];
    let call = caller::Call {
        stream,
        id,
        subquery: subquery_id(context.run, index, number),
        number,
        late: context.begin.elapsed().saturating_sub(due),
    };
    call.send(context.pool(index)).await
}

/// A subquery id that is unique within the run and differs from those of other runs.
fn subquery_id(run: u64, index: usize, number: u64) -> message::SubqueryId {
    let request = (index as u64) << 48 | number;
    message::SubqueryId(u128::from(run) << 64 | u128::from(request))
}

/// An answer after the deadline is late, whatever it contains.
fn in_time(
    verdict: caller::Verdict,
    stream: &scenario::Stream,
    latency: Duration,
) -> caller::Verdict {
    let late = latency > Duration::from_millis(stream.deadline_ms);
    match verdict.outcome {
        caller::Outcome::Complete | caller::Outcome::Partial if late => caller::Verdict {
            outcome: caller::Outcome::Late,
            ..verdict
        },
        _ => verdict,
    }
}

async fn set_fault(context: &Context, fault: &scenario::Fault) -> report::FaultReport {
    context.sleep_until(Duration::from_secs_f64(fault.at)).await;
    let calls = fault.addresses.iter().map(|address| post(*address, fault));
    let set = future::join_all(calls).await;
    report::FaultReport {
        at: fault.at,
        name: fault.name.clone(),
        failed: set.iter().filter(|done| !**done).count(),
    }
}

async fn post(address: SocketAddr, fault: &scenario::Fault) -> bool {
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
        // Progress is a convenience; the run goes on without it.
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
        context.begin.elapsed().as_secs(),
        all.total(),
        all.count(caller::Outcome::Complete),
        all.count(caller::Outcome::Partial),
        all.count(caller::Outcome::Refused),
        context.pending.load(Ordering::Relaxed),
        all.latency_ms(0.99).unwrap_or(0.0),
    )
}
