//! The replicas of a zone that is taken back are cold, and get their full share of the requests until
//! their entries say so.

use super::*;
use crate::replica::clock_ms;

const LIMIT: Duration = Duration::from_millis(3_000);

/// Requests a second that a cold replica tolerates, as the desired state says, and the bound of the
/// rule: `ColdPerS` x `ColdOver` + `ColdSlack`.
const COLD_PER_S: f64 = 5.0;
const BOUND: f64 = COLD_PER_S * 1.5 + 5.0;

/// How long a replica is cold, `WarmupS`.
const COLD: Duration = Duration::from_secs(3);

/// Length of an evacuation, and how long before its end the replicas of the zone turn cold.
const EVACUATION: Duration = Duration::from_secs(5);
const COLD_BEFORE: Duration = Duration::from_millis(300);

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const RATE: u64 = 100;
const ROUNDS: usize = 4;

pub(super) fn cold(site: &Site, trouble: bool) -> Option<Vec<String>> {
    let replicas = ["nord-a", "centre-a"].map(|zone| {
        let settings = Settings {
            name: format!("i-{zone}"),
            service: "kafi81c".to_owned(),
            zone: zone.to_owned(),
            ip: site.ip(),
            slots: 3,
            queue: 12,
            connections: 40,
            work: Duration::from_millis(10),
            body: 3_008,
        };
        site.replica(settings, "500 Internal Server Error")
    });
    let route = route_text(
        "r-permit",
        "/timi402/",
        "idempotent",
        3_000,
        "\"Service\":\"kafi81c\"",
    );
    let config = config_text(7, &[route], &[("kafi81c", 40)]);
    let config = config.replace("\"ColdPerS\":0.0", &format!("\"ColdPerS\":{COLD_PER_S:.1}"));
    site.store.put("config", "main", config);
    let fronts = site.start_edges(&["nord-a", "centre-a", "sud-a"], &RAMPE)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    for (number, replica) in replicas.iter().enumerate() {
        let (store, replica, stop) = (site.store.clone(), replica.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * number as u32 / 2);
            let mut known = 0;
            while !stop.load(Ordering::SeqCst) {
                let left = replica.cold_left();
                if left != known {
                    known = left;
                    let text = entry_text(
                        replica.settings(),
                        &replica.address().to_string(),
                        "available",
                    );
                    let text =
                        text.replace("\"WarmupLeftMs\":0", &format!("\"WarmupLeftMs\":{left}"));
                    store.put("servers", &replica.id(), text);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let (log, own) = (site.log.clone(), Arc::clone(&stop));
    let starter = thread::spawn(move || {
        let mut number = 0_u64;
        let start = Instant::now();
        while !own.load(Ordering::SeqCst) {
            number += 1;
            let machine = number as usize % fronts.len();
            let mut caller = Caller::new(fronts[machine], &log, &format!("client-{machine}"));
            thread::spawn(move || {
                caller.send(&Attempt::new("GET", "/timi402/2f", "", LIMIT));
            });
            let due = start + Duration::from_micros(1_000_000 * number / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    });
    thread::sleep(Duration::from_secs(3));
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let replica = &replicas[round % replicas.len()];
        let zone = replica.settings().zone.clone();
        site.store.put("evacuations", &zone, "{}");
        site.log.note(format!("{zone} is evacuated"));
        thread::sleep(EVACUATION - COLD_BEFORE);
        if trouble {
            replica
                .faults
                .cold_until
                .store(clock_ms() + COLD.as_millis() as u64, Ordering::SeqCst);
            times.push((
                replica.id(),
                site.log.note(format!("{} turns cold", replica.id())),
            ));
        }
        thread::sleep(COLD_BEFORE);
        site.store.remove("evacuations", &zone);
        site.log.note(format!("{zone} is taken back"));
        // Longer than a replica is cold, and no multiple of the heartbeat interval.
        thread::sleep(Duration::from_millis(4_730));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = starter.join();
    let events = site.log.events();
    let mut broken = Vec::new();
    for (id, from) in &times {
        let arrivals = events
            .iter()
            .filter(|e| e.who == *id && e.what == What::Arrived);
        let arrivals = arrivals
            .map(|e| e.at)
            .filter(|at| *at >= *from && *at < *from + COLD);
        let arrivals: Vec<_> = arrivals.collect();
        let within = |from: Instant| {
            arrivals
                .iter()
                .filter(|at| **at >= from && **at < from + Duration::from_secs(1))
                .count()
        };
        let most = arrivals.iter().map(|at| within(*at)).max().unwrap_or(0);
        site.log.note(format!(
            "{id}: {most} requests in the busiest second while it was cold, {} in all",
            arrivals.len()
        ));
        if most as f64 > BOUND {
            broken.push(format!("FAILBACK: the cold replica {id} got {most} requests in one second; the bound is {BOUND}"));
        }
    }
    Some(broken)
}
