//! Naive baseline that the engine is compared with: it sends to all shards, begins with the
//! first replica, retries twice on the next ones and has no limits on load.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use marigoldloom_query::{answer, refusal, request};
use marigoldloom_records::service;
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_upstream::{message, upstream};

use crate::world::{CallResult, Fleet, Rt};

/// Attempts for each shard.
const ATTEMPTS: usize = 3;

/// Naive baseline in the place of an instance's engine.
#[derive(Clone)]
pub struct Naive {
    /// Clock for the deadlines and source of the subquery ids.
    pub rt: Rt,
    /// Upstreams that receive the subqueries.
    pub fleet: Fleet,
    /// Configuration in force.
    pub topology: Arc<topology::Topology>,
}

impl Naive {
    /// Sends the request to all shards at once. Each attempt may take an equal part of the time
    /// until the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no shard answered. It says "not run" without any check.
    ///
    /// # Panics
    ///
    /// If the request's service isn't defined.
    pub async fn run(&self, request: &request::Request) -> CallResult {
        let timeout = request.deadline.since(self.rt.now());
        let service = self.topology.service(&request.service).expect("defined");
        let snapshot = Arc::new(service.query_snapshot("v1").expect("defined"));
        let shards = service.shards(&snapshot).expect("held");
        let queries = (0..shards.total()).map(|s| {
            self.query(
                request,
                Arc::clone(&snapshot),
                s,
                shards.replicas(s),
                timeout,
            )
        });
        let bodies = future::join_all(queries).await;
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

    async fn query(
        &self,
        request: &request::Request,
        snapshot: Arc<service::Snapshot>,
        shard: u32,
        replicas: &[Arc<topology::Replica>],
        timeout: Duration,
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
            let send = upstream::Upstream::send(&self.fleet, &replica.target, &subquery, || true);
            let limit = timeout / u32::try_from(ATTEMPTS).unwrap_or(1);
            if let Ok(Ok(reply)) = runtime::timeout(&self.rt, limit, send).await {
                return Some(reply.body);
            }
        }
        None
    }
}
