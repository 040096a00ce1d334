//! One entry with bytes that can't be read hides all entries, so that a replica that drains goes on
//! getting requests.

use super::*;

const LIMIT: Duration = Duration::from_millis(3_000);

pub(super) fn entry(site: &Site, trouble: bool) -> Option<Vec<String>> {
    let replicas = ["nord-a", "centre-a", "sud-a"].map(|zone| {
        let settings = Settings {
            name: format!("i-{zone}"),
            service: "kafi81c".to_owned(),
            zone: zone.to_owned(),
            ip: site.ip(),
            slots: 3,
            queue: 12,
            connections: 40,
            work: Duration::from_millis(60),
            body: 3_008,
        };
        site.replica(settings, "500 Internal Server Error")
    });
    let route = route_text(
        "r-permit",
        "/timi402/",
        "non_idempotent",
        3_000,
        "\"Service\":\"kafi81c\"",
    );
    site.store.put(
        "config",
        "main",
        config_text(7, &[route], &[("kafi81c", 40)]),
    );
    let fronts = site.start_edges(&["nord-a", "centre-a", "sud-a"], &RAMPE)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (machine, front) in fronts.iter().enumerate() {
        for _ in 0..2 {
            let (mut caller, stop) = (
                Caller::new(*front, &site.log, &format!("client-{machine}")),
                Arc::clone(&stop),
            );
            callers.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    caller.send(&Attempt::new("POST", "/timi402/2f", "crew=4", LIMIT));
                    thread::sleep(Duration::from_millis(40));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    // Without the disruption, the other writer's entry has a state that isn't named, which can be read.
    let service: &[u8] = if trouble { b"\xff\xfe\x00" } else { b"kafi81c" };
    let service: Vec<u8> = service.iter().copied().filter(|b| *b != 0).collect();
    let other = [&b"{\"Service\":\""[..], &service, b"\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"nord-a\",\"ConfigVersion\":\"v1\",\"Slots\":3,\"State\":\"odd\",\"WarmupLeftMs\":0,\"Sequence\":1}"].concat();
    site.store.put("servers", "x-other-writer", other);
    site.log.note("another writer has put an entry");
    let late_start = site.start_edge(
        "edge-that-starts-later",
        "nord-a",
        &["nord-a", "centre-a", "sud-a"],
        &RAMPE,
    );
    thread::sleep(Duration::from_secs(2));
    let leaving = &replicas[0];
    let text = entry_text(
        leaving.settings(),
        &leaving.address().to_string(),
        "draining",
    );
    let acknowledged = site.store.put("servers", &leaving.id(), text);
    site.log.note(format!(
        "the store has accepted that {} drains",
        leaving.id()
    ));
    thread::sleep(Duration::from_millis(u64::from(RAMPE.drain_ms) + 3_000));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let ready = late_start.is_ready();
    site.log.note(format!(
        "a machine that started after the other writer's entry is ready: {ready}"
    ));
    drop(late_start);
    let limit = acknowledged + Duration::from_millis(u64::from(RAMPE.drain_ms));
    let events = site.log.events();
    let late = events
        .iter()
        .filter(|e| e.who == leaving.id() && e.what == What::Arrived && e.at > limit);
    Some(
        late.map(|e| {
            format!(
                "DRAIN: attempt {} reached {} {:?} after the acknowledgement",
                e.id,
                e.who,
                e.at - acknowledged
            )
        })
        .collect(),
    )
}
