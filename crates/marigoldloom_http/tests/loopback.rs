//! Server and client over loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use futures::future::join_all;
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, StatusCode};
use marigoldloom_http::{client, message, pool, server};

const SECOND: Duration = Duration::from_secs(1);

/// Answers with the request's body; the path `/slow` takes 200 ms.
#[derive(Clone, Default)]
struct Echo {
    started: Arc<AtomicUsize>,
    finished: Arc<AtomicUsize>,
}

impl server::Handler for Echo {
    async fn handle(&self, request: message::Request) -> message::Response {
        self.started.fetch_add(1, Ordering::SeqCst);
        match request.path() {
            "/slow" => task::sleep(Duration::from_millis(200)).await,
            "/hang-up" => return message::Response::hang_up(),
            _ => (),
        }
        self.finished.fetch_add(1, Ordering::SeqCst);
        message::Response::new(StatusCode::Ok).with_body(request.body)
    }
}

fn settings() -> server::Settings {
    server::Settings {
        max_connections: 4,
        max_body: 1_000,
        receive_timeout: Duration::from_millis(150),
        idle_timeout: SECOND,
        ..server::Settings::default()
    }
}

async fn start(settings: server::Settings) -> (server::Server, Echo) {
    let echo = Echo::default();
    let server = server::bind(([127, 0, 0, 1], 0).into(), settings, echo.clone());
    (server.await.unwrap(), echo)
}

async fn open(address: SocketAddr) -> client::Connection {
    client::open(address, SECOND).await.unwrap()
}

fn post(path: &str, body: &[u8]) -> message::Request {
    message::Request::new(Method::Post, path).with_body(body)
}

async fn send_raw(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if end {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    future::timeout(5 * SECOND, read).await.unwrap().unwrap();
    String::from_utf8(answer).unwrap()
}

/// Guards against malformed, oversized or slow requests that exhaust memory, block a task
/// for ever, make it panic or get no 4xx response.
#[test]
fn bad_requests_get_a_4xx_and_affect_no_others() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        end: bool,
        status: &'static str,
    }
    let case = |name, bytes: &[u8], end, status| Case {
        name,
        bytes: bytes.to_vec(),
        end,
        status,
    };
    let long_line = [b"GET /", [b'a'; 9_000].as_slice()].concat();
    let long_body = [
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n600\r\n".as_slice(),
        [b'a'; 0x600].as_slice(),
        b"\r\n0\r\n\r\n",
    ]
    .concat();
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    let cases = [
        case("endless head line", &long_line, false, "431"),
        case("long chunked body", &long_body, false, "413"),
        case(
            "announced long body",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n",
            false,
            "413",
        ),
        case("slow body", head, false, "408"),
        case("truncated body", head, true, "400"),
        case("slow head", b"POST / HT", false, "408"),
        case("truncated head", b"POST / HT", true, "400"),
        case("no host", b"GET / HTTP/1.1\r\n\r\n", false, "400"),
        case("not HTTP", b"\x16\x03\x01\r\n\r\n", false, "400"),
        case(
            "two lengths",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            false,
            "400",
        ),
        case(
            "length and chunks",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            false,
            "400",
        ),
        case(
            "header outside ASCII",
            "GET / HTTP/1.1\r\nhost: a\r\nx-a: \u{e9}\r\n\r\n".as_bytes(),
            false,
            "400",
        ),
    ];
    task::block_on(async {
        let (server, echo) = start(settings()).await;
        let mut steady = open(server.address()).await;
        for case in cases {
            let answer = send_raw(server.address(), &case.bytes, case.end).await;
            let expected = format!("HTTP/1.1 {} ", case.status);
            assert!(answer.starts_with(&expected), "{}: {answer}", case.name);
            assert!(answer.contains("\"run\":\"not_run\""), "{}", case.name);
            let response = steady.send(post("/", b"steady"), SECOND).await.unwrap();
            assert_eq!(response.body, b"steady", "{}", case.name);
        }
        assert_eq!(echo.started.load(Ordering::SeqCst), 12);
    });
}

