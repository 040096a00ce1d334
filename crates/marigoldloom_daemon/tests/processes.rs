//! End-to-end tests of the tier as operators run it: the platform, upstreams and instances are
//! separate processes, and the command-line tool writes the records.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;

use support::fleet::{Directory, Fleet, SHARDS};
use support::load::RequestResult;
use support::process::Process;
use support::{wait_for, web};

/// Maximum time until a configuration change is applied everywhere.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against components that work alone but not together: a query through each instance must
/// read one snapshot and cover every shard.
#[test]
fn query_covers_every_shard() {
    let fleet = Fleet::start();
    // While upstreams are cold, only the holder of their dispatch leases can query them.
    fleet.load().stop();
    for instance in &fleet.instances {
        let request = web::query("search", "corner kick", &[("x-request-id", "r-1")]);
        let answer = web::send_once(instance.caller, request).expect("an answer");
        assert!(answer.is_full(SHARDS), "{answer:?}");
        assert_eq!(answer.body["request"], "r-1");
        let snapshot = serde_json::json!({"version": "v1", "epoch": 1});
        assert_eq!(answer.body["snapshot"], snapshot);
    }
    fleet.check_cold_load();
}

/// Guards against an instance that refuses queries because another one holds the dispatch leases of
/// all cold upstreams. With little traffic, this would last for seconds.
#[test]
fn cold_tier_answers_through_each_instance() {
    let fleet = Fleet::start();
    for round in 0..3 {
        for instance in &fleet.instances {
            let request = web::query("search", &format!("round {round}"), &[]);
            let answer = web::send_once(instance.caller, request).expect("an answer");
            assert!(answer.is_full(SHARDS), "{answer:?}");
        }
    }
    fleet.check_cold_load();
}

/// Guards against requests that are cut off by a graceful shutdown.
#[test]
fn graceful_shutdown_cuts_no_request() {
    let mut fleet = Fleet::start();
    let load = fleet.load();
    let since = load.results().len();
    fleet.instances[0].process.signal(Signal::TERM);
    let status = fleet.instances[0].process.wait();
    assert_eq!(status.code(), Some(0));
    let stopped = Instant::now();
    let other = fleet.instances[1].caller;
    wait_for("answers of the other instance", || {
        (load.full_since(other, stopped) > 20).then_some(())
    });
    let results = load.stop();
    let stopping = fleet.instances[0].caller;
    let cut: Vec<&RequestResult> = results[since..]
        .iter()
        .filter(|r| !(r.is_full() || r.target == stopping && r.is_unsent()))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    fleet.check_cold_load();
}

/// Guards against a graceful shutdown that fails or hangs without a platform.
#[test]
fn graceful_shutdown_needs_no_platform() {
    let settings = r#"
        instance = { name = "riga-1", domain = "riga" }
        listen = { caller = "127.0.0.1:0", peer = "127.0.0.1:0", admin = "127.0.0.1:0" }
        platform = { address = "127.0.0.1:9" }
        limits = { linger_ms = 0 }
    "#;
    let directory = Directory::create();
    let file = directory.file("riga-1.toml", settings);
    let args = ["--settings", &file];
    let mut instance = Process::start("riga-1", "marigoldloomd", &args);
    instance.wait_for_line(|line| line.contains("serving").then_some(()));
    instance.signal(Signal::TERM);
    assert_eq!(instance.wait().code(), Some(0));
}

/// Guards against the loss of an instance affecting the answers of others.
#[test]
fn killed_instance_does_not_affect_others() {
    let mut fleet = Fleet::start();
    let load = fleet.load();
    let since = load.results().len();
    fleet.instances[0].process.kill();
    let killed = Instant::now();
    let other = fleet.instances[1].caller;
    wait_for("the lost instance is down", || {
        let states = fleet.instances[1].states();
        states.iter().any(|s| s == "down").then_some(())
    });
    wait_for("answers after the loss", || {
        (load.full_since(other, killed) > 100).then_some(())
    });
    let results = load.stop();
    let failed = without_full_answer(&results[since..], |r| r.target == other);
    assert!(failed.is_empty(), "{failed:?}");
    fleet.check_cold_load();
}

/// Guards against the loss of a replica reducing coverage.
#[test]
fn killed_upstream_does_not_reduce_coverage() {
    let mut fleet = Fleet::start();
    let load = fleet.load();
    let since = load.results().len();
    fleet.upstreams[0].process.kill();
    let killed = Instant::now();
    for instance in &fleet.instances {
        wait_for("answers after the loss", || {
            (load.full_since(instance.caller, killed) > 100).then_some(())
        });
    }
    let results = load.stop();
    let failed = without_full_answer(&results[since..], |_| true);
    assert!(failed.is_empty(), "{failed:?}");
    fleet.check_cold_load();
}

