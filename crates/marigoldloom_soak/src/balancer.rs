//! The load balancer in front of the instances, which probes their readiness.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::{future, task};
use futures::future::join_all;
use marigoldloom_standin::users::caller;

use crate::deployment::{Deployment, Member};

/// Time between two readiness probes, as the operators state it.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Consecutive failed probes that take an instance out of rotation.
const FAILED_PROBE_LIMIT: u32 = 2;

/// Time between two probes of an instance that starts.
const START_PROBE_PERIOD: Duration = Duration::from_millis(20);

/// Maximum time to wait until a started instance is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

const PROBE_REQUEST: &[u8] =
    b"GET /readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";

/// Decides which instances get new connections. Clones share the results of the probes.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Consecutive failed probes of each instance. Empty before the first probes.
    failed_probes: Arc<Mutex<Vec<u32>>>,
}

impl Balancer {
    /// Indexes of the instances in rotation, out of `total`. Returns all if fewer than half are in
    /// rotation.
    pub fn in_rotation(&self, total: usize) -> Vec<usize> {
        let failed_probes = self
            .failed_probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let passes = |i: &usize| {
            failed_probes
                .get(*i)
                .is_none_or(|n| *n < FAILED_PROBE_LIMIT)
        };
        let in_rotation: Vec<_> = (0..total).filter(passes).collect();
        match in_rotation.len() * 2 < total {
            true => (0..total).collect(),
            false => in_rotation,
        }
    }

    /// Probes the instances of `deployment` periodically. Runs until dropped.
    pub async fn probe(self, deployment: Arc<Deployment>) {
        loop {
            let answers = join_all(deployment.members.iter().map(is_ready)).await;
            {
                let mut failed_probes = self
                    .failed_probes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                failed_probes.resize(answers.len(), 0);
                for (failures, ready) in failed_probes.iter_mut().zip(answers) {
                    *failures = if ready { 0 } else { *failures + 1 };
                }
            }
            task::sleep(PROBE_PERIOD).await;
        }
    }
}

async fn is_ready(member: &Member) -> bool {
    let answer = caller::exchange(member.readiness, PROBE_REQUEST);
    let answer = future::timeout(PROBE_TIMEOUT, answer).await;
    matches!(answer, Ok(Ok(response)) if response.status() == 200)
}

/// Waits until an instance is ready, at most for `START_TIMEOUT`.
pub(crate) async fn wait_until_ready(member: &Member) {
    let wait = async {
        while !is_ready(member).await {
            task::sleep(START_PROBE_PERIOD).await;
        }
    };
    // An instance that never becomes ready serves no requests. The check of the share of served
    // requests detects that.
    let _ = future::timeout(START_TIMEOUT, wait).await;
}
