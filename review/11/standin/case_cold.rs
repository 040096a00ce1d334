//! The store is down for some seconds. Meanwhile the replicas of a zone crash, and come back cold at their
//! addresses and under their ids.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Setup;
use crate::edge::{Edge, Machine};
use crate::http::Call;
use crate::record::Record;
use crate::replica::{Replica, Runs};
use crate::store::Store;

/// Replicas of the service, by zone. Those of the first zone crash.
const REPLICAS: [&str; 5] = ["nord-a", "nord-a", "centre-a", "centre-a", "sud-a"];
const CRASHED: usize = 2;

/// Machines of the first zone.
const MACHINES: u16 = 4;

/// Time for which the store is down, from its begin to the crash, and time without the replicas.
const OUTAGE: Duration = Duration::from_secs(7);
const LEAD: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_secs(3);

/// WarmupS and ColdPerS of the service, ColdOver and ColdSlack of the deployment.
const WARMUP: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 6.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Requests in one second at which a cold replica crashes: "a rate well above" ColdPerS.
const FATAL: usize = 24;

/// Clients at each machine, and the time between two requests of one.
const CLIENTS: usize = 4;
const PERIOD: Duration = Duration::from_millis(250);
const WORK: Duration = Duration::from_millis(20);

/// Time that a request to another region and its answer take on the way.
const FAR: Duration = Duration::from_millis(40);

