//! The balancer: which instances get new connections.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::{future, task};
use futures::future::join_all;
use marigoldloom_standin::users::caller;

use crate::world::{Member, World};

/// Time between two questions whether an instance is ready, as the operators state it.
const PERIOD: Duration = Duration::from_secs(1);

/// Time for the answer.
const LIMIT: Duration = Duration::from_millis(500);

/// Questions in a row without the right answer that take an instance out.
const MISSES: u32 = 2;

/// Time between two questions to an instance that is about to be ready.
const START_PERIOD: Duration = Duration::from_millis(20);

/// Longest wait for an instance that starts.
const START_LIMIT: Duration = Duration::from_secs(20);

const QUESTION: &[u8] = b"GET /readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";

/// The instances that get new connections. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Rotation {
    /// The instances in rotation; all of them if fewer than half are.
    pub fn members(&self, total: usize) -> Vec<usize> {
        let misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
        let inside = |i: &usize| misses.get(*i).is_none_or(|m| *m < MISSES);
        let inside: Vec<_> = (0..total).filter(inside).collect();
        match inside.len() * 2 < total {
            true => (0..total).collect(),
            false => inside,
        }
    }

    /// Asks the instances of `world` whether they are ready. Runs until it is dropped.
    pub async fn follow(self, world: Arc<World>) {
        loop {
            let answers = join_all(world.members.iter().map(is_ready)).await;
            {
                let mut misses = self.misses.lock().unwrap_or_else(PoisonError::into_inner);
                misses.resize(answers.len(), 0);
                for (misses, ready) in misses.iter_mut().zip(answers) {
                    *misses = if ready { 0 } else { *misses + 1 };
                }
            }
            task::sleep(PERIOD).await;
        }
    }
}

async fn is_ready(member: &Member) -> bool {
    let answer = caller::exchange(member.readiness, QUESTION);
    let answer = future::timeout(LIMIT, answer).await;
    matches!(answer, Ok(Ok(response)) if response.status() == 200)
}

/// Waits until an instance is ready, or for so long that it counts as ready never to be.
pub(crate) async fn until_ready(member: &Member) {
    let wait = async {
        while !is_ready(member).await {
            task::sleep(START_PERIOD).await;
        }
    };
    // An instance that is never ready serves nothing, which the share of served requests shows.
    let _ = future::timeout(START_LIMIT, wait).await;
}
