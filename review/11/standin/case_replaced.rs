//! Machines are added and removed for good, one batch after the other, while others stay. Later all
//! machines that are left lose power at the same moment.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::dark::remove_machines;
use crate::edge::{Edge, Machine};
use crate::http::Call;
use crate::replica::{Replica, Runs};
use crate::store::Store;

/// Machines that are removed for good, and how many of them run at a time.
const REMOVED: u16 = 220;
const BATCH: u16 = 55;

/// Machines that stay.
const IN_USE: u16 = 4;

/// Cores of the machines that are removed and of those that stay: the greatest and the smallest of the
/// users' sites.
const REMOVED_CORES: f64 = 0.5;
const CORES: f64 = 0.12;

/// Time without power.
const DOWN: Duration = Duration::from_secs(1);

/// RecoveryS of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which requests are sent after that, and the time between two rounds of requests.
const JUDGED: Duration = Duration::from_secs(20);
const ROUND_PERIOD: Duration = Duration::from_millis(500);

const CONFIGURATION: &str = r#"{"ConfigVersion":7,"Routes":[{"Name":"r-permit","Host":"pupu76.example",
"PathPrefix":"/permit/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,
"Service":"permit-desk","MaxAttempts":2,"ServingRegions":[]}],"Services":[{"Name":"permit-desk",
"HealthPath":"/health","MaxConnections":40,"Protocol":"h1","Tls":false,"WarmupS":3.0,"ColdPerS":0.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn play(setup: &Setup<'_>) -> io::Result<bool> {
    let record = &setup.record;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let (store, address) = Store::start(record.clone())?;
    store.put("config", "main", CONFIGURATION);
    for number in 1..=3 {
        let id = format!("i-permit-desk-{number}");
        let replica = Replica::start(
            &id,
            "permit-desk",
            Duration::from_millis(10),
            None,
            &runs,
            record,
        )?;
        store.put("servers", &id, &replica.entry("nord-a"));
    }
    let start = |number: u16, cores: f64| {
        let name = format!("edge-nord-a-{}", number + 1);
        let machine = Machine {
            name: &name,
            zone: "nord-a",
            region: "nord",
            number,
            cores,
        };
        Edge::start(setup.root, setup.temporary, &machine, address)
    };

    let mut edges: Vec<_> = (0..IN_USE)
        .map(|number| start(number, CORES))
        .collect::<io::Result<_>>()?;
    for edge in &edges {
        if !edge.wait_until_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} isn't ready", edge.name)));
        }
    }

    let removed = if setup.trouble { REMOVED } else { 0 };
    let start_removed = |number| start(number, REMOVED_CORES);
    let _dark = remove_machines(record, &store, IN_USE, removed, BATCH, start_removed)?;

    let (sent, served) = send_for(setup, &edges, "before", Duration::from_secs(3));
    record.say(format!(
        "before the loss of power: {served} of {sent} requests served"
    ));
    if 4 * served < sent {
        return Err(io::Error::other(
            "too few requests are served before the loss of power",
        ));
    }

    record.line("all machines lose power");
    edges.iter_mut().for_each(Edge::kill);
    thread::sleep(DOWN);
    for edge in &mut edges {
        edge.start_again(setup.root)?;
    }
    let back = Instant::now();
    record.line("all machines are back");
    let mut ready_at = vec![None; edges.len()];
    while back.elapsed() < RECOVERY {
        for (edge, ready_at) in edges.iter().zip(&mut ready_at) {
            if ready_at.is_none() && edge.is_ready() {
                *ready_at = Some(back.elapsed().as_secs_f64());
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    let (sent, served) = send_for(setup, &edges, "after", JUDGED);
    record.say(format!(
        "RECOVER: {served} of {sent} requests served that were sent {} to {} s after the machines were back",
        RECOVERY.as_secs(),
        (RECOVERY + JUDGED).as_secs()
    ));
    for (edge, ready_at) in edges.iter_mut().zip(ready_at) {
        let ready = match ready_at {
            Some(seconds) => format!("ready after {seconds:.1} s"),
            None => format!("not ready in {} s", RECOVERY.as_secs()),
        };
        let (now, runs) = (edge.is_ready(), edge.is_running());
        record.say(format!(
            "  {}: {ready}; at the end it is ready: {now}, it runs: {runs}",
            edge.name
        ));
    }
    Ok(4 * served >= sent)
}

/// Sends a request to each machine in each round. Returns how many were sent and served.
fn send_for(setup: &Setup<'_>, edges: &[Edge], stage: &str, time: Duration) -> (u32, u32) {
    let begin = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while begin.elapsed() < time {
        for edge in edges {
            let id = format!("{stage}-{sent}-{}", edge.name);
            let call = Call {
                method: "GET",
                path: "/permit/2f",
                id: &id,
                limit_ms: 3_000,
            };
            let seen = call.send(
                &setup.record,
                &edge.name,
                edge.front,
                Duration::from_secs(3),
            );
            sent += 1;
            served += u32::from(seen.status() == 200);
        }
        thread::sleep(ROUND_PERIOD);
    }
    (sent, served)
}
