//! Tests of the stand-in upstream with the client that the engine uses.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{self, Either};
use http_types::{Method, StatusCode};
use marigoldloom_http::{client as connection, message as http};
use marigoldloom_records::service;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_standin::upstream::{self, Event, Faults, Overload, Settings};
use marigoldloom_upstream::upstream::{Error, Refusal, Target, Upstream};
use marigoldloom_upstream::{client, message};

/// Time limit of a query; far above its service time, also on a busy machine.
const DEADLINE: Duration = Duration::from_secs(3);

/// Service time in milliseconds for tests in which other queries arrive during a run.
const LONG_RUN_MS: f64 = 500.0;

/// Factor on the service time by which a query runs past its deadline.
const PAST_DEADLINE_FACTOR: f64 = 500.0;

/// Time limit for a condition that a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

fn settings() -> Settings {
    Settings {
        shards: vec![0, 1],
        slots: 2,
        queue: 2,
        connect_ms: 0,
        drain_ms: 50,
        service: upstream::ServiceTime {
            median_ms: 20.0,
            sigma: 0.0,
            cold_factor: 1.0,
        },
        ..Settings::default()
    }
}

/// Returns [`settings`] with a service time of [`LONG_RUN_MS`].
fn long_run_settings() -> Settings {
    let mut settings = settings();
    settings.service.median_ms = LONG_RUN_MS;
    settings
}

struct Fixture {
    rt: AsyncStd,
    standin: upstream::Upstream,
    client: client::Client<AsyncStd>,
    target: Target,
}

impl Fixture {
    async fn new(settings: Settings) -> Self {
        let rt = AsyncStd::new();
        let standin = upstream::start(settings).await.unwrap();
        let target = Target {
            name: "u1".into(),
            address: standin.address(),
        };
        Self {
            rt,
            standin,
            client: client::Client::new(rt, client::Settings::default()),
            target,
        }
    }

    fn subquery(&self, id: u128, text: &str) -> message::Subquery {
        message::Subquery {
            request: message::RequestId("r1".into()),
            id: message::SubqueryId(id),
            service: "search".into(),
            route: "search".into(),
            shard: 1,
            snapshot: Arc::new(service::Snapshot {
                version: "v1".to_owned(),
                epoch: 1,
            }),
            deadline: self.rt.now() + DEADLINE,
            body: text.as_bytes().into(),
            call: None,
            idempotency_key: None,
            start_id: None,
        }
    }

    async fn send(&self, id: u128, text: &str) -> Result<message::Reply, Error> {
        let subquery = self.subquery(id, text);
        self.client.send(&self.target, &subquery, || true).await
    }

    /// Waits until the stand-in accepts connections (`open`) or refuses them.
    async fn until_open(&self, open: bool) {
        let address = self.standin.address();
        let wait = async {
            while connection::open(address, DEADLINE).await.is_ok() != open {
                task::sleep(POLL_INTERVAL).await;
            }
        };
        async_std::future::timeout(WAIT_LIMIT, wait).await.unwrap();
    }

    /// Sends `count` queries that overlap; each one is sent after the one before has arrived.
    async fn burst(&self, count: u32) -> Vec<Result<message::Reply, Error>> {
        let before = self.standin.counters().received;
        let sends = (0..count).map(|number| async move {
            let arrived = || self.standin.counters().received >= before + u64::from(number);
            until(arrived).await;
            self.send(number.into(), "q").await
        });
        future::join_all(sends).await
    }
}

/// Waits until `condition` holds.
async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            task::sleep(POLL_INTERVAL).await;
        }
    };
    async_std::future::timeout(WAIT_LIMIT, wait).await.unwrap();
}

fn refusal(result: &Result<message::Reply, Error>) -> Option<Refusal> {
    match result {
        Err(Error::Refused { refusal, .. }) => Some(*refusal),
        _ => None,
    }
}

