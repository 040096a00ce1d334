//! The naive version that results are compared with: send to all shards, take the first
//! replica, retry twice, no limits.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use marigoldloom_query::{answer, refusal, request};
use marigoldloom_records::service;
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_upstream::{message, upstream};

use crate::world::{Fleet, Rt, Verdict};

/// Attempts at each shard.
const ATTEMPTS: usize = 3;

/// The naive version of one instance.
#[derive(Clone)]
pub struct Naive {
    /// Runtime.
    pub rt: Rt,
    /// Upstreams.
    pub fleet: Fleet,
    /// Configuration in force.
    pub topology: Arc<topology::Topology>,
}

impl Naive {
    /// Sends to all shards; each attempt has an equal part of the request's time.
    ///
    /// # Errors
    ///
    /// A refusal if no shard answered. Its "not run" is not checked.
    ///
    /// # Panics
    ///
    /// If the request's service isn't defined.
    pub async fn run(&self, request: &request::Request) -> Verdict {
        let time = request.deadline.since(self.rt.now());
        let service = self.topology.service(&request.service).expect("defined");
        let snapshot = Arc::new(service.query_snapshot("v1").expect("defined"));
        let shards = service.shards(&snapshot).expect("held");
        let asks = (0..shards.total())
            .map(|s| self.ask(request, Arc::clone(&snapshot), s, shards.replicas(s), time));
        let bodies = future::join_all(asks).await;
        let numbered = (0..).zip(bodies);
        let results: Vec<_> = numbered
            .filter_map(|(shard, body)| {
                let body = answer::Body(body?);
                let head = None;
                Some(answer::Part { shard, body, head })
            })
            .collect();
        let answered: Vec<u32> = results.iter().map(|p| p.shard).collect();
        let absent = (0..shards.total()).filter(|s| !answered.contains(s));
        let missing = absent.map(|shard| answer::MissingShard {
            shard,
            reason: answer::Reason::Failed,
        });
        let coverage = answer::Coverage {
            missing: missing.collect(),
            total: shards.total(),
            answered,
        };
        match results.is_empty() {
            true => Err(refusal::Refusal::not_run(refusal::Kind::Unavailable)),
            false => Ok(answer::Answer {
                request: request.id.clone(),
                snapshot: (*snapshot).clone(),
                coverage,
                results,
            }),
        }
    }

    async fn ask(
        &self,
        request: &request::Request,
        snapshot: Arc<service::Snapshot>,
        shard: u32,
        replicas: &[Arc<topology::Replica>],
        time: Duration,
    ) -> Option<Vec<u8>> {
        for replica in replicas.iter().cycle().take(ATTEMPTS) {
            let subquery = message::Subquery {
                request: request.id.clone(),
                id: message::SubqueryId(u128::from(self.rt.random())),
                service: Arc::clone(&request.service),
                route: Arc::clone(&request.route),
                shard,
                snapshot: Arc::clone(&snapshot),
                deadline: request.deadline,
                body: Arc::clone(&request.body),
                call: None,
                idempotency_key: None,
                start_id: None,
            };
            let send = upstream::Upstream::send(&self.fleet, &replica.target, &subquery);
            let limit = time / u32::try_from(ATTEMPTS).unwrap_or(1);
            if let Ok(Ok(reply)) = runtime::timeout(&self.rt, limit, send).await {
                return Some(reply.body);
            }
        }
        None
    }
}
