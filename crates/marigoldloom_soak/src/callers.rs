//! Open-loop callers, which reuse connections until an instance closes them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::{future, task};
use marigoldloom_standin::users::caller::{self, Connection};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::balancer::Balancer;
use crate::deployment::{Deployment, HOST, path_prefix};
use crate::history::{Outcome, Request, RequestKind};
use crate::replicas::CRASH_MARK;

/// Time until the deadline of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time until the deadline of any other request.
const DEFAULT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the deadline from which a request counts as overdue.
const OVERDUE_GRACE: Duration = Duration::from_millis(1_500);

/// Share of the requests that reuse an idle connection if there is one.
const REUSE_SHARE: f64 = 0.6;

/// Maximum number of idle connections.
const IDLE_LIMIT: usize = 32;

/// Share of the idempotent requests that their callers cancel by closing the connection.
const CANCEL_SHARE: f64 = 0.04;

/// Milliseconds from the sending of a request to its cancellation.
const CANCEL_AFTER_MS: std::ops::Range<u64> = 1..60;

/// An open connection without a pending request.
struct IdleConnection {
    connection: Connection,
    instance: usize,
    process: u32,
}

/// The callers of a deployment. Clones share the idle connections.
#[derive(Clone)]
pub struct Callers {
    deployment: Arc<Deployment>,
    balancer: Balancer,
    idle: Arc<Mutex<VecDeque<IdleConnection>>>,
}

/// A request before it is sent.
struct Draft {
    id: Arc<str>,
    /// Path after the prefix of the route.
    path: Arc<str>,
    kind: RequestKind,
    /// When its caller cancels it. `None` if the caller waits for the answer.
    cancel_after: Option<Duration>,
    /// Whether to reuse an idle connection.
    reuse: bool,
    /// Random number that selects the instance of a new connection.
    choice: usize,
}

impl Callers {
    /// Creates callers that connect to the instances which `balancer` has in rotation.
    pub fn new(deployment: Arc<Deployment>, balancer: Balancer) -> Self {
        Self {
            deployment,
            balancer,
            idle: Arc::default(),
        }
    }

    /// Sends requests as a Poisson process with a mean of `rate` per second. Runs until dropped.
    pub async fn run(self, seed: u64, rate: f64) {
        let mut rng = StdRng::seed_from_u64(seed);
        for number in 0_u64.. {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            task::sleep(Duration::from_secs_f64(gap)).await;
            let draft = draw_request(&mut rng, number);
            task::spawn(self.clone().send(draft));
        }
    }

    /// Sends the same request, which crashes the replicas that run it, `count` times to instances in
    /// turn.
    pub(crate) async fn crash_replicas(
        &self,
        kind: RequestKind,
        name: &str,
        count: u32,
        gap: Duration,
    ) {
        let path: Arc<str> = Arc::from(format!("{}{name}", &CRASH_MARK[1..]));
        for number in 0..count {
            let draft = Draft {
                id: Arc::from(format!("c{name}{number:04}")),
                path: Arc::clone(&path),
                kind,
                cancel_after: None,
                reuse: false,
                choice: usize::try_from(number).unwrap_or(0),
            };
            task::spawn(self.clone().send(draft));
            task::sleep(gap).await;
        }
    }

    /// Sends `count` requests whose ids begin with `prefix` to instances in turn.
    pub(crate) async fn burst(&self, kind: RequestKind, prefix: &str, count: u32, gap: Duration) {
        for number in 0..count {
            let id: Arc<str> = Arc::from(format!("{prefix}{number:04}"));
            let draft = Draft {
                path: Arc::clone(&id),
                id,
                kind,
                cancel_after: None,
                reuse: true,
                choice: usize::try_from(number).unwrap_or(0),
            };
            task::spawn(self.clone().send(draft));
            task::sleep(gap).await;
        }
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop_front()
    }

    fn add_idle(&self, connection: IdleConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_LIMIT {
            idle.push_back(connection);
        }
    }