fn count(results: &[Result<message::Reply, Error>], matches: impl Fn(&Error) -> bool) -> usize {
    let failures = results.iter().filter_map(|r| r.as_ref().err());
    failures.filter(|error| matches(error)).count()
}

/// Guards against a fault that the client doesn't see as the failure that the fault simulates.
#[test]
fn client_sees_each_fault_as_its_failure() {
    struct Case {
        name: &'static str,
        faults: Faults,
        expected: fn(&Result<message::Reply, Error>) -> bool,
    }
    let case = |name, faults, expected| Case {
        name,
        faults,
        expected,
    };
    let none = Faults::default;
    let cases = [
        case("none", none(), Result::is_ok),
        case(
            "straggler",
            Faults {
                slow: PAST_DEADLINE_FACTOR,
                ..none()
            },
            |r| *r == Err(Error::TimedOut),
        ),
        case(
            "fails",
            Faults {
                fail: true,
                ..none()
            },
            |r| matches!(r, Err(Error::Failed { status: 500, .. })),
        ),
        case(
            "drops",
            Faults {
                drop: true,
                ..none()
            },
            |r| *r == Err(Error::Lost),
        ),
        case(
            "late",
            Faults {
                late_ms: 10_000,
                ..none()
            },
            |r| *r == Err(Error::TimedOut),
        ),
        case(
            "crossed",
            Faults {
                crossed: true,
                ..none()
            },
            |r| *r == Err(Error::Mismatch),
        ),
        case(
            "crash on body",
            Faults {
                crash_text: Some("bad".to_owned()),
                ..none()
            },
            |r| *r == Err(Error::Lost),
        ),
        case(
            "other route only",
            Faults {
                fail: true,
                route: Some("tag".to_owned()),
                ..none()
            },
            Result::is_ok,
        ),
        case(
            "under load only",
            Faults {
                fail: true,
                running: 2,
                ..none()
            },
            Result::is_ok,
        ),
        case(
            "never drawn",
            Faults {
                fail: true,
                share: 0.0,
                ..none()
            },
            Result::is_ok,
        ),
        case(
            "other version",
            Faults {
                version: Some("v2".to_owned()),
                ..none()
            },
            |r| refusal(r) == Some(Refusal::SnapshotGone),
        ),
        case(
            "other epoch",
            Faults {
                epoch: Some(2),
                ..none()
            },
            |r| refusal(r) == Some(Refusal::SnapshotGone),
        ),
        case(
            "other shards",
            Faults {
                shards: Some(vec![0]),
                ..none()
            },
            |r| refusal(r) == Some(Refusal::ShardGone),
        ),
        case(
            "false load",
            Faults {
                load: Some(99),
                ..none()
            },
            |r| r.as_ref().is_ok_and(|reply| reply.report.load == 99),
        ),
    ];
    task::block_on(async {
        for case in cases {
            let fixture = Fixture::new(settings()).await;
            fixture.send(1, "first").await.unwrap();
            fixture.standin.set_faults(case.faults);
            let result = fixture.send(2, "a bad query").await;
            assert!((case.expected)(&result), "{}: {result:?}", case.name);
        }
    });
}

/// Guards against a cold stand-in that serves more queries than its cold slots. Tests would then
/// miss a dispatcher that overloads cold upstreams.
#[test]
fn cold_upstream_serves_only_its_cold_slots() {
    task::block_on(async {
        let cold = Settings {
            cold: true,
            slots: 4,
            warm_after: 4,
            ..long_run_settings()
        };
        let steady = Fixture::new(cold.clone()).await;
        for _ in 0..2 {
            assert!(steady.burst(2).await.iter().all(Result::is_ok));
        }
        let warm = steady.burst(4).await;
        assert!(warm.iter().all(Result::is_ok), "{warm:?}");
        let counters = steady.standin.counters();
        assert_eq!((counters.peak_cold, counters.cold_ran), (2, 4));
        assert_eq!((counters.cold_excess, counters.peak_running), (0, 4));

        let failing = Settings {
            overload: Overload::Fail,
            ..cold.clone()
        };
        let failing = Fixture::new(failing).await;
        let results = failing.burst(3).await;
        assert_eq!(count(&results, |e| matches!(e, Error::Failed { .. })), 1);

        let crashing = Fixture::new(cold).await;
        let results = crashing.burst(3).await;
        assert_eq!(count(&results, |e| *e == Error::Lost), 3);
        let counters = crashing.standin.counters();
        assert_eq!((counters.cold_excess, counters.crashes), (1, 1));
    });
}

