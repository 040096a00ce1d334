//! CPU time of a subquery in the engine, with fake upstreams and over loopback.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use cpu_time::ProcessTime;
use futures::future;
use marigoldloom_limits::cold;
use marigoldloom_query::{engine, hooks, request};
use marigoldloom_records::record::AnyRecord;
use marigoldloom_records::{class, service};
use marigoldloom_routing::topology;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::scope;
use marigoldloom_standin::upstream as standin;
use marigoldloom_testkit::{fake_fleet, virtual_runtime};
use marigoldloom_upstream::upstream::{Target, Upstream};
use marigoldloom_upstream::{client, message};

use crate::records;
use crate::report::{Report, Row};

/// Shards of a query at the target size.
pub const TARGET_SHARDS: usize = records::FAN_OUT;

/// Number of subqueries at each size, on virtual time.
const SUBQUERIES: usize = 60_000;

/// Number of subqueries at each size, over loopback.
const LOOPBACK_SUBQUERIES: usize = 30_000;

/// Number of queries that run at a time over loopback.
const WORKERS: usize = 4;

/// Time between two queries on virtual time.
const QUERY_GAP: Duration = Duration::from_millis(25);

/// Time from sending a query to its deadline.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of queries that bring all upstreams out of cold start.
const WARM_UP_QUERIES: usize = 600;

const SEED: u64 = 5;

/// Engine hooks of an instance that runs without peers.
type Hooks = hooks::HookSet<hooks::ActiveVersion, cold::SingleInstance, hooks::NoObserver>;

/// Measures the engine with fake upstreams on virtual time, for each number of shards in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "engine",
        unit: "shards",
        target: TARGET_SHARDS,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

/// Measures the engine and the HTTP client over loopback, for each number of shards in `sizes`.
pub fn measure_loopback(sizes: &[usize]) -> Report {
    Report {
        measure: "subqueries",
        unit: "shards",
        target: TARGET_SHARDS,
        rows: sizes.iter().map(|size| loopback_row(*size)).collect(),
    }
}

fn row(shards: usize) -> Row {
    let queries = SUBQUERIES / shards;
    let [engine, fake, full] = virtual_runtime::block_on(SEED, move |rt| async move {
        let plan = fake_fleet::Plan {
            shards: u32::try_from(shards).unwrap_or(1),
            ..fake_fleet::Plan::default()
        };
        let fleet = fake_fleet::Fleet::new(&rt, plan);
        let settings = engine::Settings::default();
        let engine = engine::Engine::new(rt.clone(), fleet.clone(), Hooks::default(), settings);
        let mut builder = topology::Builder::new(&fake_fleet::domain_name(0));
        fleet.records().into_iter().for_each(|r| builder.set(r));
        engine.apply(builder.build());
        open_loop(&rt, &engine, "search", "find", WARM_UP_QUERIES, QUERY_GAP).await;
        let start = ProcessTime::now();
        let full = open_loop(&rt, &engine, "search", "find", queries, QUERY_GAP).await;
        let with_engine = start.elapsed();
        let start = ProcessTime::now();
        send_without_engine(&rt, &fleet, &engine, queries).await;
        let without_engine = start.elapsed();
        [micros(with_engine), micros(without_engine), full as f64]
    });
    let subqueries = (queries * shards) as f64;
    Row::new(
        shards,
        [
            ("total_us_per_subquery", engine / subqueries),
            ("fake_us_per_subquery", fake / subqueries),
            ("engine_us_per_subquery", (engine - fake) / subqueries),
            ("full_answers_share", full / queries as f64),
        ],
    )
}

/// Sends a query every `gap` without waiting for answers. Returns the number of queries whose
/// answer covers every shard.
async fn open_loop<R, U>(
    rt: &R,
    engine: &engine::Engine<R, U, Hooks>,
    service: &str,
    route: &str,
    count: usize,
    gap: Duration,
) -> usize
where
    R: Runtime,
    U: Upstream,
{
    let (tx, rx) = async_channel::unbounded();
    for number in 0..count {
        let request = request(rt, service, route, number);
        let (engine, tx) = (engine.clone(), tx.clone());
        rt.spawn(async move {
            let answer = engine.run(&request).await;
            let full = answer.is_ok_and(|answer| answer.coverage.is_full());
            tx.send(full).await.ok();
        });
        rt.sleep(gap).await;
    }
    drop(tx);
    let mut full = 0;
    while let Ok(is_full) = rx.recv().await {
        full += usize::from(is_full);
    }
    full
}

fn request(rt: &impl Runtime, service: &str, route: &str, number: usize) -> request::Request {
    let id = format!("{:016x}-{number}", rt.random());
    request::Request {
        body: Arc::from(id.as_bytes()),
        id: message::RequestId(Arc::from(id)),
        tenant: Arc::from("tenant"),
        class: class::Class::Standard,
        service: Arc::from(service),
        route: Arc::from(route),
        deadline: rt.now() + QUERY_TIMEOUT,
        call: None,
        policy: request::Policy::default(),
        scope: scope::Scope::new(),
    }
}

