//! Tests of the stand-in platform and the HTTP client of the platform, which talk over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use marigoldloom_http::{client, message, server};
use marigoldloom_platform::http::{HttpPlatform, Timeouts};
use marigoldloom_platform::memory::{Counters, Faults, MemoryPlatform};
use marigoldloom_platform::object::{Key, Revision, Version};
use marigoldloom_platform::platform::{Condition, Error, Platform};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_standin::platform;
use serde_json::json;

/// Time limit of the client for each call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

struct Fixture {
    memory: MemoryPlatform<AsyncStd>,
    server: server::Server,
    client: HttpPlatform,
}

async fn start() -> Fixture {
    let memory = MemoryPlatform::new(AsyncStd::new());
    let server = platform::bind(loopback(), memory.clone()).await.unwrap();
    let client = client(server.address());
    Fixture {
        memory,
        server,
        client,
    }
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn client(address: SocketAddr) -> HttpPlatform {
    let timeouts = Timeouts {
        call: CALL_TIMEOUT,
        watch_wait: CALL_TIMEOUT,
    };
    HttpPlatform::new(address, timeouts)
}

fn key() -> Key {
    Key::new("domain", "riga")
}

/// Guards against a field, a condition or an error that the client or the server loses: calls over
/// HTTP must have the same results as calls to the in-memory platform.
#[test]
fn client_and_memory_agree() {
    task::block_on(async {
        let Fixture {
            memory,
            server: _server,
            client,
        } = start().await;
        assert_eq!(client.get(&key()).await, Ok(None));
        let conditions = [
            Condition::Version(Version(1)),
            Condition::Absent,
            Condition::Absent,
            Condition::Version(Version(1)),
            Condition::Version(Version(1)),
            Condition::Any,
        ];
        let reference = MemoryPlatform::new(AsyncStd::new());
        for (i, condition) in conditions.into_iter().enumerate() {
            let value = json!({ "number": i });
            let result = client.put(&key(), &value, condition).await;
            let direct = reference.put(&key(), &value, condition).await;
            assert_eq!(result, direct, "put {i}");
        }
        assert_eq!(client.get(&key()).await, memory.get(&key()).await);
        assert_eq!(client.list("domain").await, memory.list("domain").await);
        let kinds = ["service", "domain"];
        let changes = client.watch(&kinds, Revision(1)).await;
        assert_eq!(changes, memory.watch(&kinds, Revision(1)).await);
        assert_eq!(changes.unwrap().changes.len(), 2);
        let stale = Condition::Version(Version(1));
        let conflict = client.delete(&key(), stale).await;
        assert_eq!(conflict, memory.delete(&key(), stale).await);
        assert_eq!(client.delete(&key(), Condition::Any).await, Ok(()));
        let ahead = client.watch(&kinds, Revision(99)).await;
        assert_eq!(ahead, Err(Error::Compacted));
        let idle = client.watch(&kinds, Revision(4)).await.unwrap();
        assert_eq!((idle.revision, idle.changes.len()), (Revision(4), 0));
    });
}

struct FaultCase {
    name: &'static str,
    faults: Faults,
    error: Error,
    written: bool,
}

/// Guards against an error that states the wrong outcome of a write: `Unreachable` means that
/// nothing was written, `Unknown` that it may have been.
#[test]
fn faults_map_to_matching_errors() {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let lossy = Faults {
        lost_answers: 1,
        ..Faults::default()
    };
    // The write takes effect within the client's time limit; the answer comes after it.
    let slow = Faults {
        delay_ms: 700,
        ..Faults::default()
    };
    let case = |name, faults, error, written| FaultCase {
        name,
        faults,
        error,
        written,
    };
    let cases = [
        case("down", down, Error::Unreachable, false),
        case("answer lost", lossy, Error::OutcomeUnknown, true),
        case("slow", slow, Error::OutcomeUnknown, true),
    ];
    task::block_on(async {
        for case in cases {
            let Fixture {
                memory,
                server: _server,
                client,
            } = start().await;
            memory.set_faults(case.faults);
            let result = client.put(&key(), &json!(1), Condition::Any).await;
            assert_eq!(result, Err(case.error), "{}", case.name);
            memory.set_faults(Faults::default());
            let written = client.get(&key()).await.unwrap().is_some();
            assert_eq!(written, case.written, "{}", case.name);
        }
    });
}

/// Guards against `Unreachable` for a request of which bytes were sent, and against `Unknown`
/// when no connection could be opened.
#[test]
fn broken_connections_map_to_matching_errors() {
    task::block_on(async {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let silent = task::spawn(async move {
            let (first, _) = listener.accept().await.unwrap();
            drop(first);
            let (_second, _) = listener.accept().await.unwrap();
            task::sleep(2 * CALL_TIMEOUT).await;
        });
        let client = client(address);
        // The server closes the first connection and never responds on the second one.
        for name in ["closed", "silent"] {
            let result = client.put(&key(), &json!(1), Condition::Any).await;
            let closed_early = name == "closed" && result == Err(Error::Unreachable);
            assert!(
                result == Err(Error::OutcomeUnknown) || closed_early,
                "{name}"
            );
        }
        silent.await;
        let result = client.put(&key(), &json!(1), Condition::Any).await;
        assert_eq!(result, Err(Error::Unreachable), "the listener is closed");
    });
}

/// Guards against a call that fails after a restart of the platform because the client reuses a
/// connection that the restart closed.
#[test]
fn closed_idle_connections_are_replaced() {
    task::block_on(async {
        let Fixture {
            memory,
            server,
            client,
        } = start().await;
        client.list("domain").await.unwrap();
        let address = server.address();
        server.shut_down(CALL_TIMEOUT).await.unwrap();
        let _server = platform::bind(address, memory).await.unwrap();
        let written = client.put(&key(), &json!(1), Condition::Any).await;
        assert_eq!(written.unwrap().version, Version(1));
    });
}

async fn send(address: SocketAddr, request: message::Request) -> message::Response {
    let mut connection = client::open(address, CALL_TIMEOUT).await.unwrap();
    connection.send(request, CALL_TIMEOUT).await.unwrap()
}

/// Guards against counters that can't be read, and faults that can't be read and set, over HTTP.
#[test]
fn counters_and_faults_are_served() {
    task::block_on(async {
        let Fixture { server, client, .. } = start().await;
        let address = server.address();
        client.list("domain").await.unwrap();
        let request = message::Request::new(Method::Get, platform::COUNTERS_PATH);
        let counters: Counters = send(address, request).await.json().unwrap();
        assert_eq!((counters.list, counters.calls()), (1, 1));
        let request = message::Request::new(Method::Put, platform::FAULTS_PATH);
        send(address, request.with_body(r#"{"lost_answers":2}"#)).await;
        let request = message::Request::new(Method::Get, platform::FAULTS_PATH);
        let faults: Faults = send(address, request).await.json().unwrap();
        assert_eq!((faults.lost_answers, faults.down), (2, false));
    });
}

struct BadRequest {
    method: Method,
    target: &'static str,
    header: Option<(&'static str, &'static str)>,
    body: &'static str,
    status: u16,
}

const fn bad(method: Method, target: &'static str, status: u16) -> BadRequest {
    BadRequest {
        method,
        target,
        header: None,
        body: "1",
        status,
    }
}

/// Guards against a malformed request that is served, in the worst case as an unconditional
/// write.
#[test]
fn malformed_requests_are_refused_and_change_nothing() {
    let cases = [
        bad(Method::Post, "/v1/objects/domain/riga", 405),
        bad(Method::Put, "/v1/objects/domain", 405),
        bad(Method::Put, "/v1/objects/domain/riga/a", 404),
        bad(Method::Put, "/v1/objects/domain/ri%20ga", 400),
        bad(Method::Get, "/v2/objects/domain", 404),
        bad(Method::Get, "/v1/watch", 400),
        bad(Method::Get, "/v1/watch?since=x&kinds=domain", 400),
        bad(Method::Put, "/faults", 400),
        BadRequest {
            header: Some(("if-match", "*")),
            ..bad(Method::Put, "/v1/objects/domain/riga", 400)
        },
        BadRequest {
            header: Some(("if-none-match", "1")),
            ..bad(Method::Put, "/v1/objects/domain/riga", 400)
        },
        BadRequest {
            body: "{",
            ..bad(Method::Put, "/v1/objects/domain/riga", 400)
        },
    ];
    task::block_on(async {
        let Fixture { memory, server, .. } = start().await;
        for case in cases {
            let name = format!("{} {} {:?}", case.method, case.target, case.header);
            let request = message::Request::new(case.method, case.target).with_body(case.body);
            let request = match case.header {
                Some((header, value)) => request.with_header(header, value).unwrap(),
                None => request,
            };
            let response = send(server.address(), request).await;
            assert_eq!(u16::from(response.status()), case.status, "{name}");
        }
        assert_eq!(memory.list("domain").await.unwrap().revision, Revision(0));
    });
}
