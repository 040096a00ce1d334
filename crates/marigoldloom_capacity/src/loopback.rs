//! CPU time of control traffic over loopback, including HTTP/2, TCP and the kernel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use cpu_time::ProcessTime;
use marigoldloom_peers::grpc::{pool, server};
use marigoldloom_peers::membership::Identity;
use marigoldloom_peers::peers::{Config, Peers};
use marigoldloom_platform::memory::MemoryPlatform;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_telemetry::event;

use crate::control;
use crate::net::Echo;
use crate::records;
use crate::report::{Report, Row};

/// Time in which the instances of a new fleet discover each other.
const DISCOVERY_TIME: Duration = Duration::from_secs(8);

/// Duration of the measured phase.
const PHASE_DURATION: Duration = Duration::from_secs(15);

type LoopbackPeers = Peers<AsyncStd, pool::Pool<AsyncStd>, Echo>;

/// Measures a fleet in this process for each number of instances in `sizes`.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "loopback",
        unit: "instances",
        target: control::TARGET_INSTANCES,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(count: usize) -> Row {
    let (cpu, members) = task::block_on(run_fleet(count));
    let cpu_per_instance = cpu.as_secs_f64() * 1e6 / PHASE_DURATION.as_secs_f64() / count as f64;
    let figures = [
        ("rest_cpu_us_per_s", cpu_per_instance),
        ("members", members as f64),
    ];
    Row::new(count, figures)
}

/// Runs an idle fleet. Returns the CPU time of the measured phase and the number of members that
/// the first instance knows.
async fn run_fleet(count: usize) -> (Duration, usize) {
    let rt = AsyncStd::new();
    let platform = MemoryPlatform::new(rt);
    let mut fleet: Vec<(LoopbackPeers, task::JoinHandle<()>)> = Vec::new();
    let mut seed = None;
    for index in 0..count {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else {
            break;
        };
        let Ok(address) = listener.local_addr() else {
            break;
        };
        let peers = start(rt, &platform, index, address, seed);
        seed = seed.or(Some(address));
        let server_task = task::spawn(server::serve(rt, listener, peers.clone()));
        fleet.push((peers, server_task));
    }
    rt.sleep(DISCOVERY_TIME).await;
    let start = ProcessTime::now();
    rt.sleep(PHASE_DURATION).await;
    let cpu = start.elapsed();
    let members = fleet.first().map_or(0, |(peers, _)| peers.members().len());
    (cpu, members)
}

fn start(
    rt: AsyncStd,
    platform: &MemoryPlatform<AsyncStd>,
    index: usize,
    address: SocketAddr,
    seed: Option<SocketAddr>,
) -> LoopbackPeers {
    let config = Config {
        identity: Identity {
            name: Arc::from(records::instance_name(index)),
            domain: Arc::from(records::domain_name(index)),
            address,
        },
        seeds: seed.into_iter().collect(),
        events: event::Events::new(),
    };
    Peers::start(rt, pool::Pool::new(rt), platform.client(), Echo, config)
}
