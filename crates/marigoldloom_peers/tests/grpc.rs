//! Tests of the gRPC transport over loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_peers::generated::peer;
use marigoldloom_peers::grpc::{pool, server};
use marigoldloom_peers::membership::{Identity, State};
use marigoldloom_peers::metered;
use marigoldloom_peers::peers::{self, Peers};
use marigoldloom_peers::transport::{Error, Handler, MESSAGE_LIMIT, Transport};
use marigoldloom_platform::object::{Changes, Key, Listing, Object, Revision};
use marigoldloom_platform::platform::{self, Condition, Platform};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_telemetry::{event, metrics};
use prost::Message;

type Pool = pool::Pool<AsyncStd>;

/// A platform that can't be reached.
#[derive(Clone)]
struct DownPlatform;

impl Platform for DownPlatform {
    async fn get(&self, _: &Key) -> Result<Option<Object>, platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn list(&self, _: &str) -> Result<Listing, platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn put(
        &self,
        _: &Key,
        _: &serde_json::Value,
        _: Condition,
    ) -> Result<Object, platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn delete(&self, _: &Key, _: Condition) -> Result<(), platform::Error> {
        Err(platform::Error::Unreachable)
    }

    async fn watch(&self, _: &[&str], _: Revision) -> Result<Changes, platform::Error> {
        Err(platform::Error::Unreachable)
    }
}

/// Answers with the request's body; never answers on the route `stuck`.
#[derive(Clone, Copy, Debug)]
struct Echo;

impl Handler for Echo {
    async fn forward(&self, request: peer::ForwardRequest) -> peer::ForwardReply {
        if request.route == "stuck" {
            futures::future::pending::<()>().await;
        }
        peer::ForwardReply {
            status: 200,
            body: request.body,
        }
    }
}

struct Instance {
    address: SocketAddr,
    peers: Peers<AsyncStd, Pool, Echo>,
    server: task::JoinHandle<()>,
}

async fn start(name: &str, address: &str, seeds: Vec<SocketAddr>) -> Instance {
    let rt = AsyncStd::new();
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let config = peers::Config {
        identity: Identity {
            name: Arc::from(name),
            domain: Arc::from("riga"),
            address,
        },
        seeds,
        events: event::Events::new(),
    };
    let peers = Peers::start(rt, Pool::new(rt), DownPlatform, Echo, config);
    let server = task::spawn(server::serve(rt, listener, peers.clone()));
    Instance {
        address,
        peers,
        server,
    }
}

fn request(route: &str, body: Vec<u8>) -> peer::ForwardRequest {
    peer::ForwardRequest {
        route: route.to_owned(),
        remaining_ms: 300,
        body,
        ..peer::ForwardRequest::default()
    }
}

/// Guards against control messages that the metrics don't count, and against forwarded queries
/// that are counted as control messages.
#[async_std::test]
async fn control_bytes_are_counted_in_both_directions() {
    let first = start("i0", "127.0.0.1:0", Vec::new()).await;
    let metrics = metrics::Metrics::new().unwrap();
    let rt = AsyncStd::new();
    let transport = metered::Metered::new(Pool::new(rt), metrics.clone());
    let query = request("find", vec![0; 100_000]);
    transport.forward(first.address, query).await.unwrap();
    let counted = |direction: &str| {
        let text = String::from_utf8(metrics.encode().unwrap()).unwrap();
        let label = format!("direction=\"{direction}\"");
        let line = text.lines().find(|l| l.contains(&label));
        let value = line.and_then(|l| l.rsplit_once(' '));
        value.map(|(_, value)| value.parse::<f64>().unwrap())
    };
    assert_eq!((counted("sent"), counted("received")), (None, None));
    let pull = peer::PullRequest {
        space: Space::Member.number(),
        part: Some(peer::pull_request::Part::After(String::new())),
    };
    let sent = pull.encoded_len() + metered::HEADER_BYTES;
    let reply = transport.pull(first.address, pull).await.unwrap();
    let received = reply.encoded_len() + metered::HEADER_BYTES;
    assert_eq!(counted("sent"), Some(sent as f64));
    assert_eq!(counted("received"), Some(received as f64));
}

