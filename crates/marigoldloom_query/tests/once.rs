//! Tests requests that must not run more than once.

#![allow(clippy::print_stdout, reason = "the tests print measured values")]

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_query::{engine, refusal};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::fake_fleet::{self, Mode};

const GAP: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_millis(300);
const COUNT: usize = 60;

type Outcomes = Arc<Mutex<Vec<(String, engine::Outcome)>>>;

async fn inject_random_faults(world: support::World) {
    let names = world.fleet.names();
    for _ in 0..20 {
        let below = |n| runtime::random_below(&world.rt, n);
        let name = &names[below(names.len() as u64) as usize];
        match below(6) {
            0 => world.fleet.slow_down(name, 30.0),
            1 => world.fleet.set_mode(name, Mode::Silent),
            2 => world.fleet.set_mode(name, Mode::Down),
            3 => world.fleet.set_mode(name, Mode::Draining),
            4 => world.fleet.crash(name, Duration::from_millis(200)),
            _ => {
                world.fleet.repartition();
                world.publish([]);
            }
        }
        world.rt.sleep(Duration::from_millis(30)).await;
    }
}

async fn book(world: support::World, id: String, outcomes: Outcomes) {
    let mut request = world.request(&id, id.as_bytes(), TIMEOUT);
    request.route = Arc::from("book");
    let outcome = world.engine.run_once(&request, &id).await;
    outcomes.lock().unwrap().push((id, outcome));
}

fn faulty_run(seed: u64) -> (Vec<(String, engine::Outcome)>, fake_fleet::Ledger) {
    support::run(seed, |rt| async move {
        let plan = fake_fleet::Plan {
            shards: 3,
            crossed: 50,
            ..fake_fleet::Plan::default()
        };
        let world = support::World::new(&rt, plan, engine::Settings::default());
        rt.spawn(inject_random_faults(world.clone()));
        let outcomes = Outcomes::default();
        for number in 0..COUNT {
            let id = format!("booking-{number}");
            rt.spawn(book(world.clone(), id, Arc::clone(&outcomes)));
            rt.sleep(GAP).await;
        }
        rt.sleep(TIMEOUT * 2).await;
        let outcomes = outcomes.lock().unwrap().clone();
        (outcomes, world.fleet.ledger())
    })
}

/// Guards against a second attempt after a failure that doesn't prove that the first has not run,
/// and against "not run" for a request that ran. Fails if `run_once` retries after lost
/// connections, timeouts or mismatched answers as `run` does.
#[test]
fn run_once_runs_at_most_once() {
    let mut counts = [0; 3];
    for seed in 0..200 {
        let (outcomes, ledger) = faulty_run(seed);
        assert_eq!(outcomes.len(), COUNT);
        for (id, outcome) in &outcomes {
            let entries = ledger.entries.iter().filter(|e| *e.request.0 == **id);
            let ran = entries.filter(|e| e.ran).count();
            assert!(ran <= 1, "seed {seed}: {id} ran {ran} times: {outcome:?}");
            match outcome {
                engine::Outcome::Done(answer) => {
                    assert_eq!(ran, 1, "seed {seed}: {id}");
                    assert_eq!(answer.results.len(), 1);
                    counts[0] += 1;
                }
                engine::Outcome::NotRun(refusal) => {
                    assert_eq!(ran, 0, "seed {seed}: {id} {refusal:?}");
                    assert_eq!(refusal.run, refusal::RunStatus::NotRun);
                    counts[1] += 1;
                }
                engine::Outcome::Unknown(_) => counts[2] += 1,
            }
        }
    }
    println!("done, not run, unknown: {counts:?}");
    assert!(
        counts.iter().all(|c| *c > 0),
        "an outcome never occurs: {counts:?}"
    );
}
