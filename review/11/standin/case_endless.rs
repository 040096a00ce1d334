//! Replicas in trouble send bytes that are no answer, without end. Requests to another service must
//! still be answered.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::edge::{Edge, Machine};
use crate::http::Call;
use crate::replica::{Endless, Replica, Runs};
use crate::store::Store;

/// Least number of replicas of the service in trouble, and replicas of the sound one. A response takes one
/// worker thread of the process, which has as many as the machine has cores.
const IN_TROUBLE: usize = 12;
const SOUND: usize = 2;

/// Time-out of the routes in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Time for which a client waits: half a second beyond the route's time-out.
const BEYOND: Duration = Duration::from_millis(TIMEOUT_MS + 500);

/// Name of the machine.
const MACHINE: &str = "edge-nord-a-1";

/// Clients of the service in trouble, and the time for which they send.
const CLIENTS: usize = 12;
const TROUBLE_TIME: Duration = Duration::from_secs(20);

/// Time from the begin of the trouble to the first request that is judged, and requests to the sound
/// service.
const SETTLE: Duration = Duration::from_secs(8);
const REQUESTS: usize = 40;

/// Leading zeros of the length of a chunk.
const BYTES: Endless = Endless {
    first: "Transfer-Encoding: chunked\r\n\r\n",
    repeated: "0",
};

fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"pupu76.example\",\"PathPrefix\":\"/{name}/\",\
             \"Kind\":\"{kind}\",\"TimeoutMs\":{TIMEOUT_MS},\"TargetLatencyMs\":300,\"Priority\":2,\
             \"Service\":\"{service}\",\"MaxAttempts\":2,\"ServingRegions\":[]}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":40,\"Protocol\":\"h1\",\
             \"Tls\":false,\"WarmupS\":3.0,\"ColdPerS\":0.0}}"
        )
    };
    format!(
        "{{\"ConfigVersion\":7,\"Routes\":[{},{}],\"Services\":[{},{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        route("permit", "idempotent", "permit-desk"),
        route("crew", "non_idempotent", "crew-roster"),
        service("permit-desk"),
        service("crew-roster"),
    )
}

pub fn play(setup: &Setup<'_>) -> io::Result<bool> {
    let record = &setup.record;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let (store, address) = Store::start(record.clone())?;
    store.put("config", "main", &configuration());
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let in_trouble = IN_TROUBLE.max(cores);
    record.line(format!(
        "{in_trouble} replicas will be in trouble; the machine has {cores} cores"
    ));
    let mut replicas = Vec::new();
    for number in 0..in_trouble + SOUND {
        let sound = number >= in_trouble;
        let service = if sound { "crew-roster" } else { "permit-desk" };
        let id = format!("i-{service}-{number}");
        let work = Duration::from_millis(10);
        let endless = (!sound).then_some(BYTES);
        let replica = Replica::start(&id, service, work, endless, &runs, record)?;
        store.put("servers", &id, &replica.entry("nord-a"));
        replicas.push(replica);
    }
    let machine = Machine {
        name: MACHINE,
        zone: "nord-a",
        region: "nord",
        number: 0,
        cores: 0.25,
    };
    let mut edge = Edge::start(setup.root, setup.temporary, &machine, address)?;
    if !edge.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the machine isn't ready"));
    }
    thread::sleep(Duration::from_secs(4));
    for (method, path) in [("GET", "/permit/2f"), ("POST", "/crew/2f")] {
        let id = format!("before{}", path.replace('/', "-"));
        let call = Call {
            method,
            path,
            id: &id,
            limit_ms: TIMEOUT_MS,
        };
        if call
            .send(record, &edge.name, edge.front, Duration::from_secs(3))
            .status()
            != 200
        {
            return Err(io::Error::other(
                "requests aren't served before the disruption",
            ));
        }
    }

    for replica in &replicas {
        replica.set_trouble(setup.trouble);
    }
    record.line("the trouble begins");
    let begin = Instant::now();
    let front = edge.front;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let mut number = 0;
                while begin.elapsed() < TROUBLE_TIME {
                    number += 1;
                    let id = format!("permit-{client}-{number}");
                    let path = format!("/permit/{client}-{number}");
                    let call = Call {
                        method: "GET",
                        path: &path,
                        id: &id,
                        limit_ms: TIMEOUT_MS,
                    };
                    call.send(&record, MACHINE, front, BEYOND);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(SETTLE);
    let (used, at) = (edge.cpu_seconds(), Instant::now());
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::sleep(Duration::from_millis(250));
            let record = record.clone();
            thread::spawn(move || {
                let (id, path) = (format!("crew-{number}"), format!("/crew/{number}"));
                let call = Call {
                    method: "POST",
                    path: &path,
                    id: &id,
                    limit_ms: TIMEOUT_MS,
                };
                let sent = Instant::now();
                let seen = call.send(&record, MACHINE, front, BEYOND);
                (seen.status(), sent.elapsed().as_millis())
            })
        })
        .collect();
    let results: Vec<_> = requests
        .into_iter()
        .map(|r| r.join().unwrap_or((0, 0)))
        .collect();
    let answered = results.iter().filter(|(status, _)| *status == 200).count();
    // Connections that aren't established within a second have carried no request.
    let open = results
        .iter()
        .filter(|(_, elapsed)| *elapsed >= u128::from(TIMEOUT_MS));
    let open: Vec<_> = open.collect();
    let unanswered = open.iter().filter(|(status, _)| *status == 0).count();
    let cores = (edge.cpu_seconds() - used) / at.elapsed().as_secs_f64();
    for client in clients {
        drop(client.join());
    }
    // The clients have left for long; the process should be idle.
    thread::sleep(Duration::from_secs(5));
    let (used, at) = (edge.cpu_seconds(), Instant::now());
    thread::sleep(Duration::from_secs(2));
    let idle = (edge.cpu_seconds() - used) / at.elapsed().as_secs_f64();
    let ready = edge.is_ready();
    record.say(format!(
        "CONFIG: of {REQUESTS} requests to the sound service {answered} were served; {} were unanswered at \
         the route's TimeoutMs, {unanswered} of them half a second later; the process used {cores:.1} cores",
        open.len()
    ));
    record.say(format!(
        "5 s after the last request to the service in trouble: the process uses {idle:.1} cores; \
         /readiness answers 200: {ready}; it runs: {}",
        edge.is_running()
    ));
    // More than half of the requests that are unanswered at their route's TimeoutMs have no answer half a
    // second later.
    Ok(2 * unanswered <= open.len())
}