/// Guards against requests to a failure domain that operators took out of service, and against a
/// failure domain that gets no requests after its return.
#[test]
fn failure_domain_leaves_and_returns() {
    let fleet = Fleet::start();
    let load = fleet.load();
    let since = load.results().len();
    fleet.run_cli(&["domain", "out", "riga"]);
    let out = Instant::now();
    let answers = |since: Instant, count: usize| {
        for instance in &fleet.instances {
            wait_for("answers", || {
                (load.full_since(instance.caller, since) > count).then_some(())
            });
        }
    };
    wait_for("the time limit of the configuration change", || {
        (out.elapsed() >= APPLY_TIMEOUT).then_some(())
    });
    let received = || -> Vec<u64> {
        let inside = fleet.upstreams.iter().filter(|u| u.domain == "riga");
        inside.map(|u| u.counters().received).collect()
    };
    let before = received();
    answers(Instant::now(), 50);
    assert_eq!(received(), before);
    fleet.run_cli(&["domain", "in", "riga"]);
    wait_for("requests after the return", || {
        let grown = received().iter().zip(&before).all(|(now, then)| now > then);
        grown.then_some(())
    });
    answers(Instant::now(), 50);
    let results = load.stop();
    let failed = without_full_answer(&results[since..], |_| true);
    assert!(failed.is_empty(), "{failed:?}");
    fleet.check_cold_load();
}

/// Guards against queries that depend on the platform, and against a booking that is dispatched
/// without a claim or whose refusal states wrongly whether it ran.
#[test]
fn platform_outage_stops_only_bookings() {
    let mut fleet = Fleet::start();
    let load = fleet.load();
    let since = load.results().len();
    let booked = book(&fleet, "before", true);
    assert_eq!(booked.status, 200, "{booked:?}");
    fleet.platform.pause();
    check_outage(&fleet, "stopped");
    fleet.platform.signal(Signal::CONT);
    wait_for("a booking after the outage", || {
        (book(&fleet, "after", false).status == 200).then_some(())
    });
    fleet.platform.kill();
    let killed = Instant::now();
    check_outage(&fleet, "killed");
    for instance in &fleet.instances {
        wait_for("answers without a platform", || {
            (load.full_since(instance.caller, killed) > 50).then_some(())
        });
    }
    let results = load.stop();
    let failed = without_full_answer(&results[since..], |_| true);
    assert!(failed.is_empty(), "{failed:?}");
    let mut runs: Vec<_> = fleet
        .upstreams
        .iter()
        .flat_map(|u| u.counters().keys)
        .collect();
    runs.sort();
    let once = |key: &str| (key.to_owned(), 1);
    assert_eq!(runs, [once("after"), once("before")]);
    fleet.check_cold_load();
}

/// Guards against an instance that doesn't recover from a pause or continues with an outdated
/// configuration.
#[test]
fn paused_instance_catches_up() {
    /// Longer than the leases, heartbeat timeouts and suspicion timeouts.
    const PAUSE: Duration = Duration::from_secs(8);
    /// Time to detect a lost connection and open a new one.
    const RECONNECT: Duration = Duration::from_secs(2);
    let fleet = Fleet::start();
    let paused = &fleet.instances[1];
    paused.process.signal(Signal::STOP);
    let started = Instant::now();
    let written = fleet.run_cli(&["--output", "json", "domain", "out", "riga"]);
    let written: Value = serde_json::from_str(&written).expect("the written object");
    wait_for("the other instance sees the pause", || {
        let states = fleet.instances[0].states();
        states.iter().any(|s| s == "down").then_some(())
    });
    thread::sleep(PAUSE.saturating_sub(started.elapsed()));
    paused.process.signal(Signal::CONT);
    let resumed = Instant::now();
    wait_for("the configuration written during the pause", || {
        let config = paused.read("/admin/config");
        let entries = config.as_array()?;
        let entry = entries.iter().find(|e| e["name"] == "domain/riga")?;
        (entry["revision"] == written["revision"]).then_some(())
    });
    let elapsed = resumed.elapsed();
    println!("applied {elapsed:?} after the wake-up");
    assert!(elapsed <= APPLY_TIMEOUT + RECONNECT, "{elapsed:?}");
    wait_for("a full answer after the pause", || {
        let answer = web::send_once(paused.caller, web::query("search", "again", &[]));
        answer.ok().filter(|a| a.is_full(SHARDS))
    });
    for instance in &fleet.instances {
        wait_for("all members alive again", || {
            instance.states().iter().all(|s| s == "alive").then_some(())
        });
    }
    fleet.check_cold_load();
}

