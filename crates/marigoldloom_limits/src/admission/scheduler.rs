//! Decides which waiting request gets the next free slot.
//!
//! Each tenant has a virtual time that grows with the time its requests run, divided by
//! the weights of tenant and class. The tenant with the least virtual time is next, so tenants
//! that always have requests waiting get slots in proportion to their weights.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use marigoldloom_records::class::Class;
use marigoldloom_runtime::time::Timestamp;

use super::estimate::Estimate;
use super::limiter::Limiter;
use super::{Load, Outcome, Reason, Rejection, Request, Settings};

/// While a tenant's requests wait in several classes, one of this many slots that the tenant gets
/// goes to the least urgent class, so that no class starves.
const LEAST_URGENT_PERIOD: u32 = 8;

/// Part of the slots that bulk requests may take, in tenths. They run long, and if they took every
/// slot, an interactive request would have to wait for one of them to end.
const BULK_TENTHS: u32 = 9;

/// Minimum `retry_after`, so that a caller doesn't retry immediately.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Idle tenants are removed once in this many requests.
const SWEEP_PERIOD: u64 = 1_024;

/// Virtual nanoseconds per nanosecond at weights of 1. It is divisible by each class weight.
const VIRTUAL_SCALE: u64 = 4;

/// Returns the weight of a class in the shares between tenants.
const fn class_weight(class: Class) -> u64 {
    match class {
        Class::Interactive => 4,
        Class::Standard => 2,
        Class::Bulk => 1,
    }
}

/// Returns the virtual time, in virtual nanoseconds, by which a request of this class yields to an
/// interactive one of another tenant. Short bursts of urgent requests go first, but the wait behind
/// them is bounded.
const fn class_delay(class: Class) -> u64 {
    const VIRTUAL_SECOND: u64 = 1_000_000_000;
    match class {
        Class::Interactive => 0,
        Class::Standard => VIRTUAL_SECOND,
        Class::Bulk => 4 * VIRTUAL_SECOND,
    }
}

/// A grant or a rejection.
pub(super) type Decision = Result<Grant, Rejection>;

/// A slot that was granted to a request.
#[derive(Debug)]
pub(super) struct Grant {
    tenant: Arc<str>,
    class: Class,
    granted_at: Timestamp,
    /// Virtual time that the tenant was charged in advance, for the estimated service time.
    charged: u64,
}

/// Identifies a waiting request.
#[derive(Debug)]
pub(super) struct TicketId {
    tenant: Arc<str>,
    class: Class,
    number: u64,
}

struct Waiter {
    /// Latest time for the request to start.
    latest_start: Timestamp,
    sender: Sender<Decision>,
}

/// Waiting requests of one class by number, in the order of arrival.
type Queue = BTreeMap<u64, Waiter>;

#[derive(Default)]
struct Tenant {
    weight: u64,
    virtual_time: u64,
    running: u32,
    /// Slots granted in a row while requests waited in several classes.
    picks: u32,
    queues: [Queue; Class::ALL.len()],
}

impl Tenant {
    fn queued(&self) -> usize {
        self.queues.iter().map(Queue::len).sum()
    }

    fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    const fn weight(&self) -> u64 {
        self.weight
    }

    /// Returns the classes with waiting requests, most urgent first; without bulk unless
    /// `allow_bulk`.
    fn waiting_classes(&self, allow_bulk: bool) -> impl DoubleEndedIterator<Item = Class> {
        let allowed = move |class: &Class| allow_bulk || *class != Class::Bulk;
        let waiting = |class: &Class| !self.queues[*class as usize].is_empty();
        Class::ALL.into_iter().filter(allowed).filter(waiting)
    }

    /// Returns the class that gets the tenant's next slot.
    fn next_class(&self, allow_bulk: bool) -> Option<Class> {
        match self.picks % LEAST_URGENT_PERIOD == LEAST_URGENT_PERIOD - 1 {
            true => self.waiting_classes(allow_bulk).next_back(),
            false => self.waiting_classes(allow_bulk).next(),
        }
    }

