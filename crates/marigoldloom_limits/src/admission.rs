//! Admission control by tenant and priority class.
//!
//! An adaptive limit bounds the number of requests that run concurrently. Others wait in a
//! bounded queue, and those that can no longer finish before their deadline are refused. A free
//! slot goes to the tenant that has used the least of its share. `docs/admission.md` describes
//! the rules.

mod estimate;
mod limiter;
mod scheduler;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use derive_more::derive;
use marigoldloom_records::class;
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Settings of the admission control.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Settings {
    /// Weights of tenants; a tenant that isn't listed has weight 1.
    pub weights: BTreeMap<String, u32>,
    /// Maximum number of waiting requests, over all tenants.
    pub queue: usize,
    /// Bounds of the adaptive limit on running requests.
    pub running: Bounds,
}

/// Bounds of an adaptive limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Bounds {
    /// Minimum of the limit.
    pub least: u32,
    /// Initial value of the limit.
    pub initial: u32,
    /// Maximum of the limit.
    pub most: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights: BTreeMap::new(),
            queue: 1_000,
            running: Bounds::default(),
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            least: 4,
            initial: 32,
            most: 1_000,
        }
    }
}

/// The properties of a request that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Priority class of the request.
    pub class: class::Class,
    /// Time after which the answer is useless.
    pub deadline: Timestamp,
}

/// Error of a request that was not admitted and has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the request was not admitted: {reason}")]
pub struct Rejection {
    /// Why the request was not admitted.
    pub reason: Reason,
    /// Time from now after which a request of this tenant and class may be admitted, estimated
    /// from the time in which the queue drains.
    pub retry_after: Duration,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub enum Reason {
    /// The queue is full.
    #[display("the queue is full")]
    QueueFull,
    /// The request could not finish before its deadline.
    #[display("it can't finish before its deadline")]
    TooLate,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end, so its service time shows how loaded the upstreams are.
    Finished,
    /// It failed for lack of capacity: upstreams shed it or its deadline passed.
    Overloaded,
    /// It was cancelled or failed for a reason that is unrelated to capacity.
    Abandoned,
}

/// Numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub queued: usize,
    /// Current limit on running requests.
    pub limit: u32,
}

/// Decides which requests run. Clones share their state.
#[derive(Clone)]
pub struct Admission<R> {
    rt: R,
    scheduler: Arc<Mutex<scheduler::Scheduler>>,
}

impl<R: runtime::Runtime> Admission<R> {
    /// Creates an admission control without requests.
    pub fn new(rt: R, settings: Settings) -> Self {
        let scheduler = scheduler::Scheduler::new(settings);
        Self {
            rt,
            scheduler: Arc::new(Mutex::new(scheduler)),
        }
    }

    /// Changes the settings. Running requests keep their slots, and waiting ones stay queued even
    /// beyond a lower queue bound. A higher limit may grant some of them a slot at once. The new
    /// weights apply from the next grant or release of a slot.
    pub fn configure(&self, settings: Settings) {
        self.lock().configure(settings);
        self.dispatch();
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the request can't finish in time or the queue is full.
    pub async fn admit(&self, request: &Request<'_>) -> Result<Permit<R>, Rejection> {
        let ticket = self.enqueue(request)?;
        // Admits the request at once if a slot is free.
        self.dispatch();
        let latest_start = ticket.latest_start;
        let granted = runtime::timeout_at(&self.rt, latest_start, ticket.decision.recv()).await;
        // A grant that arrives at the same moment as the time limit is valid.
        let decision = match granted {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => match ticket.decision.try_recv() {
                Ok(decision) => decision,
                Err(_) => Err(self.lock().refuse_late(request.tenant, request.class)),
            },
        };
        self.permit(decision)
    }

    fn enqueue(&self, request: &Request<'_>) -> Result<Ticket<R>, Rejection> {
        let (sender, decision) = async_channel::bounded(1);
        let (id, latest_start) = self.lock().enqueue(request, sender, self.rt.now())?;
        Ok(Ticket {
            admission: self.clone(),
            id,
            latest_start,
            decision,
        })
    }

    fn permit(&self, decision: scheduler::Decision) -> Result<Permit<R>, Rejection> {
        decision.map(|grant| Permit {
            admission: self.clone(),
            grant,
            outcome: Outcome::Abandoned,
        })
    }

    /// Grants free slots to waiting requests.
    fn dispatch(&self) {
        self.lock().dispatch(self.rt.now());
    }

    fn lock(&self) -> MutexGuard<'_, scheduler::Scheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A waiting request; dropping it removes it from the queue.
struct Ticket<R: runtime::Runtime> {
    admission: Admission<R>,
    id: scheduler::TicketId,
    /// The request is refused if it has no slot by this time.
    latest_start: Timestamp,
    decision: Receiver<scheduler::Decision>,
}

impl<R: runtime::Runtime> Drop for Ticket<R> {
    fn drop(&mut self) {
        self.admission.lock().remove(&self.id);
        // Releases a grant that was not received.
        if let Ok(decision) = self.decision.try_recv() {
            drop(self.admission.permit(decision));
        }
    }
}

/// A slot for a running request, released on drop.
pub struct Permit<R: runtime::Runtime> {
    admission: Admission<R>,
    grant: scheduler::Grant,
    outcome: Outcome,
}

impl<R: runtime::Runtime> Permit<R> {
    /// Releases the slot and records how the request ended. A permit that is dropped without this
    /// counts as [`Outcome::Abandoned`].
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl<R: runtime::Runtime> Drop for Permit<R> {
    fn drop(&mut self) {
        let now = self.admission.rt.now();
        let mut scheduler = self.admission.lock();
        scheduler.finish(&self.grant, self.outcome, now);
        scheduler.dispatch(now);
    }
}