async fn eventually(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let rt = AsyncStd::new();
    let check = async {
        while !holds() {
            rt.sleep(Duration::from_millis(20)).await;
        }
    };
    runtime::timeout(&rt, limit, check).await.is_ok()
}

/// Guards against instances that don't find each other or don't exchange entries over gRPC, and
/// against a forwarded query whose body is changed.
#[async_std::test]
async fn instances_form_a_tier() {
    let first = start("a", "127.0.0.1:0", Vec::new()).await;
    let second = start("b", "127.0.0.1:0", vec![first.address]).await;
    let third = start("c", "127.0.0.1:0", vec![first.address]).await;
    let all = [&first, &second, &third];
    let formed = || all.iter().all(|i| i.peers.members().len() == 3);
    assert!(eventually(Duration::from_secs(10), formed).await);
    first.peers.exchange().publish(Entry {
        space: Space::Verdict,
        name: Arc::from("move"),
        stamp: 1,
        value: Some(Arc::from("true")),
        expires: None,
    });
    let shared = || {
        let scan = |i: &&Instance| i.peers.exchange().scan(Space::Verdict, "").len() == 1;
        all.iter().all(scan)
    };
    assert!(eventually(Duration::from_secs(3), shared).await);
    let body = vec![7; 100_000];
    let reply = third
        .peers
        .forward("b", request("search", body.clone()))
        .await;
    assert_eq!(reply.map(|r| r.body), Ok(body));
    second.peers.leave().await;
    let leaving = || {
        let members = third.peers.members();
        members.iter().any(|m| m.state == State::Leaving)
    };
    assert!(eventually(Duration::from_secs(3), leaving).await);
}

/// Guards against an error that says the request wasn't sent although it may have run, or the
/// reverse, and against messages of unlimited size.
#[async_std::test]
async fn failures_say_whether_the_request_was_sent() {
    let first = start("a", "127.0.0.1:0", Vec::new()).await;
    let second = start("b", "127.0.0.1:0", vec![first.address]).await;
    let formed = || first.peers.members().len() == 2;
    assert!(eventually(Duration::from_secs(10), formed).await);
    let stuck = first.peers.forward("b", request("stuck", Vec::new())).await;
    assert_eq!(stuck, Err(peers::Error::Transport(Error::Lost)));
    let absent = first
        .peers
        .forward("x", request("search", Vec::new()))
        .await;
    assert!(matches!(absent, Err(peers::Error::NotInService { .. })));
    let pool = Pool::new(AsyncStd::new());
    let large = request("search", vec![0; MESSAGE_LIMIT + 1]);
    let refused = pool.forward(second.address, large).await;
    assert!(
        matches!(refused, Err(Error::TooLarge { .. })),
        "{refused:?}"
    );
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let unreachable = pool.forward(address, request("search", Vec::new())).await;
    assert_eq!(unreachable, Err(Error::Unreachable));
}

/// Guards against a pool that keeps using a closed connection.
#[async_std::test]
async fn pool_reconnects_after_a_restart() {
    let first = start("a", "127.0.0.1:0", Vec::new()).await;
    let (address, pool) = (first.address, Pool::new(AsyncStd::new()));
    let call = || pool.forward(address, request("search", vec![1]));
    assert!(call().await.is_ok());
    first.server.cancel().await;
    let again = start("a", &address.to_string(), Vec::new()).await;
    let rt = AsyncStd::new();
    let works = async {
        while call().await.is_err() {
            rt.sleep(Duration::from_millis(20)).await;
        }
    };
    let limit = Duration::from_secs(3);
    assert!(runtime::timeout(&rt, limit, works).await.is_ok());
    drop(again);
}
