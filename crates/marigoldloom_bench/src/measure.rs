//! Runs a scenario and keeps what its callers saw and what really ran.

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

/// Scenarios that are measured at a time.
const THREADS: usize = 3;

/// One run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Requests of the callers; those that crash upstreams are not among them.
    pub calls: Vec<Call>,
    /// What really ran.
    pub ledger: fake_fleet::Ledger,
    /// Attempts of the engine since it started, the warm-up included: the budgets save up
    /// a bounded number of attempts.
    pub spent: budget::Attempts,
    /// Length of the arrivals.
    pub span: Duration,
}

/// Runs a scenario along `path`. Requests and faults depend on the seed only, not on the path.
pub fn run(scenario: &Scenario, seed: u64, path: Path) -> Run {
    let scenario = scenario.clone();
    world::run(seed, move |rt| async move {
        let plan = scenario.fleet.plan();
        let pause = plan.cold_time * 2;
        let world = World::new(&rt, plan, engine::Settings::default());
        match path {
            Path::Naive => rt.sleep(pause).await,
            Path::Engine | Path::Instance => world.warm_up_through(path).await,
        }
        for fault in &scenario.faults {
            rt.spawn(fault.inject(world.clone(), path, scenario.span, seed));
        }
        let calls = world.replay(&scenario.arrivals(seed), path).await;
        Run {
            calls,
            ledger: world.fleet.ledger(),
            spent: world.engine.attempt_counts(&scenario.fleet.service.into()),
            span: scenario.span,
        }
    })
}

/// The runs of all seeds of a scenario.
pub fn run_all(scenario: &Scenario, path: Path) -> Vec<Run> {
    (0..scenario.seeds)
        .map(|seed| run(scenario, seed, path))
        .collect()
}

/// Measures the engine and the naive version on a scenario.
pub fn measure(scenario: &Scenario) -> Measured {
    let own = run_all(scenario, Path::Instance);
    let naive = run_all(scenario, Path::Naive);
    let mut difference = Difference::default();
    for (own, naive) in own.iter().zip(&naive) {
        difference.merge(Difference::between(own, naive));
    }
    Measured {
        scenario: scenario.clone(),
        own: Figures::new(&own),
        naive: Figures::new(&naive),
        difference,
        reasons: reasons(&own),
    }
}

/// Measures all scenarios on a few threads; each run is deterministic by itself.
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

/// Counts why calls were refused and shards were missing.
fn reasons(runs: &[Run]) -> BTreeMap<String, u32> {
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
