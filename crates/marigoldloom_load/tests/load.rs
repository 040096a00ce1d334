//! Tests of the load tool with a caller interface whose answers depend on the request's body.

use std::io;
use std::process::Command;
use std::time::Duration;
use std::{env, fs};

use async_std::task;
use http_types::StatusCode;
use marigoldloom_http::{message, server};
use marigoldloom_load::caller::Outcome;
use marigoldloom_load::{page, report, run, scenario};
use marigoldloom_records::class::Class;
use marigoldloom_standin::upstream;
use serde_json::json;

/// Caller interface whose answer depends on the request's body. Accepts fault changes too.
#[derive(Clone, Copy)]
struct ScriptedTier;

impl server::Handler for ScriptedTier {
    async fn handle(&self, request: message::Request) -> message::Response {
        if request.path() == "/faults" {
            return message::Response::new(StatusCode::Ok);
        }
        let text = String::from_utf8(request.body.clone()).unwrap();
        let id = request.header("x-request-id").unwrap();
        match text.as_str() {
            "refuse" => return refusal("not_run"),
            "unknown" => return refusal("unknown"),
            "hang" => return message::Response::hang_up(),
            "late" => task::sleep(Duration::from_millis(300)).await,
            "stall" => task::sleep(Duration::from_millis(100)).await,
            _ => (),
        }
        let wrong_for = |wrong: &str, right: &str, body: &str| {
            if text == body {
                wrong.to_owned()
            } else {
                right.to_owned()
            }
        };
        let part = |shard: u32| {
            let version = wrong_for("v2", "v1", "mixed");
            let text = wrong_for("other", &text, "crossed");
            let body = json!({"upstream": "u", "shard": shard, "version": version, "epoch": 1, "text": text});
            json!({"shard": shard, "body": body.to_string()})
        };
        let missing = match text.as_str() {
            "partial" => json!([{"shard": 1, "reason": "timeout"}]),
            _ => json!([]),
        };
        let answered = match text.as_str() {
            "partial" => vec![0],
            _ => vec![0, 1],
        };
        let results = match text.as_str() {
            "partial" | "false coverage" => vec![part(0)],
            _ => vec![part(0), part(1)],
        };
        let answer = json!({
            "request": wrong_for("r2", id, "foreign"),
            "snapshot": {"version": "v1", "epoch": 1},
            "coverage": {"answered": answered, "missing": missing, "total": 2},
            "results": results,
        });
        message::Response::json_body(StatusCode::Ok, &answer)
    }
}

fn refusal(run: &str) -> message::Response {
    let body = json!({"error": {"kind": "shed", "message": "m", "run": run, "retry_after_ms": 5}});
    message::Response::json_body(StatusCode::ServiceUnavailable, &body)
}

async fn start() -> server::Server {
    let address = ([127, 0, 0, 1], 0).into();
    let server = server::bind(address, server::Settings::default(), ScriptedTier);
    server.await.unwrap()
}

/// Returns a scenario with one stream and one fault.
fn scenario_text(server: &server::Server, rate: f64, body: &str) -> String {
    let address = server.address();
    format!(
        r#"
name = "trial <1>"
seconds = 1
seed = 3
targets = ["{address}"]
connections = 8

[[streams]]
tenant = "desk"
class = "interactive"
service = "search"
route = "tag"
rate = {rate:?}
deadline_ms = 200
body = "{body}"

[[faults]]
at = 0.5
name = "straggler"
addresses = ["{address}"]
set = {{ slow = 10 }}
"#
    )
}

async fn execute(rate: f64, body: &str) -> report::Report {
    let server = start().await;
    let scenario = scenario::Scenario::parse(&scenario_text(&server, rate, body)).unwrap();
    run::run(scenario, io::sink()).await
}

/// Guards against an answer that is counted under the wrong outcome or with the wrong coverage.
#[test]
fn each_answer_counts_as_its_outcome() {
    let cases = [
        ("plain", Outcome::Complete, Some(1.0)),
        ("partial", Outcome::Partial, Some(0.5)),
        ("late", Outcome::Late, Some(1.0)),
        ("refuse", Outcome::Refused, None),
        ("unknown", Outcome::Unknown, None),
        ("hang", Outcome::Lost, None),
        ("foreign", Outcome::Wrong, None),
        ("crossed", Outcome::Wrong, None),
        ("mixed", Outcome::Wrong, None),
        ("false coverage", Outcome::Wrong, None),
    ];
    task::block_on(async {
        let runs = cases.map(|case| async move { (case, execute(20.0, case.0).await) });
        for ((body, outcome, coverage), report) in futures::future::join_all(runs).await {
            let all = &report.all;
            assert!(all.total > 5, "{body}: {all:?}");
            assert_eq!(all.outcomes, [(outcome, all.total)].into(), "{body}");
            assert_eq!(all.coverage, coverage, "{body}");
        }
    });
}