/// Sends the same load to the fake upstreams without the engine, to measure the cost of the fake
/// upstreams and the executor alone.
async fn send_without_engine<R: Runtime>(
    rt: &R,
    fleet: &fake_fleet::Fleet<R>,
    engine: &engine::Engine<R, fake_fleet::Fleet<R>, Hooks>,
    queries: usize,
) {
    let topology = engine.topology();
    let service_view = topology.as_ref().and_then(|t| t.service("search").cloned());
    let Some(service_view) = service_view else {
        return;
    };
    let snapshot = Arc::new(service::Snapshot {
        version: "v1".to_owned(),
        epoch: 1,
    });
    let targets: Vec<(u32, Target)> = match service_view.shards(&snapshot) {
        Some(shards) => (0..shards.total())
            .filter_map(|s| Some((s, shards.replicas(s).first()?.target.clone())))
            .collect(),
        None => Vec::new(),
    };
    for number in 0..queries {
        let request = request(rt, "search", "find", number);
        let (fleet, targets) = (fleet.clone(), targets.clone());
        let snapshot = Arc::clone(&snapshot);
        rt.spawn(async move {
            let sends = targets.iter().map(|(shard, target)| {
                let subquery = subquery(&request, *shard, &snapshot);
                let fleet = &fleet;
                async move { fleet.send(target, &subquery, || true).await.is_ok() }
            });
            future::join_all(sends).await;
        });
        rt.sleep(QUERY_GAP).await;
    }
    rt.sleep(QUERY_TIMEOUT).await;
}

fn subquery(
    request: &request::Request,
    shard: u32,
    snapshot: &Arc<service::Snapshot>,
) -> message::Subquery {
    message::Subquery {
        request: request.id.clone(),
        id: message::SubqueryId(0),
        service: Arc::clone(&request.service),
        route: Arc::clone(&request.route),
        shard,
        snapshot: Arc::clone(snapshot),
        deadline: request.deadline,
        body: Arc::clone(&request.body),
        call: None,
        idempotency_key: None,
        start_id: None,
    }
}

fn loopback_row(shards: usize) -> Row {
    let queries = LOOPBACK_SUBQUERIES / shards;
    let [cpu, full] = task::block_on(measure_queries(shards, queries));
    Row::new(
        shards,
        [
            (
                "both_sides_us_per_subquery",
                cpu / (queries * shards) as f64,
            ),
            ("full_answers_share", full / queries as f64),
        ],
    )
}

/// Runs the queries over loopback. Returns the CPU time in microseconds and the number of queries
/// whose answer covers every shard.
async fn measure_queries(shards: usize, queries: usize) -> [f64; 2] {
    let rt = AsyncStd::new();
    let upstreams = start_standins(shards).await;
    let client = client::Client::new(rt, client::Settings::default());
    let settings = engine::Settings::default();
    let engine = engine::Engine::new(rt, client, Hooks::default(), settings);
    engine.apply(loopback_topology(&upstreams));
    closed_loop(&rt, &engine, WARM_UP_QUERIES).await;
    let start = ProcessTime::now();
    let full = closed_loop(&rt, &engine, queries).await;
    [micros(start.elapsed()), full as f64]
}

/// Starts one stand-in upstream, not in cold start, for each shard.
pub(crate) async fn start_standins(shards: usize) -> Vec<standin::Upstream> {
    let starts = (0..shards).map(|shard| {
        standin::start(standin::Settings {
            name: records::upstream(shard).name,
            shards: vec![u32::try_from(shard).unwrap_or(0)],
            slots: 16,
            queue: 64,
            ..standin::Settings::default()
        })
    });
    let started = future::join_all(starts).await;
    started.into_iter().filter_map(Result::ok).collect()
}

fn loopback_topology(upstreams: &[standin::Upstream]) -> Arc<topology::Topology> {
    let mut service = records::service(0);
    let shards = u32::try_from(upstreams.len()).unwrap_or(1);
    let version = service::Version { shards, epoch: 1 };
    service.versions = BTreeMap::from([("v1".to_owned(), version)]);
    let mut builder = topology::Builder::new(&records::domain_name(0));
    for (index, upstream) in upstreams.iter().enumerate() {
        let mut record = records::upstream(index);
        record.service = service.name.clone();
        record.shards = vec![u32::try_from(index).unwrap_or(0)];
        record.address = upstream.address();
        record.slots = 16;
        builder.set(AnyRecord::Upstream(record));
    }
    builder.set(AnyRecord::Service(service));
    builder.build()
}

/// Runs queries, [`WORKERS`] at a time. Returns the number of queries whose answer covers every
/// shard.
async fn closed_loop<U: Upstream>(
    rt: &AsyncStd,
    engine: &engine::Engine<AsyncStd, U, Hooks>,
    queries: usize,
) -> usize {
    let service = records::service_name(0);
    let workers = (0..WORKERS).map(|worker| {
        let (rt, engine, service) = (*rt, engine.clone(), service.clone());
        async move {
            let mut full = 0;
            for number in (worker..queries).step_by(WORKERS) {
                let answer = engine.run(&request(&rt, &service, "search", number)).await;
                full += usize::from(answer.is_ok_and(|a| a.coverage.is_full()));
            }
            full
        }
    });
    future::join_all(workers).await.into_iter().sum()
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
