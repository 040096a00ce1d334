//! A refused request goes again to the replica that refused it, on the same connection, and takes a
//! late second copy of the refusal for the answer.

use super::*;

const LIMIT: Duration = Duration::from_millis(3_000);

/// Services with two replicas each. The first replica of each is faulty.
const SERVICES: [&str; 6] = [
    "huvo11a", "lohu93e", "daje37f", "ficu72g", "lepu27h", "leny95i",
];

/// Share of the answers that come twice, in thousandths, and length of the disruption.
const REPEATED: u32 = 40;
const TROUBLE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(1);
const ROUNDS: u32 = 10;

/// Time after which no further round begins.
const LONGEST: Duration = Duration::from_secs(60);

/// Callers of each machine, and how they ask.
const STEADY: u32 = 3;
const TOGETHER: u32 = 20;
const THINK_TIME: Duration = Duration::from_millis(5);
const PERIOD: Duration = Duration::from_millis(300);

pub(super) fn twice(site: &Site, trouble: bool) -> Option<Vec<String>> {
    let mut replicas = Vec::new();
    for service in SERVICES {
        for (zone, repeats) in [("nord-a", true), ("centre-a", false)] {
            let settings = Settings {
                name: format!("i-{service}-{zone}"),
                service: service.to_owned(),
                zone: zone.to_owned(),
                ip: site.ip(),
                slots: 2,
                queue: 12,
                connections: 26,
                work: Duration::from_millis(20),
                body: 208,
            };
            let replica = site.replica(settings, "500 Internal Server Error");
            if repeats {
                replicas.push(replica);
            }
        }
    }
    let routes = SERVICES.map(|s| {
        route_text(
            &format!("r-{s}"),
            &format!("/{s}/"),
            "non_idempotent",
            3_000,
            &format!("\"Service\":\"{s}\""),
        )
    });
    site.store.put(
        "config",
        "main",
        config_text(7, &routes, &SERVICES.map(|s| (s, 26))),
    );
    let fronts = site.start_edges(&["nord-a", "nord-a", "centre-a", "sud-a"], &RAMPE)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    // Two machines have callers that ask one request after the other, two have callers that come
    // together, so that both replicas are full for moments.
    let traffic_start = Instant::now();
    let machines = fronts.iter().enumerate();
    for (machine, front, service) in machines.flat_map(|(m, f)| SERVICES.map(|s| (m, f, s))) {
        let together = machine >= 2;
        for number in 0..if together { TOGETHER } else { STEADY } {
            let (mut caller, stop) = (
                Caller::new(
                    *front,
                    &site.log,
                    &format!("client-{machine}-{service}-{number}"),
                ),
                Arc::clone(&stop),
            );
            callers.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let attempt =
                        Attempt::new("POST", &format!("/{service}/2f"), "crew=4&visit=17", LIMIT);
                    caller.send(&attempt);
                    thread::sleep(match together {
                        true => {
                            let past = traffic_start.elapsed().as_millis() % PERIOD.as_millis();
                            PERIOD - Duration::from_millis(past as u64)
                        }
                        false => THINK_TIME,
                    });
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    for _ in 0..ROUNDS {
        for replica in &replicas {
            replica
                .faults
                .repeated
                .store(if trouble { REPEATED } else { 0 }, Ordering::SeqCst);
        }
        thread::sleep(TROUBLE);
        for replica in &replicas {
            replica.faults.repeated.store(0, Ordering::SeqCst);
        }
        thread::sleep(PAUSE);
        // Two are enough to see, and the run must end in time on a busy machine, too.
        if broken(site).len() >= 2 || traffic_start.elapsed() > LONGEST {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_millis(500));
    let mut counts = BTreeMap::<String, u32>::new();
    for events in by_attempt(&site.log.events()).values() {
        *counts.entry(status(events)).or_default() += 1;
    }
    site.log.note(format!("answers by status: {counts:?}"));
    Some(broken(site))
}

/// Returns the status that the client got; empty without an answer.
fn status(events: &[Event]) -> String {
    let status = events.iter().find_map(|e| match &e.what {
        What::Answered(text) => text.split(' ').nth(1).map(str::to_owned),
        _ => None,
    });
    status.unwrap_or_default()
}

/// Applies the rules TWICE and REFUSED.
fn broken(site: &Site) -> Vec<String> {
    let mut broken = Vec::new();
    for (id, events) in by_attempt(&site.log.events()) {
        let runs = events.iter().filter(|e| e.what == What::Began).count();
        let status = status(&events);
        if runs > 1 {
            broken.push(format!("TWICE: attempt {id} ran {runs} times"));
        }
        if runs > 0 && ["429", "503", "408", "421"].contains(&status.as_str()) {
            broken.push(format!(
                "REFUSED: attempt {id} was answered {status} and has run"
            ));
        }
    }
    broken
}
