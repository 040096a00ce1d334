//! The client against an upstream whose responses are scripted by the subquery's body.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::{future, task};
use futures::future as combinators;
use http_types::StatusCode;
use marigoldloom_http::{message as http, server};
use marigoldloom_records::service;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_upstream::upstream::{self, Error, Refusal, Upstream};
use marigoldloom_upstream::{client, message, protocol};

const DEADLINE: Duration = Duration::from_millis(150);

const REPORT: message::Report = message::Report {
    load: 3,
    capacity: 6,
    start_id: 77,
    state: message::State::Cold,
    pause_ms: 250,
};

/// Runs the commands in the request's body, e.g. `status 429` or `x-shard 5`.
#[derive(Clone, Default)]
struct Script {
    runs: Arc<AtomicUsize>,
    status_requests: Arc<AtomicUsize>,
    running: Arc<AtomicUsize>,
    peak: Arc<AtomicUsize>,
    cancels: Arc<Mutex<Vec<String>>>,
    last_request: Arc<Mutex<Option<http::Request>>>,
}

struct Running<'a>(&'a Script);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl server::Handler for Script {
    async fn handle(&self, request: http::Request) -> http::Response {
        if request.path() == protocol::CANCEL_PATH {
            let id = request.header(protocol::SUBQUERY_ID).unwrap().to_owned();
            self.cancels.lock().unwrap().push(id);
            return http::Response::new(StatusCode::Ok);
        }
        if request.path() == protocol::STATUS_PATH {
            self.status_requests.fetch_add(1, Ordering::SeqCst);
            return http::Response::json_body(StatusCode::Ok, &REPORT);
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(running, Ordering::SeqCst);
        let _running = Running(self);
        *self.last_request.lock().unwrap() = Some(request.clone());
        script(&request).await
    }
}

async fn script(request: &http::Request) -> http::Response {
    let text = String::from_utf8(request.body.clone()).unwrap();
    let mut response = http::Response::new(StatusCode::Ok).with_body("answer");
    let mut echoed = protocol::ECHOED.map(|name| (name, request.header(name).unwrap().to_owned()));
    for command in text.split(", ").filter(|c| !c.is_empty()) {
        let (name, value) = command.split_once(' ').unwrap();
        match name {
            "status" => response
                .head
                .set_status(value.parse::<u16>().unwrap().try_into().unwrap()),
            "sleep" => task::sleep(Duration::from_millis(value.parse().unwrap())).await,
            "hang" => return http::Response::hang_up(),
            "bare" => return response,
            "run" => response = response.with_header(protocol::RUN_STATUS, value).unwrap(),
            _ => echoed
                .iter_mut()
                .filter(|(header, _)| *header == name)
                .for_each(|(_, v)| *v = value.to_owned()),
        }
    }
    response = protocol::with_report(response, &REPORT).unwrap();
    for (name, value) in echoed {
        response = response.with_header(name, &value).unwrap();
    }
    response
}

struct Fixture {
    rt: AsyncStd,
    server: Option<server::Server>,
    script: Script,
    client: client::Client<AsyncStd>,
    target: upstream::Target,
}

impl Fixture {
    async fn new(settings: client::Settings) -> Self {
        let rt = AsyncStd::new();
        let script = Script::default();
        let server_settings = server::Settings::default();
        let address = ([127, 0, 0, 1], 0).into();
        let server = server::bind(address, server_settings, script.clone());
        let server = server.await.unwrap();
        let target = upstream::Target {
            name: "u1".into(),
            address: server.address(),
        };
        Self {
            rt,
            server: Some(server),
            script,
            client: client::Client::new(rt, settings),
            target,
        }
    }

    fn subquery(&self, id: u128, body: &str) -> message::Subquery {
        message::Subquery {
            request: message::RequestId("r1".into()),
            id: message::SubqueryId(id),
            service: "search".into(),
            route: "tag".into(),
            shard: 4,
            snapshot: Arc::new(service::Snapshot {
                version: "v2".to_owned(),
                epoch: 9,
            }),
            deadline: self.rt.now() + DEADLINE,
            body: body.as_bytes().into(),
            call: None,
            idempotency_key: Some("k1".into()),
            start_id: None,
        }
    }

    fn connections(&self) -> usize {
        self.server.as_ref().map_or(0, server::Server::connections)
    }