/// Guards against a stand-in that runs more queries than it has slots or queues without limit.
#[test]
fn slots_queue_and_shedding_are_bounded() {
    task::block_on(async {
        let fixture = Fixture::new(long_run_settings()).await;
        let results = fixture.burst(7).await;
        let shed = count(&results, |e| {
            matches!(
                e,
                Error::Refused {
                    refusal: Refusal::Shed,
                    ..
                }
            )
        });
        let counters = fixture.standin.counters();
        assert_eq!((shed, counters.shed, counters.completed), (3, 3, 4));
        assert_eq!(counters.peak_running, 2);
    });
}

/// Guards against queries that keep their slots after their deadline or cancellation, and against
/// a query that is reported as not run although it ran.
#[test]
fn deadlines_and_cancellation_free_the_slot() {
    task::block_on(async {
        let mut settings = settings();
        settings.service.median_ms = 10_000.0;
        let fixture = Fixture::new(settings).await;
        let queued = async {
            until(|| fixture.standin.running() == 2).await;
            let mut queued = fixture.subquery(2, "q");
            queued.deadline = fixture.rt.now() + DEADLINE / 6;
            fixture.client.send(&fixture.target, &queued, || true).await
        };
        let (ran, queued) = future::join(fixture.burst(2), queued).await;
        assert_eq!(count(&ran, |e| *e == Error::TimedOut), 2, "{ran:?}");
        // The client and the upstream both watch the deadline of a queued query; either may be first.
        let expired = refusal(&queued) == Some(Refusal::Expired);
        assert!(expired || queued == Err(Error::TimedOut), "{queued:?}");
        until(|| fixture.standin.running() == 0).await;
        let sent = Box::pin(fixture.send(9, "q"));
        let runs = Box::pin(until(|| fixture.standin.running() == 1));
        match future::select(sent, runs).await {
            Either::Right(((), sent)) => drop(sent),
            Either::Left((result, _)) => panic!("the query ended early: {result:?}"),
        }
        until(|| fixture.standin.running() == 0).await;
        let counters = fixture.standin.counters();
        assert_eq!((fixture.standin.running(), counters.ran), (0, 3));
        assert_eq!(counters.overdue + counters.cancelled, 3);
    });
}

/// Guards against a run that is not counted, or counted twice, for its idempotency key.
#[test]
fn runs_are_counted_per_idempotency_key() {
    task::block_on(async {
        let fixture = Fixture::new(settings()).await;
        for (id, key) in [(1, "a"), (2, "b"), (3, "a")] {
            let mut subquery = fixture.subquery(id, "q");
            subquery.idempotency_key = Some(key.into());
            fixture
                .client
                .send(&fixture.target, &subquery, || true)
                .await
                .unwrap();
        }
        let keys = fixture.standin.counters().keys;
        assert_eq!(keys, [("a".to_owned(), 2), ("b".to_owned(), 1)].into());
    });
}

/// Guards against a crash after which the start id is the same, and against a restart that isn't
/// cold.
#[test]
fn restart_is_cold_and_has_another_start_id() {
    task::block_on(async {
        let restarting = Settings {
            restart_ms: Some(1_000),
            ..settings()
        };
        let fixture = Fixture::new(restarting).await;
        let before = fixture.send(1, "q").await.unwrap().report;
        assert_eq!(before.state, message::State::Ready);
        fixture.standin.trigger(Event::Crash);
        // A connection attempt that crosses the close of the listener would be repeated by the
        // operating system and succeed after the restart.
        until(|| fixture.standin.is_down()).await;
        assert_eq!(fixture.send(2, "q").await, Err(Error::Unreachable));
        fixture.until_open(true).await;
        let after = fixture.send(3, "q").await.unwrap().report;
        assert_eq!(after.state, message::State::Cold);
        assert_ne!(after.start_id, before.start_id);
        let twin = Fixture::new(settings()).await;
        let twin = twin.send(4, "q").await.unwrap().report;
        assert_ne!(twin.start_id, before.start_id);
    });
}

