//! Requests that wait for a connection to a slow replica are sent to it although it drains meanwhile.

use super::*;

const LIMIT: Duration = Duration::from_millis(6_000);

/// Factor on the time of a run while the replicas are slow, in percent, and for how long they are.
const SLOW: u32 = 1_200;
const SLOW_TIME: Duration = Duration::from_secs(8);

/// Time from the start of that until one replica reports that it drains.
const DRAIN_AFTER: Duration = Duration::from_millis(4_600);

/// Number of replicas, of those that leave, of those that turn slow, and of requests a second.
const REPLICAS: usize = 12;
const LEAVING: usize = 2;
const SLOW_REPLICAS: usize = 4;
const RATE: u64 = 145;

/// Machines that clients reach: those of the zone `liepaja-a`.
const MACHINES: [usize; 2] = [3, 4];

pub(super) fn drain(site: &Site, trouble: bool) -> Option<Vec<String>> {
    let zones = [
        "riga-a",
        "riga-a",
        "riga-a",
        "liepaja-a",
        "liepaja-a",
        "daugavpils-a",
        "daugavpils-a",
    ];
    let replicas: Vec<_> = (0..REPLICAS)
        .map(|number| {
            let settings = Settings {
                name: format!("i-{number}"),
                service: "huvo11a".to_owned(),
                zone: zones[number * 2 % 7].to_owned(),
                ip: site.ip(),
                slots: 3,
                queue: 18,
                connections: 31,
                work: Duration::from_millis(220),
                body: 208,
            };
            site.replica(settings, "500 Internal Server Error")
        })
        .collect();
    let route = route_text(
        "r-replay",
        "/timi402/",
        "non_idempotent",
        6_000,
        "\"Service\":\"huvo11a\"",
    );
    site.store.put(
        "config",
        "main",
        config_text(7, &[route], &[("huvo11a", 31)]),
    );
    let fronts = site.start_edges(&zones, &DZL)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    // Open loop: a new caller for each request.
    let (log, own) = (site.log.clone(), Arc::clone(&stop));
    let starter = thread::spawn(move || {
        let mut number = 0_u64;
        let start = Instant::now();
        while !own.load(Ordering::SeqCst) {
            number += 1;
            let machine = MACHINES[number as usize % MACHINES.len()];
            let mut caller = Caller::new(fronts[machine], &log, &format!("client-{machine}"));
            thread::spawn(move || {
                caller.send(&Attempt::new("POST", "/timi402/2f", "session=4", LIMIT));
            });
            let due = start + Duration::from_micros(1_000_000 * number / RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    });
    thread::sleep(Duration::from_secs(3));
    site.log.note("the replicas turn slow");
    for replica in &replicas[..SLOW_REPLICAS] {
        replica
            .faults
            .slow
            .store(if trouble { SLOW } else { 0 }, Ordering::SeqCst);
    }
    thread::sleep(DRAIN_AFTER);
    let mut acknowledged = BTreeMap::new();
    for leaving in &replicas[..LEAVING] {
        let address = leaving.address().to_string();
        let text = entry_text(leaving.settings(), &address, "draining");
        let at = site.store.put("servers", &leaving.id(), text);
        site.log.note(format!(
            "the store has accepted that {} drains",
            leaving.id()
        ));
        acknowledged.insert(leaving.id(), at);
    }
    thread::sleep(SLOW_TIME - DRAIN_AFTER);
    site.log.note("the replicas are no longer slow");
    for replica in &replicas {
        replica.faults.slow.store(0, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    let _ = starter.join();
    thread::sleep(LIMIT);
    let limit = Duration::from_millis(u64::from(DZL.drain_ms));
    let mut late = Vec::new();
    for event in site.log.events().iter().filter(|e| e.what == What::Arrived) {
        let Some(at) = acknowledged.get(&event.who) else {
            continue;
        };
        let after = event.at.saturating_duration_since(*at);
        if after > limit {
            late.push(format!(
                "DRAIN: attempt {} reached {} {after:?} after the acknowledgement",
                event.id, event.who
            ));
        }
    }
    Some(late)
}
