//! The platform's store comes back from a copy a few seconds old. Later a desired state moves a route
//! to another service.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::edge::{Edge, Machine};
use crate::http::Call;
use crate::replica::{Replica, Runs};
use crate::store::Store;

/// Machines: as many in each zone as the users' smaller site has.
const MACHINES: [(&str, &str, &str); 8] = [
    ("edge-nord-a-1", "nord-a", "nord"),
    ("edge-nord-a-2", "nord-a", "nord"),
    ("edge-nord-a-3", "nord-a", "nord"),
    ("edge-nord-a-4", "nord-a", "nord"),
    ("edge-centre-a-1", "centre-a", "centre"),
    ("edge-centre-a-2", "centre-a", "centre"),
    ("edge-sud-a-1", "sud-a", "sud"),
    ("edge-sud-a-2", "sud-a", "sud"),
];

/// Time for which the store is away, and age of the copy that it comes back from.
const AWAY: Duration = Duration::from_millis(700);
const COPY_AGE: Duration = Duration::from_secs(5);

/// Changes of the configuration between the copy and the loss, and the time between two.
const CHANGES: u64 = 4;
const CHANGE_PERIOD: Duration = Duration::from_secs(1);

/// Time from the store's return to the last change: longer than ContactMs, 5 s.
const CALM: Duration = Duration::from_secs(12);

/// Time from the acknowledgement of the last change to the first request: longer than ConfigApplyMs,
/// 4 s.
const APPLY: Duration = Duration::from_secs(6);

/// Rounds of requests, one to each machine, and the time between two.
const ROUNDS: u32 = 30;
const ROUND_PERIOD: Duration = Duration::from_millis(500);

/// Returns a desired state. The route's time-out changes with each version, and from `moved` on its
/// requests go to the other service.
fn configuration(version: u64, moved: bool) -> String {
    let service = if moved { "crew-roster" } else { "permit-desk" };
    let timeout = 3_000 + version;
    format!(
        "{{\"ConfigVersion\":{version},\"Routes\":[{{\"Name\":\"r-permit\",\"Host\":\"pupu76.example\",\
         \"PathPrefix\":\"/permit/\",\"Kind\":\"idempotent\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":300,\
         \"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2,\"ServingRegions\":[]}}],\
         \"Services\":[{{\"Name\":\"permit-desk\",\"HealthPath\":\"/health\",\"MaxConnections\":40,\
         \"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\"ColdPerS\":0.0}},\
         {{\"Name\":\"crew-roster\",\"HealthPath\":\"/health\",\"MaxConnections\":40,\"Protocol\":\"h1\",\
         \"Tls\":false,\"WarmupS\":3.0,\"ColdPerS\":0.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

pub fn play(setup: &Setup<'_>) -> io::Result<bool> {
    let record = &setup.record;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let (store, address) = Store::start(record.clone())?;
    let mut version = 7;
    store.put("config", "main", &configuration(version, false));
    for (service, zone, number) in [
        ("permit-desk", "nord-a", 1),
        ("permit-desk", "centre-a", 2),
        ("permit-desk", "sud-a", 3),
        ("crew-roster", "nord-a", 1),
        ("crew-roster", "centre-a", 2),
        ("crew-roster", "sud-a", 3),
    ] {
        let id = format!("i-{service}-{number}");
        let work = Duration::from_millis(10);
        let replica = Replica::start(&id, service, work, None, &runs, record)?;
        store.put("servers", &id, &replica.entry(zone));
    }
    let mut edges = Vec::new();
    for (number, (name, zone, region)) in (0..).zip(MACHINES) {
        let machine = Machine {
            name,
            zone,
            region,
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
    // The machines learn of each other within some seconds.
    thread::sleep(Duration::from_secs(10));
    let before = round(setup, &edges, &runs, "before", 0);
    if before
        .values()
        .flatten()
        .any(|service| service != "permit-desk")
    {
        return Err(io::Error::other(
            "requests aren't served before the disruption",
        ));
    }

    let copy = store.copy();
    let copied_at = Instant::now();
    record.line(format!(
        "the store's copy is made at revision {}",
        store.revision()
    ));
    for _ in 0..CHANGES {
        thread::sleep(CHANGE_PERIOD);
        version += 3;
        let revision = store.put("config", "main", &configuration(version, false));
        record.line(format!(
            "desired state {version} acknowledged at revision {revision}"
        ));
    }
    thread::sleep(COPY_AGE.saturating_sub(copied_at.elapsed() + AWAY));
    if setup.trouble {
        record.line("the store is away");
        store.set_away(true);
        thread::sleep(AWAY);
        store.come_back(copy);
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(CALM);

    version += 3;
    let revision = store.put("config", "main", &configuration(version, true));
    record.line(format!("desired state {version} acknowledged at revision {revision}: the route moves to crew-roster"));
    thread::sleep(APPLY);
    let mut old: BTreeMap<String, u32> = BTreeMap::new();
    for number in 1..=ROUNDS {
        for (edge, services) in round(setup, &edges, &runs, "after", number) {
            let wrong = services
                .iter()
                .filter(|service| *service == "permit-desk")
                .count();
            *old.entry(edge).or_default() += wrong as u32;
        }
        thread::sleep(ROUND_PERIOD);
    }
    let total: u32 = old.values().sum();
    record.say(format!(
        "CONFIG: {total} of {} requests that were sent {} to {} s after the acknowledgement were run by \
         the service of an older version",
        ROUNDS * MACHINES.len() as u32,
        APPLY.as_secs(),
        (APPLY + ROUND_PERIOD * ROUNDS).as_secs(),
    ));
    for (edge, count) in old.iter().filter(|(_, count)| **count > 0) {
        record.say(format!("  {edge}: {count} of {ROUNDS}"));
    }
    Ok(total == 0)
}

/// Sends a request to each machine. Returns the services that ran them, by machine.
fn round(
    setup: &Setup<'_>,
    edges: &[Edge],
    runs: &Runs,
    stage: &str,
    number: u32,
) -> BTreeMap<String, Vec<String>> {
    let mut services = BTreeMap::new();
    for edge in edges {
        let id = format!("{stage}-{number}-{}", edge.name);
        let call = Call {
            method: "GET",
            path: "/permit/2f",
            id: &id,
            limit_ms: 3_000,
        };
        call.send(
            &setup.record,
            &edge.name,
            edge.front,
            Duration::from_secs(3),
        );
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let ran = runs
            .iter()
            .filter(|run| run.id == id)
            .map(|run| run.service.clone());
        services.insert(edge.name.clone(), ran.collect());
    }
    services
}