    async fn send(&self, id: u128, body: &str) -> Result<message::Reply, Error> {
        self.client
            .send(&self.target, &self.subquery(id, body), || true)
            .await
    }
}

/// Guards against outcomes that don't match the protocol, in particular a false "not run".
#[test]
fn responses_map_to_documented_outcomes() {
    #[derive(Debug, PartialEq)]
    enum Outcome {
        Reply,
        Refused(Refusal),
        Failed(u16),
        Lost,
        TimedOut,
        Mismatch,
    }
    struct Case {
        body: &'static str,
        outcome: Outcome,
        not_run: bool,
        open: bool,
    }
    let case = |body, outcome, not_run, open| Case {
        body,
        outcome,
        not_run,
        open,
    };
    let cases = [
        case("", Outcome::Reply, false, true),
        case(
            "status 409",
            Outcome::Refused(Refusal::SnapshotGone),
            true,
            true,
        ),
        case(
            "status 410",
            Outcome::Refused(Refusal::ShardGone),
            true,
            true,
        ),
        case("status 429", Outcome::Refused(Refusal::Shed), true, true),
        case(
            "status 503",
            Outcome::Refused(Refusal::Draining),
            true,
            true,
        ),
        case(
            "status 504, run not_run",
            Outcome::Refused(Refusal::Expired),
            true,
            true,
        ),
        case("status 504", Outcome::TimedOut, false, true),
        case("status 500", Outcome::Failed(500), false, true),
        case("status 503, bare 1", Outcome::Failed(503), false, false),
        case("bare 1", Outcome::Mismatch, false, false),
        case("x-request-id r2", Outcome::Mismatch, false, false),
        case("x-subquery-id 5", Outcome::Mismatch, false, false),
        case("x-shard 5", Outcome::Mismatch, false, false),
        case("x-snapshot v2@8", Outcome::Mismatch, false, false),
        case("x-snapshot v1@9", Outcome::Mismatch, false, false),
        case("status 429, x-shard 5", Outcome::Mismatch, false, false),
        case("hang 1", Outcome::Lost, false, false),
        // The connection that stays open is the one that carried the cancellation.
        case("sleep 400", Outcome::TimedOut, false, true),
    ];
    let outcome = |result: &Result<message::Reply, Error>| match result {
        Ok(_) => Outcome::Reply,
        Err(Error::Refused { refusal, .. }) => Outcome::Refused(*refusal),
        Err(Error::Failed { status, .. }) => Outcome::Failed(*status),
        Err(Error::Lost) => Outcome::Lost,
        Err(Error::Ended) => panic!("this client doesn't check the address"),
        Err(Error::TimedOut) => Outcome::TimedOut,
        Err(Error::Mismatch) => Outcome::Mismatch,
        Err(Error::Unreachable) => panic!("the upstream can't be reached"),
    };
    task::block_on(async {
        for case in cases {
            let fixture = Fixture::new(client::Settings::default()).await;
            let result = fixture.send(1, case.body).await;
            assert_eq!(outcome(&result), case.outcome, "{}", case.body);
            let not_run = result.is_err_and(|error| error.not_run());
            assert_eq!(not_run, case.not_run, "{}", case.body);
            task::sleep(Duration::from_millis(10)).await;
            assert_eq!(fixture.connections() == 1, case.open, "{}", case.body);
        }
    });
}

/// Guards against lost or wrong headers of the subquery and of the report.
#[test]
fn subquery_and_report_travel_in_headers() {
    let cases = [
        ("x-request-id", "r1"),
        ("x-subquery-id", "000000000000000000000000000000ab"),
        ("x-shard", "4"),
        ("x-snapshot", "v2@9"),
        ("x-service", "search"),
        ("x-route", "tag"),
        ("idempotency-key", "k1"),
    ];
    task::block_on(async {
        let fixture = Fixture::new(client::Settings::default()).await;
        let reply = fixture.send(0xab, "").await.unwrap();
        let report = message::Report {
            load: 3,
            capacity: 6,
            start_id: 77,
            state: message::State::Cold,
            pause_ms: 250,
        };
        assert_eq!(
            (reply.body.as_slice(), reply.report),
            (&b"answer"[..], report)
        );
        let request = fixture.script.last_request.lock().unwrap().take().unwrap();
        for (name, value) in cases {
            assert_eq!(request.header(name), Some(value), "{name}");
        }
        let left = request.header("x-deadline-ms").unwrap().parse::<u64>();
        assert!((50..=150).contains(&left.unwrap()));
    });
}

/// Guards against more connections than the limit, and against connections that aren't reused.
#[test]
fn pool_bounds_and_reuses_connections() {
    task::block_on(async {
        let settings = client::Settings {
            max_connections: 3,
            ..client::Settings::default()
        };
        let fixture = Fixture::new(settings).await;
        let sends = (0..30).map(|id| fixture.send(id, "sleep 1"));
        let results = combinators::join_all(sends).await;
        assert!(results.iter().all(Result::is_ok), "{results:?}");
        assert_eq!(fixture.script.peak.load(Ordering::SeqCst), 3);
        assert_eq!(fixture.connections(), 3);
    });
}

/// Guards against a subquery that continues after its future was dropped or its deadline
/// passed, and against reuse of its connection.
#[test]
fn dropped_and_timed_out_subqueries_are_cancelled() {
    task::block_on(async {
        let fixture = Fixture::new(client::Settings::default()).await;
        let short = Duration::from_millis(30);
        let dropped = future::timeout(short, fixture.send(7, "sleep 5000")).await;
        assert!(dropped.is_err());
        assert_eq!(fixture.send(8, "sleep 5000").await, Err(Error::TimedOut));
        task::sleep(Duration::from_millis(50)).await;
        let cancels = fixture.script.cancels.lock().unwrap().clone();
        assert_eq!(cancels, [7, 8].map(|id: u128| format!("{id:032x}")));
        assert_eq!(fixture.script.running.load(Ordering::SeqCst), 0);
        assert!(fixture.send(9, "").await.is_ok());
        assert_eq!(fixture.connections(), 1);
    });
}

/// Guards against a false "may have run" when nothing was sent, and against a false "not run".
#[test]
fn unsent_subqueries_are_known_not_to_have_run() {
    task::block_on(async {
        let settings = client::Settings {
            max_connections: 1,
            ..client::Settings::default()
        };
        let mut fixture = Fixture::new(settings).await;
        // With a later deadline than the first, the second would get the first one's connection.
        let deadline = fixture.rt.now() + DEADLINE;
        let subqueries = [1, 2].map(|id| message::Subquery {
            deadline,
            ..fixture.subquery(id, "sleep 5000")
        });
        let sent = subqueries
            .iter()
            .map(|subquery| fixture.client.send(&fixture.target, subquery, || true));
        let results = combinators::join_all(sent).await;
        let (first, second) = (results[0].clone(), results[1].clone());
        assert_eq!(first, Err(Error::TimedOut));
        let refusal = Refusal::Expired;
        let expired = Err(Error::Refused {
            refusal,
            report: None,
        });
        assert_eq!(second, expired);
        assert_eq!(fixture.script.runs.load(Ordering::SeqCst), 1);
        fixture.server = None;
        task::sleep(Duration::from_millis(20)).await;
        assert_eq!(fixture.send(3, "").await, Err(Error::Unreachable));
    });
}

/// Guards against an error when an upstream has closed idle connections.
#[test]
fn connections_closed_while_idle_are_replaced() {
    task::block_on(async {
        let mut fixture = Fixture::new(client::Settings::default()).await;
        fixture.send(1, "").await.unwrap();
        let address = fixture.target.address;
        fixture.server = None;
        task::sleep(Duration::from_millis(50)).await;
        let settings = server::Settings::default();
        let restarted = server::bind(address, settings, fixture.script.clone()).await;
        fixture.server = Some(restarted.unwrap());
        assert!(fixture.send(2, "").await.is_ok());
    });
}

/// Guards against a subquery that reaches a process with another start id, which may be cold,
/// on a new or on a reused connection.
#[async_std::test]
async fn subquery_reaches_only_the_process_it_is_meant_for() {
    let fixture = Fixture::new(client::Settings::default()).await;
    let send = async |id, start| {
        let mut subquery = fixture.subquery(id, "");
        subquery.start_id = start;
        fixture
            .client
            .send(&fixture.target, &subquery, || true)
            .await
    };
    let restarted = Error::Refused {
        refusal: Refusal::Restarted,
        report: Some(REPORT),
    };
    assert_eq!(send(1, Some(76)).await, Err(restarted.clone()));
    assert!(restarted.not_run());
    assert_eq!(fixture.script.runs.load(Ordering::SeqCst), 0);
    assert!(send(2, Some(77)).await.is_ok());
    assert!(send(3, None).await.is_ok());
    assert_eq!(fixture.connections(), 1);
    assert_eq!(fixture.script.status_requests.load(Ordering::SeqCst), 1);
    assert_eq!(send(4, Some(76)).await, Err(restarted));
    assert_eq!(fixture.script.runs.load(Ordering::SeqCst), 2);
}
