//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Attempt, Caller, HOST};
use crate::edge::{Bounds, Edge, Folder};
use crate::log::{Event, Log, What};
use crate::replica::{Replica, Settings};
use crate::store::Store;

/// Time from the start of the machines to the first traffic.
const LEAD: Duration = Duration::from_secs(10);

/// Bounds of the site `rampe-loom`.
const RAMPE: Bounds = Bounds {
    drain_ms: 4_000,
    contact_ms: 5_000,
    retry_slack: 56,
};
/// Bounds of the site `dzl-clipsearch`.
const DZL: Bounds = Bounds {
    drain_ms: 3_000,
    contact_ms: 4_000,
    retry_slack: 54,
};

static EDGES: Mutex<Vec<Edge>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    let mut edges = match EDGES.lock() {
        Ok(edges) => edges,
        Err(poisoned) => poisoned.into_inner(),
    };
    for edge in edges.iter_mut() {
        edge.kill();
    }
    edges.clear();
}

/// Runs a case. Returns whether the rule was broken; `None` if the case could not run.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Option<bool> {
    let site = Site::new();
    let result = match case {
        "twice" => twice(&site, trouble),
        "drain" => drain(&site, trouble),
        "parts" => parts(&site, trouble),
        "crash" => crash(&site, trouble),
        "entry" => entry(&site, trouble),
        "cold" => cold(&site, trouble),
        _ => None,
    };
    let ended = EDGES
        .lock()
        .unwrap()
        .iter_mut()
        .filter_map(|e| e.has_ended().then(|| e.name.clone()))
        .collect::<Vec<_>>();
    if let Ok(keep) = std::env::var("KEEP") {
        println!("logs kept in {} ({keep})", site.folder.0.display());
    }
    end_all();
    let mut verdict = result
        .clone()
        .unwrap_or_else(|| vec!["the case could not run".to_owned()]);
    if !ended.is_empty() {
        verdict.push(format!(
            "processes that ended by themselves: {}",
            ended.join(", ")
        ));
    }
    let broken = result.map(|lines| !lines.is_empty());
    verdict.insert(
        0,
        match broken {
            Some(true) => "RULE BROKEN".to_owned(),
            Some(false) => "the rule held".to_owned(),
            None => "could not run".to_owned(),
        },
    );
    for line in verdict.iter().take(12) {
        println!("{line}");
    }
    site.log.write(&folder.join("record.txt"), &verdict);
    broken
}

/// Store, addresses and log of a run.
struct Site {
    folder: Folder,
    log: Log,
    store: Store,
    store_address: SocketAddr,
    /// First three numbers of the run's own addresses.
    net: String,
    next: std::cell::Cell<u32>,
}

impl Site {
    fn new() -> Self {
        let process = std::process::id();
        let net = format!("127.{}.{}", process % 200 + 20, process / 200 % 250);
        let (store, store_address) = Store::start(&format!("{net}.1"));
        Self {
            folder: Folder::new(),
            log: Log::new(),
            store,
            store_address,
            net,
            next: std::cell::Cell::new(2),
        }
    }

    fn ip(&self) -> String {
        let number = self.next.replace(self.next.get() + 1);
        format!("{}.{number}", self.net)
    }

    fn start_edges(&self, zones: &[&str], bounds: &Bounds) -> Option<Vec<SocketAddr>> {
        let mut all: Vec<&str> = zones.to_vec();
        all.dedup();
        let edges = zones
            .iter()
            .enumerate()
            .map(|(i, zone)| self.start_edge(&format!("edge-{zone}-{i}"), zone, &all, bounds));
        let edges: Vec<_> = edges.collect();
        let fronts = edges.iter().map(|e| e.front).collect();
        let ready = edges.iter().all(|e| e.wait_ready(LEAD));
        *EDGES.lock().unwrap() = edges;
        ready.then_some(fronts)
    }

    fn start_edge(&self, name: &str, zone: &str, zones: &[&str], bounds: &Bounds) -> Edge {
        Edge::start(
            &self.folder.0,
            name,
            &self.ip(),
            zone,
            zones,
            self.store_address,
            bounds,
        )
    }

    fn replica(&self, settings: Settings, failure: &'static str) -> Replica {
        let store = self.store.clone();
        let address = Arc::new(Mutex::new(String::new()));
        let known = Arc::clone(&address);
        let own = settings.clone();
        let replica = Replica::start(settings, &self.log, failure, move |id, starts| {
            let (store, own, known, id) = (
                store.clone(),
                own.clone(),
                Arc::clone(&known),
                id.to_owned(),
            );
            match starts {
                true => {
                    thread::spawn(move || {
                        while known.lock().unwrap().is_empty() {
                            thread::sleep(Duration::from_millis(1));
                        }
                        let address = known.lock().unwrap().clone();
                        store.put("servers", &id, entry_text(&own, &address, "available"));
                    });
                }
                // The entry goes after three check-in intervals of silence.
                false => {
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(3_600));
                        store.remove("servers", &id);
                    });
                }
            }
        });
        *address.lock().unwrap() = replica.address().to_string();
        replica
    }
}

fn entry_text(settings: &Settings, address: &str, state: &str) -> String {
    let Settings {
        service,
        zone,
        slots,
        ..
    } = settings;
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"ConfigVersion\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"WarmupLeftMs\":0,\"Sequence\":4,\"born\":1796480000000}}"
    )
}

fn route_text(name: &str, prefix: &str, kind: &str, timeout: u32, target: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":{},\"Priority\":2,{target},\"MaxAttempts\":2,\"ServingRegions\":[]}}",
        timeout / 6
    )
}

fn config_text(version: u32, routes: &[String], services: &[(&str, u32)]) -> String {
    let services = services.iter().map(|(name, connections)| {
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":{connections},\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\"ColdPerS\":0.0}}")
    });
    let services: Vec<_> = services.collect();
    format!(
        "{{\"ConfigVersion\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn by_attempt(events: &[Event]) -> BTreeMap<String, Vec<Event>> {
    let mut all: BTreeMap<String, Vec<Event>> = BTreeMap::new();
    for event in events.iter().filter(|e| !e.id.is_empty()) {
        all.entry(event.id.clone()).or_default().push(event.clone());
    }
    all
}

#[path = "case_cold.rs"]
mod cold;
#[path = "case_crash.rs"]
mod crash;
#[path = "case_drain.rs"]
mod drain;
#[path = "case_entry.rs"]
mod entry;
#[path = "case_parts.rs"]
mod parts;
#[path = "case_twice.rs"]
mod twice;

use cold::cold;
use crash::crash;
use drain::drain;
use entry::entry;
use parts::parts;
use twice::twice;