/// Guards against a drain that interrupts running queries or accepts new ones.
#[test]
fn drain_refuses_new_queries_and_finishes_running_ones() {
    task::block_on(async {
        let fixture = Fixture::new(long_run_settings()).await;
        let running = fixture.send(1, "q");
        let after = async {
            until(|| fixture.standin.running() == 1).await;
            fixture.standin.drain();
            fixture.send(2, "q").await
        };
        let (running, after) = future::join(running, after).await;
        assert!(running.is_ok());
        assert_eq!(refusal(&after), Some(Refusal::Draining));
        assert_eq!(fixture.standin.shut_down(DEADLINE).await, Ok(()));
    });
}

/// Guards against a fault update that is invalid but accepted, or valid but applied wrongly.
#[test]
fn faults_are_set_over_http() {
    struct Case {
        body: &'static str,
        status: StatusCode,
        slow: f64,
        fail: bool,
    }
    let case = |body, status, slow, fail| Case {
        body,
        status,
        slow,
        fail,
    };
    let cases = [
        case(r#"{"slow": 3}"#, StatusCode::Ok, 3.0, false),
        case(r#"{"fail": true}"#, StatusCode::Ok, 3.0, true),
        case(r#"{"speed": 2}"#, StatusCode::BadRequest, 3.0, true),
        case(r#"{"slow": "x"}"#, StatusCode::BadRequest, 3.0, true),
        case(r#"{"reset": true, "slow": 2}"#, StatusCode::Ok, 2.0, false),
        case(r#"{"event": "cold"}"#, StatusCode::Ok, 2.0, false),
    ];
    task::block_on(async {
        let fixture = Fixture::new(settings()).await;
        let admin = fixture.standin.admin();
        let mut admin = connection::open(admin, DEADLINE).await.unwrap();
        for case in cases {
            let request = http::Request::new(Method::Post, "/faults").with_body(case.body);
            let response = admin.send(request, DEADLINE).await.unwrap();
            assert_eq!(response.status(), case.status, "{}", case.body);
            let faults = fixture.standin.faults();
            assert_eq!(
                (faults.slow, faults.fail),
                (case.slow, case.fail),
                "{}",
                case.body
            );
        }
        let request = http::Request::new(Method::Get, "/counters");
        let response = admin.send(request, DEADLINE).await.unwrap();
        assert_eq!(response.json::<upstream::Counters>().unwrap().received, 0);
        let report = fixture.send(1, "q").await.unwrap().report;
        assert_eq!(report.state, message::State::Cold);
    });
}

/// Guards against a process that ignores SIGTERM or exits with an error after it.
#[test]
fn process_drains_on_sigterm() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_marigoldloom-upstream"))
        .args(["--shards", "[0, 1]", "--drain-ms", "50", "--version", "v7"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = process.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let bound: Settings = serde_json::from_str(&line).unwrap();
    assert_eq!((bound.version.as_str(), bound.shards.len()), ("v7", 2));
    let status = task::block_on(async {
        let mut connection = connection::open(bound.listen, DEADLINE).await.unwrap();
        let request = http::Request::new(Method::Get, "/v1/status");
        connection.send(request, DEADLINE).await.unwrap().status()
    });
    assert_eq!(status, StatusCode::Ok);
    let kill = Command::new("kill").arg(process.id().to_string()).status();
    assert!(kill.unwrap().success());
    assert_eq!(process.wait().unwrap().code(), Some(0));
}