/// Guards against connections that aren't kept alive and against responses with the body of
/// another request.
#[test]
fn one_connection_carries_many_requests() {
    task::block_on(async {
        let (server, _) = start(settings()).await;
        let mut connection = open(server.address()).await;
        for length in [0, 1, 999, 1_000, 3] {
            let body = vec![b'x'; length];
            let response = connection.send(post("/", &body), SECOND).await.unwrap();
            assert_eq!(response.body, body);
            assert!(connection.is_usable());
        }
        assert_eq!(server.connections(), 1);
    });
}

/// Guards against reuse of a connection on which an earlier response is outstanding.
#[test]
fn timed_out_or_dropped_request_makes_the_connection_unusable() {
    task::block_on(async {
        let (server, echo) = start(settings()).await;
        let short = Duration::from_millis(20);
        let mut first = open(server.address()).await;
        let error = first.send(post("/slow", b""), short).await.unwrap_err();
        assert_eq!(error, client::Error::TimedOut { sent: true });
        let mut second = open(server.address()).await;
        let dropped = future::timeout(short, second.send(post("/slow", b""), SECOND)).await;
        assert!(dropped.is_err());
        for connection in [&mut first, &mut second] {
            assert!(!connection.is_usable());
            let error = connection.send(post("/", b""), SECOND).await.unwrap_err();
            assert_eq!((error, error.sent()), (client::Error::Stale, false));
        }
        drop((first, second));
        task::sleep(Duration::from_millis(300)).await;
        // The server cancels a request whose client closed the connection.
        assert_eq!(echo.started.load(Ordering::SeqCst), 2);
        assert_eq!(echo.finished.load(Ordering::SeqCst), 0);
    });
}

/// Guards against errors that report wrongly whether bytes were sent.
#[test]
fn failures_say_whether_bytes_were_sent() {
    task::block_on(async {
        let (server, _) = start(settings()).await;
        let address = server.address();
        let mut connection = open(address).await;
        let error = connection.send(post("/hang-up", b""), SECOND).await;
        assert_eq!(error.unwrap_err(), client::Error::Lost { sent: true });
        let mut idle = open(address).await;
        idle.send(post("/", b""), SECOND).await.unwrap();
        drop(server);
        task::sleep(Duration::from_millis(50)).await;
        let error = idle.send(post("/", b""), SECOND).await.unwrap_err();
        assert_eq!(error, client::Error::Stale);
        let refused = client::open(address, SECOND).await.err();
        assert_eq!(refused, Some(client::Error::Unreachable));
    });
}

/// Guards against more connections than the limit, and against rejection without a response.
#[test]
fn connections_over_the_limit_are_refused() {
    task::block_on(async {
        let (server, _) = start(settings()).await;
        let mut kept = Vec::new();
        for _ in 0..4 {
            let mut connection = open(server.address()).await;
            connection.send(post("/", b""), SECOND).await.unwrap();
            kept.push(connection);
        }
        let mut refused = open(server.address()).await;
        let response = refused.send(post("/", b""), SECOND).await.unwrap();
        assert_eq!(response.status(), StatusCode::ServiceUnavailable);
        assert!(!refused.is_usable());
        kept.pop();
        task::sleep(Duration::from_millis(20)).await;
        let mut next = open(server.address()).await;
        let response = next.send(post("/", b""), SECOND).await.unwrap();
        assert_eq!(response.status(), StatusCode::Ok);
    });
}

/// Guards against a shutdown that interrupts a request or waits for idle connections.
#[test]
fn shutdown_finishes_requests_and_closes_idle_connections() {
    task::block_on(async {
        let (server, echo) = start(settings()).await;
        let address = server.address();
        let mut idle = open(address).await;
        idle.send(post("/", b""), SECOND).await.unwrap();
        let mut busy = open(address).await;
        let running = task::spawn(async move { busy.send(post("/slow", b"a"), SECOND).await });
        task::sleep(Duration::from_millis(50)).await;
        let begin = Instant::now();
        let stopping = task::spawn(server.shut_down(5 * SECOND));
        task::sleep(Duration::from_millis(30)).await;
        // A request that arrives on an idle connection during the shutdown is still served.
        let late = idle.send(post("/", b"late"), SECOND).await.unwrap();
        assert_eq!(
            (late.body.as_slice(), idle.is_usable()),
            (&b"late"[..], false)
        );
        assert!(client::open(address, SECOND).await.is_err());
        assert_eq!(running.await.unwrap().body, b"a");
        assert_eq!(stopping.await, Ok(()));
        assert!(begin.elapsed() < SECOND, "{:?}", begin.elapsed());
        assert_eq!(echo.finished.load(Ordering::SeqCst), 3);
    });
}