/// Guards against an operator's change that silently overwrites a concurrent one.
#[test]
fn concurrent_changes_are_reported_as_conflict() {
    let fleet = Fleet::start();
    let read = fleet.run_cli(&["--output", "json", "get", "domain", "riga"]);
    let edit = |region: &str| {
        let mut object: Value = serde_json::from_str(&read).expect("an object");
        object["value"]["region"] = region.into();
        fleet.file(&format!("{region}.json"), &object.to_string())
    };
    let files = [edit("north"), edit("south")];
    let put = |file: &str| fleet.try_run_cli(&["--output", "json", "put", "domain", file]);
    let outputs = thread::scope(|scope| {
        let [a, b] = files.each_ref().map(|file| scope.spawn(|| put(file)));
        [a, b].map(|handle| handle.join().expect("the command doesn't panic"))
    });
    let mut codes = outputs.each_ref().map(|o| o.status.code());
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)]);
    let [winner, loser] = match outputs[0].status.success() {
        true => ["north", "south"],
        false => ["south", "north"],
    };
    let lost = outputs.iter().find(|o| !o.status.success());
    let report: Value = serde_json::from_slice(&lost.expect("a loser").stderr).expect("a report");
    let expected = serde_json::json!([
        {"field": "region", "before": loser, "after": winner}
    ]);
    assert_eq!(report["differences"], expected, "{report}");
    assert_eq!(report["code"], 3);
    let now = fleet.run_cli(&["--output", "json", "get", "domain", "riga"]);
    let now: Value = serde_json::from_str(&now).expect("an object");
    assert_eq!(now["value"]["region"], winner);
}

/// Guards against decisions that operators can't look up: a refused request, a configuration change
/// and the members, as JSON and as a table.
#[test]
fn operators_can_look_up_decisions() {
    let fleet = Fleet::start();
    let read = |args: &[&str]| -> Value {
        let admin = fleet.instances[0].admin.to_string();
        let mut all = vec!["--admin", &admin, "--output", "json"];
        all.extend(args);
        serde_json::from_str(&fleet.run_cli(&all)).expect("JSON")
    };
    let request = web::query("nowhere", "x", &[("x-request-id", "r-7")]);
    let refused = web::send_once(fleet.instances[0].caller, request).expect("an answer");
    assert_eq!(refused.body["error"]["kind"], "unknown_route");
    let events = read(&["explain", "r-7"]);
    assert_eq!(events[0]["kind"], "refused", "{events}");
    assert_eq!(events[0]["cause"], refused.body["error"]["message"]);
    assert_eq!(events[0]["evidence"]["run"], "not_run", "{events}");
    assert_eq!(events[0]["evidence"]["route"], "nowhere", "{events}");

    let last = events[0]["number"].to_string();
    fleet.run_cli(&["domain", "out", "riga"]);
    let configured = wait_for("an event about the change", || {
        let events = read(&["events", "--after", &last]);
        let events = events.as_array()?;
        events.iter().find(|e| e["kind"] == "configured").cloned()
    });
    let names = serde_json::json!(["domain/riga"]);
    assert_eq!(configured["evidence"]["names"], names, "{configured}");

    let members = read(&["members"]);
    let members = members.as_array().expect("a list").iter();
    let names: Vec<_> = members.map(|m| (&m["name"], &m["state"])).collect();
    let alive = Value::from("alive");
    let [riga, kurzeme] = ["riga-1", "kurzeme-1"].map(Value::from);
    assert_eq!(names, [(&kurzeme, &alive), (&riga, &alive)]);

    let admin = fleet.instances[0].admin.to_string();
    let table = fleet.run_cli(&["--admin", &admin, "events"]);
    assert!(table.contains("request refused"), "{table}");
    let absent = fleet.try_run_cli(&["--admin", &admin, "--output", "json", "explain", "r-8"]);
    assert_eq!(absent.status.code(), Some(1));
    let report: Value = serde_json::from_slice(&absent.stderr).expect("a report");
    let message = report["message"].as_str().expect("a message");
    assert!(
        message.contains("holds no event about request"),
        "{message}"
    );
}

/// Sends a booking through the first instance. With `first`, the request states that its key is sent
/// for the first time and in no other request meanwhile.
fn book(fleet: &Fleet, key: &str, first: bool) -> web::Answer {
    let until = std::time::SystemTime::now() + Duration::from_secs(60);
    let until = until.duration_since(std::time::UNIX_EPOCH);
    let until = until.expect("a time after 1970").as_millis().to_string();
    let mut headers = vec![("idempotency-key", key), ("x-deadline-ms", "1500")];
    if first {
        headers.push(("x-first-until-ms", &until));
    }
    let request = web::query("book", key, &headers);
    web::send_once(fleet.instances[0].caller, request).expect("an answer")
}

/// Checks that without the platform a new booking is refused as not run, and a resent one as
/// unknown.
fn check_outage(fleet: &Fleet, key: &str) {
    for (first, run) in [(true, "not_run"), (false, "unknown")] {
        let key = format!("{key}-{first}");
        let refused = book(fleet, &key, first);
        assert!(refused.status >= 500, "{refused:?}");
        assert_eq!(refused.body["error"]["run"], run, "{refused:?}");
    }
}

fn without_full_answer(
    results: &[RequestResult],
    is_relevant: impl Fn(&RequestResult) -> bool,
) -> Vec<&RequestResult> {
    let relevant = results.iter().filter(|r| is_relevant(r));
    relevant.filter(|r| !r.is_full()).collect()
}
