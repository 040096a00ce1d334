//! A request that crashes replicas is counted for each service of a split anew.

use super::*;

const LIMIT: Duration = Duration::from_millis(3_000);

/// Services of the split, with three replicas each.
const SERVICES: [&str; 3] = ["kafi81c", "huvo11a", "lohu93e"];

/// Time between two attempts of the caller whose request crashes replicas.
const AGAIN: Duration = Duration::from_millis(3_000);
/// The same for the first attempts, so that those after the third crash come later than `ContactMs`.
const FIRST_AGAIN: Duration = Duration::from_millis(5_500);
const ATTEMPTS: u32 = 23;

/// Retries that may reach replicas later than `ContactMs` after the third crash.
const ALLOWED: usize = 3;

pub(super) fn crash(site: &Site, trouble: bool) -> Option<Vec<String>> {
    for service in SERVICES {
        for zone in ["nord-a", "centre-a", "sud-a"] {
            let settings = Settings {
                name: format!("i-{service}-{zone}"),
                service: service.to_owned(),
                zone: zone.to_owned(),
                ip: site.ip(),
                slots: 3,
                queue: 12,
                connections: 40,
                work: Duration::from_millis(60),
                body: 3_008,
            };
            let replica = site.replica(settings, "500 Internal Server Error");
            replica.faults.crashes.store(trouble, Ordering::SeqCst);
        }
    }
    let shares = SERVICES.map(|s| format!("{{\"Service\":\"{s}\",\"Weight\":1}}"));
    let target = format!("\"WeightedSplit\":[{}]", shares.join(","));
    let route = route_text("r-permit", "/timi402/", "idempotent", 3_000, &target);
    site.store.put(
        "config",
        "main",
        config_text(7, &[route], &SERVICES.map(|s| (s, 40))),
    );
    let fronts = site.start_edges(&["nord-a", "centre-a", "sud-a"], &RAMPE)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (machine, front) in fronts.iter().enumerate() {
        let (mut caller, stop) = (
            Caller::new(*front, &site.log, &format!("client-{machine}")),
            Arc::clone(&stop),
        );
        callers.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                caller.send(&Attempt::new("GET", "/timi402/2f", "", LIMIT));
                thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    thread::sleep(Duration::from_secs(5));
    let mut sent = Vec::new();
    for number in 0..ATTEMPTS {
        let machine = number as usize % fronts.len();
        let mut caller = Caller::new(fronts[machine], &site.log, "client-of-the-crashing-request");
        let attempt = Attempt::new("GET", "/timi402/crash", "", LIMIT);
        let at = Instant::now();
        caller.send(&attempt);
        sent.push((attempt.id, at));
        let pause = if number < 3 { FIRST_AGAIN } else { AGAIN };
        thread::sleep((at + pause).saturating_duration_since(Instant::now()));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let events = site.log.events();
    let crashes: Vec<_> = events
        .iter()
        .filter(|e| e.what == What::Crashed)
        .map(|e| e.at)
        .collect();
    site.log
        .note(format!("{} crashes of replicas", crashes.len()));
    let Some(third) = crashes.get(2) else {
        return Some(Vec::new());
    };
    let contact = Duration::from_millis(u64::from(RAMPE.contact_ms));
    let reached = sent.iter().skip(1).filter(|(id, at)| {
        let reaches = events
            .iter()
            .any(|e| e.id == *id && e.what == What::Arrived);
        reaches && *at > *third + contact
    });
    let reached: Vec<_> = reached
        .map(|(id, at)| format!("{id} at {:.2} s", site.log.seconds(*at)))
        .collect();
    site.log.note(format!(
        "third crash at {:.2} s; later retries that reached replicas: {reached:?}",
        site.log.seconds(*third)
    ));
    match reached.len() > ALLOWED {
        true => Some(vec![format!(
            "BUDGET: a request that crashes replicas reached them in {} retries, sent later than ContactMs after its third crash",
            reached.len()
        )]),
        false => Some(Vec::new()),
    }
}
