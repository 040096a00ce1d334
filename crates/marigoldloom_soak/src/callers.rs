//! Open-loop callers, who keep connections until their instance closes them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::{future, task};
use marigoldloom_standin::users::caller::{self, Connection};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::history::{Kind, Outcome, Request};
use crate::rotation::Rotation;
use crate::world::{HOST, World, prefix};

/// Time that callers wait for the answer to a query, and for others.
const QUERY_PATIENCE: Duration = Duration::from_millis(1_200);
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Time after which an answer that is overdue is no longer waited for.
const OVERDUE: Duration = Duration::from_millis(1_500);

/// Share of requests that take a kept connection if there is one.
const KEPT_SHARE: f64 = 0.6;

/// Connections kept at most.
const KEPT_LIMIT: usize = 32;

/// Share of the idempotent requests whose callers leave before an answer, and when they do.
const LEFT_SHARE: f64 = 0.04;
const LEFT_MS: std::ops::Range<u64> = 1..60;

/// A connection that is kept for the next request.
struct Kept {
    connection: Connection,
    instance: usize,
    process: u32,
}

/// The callers. Clones share their connections.
#[derive(Clone)]
pub struct Callers {
    world: Arc<World>,
    rotation: Rotation,
    kept: Arc<Mutex<VecDeque<Kept>>>,
}

/// A request before it is sent.
struct Draft {
    id: Arc<str>,
    kind: Kind,
    /// When its caller leaves, if it does not wait.
    leaves: Option<Duration>,
    /// Whether it is to take a kept connection.
    kept: bool,
    /// Chooses the instance of a new connection.
    choice: usize,
}

impl Callers {
    /// Callers of the instances of `world`.
    pub fn new(world: Arc<World>, rotation: Rotation) -> Self {
        Self {
            world,
            rotation,
            kept: Arc::default(),
        }
    }

    /// Sends `rate` requests a second. Runs until it is dropped.
    pub async fn run(self, seed: u64, rate: f64) {
        let mut rng = StdRng::seed_from_u64(seed);
        for number in 0_u64.. {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            task::sleep(Duration::from_secs_f64(gap)).await;
            let draft = draw(&mut rng, number);
            task::spawn(self.clone().send(draft));
        }
    }

    fn take_kept(&self) -> Option<Kept> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.pop_front()
    }

    fn keep(&self, connection: Kept) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() < KEPT_LIMIT {
            kept.push_back(connection);
        }
    }

    async fn connect(&self, choice: usize) -> (usize, u32, Option<Connection>) {
        let members = self.rotation.members(self.world.members.len());
        let instance = members[choice % members.len()];
        let member = &self.world.members[instance];
        let process = member.instance().process();
        let connection = Connection::open(member.callers.address()).await.ok();
        (instance, process, connection)
    }

    async fn send(self, draft: Draft) {
        let kept = draft.kept.then(|| self.take_kept()).flatten();
        let (instance, process, connection) = match kept {
            Some(kept) => (kept.instance, kept.process, Some(kept.connection)),
            None => self.connect(draft.choice).await,
        };
        let request = self.note(&draft, instance, process);
        let Some(mut connection) = connection else {
            return self.end(&draft.id, Outcome::Unreachable);
        };
        let limit = draft.leaves.unwrap_or(request.patience + OVERDUE);
        let bytes = bytes(&draft.id, &request);
        let exchange = connection.send(&bytes);
        let outcome = match future::timeout(limit, exchange).await {
            Ok(Ok(response)) => Outcome::Answered {
                response,
                surplus: connection.has_extra_bytes(),
            },
            Ok(Err(_)) => Outcome::Lost,
            Err(_) if draft.leaves.is_some() => Outcome::Left,
            Err(_) => Outcome::Overdue,
        };
        let keeps = matches!(
            &outcome,
            Outcome::Answered { response, surplus: false } if !response.closes()
        );
        match keeps {
            true => self.keep(Kept {
                connection,
                instance,
                process,
            }),
            // A caller that leaves closes its connection first.
            false => drop(connection),
        }
        self.end(&draft.id, outcome);
    }

    /// Notes a request that is about to be sent.
    fn note(&self, draft: &Draft, instance: usize, process: u32) -> Request {
        let (method, body) = match draft.kind {
            Kind::Job => ("POST", format!("work {}", draft.id).into_bytes()),
            _ => ("GET", Vec::new()),
        };
        let request = Request {
            kind: draft.kind,
            line: format!("{method} {}{}?a=%20b&c", prefix(draft.kind), draft.id),
            body,
            instance,
            process,
            sent: self.world.history.now(),
            patience: match draft.kind {
                Kind::Query => QUERY_PATIENCE,
                _ => PATIENCE,
            },
            end: None,
        };
        let mut record = self.world.history.record();
        record.requests.insert(draft.id.clone(), request.clone());
        request
    }

    fn end(&self, id: &Arc<str>, outcome: Outcome) {
        let now = self.world.history.now();
        if let Some(request) = self.world.history.record().requests.get_mut(id) {
            request.end = Some((now, outcome));
        }
    }
}

fn bytes(id: &str, request: &Request) -> Vec<u8> {
    let (method, target) = request.line.split_once(' ').unwrap_or_default();
    caller::request(method, HOST, target, id, request.patience, &request.body)
}

fn draw(rng: &mut impl Rng, number: u64) -> Draft {
    let kind = match rng.random_range(0..20) {
        0..9 => Kind::Query,
        9..13 => Kind::Fetch,
        13..17 => Kind::Job,
        _ => Kind::Version,
    };
    let leaves = kind != Kind::Job && rng.random_bool(LEFT_SHARE);
    Draft {
        id: Arc::from(format!("r{number:06}")),
        kind,
        leaves: leaves.then(|| Duration::from_millis(rng.random_range(LEFT_MS))),
        kept: rng.random_bool(KEPT_SHARE),
        choice: rng.random_range(0..usize::from(u16::MAX)),
    }
}