    /// Returns the virtual time by which the tenant's most urgent request is ranked among tenants;
    /// none if no request waits.
    fn rank(&self, allow_bulk: bool) -> Option<u64> {
        let class = self.waiting_classes(allow_bulk).next()?;
        Some(self.virtual_time.saturating_add(class_delay(class)))
    }

    /// Returns the virtual time to charge for a service time of `time`.
    fn charge(&self, class: Class, time: Duration) -> u64 {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        nanos.saturating_mul(VIRTUAL_SCALE) / (self.weight() * class_weight(class))
    }
}

pub(super) struct Scheduler {
    settings: Settings,
    limiter: Limiter,
    estimates: [Estimate; Class::ALL.len()],
    tenants: BTreeMap<Arc<str>, Tenant>,
    running: u32,
    bulk_running: u32,
    queued: usize,
    /// Number of the latest request that was queued.
    last_number: u64,
    /// Minimum virtual time of the tenants with running or waiting requests; never decreases. A
    /// tenant that was idle starts from here, so that it gains nothing by having been idle.
    virtual_now: u64,
}

impl Scheduler {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            limiter: Limiter::new(settings.running),
            settings,
            estimates: Default::default(),
            tenants: BTreeMap::new(),
            running: 0,
            bulk_running: 0,
            queued: 0,
            last_number: 0,
            virtual_now: 0,
        }
    }

    pub(super) fn configure(&mut self, settings: Settings) {
        self.limiter.configure(settings.running);
        for (name, tenant) in &mut self.tenants {
            tenant.weight = weight(&settings, name);
        }
        self.settings = settings;
    }

    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queued,
            limit: self.limiter.limit(),
        }
    }

    /// Queues a request; returns its ticket and the latest time for it to start, or a rejection if
    /// it can't finish in time. If the queue is full, it or another request is refused.
    pub(super) fn enqueue(
        &mut self,
        request: &Request<'_>,
        sender: Sender<Decision>,
        now: Timestamp,
    ) -> Result<(TicketId, Timestamp), Rejection> {
        let class = request.class;
        // While a slot is free the estimate is not used, neither for this check nor for the latest
        // start: an estimate that is too high only falls again when requests run.
        let free = self.queued == 0 && self.running < self.limiter.limit();
        let service_time = match free && now < request.deadline {
            true => Duration::ZERO,
            false => self.estimates[class as usize].upper(),
        };
        let late = |s: &Self| {
            now + s.estimated_wait(request.tenant, class) + service_time > request.deadline
        };
        // If the refusal cancels a probe, the limit rises and the request may be in time after all.
        if late(self) && (!self.limiter.record_refusal() || late(self)) {
            return Err(self.late_rejection(request.tenant, class));
        }
        if self.queued >= self.settings.queue {
            self.make_room(request)?;
        }
        let latest_start = now + request.deadline.since(now).saturating_sub(service_time);
        self.last_number += 1;
        let number = self.last_number;
        if number.is_multiple_of(SWEEP_PERIOD) {
            self.remove_idle_tenants();
        }
        let name = self.intern_tenant(request.tenant);
        let virtual_now = self.virtual_now;
        let tenant = self.tenants.entry(Arc::clone(&name)).or_default();
        if tenant.is_idle() {
            tenant.virtual_time = tenant.virtual_time.max(virtual_now);
        }
        tenant.queues[class as usize].insert(
            number,
            Waiter {
                latest_start,
                sender,
            },
        );
        self.queued += 1;
        let ticket = TicketId {
            tenant: name,
            class,
            number,
        };
        Ok((ticket, latest_start))
    }

    /// Returns the shared name of the tenant, and adds the tenant if it is new.
    fn intern_tenant(&mut self, name: &str) -> Arc<str> {
        if let Some((name, _)) = self.tenants.get_key_value(name) {
            return Arc::clone(name);
        }
        let key: Arc<str> = name.into();
        let tenant = Tenant {
            weight: weight(&self.settings, name),
            ..Tenant::default()
        };
        self.tenants.insert(Arc::clone(&key), tenant);
        key
    }

    /// Removes a request from the queue, if it still waits.
    pub(super) fn remove(&mut self, ticket: &TicketId) {
        let tenant = self.tenants.get_mut(&ticket.tenant);
        let queue = tenant.map(|tenant| &mut tenant.queues[ticket.class as usize]);
        if queue.is_some_and(|queue| queue.remove(&ticket.number).is_some()) {
            self.queued -= 1;
        }
    }

    /// Estimates the wait of a new request: the minimum of the time in which the whole queue
    /// drains, and the time in which the tenant's own share drains the requests before it.
    fn estimated_wait(&self, name: &str, class: Class) -> Duration {
        let all = self
            .tenants
            .values()
            .map(|tenant| self.queued_time(tenant, None));
        let all = all.sum::<Duration>() / self.limiter.limit();
        match self.tenants.get(name) {
            Some(tenant) => all.min(self.tenant_wait(tenant, class)),
            None => Duration::ZERO,
        }
    }

    fn tenant_wait(&self, tenant: &Tenant, class: Class) -> Duration {
        let waiting = self.tenants.values().filter(|t| t.queued() > 0);
        let weights = waiting
            .map(Tenant::weight)
            .sum::<u64>()
            .max(tenant.weight());
        let share = f64::from(self.limiter.limit()) * ratio(tenant.weight(), weights);
        self.queued_time(tenant, Some(class))
            .div_f64(share.max(1.0))
    }

    /// Returns the estimated service time of the tenant's waiting requests. With `class`, only
    /// those at least as urgent are counted.
    fn queued_time(&self, tenant: &Tenant, class: Option<Class>) -> Duration {
        let counted = |c: &Class| class.is_none_or(|class| *c <= class);
        let classes = Class::ALL.into_iter().filter(counted);
        let time = |c: Class| {
            let count = u32::try_from(tenant.queues[c as usize].len()).unwrap_or(u32::MAX);
            self.estimates[c as usize].mean().saturating_mul(count)
        };
        classes.map(time).sum()
    }

    /// Refuses a request that waited until it could no longer finish before its deadline.
    pub(super) fn refuse_late(&mut self, tenant: &str, class: Class) -> Rejection {
        self.limiter.record_refusal();
        self.late_rejection(tenant, class)
    }

    fn late_rejection(&self, tenant: &str, class: Class) -> Rejection {
        self.rejection(Reason::TooLate, tenant, class)
    }

    fn rejection(&self, reason: Reason, tenant: &str, class: Class) -> Rejection {
        Rejection {
            reason,
            retry_after: self.estimated_wait(tenant, class).max(MIN_RETRY_AFTER),
        }
    }

    /// Makes room in the full queue: refuses the newest request in the least urgent class of the
    /// tenant whose queue is the longest for its weight. That may be the new request itself.
    fn make_room(&mut self, request: &Request<'_>) -> Result<(), Rejection> {
        let length = |tenant: &Tenant| tenant.queued() as u64 * 1_000 / tenant.weight();
        let longest = self.tenants.iter().max_by_key(|(_, t)| length(t));
        let full = self.rejection(Reason::QueueFull, request.tenant, request.class);
        let Some((name, tenant)) = longest else {
            return Err(full);
        };
        let Some(class) = tenant.waiting_classes(true).next_back() else {
            return Err(full);
        };
        if **name == *request.tenant && class <= request.class {
            return Err(full);
        }
        let name = Arc::clone(name);
        let rejection = self.rejection(Reason::QueueFull, &name, class);
        self.refuse_newest(&name, class, rejection);
        Ok(())
    }

    fn refuse_newest(&mut self, name: &Arc<str>, class: Class, rejection: Rejection) {
        let tenant = self.tenants.get_mut(name);
        let newest = tenant.and_then(|t| t.queues[class as usize].pop_last());
        if let Some((_, waiter)) = newest {
            self.queued -= 1;
            // The receiver may have been dropped meanwhile.
            let _ = waiter.sender.try_send(Err(rejection));
        }
    }

    /// Grants free slots to waiting requests.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        while self.running < self.limiter.limit() {
            let Some((name, class, waiter)) = self.take_next() else {
                return;
            };
            self.queued -= 1;
            match waiter.latest_start < now {
                true => {
                    let rejection = self.refuse_late(&name, class);
                    let _ = waiter.sender.try_send(Err(rejection));
                }
                false => self.grant(&name, class, &waiter, now),
            }
        }
        if self.queued > 0 {
            self.limiter.record_limit_reached();
        }
    }

    /// Removes the next request to run from its queue.
    fn take_next(&mut self) -> Option<(Arc<str>, Class, Waiter)> {
        let allow_bulk = self.bulk_running < (self.limiter.limit() * BULK_TENTHS / 10).max(1);
        let ranked = self.tenants.iter().filter_map(|(name, tenant)| {
            let rank = tenant.rank(allow_bulk)?;
            Some((rank, name))
        });
        let (_, name) = ranked.min()?;
        let name = Arc::clone(name);
        let tenant = self.tenants.get_mut(&name)?;
        let class = tenant.next_class(allow_bulk)?;
        let several = tenant.waiting_classes(allow_bulk).count() > 1;
        tenant.picks = if several { tenant.picks + 1 } else { 0 };
        let (_, waiter) = tenant.queues[class as usize].pop_first()?;
        Some((name, class, waiter))
    }

    fn grant(&mut self, name: &Arc<str>, class: Class, waiter: &Waiter, now: Timestamp) {
        let expected = self.estimates[class as usize].mean();
        let Some(tenant) = self.tenants.get_mut(name) else {
            return;
        };
        let charged = tenant.charge(class, expected);
        let grant = Grant {
            tenant: Arc::clone(name),
            class,
            granted_at: now,
            charged,
        };
        if waiter.sender.try_send(Ok(grant)).is_err() {
            return;
        }
        tenant.virtual_time += charged;
        tenant.running += 1;
        self.running += 1;
        self.bulk_running += u32::from(class == Class::Bulk);
        let active = self.tenants.values().filter(|t| !t.is_idle());
        let least = active.map(|t| t.virtual_time).min();
        self.virtual_now = self.virtual_now.max(least.unwrap_or(0));
    }

    /// Releases a slot and charges its tenant for the actual service time.
    pub(super) fn finish(&mut self, grant: &Grant, outcome: Outcome, now: Timestamp) {
        let time = now.since(grant.granted_at);
        self.running -= 1;
        self.bulk_running -= u32::from(grant.class == Class::Bulk);
        if let Some(tenant) = self.tenants.get_mut(&grant.tenant) {
            tenant.running -= 1;
            let charge = tenant.charge(grant.class, time);
            let virtual_time = tenant.virtual_time.saturating_add(charge);
            tenant.virtual_time = virtual_time.saturating_sub(grant.charged);
        }
        if outcome == Outcome::Finished {
            self.estimates[grant.class as usize].observe(time);
        }
        self.limiter.observe(grant.class, time, outcome);
        if self.running == 0 && self.queued == 0 {
            self.reset_tenants();
        }
    }

    /// Removes all tenants. Called when nothing runs or waits, because past use then no longer
    /// matters for the shares.
    fn reset_tenants(&mut self) {
        let times = self.tenants.values().map(|tenant| tenant.virtual_time);
        self.virtual_now = self.virtual_now.max(times.max().unwrap_or(0));
        self.tenants.clear();
    }

    /// Removes idle tenants that have not used more than their share.
    fn remove_idle_tenants(&mut self) {
        let now = self.virtual_now;
        self.tenants
            .retain(|_, tenant| !tenant.is_idle() || tenant.virtual_time > now);
    }
}

fn weight(settings: &Settings, name: &str) -> u64 {
    let weight = settings.weights.get(name).copied().unwrap_or(1);
    u64::from(weight.max(1))
}

#[expect(clippy::cast_precision_loss, reason = "weights are far below 2^53")]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