    async fn connect(&self, choice: usize) -> (usize, u32, Option<Connection>) {
        let members = self.balancer.in_rotation(self.deployment.members.len());
        let instance = members[choice % members.len()];
        let member = &self.deployment.members[instance];
        let process = member.instance().process_number();
        let connection = Connection::open(member.caller_proxy.address()).await.ok();
        (instance, process, connection)
    }

    async fn send(self, draft: Draft) {
        let kept = draft.reuse.then(|| self.take_idle()).flatten();
        let (instance, process, connection) = match kept {
            Some(kept) => (kept.instance, kept.process, Some(kept.connection)),
            None => self.connect(draft.choice).await,
        };
        let request = self.record_sent(&draft, instance, process);
        let Some(mut connection) = connection else {
            return self.record_end(&draft.id, Outcome::Unreachable);
        };
        let wait_limit = draft
            .cancel_after
            .unwrap_or(request.timeout + OVERDUE_GRACE);
        let bytes = encode(&draft.id, &request);
        let exchange = connection.send(&bytes);
        let outcome = match future::timeout(wait_limit, exchange).await {
            Ok(Ok(response)) => Outcome::Answered {
                response,
                surplus: connection.has_extra_bytes(),
            },
            Ok(Err(_)) => Outcome::Lost,
            Err(_) if draft.cancel_after.is_some() => Outcome::Left,
            Err(_) => Outcome::Overdue,
        };
        let reusable = matches!(
            &outcome,
            Outcome::Answered { response, surplus: false } if !response.closes()
        );
        match reusable {
            true => self.add_idle(IdleConnection {
                connection,
                instance,
                process,
            }),
            // Closes the connection before the end of the request is recorded. The check of
            // cancelled requests counts from that time.
            false => drop(connection),
        }
        self.record_end(&draft.id, outcome);
    }

    /// Creates the request of `draft` and records it before it is sent.
    fn record_sent(&self, draft: &Draft, instance: usize, process: u32) -> Request {
        let (method, body) = match draft.kind {
            RequestKind::Job => ("POST", format!("work {}", draft.id).into_bytes()),
            _ => ("GET", Vec::new()),
        };
        let request = Request {
            kind: draft.kind,
            line: format!(
                "{method} {}{}?a=%20b&c",
                path_prefix(draft.kind),
                draft.path
            ),
            body,
            instance,
            process,
            sent_at: self.deployment.history.now(),
            timeout: match draft.kind {
                RequestKind::Query => QUERY_TIMEOUT,
                _ => DEFAULT_TIMEOUT,
            },
            end: None,
        };
        let mut observations = self.deployment.history.observations();
        observations
            .requests
            .insert(draft.id.clone(), request.clone());
        request
    }

    fn record_end(&self, id: &Arc<str>, outcome: Outcome) {
        let now = self.deployment.history.now();
        if let Some(request) = self.deployment.history.observations().requests.get_mut(id) {
            request.end = Some((now, outcome));
        }
    }
}

fn encode(id: &str, request: &Request) -> Vec<u8> {
    let (method, target) = request.line.split_once(' ').unwrap_or_default();
    caller::request(method, HOST, target, id, request.timeout, &request.body)
}

fn draw_request(rng: &mut impl Rng, number: u64) -> Draft {
    let kind = match rng.random_range(0..20) {
        0..9 => RequestKind::Query,
        9..13 => RequestKind::Fetch,
        13..17 => RequestKind::Job,
        _ => RequestKind::Version,
    };
    let cancels = kind != RequestKind::Job && rng.random_bool(CANCEL_SHARE);
    let id: Arc<str> = Arc::from(format!("r{number:06}"));
    Draft {
        path: Arc::clone(&id),
        id,
        kind,
        cancel_after: cancels.then(|| Duration::from_millis(rng.random_range(CANCEL_AFTER_MS))),
        reuse: rng.random_bool(REUSE_SHARE),
        choice: rng.random_range(0..usize::from(u16::MAX)),
    }
}