/// Guards against a wrong baseline: direct requests that don't reach the upstream, or answers of
/// another shard, snapshot or request that count as complete.
#[test]
fn direct_requests_reach_the_upstream() {
    let cases = [
        (0, "v1", json!({}), Outcome::Complete),
        (1, "v1", json!({}), Outcome::Unknown),
        (0, "v2", json!({}), Outcome::Unknown),
        (0, "v1", json!({"fail": true}), Outcome::Unknown),
        (0, "v1", json!({"crossed": true}), Outcome::Wrong),
    ];
    task::block_on(async {
        for (shard, version, faults, outcome) in cases {
            let upstream = upstream::start(upstream::Settings::default());
            let upstream = upstream.await.unwrap();
            upstream.set_faults(serde_json::from_value(faults).unwrap());
            let server = start().await;
            let direct = format!(
                "deadline_ms = 500\ndirect = {{ address = \"{}\", shard = {shard}, \
                 snapshot = {{ version = \"{version}\", epoch = 1 }} }}",
                upstream.address(),
            );
            let text =
                scenario_text(&server, 40.0, "plain {n}").replace("deadline_ms = 200", &direct);
            let scenario = scenario::Scenario::parse(&text).unwrap();
            let report = run::run(scenario, io::sink()).await;
            let outcomes = &report.all.outcomes;
            // The fault `crossed` sends the previous answer; the first one has none before it.
            let first = u64::from(outcome == Outcome::Wrong);
            let count = outcomes.get(&outcome).copied().unwrap_or(0);
            assert!(count > 5, "{shard} {version}: {outcomes:?}");
            assert!(count + first >= report.all.total, "{outcomes:?}");
            assert_eq!(upstream.counters().received, report.all.total);
        }
    });
}

/// Guards against latency that counts from the actual send time. Requests that wait for a
/// connection would then seem fast.
#[test]
fn latency_counts_from_the_intended_time() {
    task::block_on(async {
        // 8 connections carry 80 requests of 100 ms per second; 160 per second are due.
        let report = execute(160.0, "stall").await;
        let p99 = report.all.p99_ms.unwrap();
        println!("p99 {p99} ms, {:?}", report.all);
        assert!(p99 > 300.0, "{p99}");
        let total = report.all.total;
        assert!((120..=200).contains(&total), "{total}");
    });
}

/// Guards against a report without classes, faults or charts, or a page that loads other files.
#[test]
fn report_is_one_page_with_charts() {
    task::block_on(async {
        let report = execute(50.0, "plain").await;
        let group = &report.groups[0];
        assert_eq!(
            (group.tenant.as_str(), group.class),
            ("desk", Class::Interactive)
        );
        assert_eq!(report.faults.len(), 1);
        assert_eq!((report.faults[0].failed, report.faults[0].at), (0, 0.5));
        let page = page::render(&report).unwrap();
        assert_eq!(page.matches("<svg").count(), 4);
        assert!(page.contains("trial &lt;1&gt;") && page.contains("straggler"));
        assert!(!page.contains("href") && !page.contains("<script") && !page.contains("src="));
        let json = serde_json::to_string(&report).unwrap();
        assert_eq!(
            serde_json::from_str::<report::Report>(&json).unwrap(),
            report
        );
    });
}

/// Guards against a scenario that runs too long, overloads the machine or sends to another one.
#[test]
fn scenarios_beyond_the_bounds_are_refused() {
    let cases = [
        ("seconds = 1\n", "seconds = 601\n", "seconds = 601"),
        ("rate = 5.0", "rate = 20001.0", "rate over all streams"),
        ("rate = 5.0", "rate = nan", "rate over all streams"),
        (
            "connections = 8",
            "connections = 2001",
            "connections = 2001",
        ),
        ("deadline_ms = 200", "deadline_ms = 60001", "deadline_ms"),
        ("at = 0.5", "at = 1.5", "at = 1.5"),
        (
            "targets = [\"127.0.0.1:1\"]",
            "targets = [\"192.0.2.1:1\"]",
            "loopback",
        ),
        (
            "addresses = [\"127.0.0.1:1\"]",
            "addresses = [\"192.0.2.1:1\"]",
            "loopback",
        ),
        ("targets = [\"127.0.0.1:1\"]", "targets = []", "targets"),
        ("seed = 3", "sead = 3", "unknown field"),
    ];
    let examples = [
        include_str!("../scenarios/straggler.toml"),
        include_str!("../scenarios/added_latency.toml"),
    ];
    for example in examples {
        assert!(scenario::Scenario::parse(example).is_ok());
    }
    let server = task::block_on(start());
    let valid =
        scenario_text(&server, 5.0, "plain").replace(&server.address().to_string(), "127.0.0.1:1");
    assert!(scenario::Scenario::parse(&valid).is_ok());
    for (part, replacement, reason) in cases {
        assert!(valid.contains(part), "{part}");
        let invalid = valid.replace(part, replacement);
        let error = scenario::Scenario::parse(&invalid).unwrap_err().to_string();
        assert!(error.contains(reason), "{replacement}: {error}");
    }
}

/// Guards against a binary that doesn't write the results to both report files.
#[test]
fn binary_writes_both_reports() {
    let server = task::block_on(start());
    let directory = env::temp_dir().join(format!("marigoldloom-load-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let path = |name: &str| directory.join(name);
    fs::write(path("s.toml"), scenario_text(&server, 50.0, "plain")).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldloom-load"))
        .args([
            path("s.toml").as_os_str(),
            "--json".as_ref(),
            path("r.json").as_os_str(),
        ])
        .args(["--html".as_ref(), path("r.html").as_os_str()])
        .output()
        .unwrap();
    let progress = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{progress}");
    let json = fs::read_to_string(path("r.json")).unwrap();
    let report: report::Report = serde_json::from_str(&json).unwrap();
    assert!(report.all.total > 20);
    assert!(
        fs::read_to_string(path("r.html"))
            .unwrap()
            .ends_with("</html>\n")
    );
    fs::remove_dir_all(&directory).unwrap();
}