/// Guards against a shutdown that waits for ever on a request.
#[test]
fn shutdown_ends_at_its_limit() {
    task::block_on(async {
        let (server, _) = start(settings()).await;
        let mut busy = open(server.address()).await;
        let running = task::spawn(async move { busy.send(post("/slow", b""), SECOND).await });
        task::sleep(Duration::from_millis(50)).await;
        let unfinished = server.shut_down(Duration::from_millis(50)).await;
        assert_eq!(unfinished, Err(server::Unfinished { connections: 1 }));
        let lost = running.await.unwrap_err();
        assert_eq!(lost, client::Error::Lost { sent: true });
    });
}

/// Guards against a process that does nothing else for 20 s because a limit of some billions falls.
#[test]
fn pool_with_a_huge_limit_can_be_limited_at_once() {
    task::block_on(async {
        let (server, _echo) = start(settings()).await;
        let limits = pool::Settings {
            max_connections: usize::MAX,
            ..pool::Settings::default()
        };
        let pool: pool::Pool = pool::Pool::new(server.address(), limits);
        let start = Instant::now();
        for limit in [40, u32::MAX as usize, 1, usize::MAX, 40] {
            pool.set_limit(limit);
        }
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    });
}

/// Guards against a changed limit that closes connections within the limit or keeps
/// connections over it.
#[test]
fn pool_follows_its_limit() {
    task::block_on(async {
        let settings = server::Settings {
            max_connections: 16,
            ..settings()
        };
        let (server, _) = start(settings).await;
        let pool = pool::Pool::new(server.address(), pool::Settings::default());
        let hold = |count: usize| {
            let leases = (0..count).map(|_| pool.lease(SECOND));
            future::timeout(SECOND / 10, join_all(leases))
        };
        for limit in [3, 2, 5, 1] {
            pool.set_limit(limit);
            assert!(hold(limit + 1).await.is_err(), "limit {limit}");
            for lease in hold(limit).await.unwrap() {
                let mut lease = lease.unwrap();
                lease.send(post("/", b""), SECOND).await.unwrap();
                lease.return_to_pool();
            }
            task::sleep(Duration::from_millis(20)).await;
            assert!(server.connections() <= limit, "limit {limit}");
        }
        // A limit lowered while connections are in use is enforced when they are returned.
        pool.set_limit(4);
        let leases = hold(4).await.unwrap();
        pool.set_limit(2);
        leases
            .into_iter()
            .for_each(|lease| lease.unwrap().return_to_pool());
        task::sleep(Duration::from_millis(20)).await;
        assert_eq!(server.connections(), 2);
        assert!(hold(3).await.is_err());
        assert!(hold(2).await.is_ok());
    });
}

/// Guards against idle connections that stay open after a burst: they count against the
/// server's limit, even after the client has lost power.
#[test]
fn spare_connections_close_before_the_last_one() {
    task::block_on(async {
        let long_idle = server::Settings {
            idle_timeout: 60 * SECOND,
            ..settings()
        };
        let (server, _) = start(long_idle).await;
        let limits = pool::Settings {
            idle_timeout: 30 * SECOND,
            spare_timeout: SECOND / 2,
            ..pool::Settings::default()
        };
        let pool: pool::Pool = pool::Pool::new(server.address(), limits);
        let leases = join_all((0..3).map(|_| pool.lease(SECOND))).await;
        for lease in leases {
            lease.unwrap().return_to_pool();
        }
        pool.sweep();
        task::sleep(Duration::from_millis(20)).await;
        assert_eq!(server.connections(), 3, "none was idle for long");
        let start = Instant::now();
        while server.connections() > 1 && start.elapsed() < 5 * SECOND {
            pool.sweep();
            task::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(server.connections(), 1);
        assert!(pool.lease(SECOND).await.is_ok());
        assert_eq!(server.connections(), 1, "the last one was reused");
    });
}
