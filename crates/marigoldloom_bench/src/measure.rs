//! Runs scenarios and collects the results that callers saw and the requests that really ran.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use marigoldloom_limits::budget;
use marigoldloom_query::engine;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::fake_fleet;

use crate::bounds::Measured;
use crate::differential::Difference;
use crate::figures::Figures;
use crate::scenario::Scenario;
use crate::world::{self, Call, Path, World};

/// Number of scenarios that are measured at a time.
const THREADS: usize = 3;

/// Observations of one run of a scenario.
#[derive(Clone, Debug)]
pub struct Run {
    /// Calls of the scenario's callers, without the poison requests that a fault sends.
    pub calls: Vec<Call>,
    /// Record of what the fake fleet really ran.
    pub ledger: fake_fleet::Ledger,
    /// Attempts of the engine since it started. The warm-up is included, because attempts that
    /// the budgets save during it, up to a limit, can be spent later.
    pub attempts: budget::Attempts,
    /// Time during which requests arrived.
    pub duration: Duration,
}

/// Runs a scenario along `path`. Requests and faults depend on the seed only, not on the path.
pub fn run(scenario: &Scenario, seed: u64, path: Path) -> Run {
    let scenario = scenario.clone();
    world::run(seed, move |rt| async move {
        let plan = scenario.fleet.plan();
        let cold_time = plan.warmup * 2;
        let world = World::new(&rt, plan, engine::Settings::default());
        match path {
            Path::Naive => rt.sleep(cold_time).await,
            Path::Engine | Path::Instance => world.warm_up_through(path).await,
        }
        for fault in &scenario.faults {
            rt.spawn(fault.inject(world.clone(), path, scenario.duration, seed));
        }
        let calls = world.replay(&scenario.arrivals(seed), path).await;
        Run {
            calls,
            ledger: world.fleet.ledger(),
            attempts: world.engine.attempt_counts(&scenario.fleet.service.into()),
            duration: scenario.duration,
        }
    })
}

/// Runs a scenario once for each of its seeds.
pub fn run_seeds(scenario: &Scenario, path: Path) -> Vec<Run> {
    (0..scenario.seeds)
        .map(|seed| run(scenario, seed, path))
        .collect()
}

/// Measures the engine and the naive baseline on a scenario.
pub fn measure(scenario: &Scenario) -> Measured {
    let engine = run_seeds(scenario, Path::Instance);
    let naive = run_seeds(scenario, Path::Naive);
    let mut difference = Difference::default();
    for (engine, naive) in engine.iter().zip(&naive) {
        difference.merge(Difference::between(engine, naive));
    }
    Measured {
        scenario: scenario.clone(),
        engine: Figures::new(&engine),
        naive: Figures::new(&naive),
        difference,
        reasons: count_reasons(&engine),
    }
}

/// Measures all scenarios on a few threads. The result doesn't depend on the scheduling, because
/// each run is deterministic by itself.
pub fn measure_all(scenarios: &[Scenario]) -> Vec<Measured> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(index) else {
                        return;
                    };
                    let measured = measure(scenario);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.insert(index, measured);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_values().collect()
}

/// Counts refused calls and missing shards by reason.
fn count_reasons(runs: &[Run]) -> BTreeMap<String, u32> {
    let mut reasons = BTreeMap::new();
    for call in runs.iter().flat_map(|r| &r.calls) {
        match &call.result {
            Ok(answer) => {
                for missing in &answer.coverage.missing {
                    *reasons
                        .entry(format!("shard: {}", missing.reason))
                        .or_default() += 1;
                }
            }
            Err(refusal) => *reasons.entry(format!("refused: {refusal}")).or_default() += 1,
        }
    }
    reasons
}
