//! A shard's failure becomes a part of a success if the list has one shard.

use super::*;

const LIMIT: Duration = Duration::from_millis(1_500);

/// Share of the requests that a faulty replica fails, in thousandths, and for how long.
const FAILING: u32 = 600;
const TROUBLE: Duration = Duration::from_secs(9);

/// Time between two queries of a caller.
const THINK_TIME: Duration = Duration::from_millis(50);

pub(super) fn parts(site: &Site, trouble: bool) -> Option<Vec<String>> {
    // The status of a failure, and the number of shards, can be changed to see what else counts.
    let status: &'static str = match std::env::var("STATUS") {
        Ok(status) => Box::leak(status.into_boxed_str()),
        Err(_) => "500 Internal Server Error",
    };
    let shards = std::env::var("SHARDS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(1);
    let names: Vec<String> = (0..shards).map(|n| format!("huvo{n}a")).collect();
    let mut replicas = Vec::new();
    for (number, zone) in ["nord-a", "centre-a", "nord-a", "centre-a", "nord-a"]
        .iter()
        .enumerate()
    {
        for service in &names {
            let settings = Settings {
                name: format!("i-{service}-{number}"),
                service: service.clone(),
                zone: (*zone).to_owned(),
                ip: site.ip(),
                slots: 2,
                queue: 12,
                connections: 26,
                work: Duration::from_micros(7_500),
                body: 208,
            };
            replicas.push((number, site.replica(settings, status)));
        }
    }
    let list: Vec<_> = names.iter().map(|n| format!("\"{n}\"")).collect();
    let target = format!(
        "\"FanoutServices\":[{}],\"TopK\":10,\"MinShardRatio\":0.89",
        list.join(",")
    );
    let route = route_text("r-match", "/ziti980/", "idempotent", 1_500, &target);
    let services: Vec<_> = names.iter().map(|n| (n.as_str(), 26)).collect();
    site.store
        .put("config", "main", config_text(7, &[route], &services));
    let fronts = site.start_edges(&["nord-a", "centre-a"], &RAMPE)?;
    thread::sleep(LEAD);
    site.log.note("traffic starts");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let broken = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new(BTreeMap::<u16, u32>::new()));
    for (machine, front) in fronts.iter().enumerate() {
        for number in 0..3 {
            let mut caller = Caller::new(*front, &site.log, &format!("client-{machine}-{number}"));
            let (stop, broken, answers, log) = (
                Arc::clone(&stop),
                Arc::clone(&broken),
                Arc::clone(&answers),
                site.log.clone(),
            );
            callers.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let attempt = Attempt::new("GET", "/ziti980/2f", "", LIMIT);
                    let answer = caller.send(&attempt);
                    *answers
                        .lock()
                        .unwrap()
                        .entry(answer.as_ref().map_or(0, |a| a.status()))
                        .or_default() += 1;
                    let fault = answer.and_then(|answer| check(&log, &attempt.id, &answer));
                    broken
                        .lock()
                        .unwrap()
                        .extend(fault.map(|f| format!("MIXED: attempt {}: {f}", attempt.id)));
                    thread::sleep(THINK_TIME);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    site.log
        .note("four of the five replicas of a shard fail a part of their requests");
    let faulty = replicas.iter().filter(|(number, _)| *number < 4);
    for (_, replica) in faulty.clone() {
        replica
            .faults
            .failing
            .store(if trouble { FAILING } else { 0 }, Ordering::SeqCst);
    }
    thread::sleep(TROUBLE);
    for (_, replica) in faulty {
        replica.faults.failing.store(0, Ordering::SeqCst);
    }
    site.log.note("all replicas are sound again");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    site.log
        .note(format!("answers by status: {:?}", answers.lock().unwrap()));
    let broken = broken.lock().unwrap().clone();
    Some(broken)
}

/// Applies the rule MIXED to an answer to a query of shards.
fn check(log: &Log, id: &str, answer: &crate::http::Message) -> Option<String> {
    if answer.status() / 100 != 2 {
        return None;
    }
    let seals = answer.header("part-seals").unwrap_or("");
    let mut records: Vec<[u8; 16]> = Vec::new();
    let mut named = BTreeSet::new();
    for seal in seals.split(',').map(str::trim).filter(|s| !s.is_empty()) {
        match log.sealed(seal) {
            None => return Some(format!("{seal} is no seal")),
            Some(part) if part.id != id => {
                return Some(format!("{seal} belongs to another request"));
            }
            Some(part) if part.status != 200 => {
                return Some(format!(
                    "Part-Seals of a success names {seal}, a failure with status {}; body {:?}",
                    part.status,
                    String::from_utf8_lossy(&answer.body)
                ));
            }
            Some(part) if !named.insert(part.service.clone()) => {
                return Some(format!("two parts of {}", part.service));
            }
            Some(part) => records.extend(
                part.body
                    .chunks_exact(16)
                    .map(|c| <[u8; 16]>::try_from(c).unwrap()),
            ),
        }
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(10);
    match records.concat() == answer.body && !named.is_empty() {
        true => None,
        false => Some("the body isn't the greatest records of the parts named".to_owned()),
    }
}