const CONFIGURATION: &str = r#"{"ConfigVersion":7,"Routes":[{"Name":"r-permit","Host":"pupu76.example",
"PathPrefix":"/permit/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":2,
"Service":"permit-desk","MaxAttempts":2,"ServingRegions":[]}],"Services":[{"Name":"permit-desk",
"HealthPath":"/health","MaxConnections":40,"Protocol":"h1","Tls":false,"WarmupS":3.0,"ColdPerS":6.0}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// A start of a replica that is cold.
struct Cold {
    id: String,
    since: Instant,
}

pub fn play(setup: &Setup<'_>) -> io::Result<bool> {
    let record = &setup.record;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let (store, address) = Store::start(record.clone())?;
    store.put("config", "main", CONFIGURATION);
    let mut replicas = Vec::new();
    for (number, zone) in REPLICAS.iter().enumerate() {
        let id = format!("i-permit-desk-{number}");
        let work = if *zone == "nord-a" { WORK } else { WORK + FAR };
        let replica = Replica::start(&id, "permit-desk", work, None, &runs, record)?;
        store.put(
            "servers",
            &id,
            &replica.cold_entry(zone, unix_millis(), Duration::ZERO),
        );
        replicas.push((id, replica));
    }
    let mut edges = Vec::new();
    for number in 0..MACHINES {
        let name = format!("edge-nord-a-{}", number + 1);
        let machine = Machine {
            name: &name,
            zone: "nord-a",
            region: "nord",
            number,
            cores: 0.25,
        };
        edges.push(Edge::start(setup.root, setup.temporary, &machine, address)?);
    }
    for edge in &edges {
        if !edge.wait_until_ready(Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} isn't ready", edge.name)));
        }
    }
    thread::sleep(Duration::from_secs(5));

    let begin = Instant::now();
    let length = LEAD + DOWN + WARMUP + OUTAGE;
    let mut clients = Vec::new();
    for edge in &edges {
        for client in 0..CLIENTS {
            let (front, name, record) = (
                edge.front,
                format!("{}-{client}", edge.name),
                record.clone(),
            );
            clients.push(thread::spawn(move || {
                thread::sleep(PERIOD * client as u32 / CLIENTS as u32);
                send_for(front, &name, &record, begin, length)
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    if setup.trouble {
        record.line("the store is down");
        store.set_away(true);
    }
    let down = Instant::now();
    thread::sleep(LEAD);
    record.line("the replicas of nord-a crash");
    let crashed: Vec<_> = replicas.drain(..CRASHED).collect();
    crashed.iter().for_each(|(_, replica)| replica.end());
    thread::sleep(DOWN);
    let mut cold = Vec::new();
    let mut back = Vec::new();
    for (id, old) in &crashed {
        let replica = Replica::start_at(old.address, id, "permit-desk", WORK, None, &runs, record)?;
        replica.set_cold(WARMUP);
        let (born, since) = (unix_millis(), Instant::now());
        record.line(format!(
            "{id} is back at its address, cold for {} s",
            WARMUP.as_secs()
        ));
        if !setup.trouble {
            store.put("servers", id, &replica.cold_entry("nord-a", born, WARMUP));
        }
        let (watched, runs) = (replica.clone(), Arc::clone(&runs));
        let (id, record) = (id.clone(), record.clone());
        cold.push(Cold {
            id: id.clone(),
            since,
        });
        back.push((replica, born));
        thread::spawn(move || crash_if_flooded(&watched, &id, since, &runs, &record));
    }
    thread::sleep(OUTAGE.saturating_sub(down.elapsed()));
    if setup.trouble {
        // Each replica's next beat reaches the store.
        for (cold, (replica, born)) in cold.iter().zip(&back) {
            if replica.has_ended() {
                continue;
            }
            let left = WARMUP.saturating_sub(cold.since.elapsed());
            store.put(
                "servers",
                &cold.id,
                &replica.cold_entry("nord-a", *born, left),
            );
        }
        store.set_away(false);
        record.line("the store is back");
    }
    let mut sent = BTreeMap::new();
    let mut failed = BTreeSet::new();
    for client in clients {
        for (id, at, status) in client.join().unwrap_or_default() {
            if status != 200 {
                failed.insert(id.clone());
            }
            sent.insert(id, at);
        }
    }

    let limit = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut held = true;
    for Cold { id, since } in &cold {
        let until = *since + WARMUP;
        let arrivals = runs
            .iter()
            .filter(|run| run.replica == *id && run.at >= *since && run.at < until);
        let arrivals: Vec<_> = arrivals
            .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
            .collect();
        // Requests that were sent and arrived inside of a second.
        let counts = arrivals.iter().map(|(begin, _)| {
            let end = *begin + Duration::from_secs(1);
            arrivals
                .iter()
                .filter(|(sent, at)| sent >= begin && *at < end)
                .count()
        });
        let most = counts.max().unwrap_or(0);
        record.say(format!(
            "FAILBACK: {id} got {} requests in the {} s in which it was cold, at most {most} in one second; \
             the rule allows {limit}",
            arrivals.len(),
            WARMUP.as_secs()
        ));
        let lost = runs
            .iter()
            .filter(|run| run.replica == *id && run.at >= *since && failed.contains(&run.id));
        record.say(format!(
            "  {} requests that may run once only had begun at it and were lost when it crashed",
            lost.count()
        ));
        held &= most as f64 <= limit;
    }
    Ok(held)
}

/// Sends requests. Returns the id of each, when it was sent, and the status of its answer.
fn send_for(
    front: SocketAddr,
    name: &str,
    record: &Record,
    begin: Instant,
    length: Duration,
) -> Vec<(String, Instant, u16)> {
    let mut sent = Vec::new();
    while begin.elapsed() < length {
        let id = format!("permit-{name}-{}", sent.len());
        let path = format!("/permit/{id}");
        let call = Call {
            method: "POST",
            path: &path,
            id: &id,
            limit_ms: 3_000,
        };
        let at = Instant::now();
        let seen = call.send(record, name, front, Duration::from_secs(3));
        sent.push((id, at, seen.status()));
        thread::sleep(PERIOD.saturating_sub(at.elapsed()));
    }
    sent
}

/// Ends a replica that gets too many requests while it is cold.
fn crash_if_flooded(replica: &Replica, id: &str, since: Instant, runs: &Runs, record: &Record) {
    while since.elapsed() < WARMUP {
        thread::sleep(Duration::from_millis(5));
        let Some(second) = Instant::now().checked_sub(Duration::from_secs(1)) else {
            return;
        };
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = runs.iter().rev().take_while(|run| run.at > second);
        let count = recent
            .filter(|run| run.replica == id && run.at >= since)
            .count();
        drop(runs);
        if count >= FATAL {
            record.line(format!(
                "{id} crashes: {count} requests in one second while it is cold"
            ));
            return replica.end();
        }
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}
