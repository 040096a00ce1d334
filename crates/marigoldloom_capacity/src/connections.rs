//! Heap bytes of an idle connection to an upstream, over loopback.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use marigoldloom_records::service;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_standin::upstream as standin;
use marigoldloom_upstream::upstream::{Target, Upstream};
use marigoldloom_upstream::{client, message};

use crate::cost;
use crate::engine;
use crate::report::{Report, Row};

/// Connections of an average instance at the target size, as the `homes` measure computes them.
pub const TARGET_CONNECTIONS: usize = 98;

/// Time limit of a subquery.
const SUBQUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Measures each number of idle connections in `sizes`, with one stand-in upstream for each
/// connection.
pub fn measure(sizes: &[usize]) -> Report {
    Report {
        measure: "connections",
        unit: "connections",
        target: TARGET_CONNECTIONS,
        rows: sizes.iter().map(|size| row(*size)).collect(),
    }
}

fn row(count: usize) -> Row {
    let (bytes, answered) = task::block_on(open_connections(count));
    Row::new(
        count,
        [
            ("both_sides_bytes_per_connection", bytes / count as f64),
            ("answered", answered as f64),
        ],
    )
}

/// Opens the connections with one subquery each. Returns the heap bytes that they occupy when
/// idle and the number of answered subqueries.
async fn open_connections(count: usize) -> (f64, usize) {
    let rt = AsyncStd::new();
    let upstreams = engine::start_standins(count).await;
    let client = client::Client::new(rt, client::Settings::default());
    let heap = cost::HeapCounter::start();
    let mut answered = 0;
    for (shard, upstream) in (0..).zip(&upstreams) {
        let (target, subquery) = (target(shard, upstream), subquery(&rt, shard));
        answered += usize::from(client.send(&target, &subquery, || true).await.is_ok());
    }
    (heap.bytes(), answered)
}

fn target(shard: u32, upstream: &standin::Upstream) -> Target {
    Target {
        name: Arc::from(format!("upstream-{shard:05}")),
        address: upstream.address(),
    }
}

fn subquery(rt: &AsyncStd, shard: u32) -> message::Subquery {
    message::Subquery {
        request: message::RequestId(Arc::from("connections")),
        id: message::SubqueryId(u128::from(shard)),
        service: Arc::from("service-0000"),
        route: Arc::from("search"),
        shard,
        snapshot: Arc::new(service::Snapshot {
            version: "v1".to_owned(),
            epoch: 1,
        }),
        deadline: rt.now() + SUBQUERY_TIMEOUT,
        body: Arc::from(&b"query"[..]),
        call: None,
        idempotency_key: None,
        start_id: None,
    }
}
