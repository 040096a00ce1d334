//! Machines are added and removed for good, while others stay. Later a request that crashes each replica
//! that runs it comes again and again, at any machine.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::dark::remove_machines;
use crate::edge::{Edge, Machine};
use crate::http;
use crate::replica::{FATAL, Replica, Runs};
use crate::store::Store;

/// Machines that stay: as many in each zone as the users' smaller site has.
const ZONES: [(&str, &str); 8] = [
    ("nord-a", "nord"),
    ("nord-a", "nord"),
    ("nord-a", "nord"),
    ("nord-a", "nord"),
    ("centre-a", "centre"),
    ("centre-a", "centre"),
    ("sud-a", "sud"),
    ("sud-a", "sud"),
];

/// Machines that are removed for good, and how many of them run at a time.
const REMOVED: u16 = 320;
const BATCH: u16 = 40;

/// Replicas of the service, time without a replica that has crashed, and time after which its entry is
/// removed: three check-in intervals of silence.
const REPLICAS: usize = 12;
const DOWN: Duration = Duration::from_secs(3);
const LAPSE: Duration = Duration::from_millis(3_600);

/// Time from the last removal to the first fatal request. By then the machines have counted the others again.
const CALM: Duration = Duration::from_secs(24);

/// Fatal requests, and the time between two. Each goes to the next machine.
const REQUESTS: usize = 16;
const PERIOD: Duration = Duration::from_secs(2);

/// ContactMs of the deployment.
const CONTACT: Duration = Duration::from_secs(5);

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
    for number in 0..REPLICAS {
        let zone = ["nord-a", "centre-a", "sud-a"][number % 3];
        let (store, record, runs) = (store.clone(), record.clone(), Arc::clone(&runs));
        thread::spawn(move || run_replica(number, zone, &store, &record, &runs));
    }
    let start = |number: u16| {
        let (zone, region) = ZONES[usize::from(number) % ZONES.len()];
        let name = format!("edge-{zone}-{}", number + 1);
        let machine = Machine {
            name: &name,
            zone,
            region,
            number,
            cores: 0.25,
        };
        Edge::start(setup.root, setup.temporary, &machine, address)
    };
    let staying = ZONES.len() as u16;
    let edges: Vec<_> = (0..staying).map(start).collect::<io::Result<_>>()?;
    for edge in &edges {
        if !edge.wait_until_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} isn't ready", edge.name)));
        }
    }
    let removed = if setup.trouble { REMOVED } else { 0 };
    let _dark = remove_machines(record, &store, staying, removed, BATCH, start)?;
    thread::sleep(CALM);

    for edge in &edges {
        let request = http::request("GET", "/permit/2f", &format!("before-{}", edge.name), 3_000);
        if http::send(edge.front, &request, Duration::from_secs(3)).status() != 200 {
            return Err(io::Error::other("requests aren't served before"));
        }
    }
    for number in 0..REQUESTS {
        let edge = &edges[number % edges.len()];
        let id = format!("fatal-{number}-{}", edge.name);
        let request = http::request("GET", &format!("/permit/{FATAL}"), &id, 3_000);
        let begin = Instant::now();
        let seen = http::send(edge.front, &request, Duration::from_secs(3));
        record.line(format!("answer: {id}: {}", seen.describe()));
        thread::sleep(PERIOD.saturating_sub(begin.elapsed()));
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let fatal: Vec<_> = runs
        .iter()
        .filter(|run| run.id.starts_with("fatal"))
        .collect();
    let limit = fatal.get(2).map(|third| third.at + CONTACT);
    let late = fatal
        .iter()
        .filter(|run| limit.is_some_and(|limit| run.at > limit))
        .count();
    record.say(format!(
        "BUDGET: the request has crashed {} replicas; it reached replicas {late} times later than ContactMs \
         after it had crashed the third",
        fatal.len()
    ));
    Ok(late <= 3)
}

/// Runs a replica and starts it again, under another id, after each crash.
fn run_replica(
    number: usize,
    zone: &str,
    store: &Store,
    record: &crate::record::Record,
    runs: &Runs,
) {
    for boot in 1.. {
        let id = format!("i-permit-desk-{number}-{boot}");
        let Ok(replica) = Replica::start(
            &id,
            "permit-desk",
            Duration::from_millis(10),
            None,
            runs,
            record,
        ) else {
            return;
        };
        store.put("servers", &id, &replica.entry(zone));
        while !replica.has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.remove("servers", &id);
        });
        thread::sleep(DOWN);
    }
}
