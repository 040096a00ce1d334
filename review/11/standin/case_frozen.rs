//! Some machines of a zone stand still for seconds. Meanwhile a desired state moves a route to another
//! service.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::edge::{Edge, Machine};
use crate::http::Call;
use crate::replica::{Replica, Runs};
use crate::store::Store;

/// Machines of the zone, and those that stand still: the four that come first in the order in which the
/// others ask for records.
const MACHINES: u16 = 6;
const FROZEN: &[u16] = &[1, 2, 4, 5];

/// Time for which they stand still: the bench's default.
const FREEZE: Duration = Duration::from_secs(5);

/// Time from an earlier change of the desired state to the freeze, and from the freeze to the
/// acknowledgement of the change that moves the route.
const BEFORE: Duration = Duration::from_millis(200);
const LEAD: Duration = Duration::from_millis(200);

/// Work of a request: the mean of permit-fetch.
const WORK: Duration = Duration::from_millis(60);

/// Clients at each machine in touch.
const CLIENTS: usize = 3;

/// ConfigApplyMs of the deployment.
const CONFIG_APPLY: Duration = Duration::from_secs(4);

/// Time between two requests of a client.
const PERIOD: Duration = Duration::from_millis(40);

fn configuration(version: u64, moved: bool) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"pupu76.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"{service}\",\
             \"MaxAttempts\":2,\"ServingRegions\":[]}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":40,\"Protocol\":\"h1\",\
             \"Tls\":false,\"WarmupS\":3.0,\"ColdPerS\":0.0}}"
        )
    };
    format!(
        "{{\"ConfigVersion\":{version},\"Routes\":[{}],\"Services\":[{},{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        route(
            "roster",
            "non_idempotent",
            if moved { "crew-roster" } else { "permit-desk" }
        ),
        service("permit-desk"),
        service("crew-roster"),
    )
}

pub fn play(setup: &Setup<'_>) -> io::Result<bool> {
    let record = &setup.record;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let (store, address) = Store::start(record.clone())?;
    store.put("config", "main", &configuration(7, false));
    for (service, number) in [
        ("permit-desk", 1),
        ("permit-desk", 2),
        ("permit-desk", 3),
        ("crew-roster", 1),
        ("crew-roster", 2),
    ] {
        let id = format!("i-{service}-{number}");
        let replica = Replica::start(&id, service, WORK, None, &runs, record)?;
        store.put("servers", &id, &replica.entry("nord-a"));
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
    thread::sleep(Duration::from_secs(10));

    store.put("config", "main", &configuration(8, false));
    record.line("desired state 8 acknowledged: nothing moves");
    thread::sleep(BEFORE);
    let frozen: Vec<_> = FROZEN
        .iter()
        .filter(|_| setup.trouble)
        .map(|n| &edges[usize::from(*n)])
        .collect();
    for edge in &frozen {
        edge.signal("STOP");
    }
    record.line(format!("{} machines stand still", frozen.len()));
    let begin = Instant::now();
    thread::sleep(LEAD);
    store.put("config", "main", &configuration(10, true));
    let configured = Instant::now();
    record.line("desired state 10 acknowledged: the route /roster/ moves to crew-roster");
    let mut clients = Vec::new();
    let moving = edges
        .iter()
        .enumerate()
        .filter(|(number, _)| !FROZEN.contains(&(*number as u16)));
    for (_, edge) in moving {
        for client in 0..CLIENTS {
            let (front, machine, record) = (edge.front, edge.name.clone(), record.clone());
            clients.push(thread::spawn(move || {
                let mut sent = Vec::new();
                while begin.elapsed() < FREEZE + Duration::from_secs(3) {
                    let id = format!("roster-{machine}-{client}-{}", sent.len());
                    let call = Call {
                        method: "POST",
                        path: "/roster/2f",
                        id: &id,
                        limit_ms: 3_000,
                    };
                    let at = Instant::now();
                    call.send(&record, &machine, front, Duration::from_secs(3));
                    sent.push((id, at));
                    thread::sleep(PERIOD);
                }
                sent
            }));
        }
    }
    thread::sleep(FREEZE.saturating_sub(begin.elapsed()));
    for edge in &frozen {
        edge.signal("CONT");
    }
    record.line("they go on");
    let mut sent = Vec::new();
    for client in clients {
        sent.extend(client.join().unwrap_or_default());
    }

    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let run_of = |id: &String| runs.iter().find(|run| run.id == *id);
    let late = sent
        .iter()
        .filter(|(_, at)| *at > configured + CONFIG_APPLY);
    let late: Vec<_> = late
        .filter_map(|(id, at)| Some((run_of(id)?, at)))
        .collect();
    let stale = late.iter().filter(|(run, _)| run.service == "permit-desk");
    let stale: Vec<_> = stale
        .map(|(_, at)| at.duration_since(configured).as_secs_f64())
        .collect();
    let last = stale.iter().copied().fold(0.0, f64::max);
    record.say(format!(
        "CONFIG: {} of {} requests that were sent later than ConfigApplyMs after the acknowledgement were run \
         by the service of the older version, the last one sent {last:.2} s after it",
        stale.len(),
        late.len()
    ));
    Ok(stale.is_empty())
}
