//! Divides what replicas bear, and what operators allow, among the instances that send.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::view::View;
use marigoldloom_limits::allowance::Allowance;
use marigoldloom_query::engine::Engine;
use marigoldloom_query::hooks::Hooks;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_upstream::upstream::Upstream;

use crate::client::Client;
use crate::dialect::Dialect;
use crate::homes::Homes;

/// Part of a replica's connections, and of what it bears while it is cold, that its regular senders
/// use together, in percent.
const SENDERS_PART: f64 = 100.0;

/// Part that all other instances use together, in percent. They rarely send, while no regular
/// sender takes their requests.
const OTHERS_PART: f64 = 5.0;

/// Puts new replicas and new instances in force, with this instance's share of everything.
pub(crate) struct Sharing<R, D, H> {
    pub(crate) engine: Engine<R, Client<R, D>, H>,
    pub(crate) client: Client<R, D>,
    pub(crate) latest: LatestView,
    pub(crate) homes: Arc<Homes<R>>,
    pub(crate) allowance: Mutex<Allowance>,
}

impl<R: Runtime, D: Dialect, H: Hooks> Sharing<R, D, H>
where
    Client<R, D>: Upstream,
{
    /// Puts a new list of instances in force.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.homes.set_members(members);
        if let Some(view) = self.latest.get() {
            self.divide(&view);
        }
    }

    /// Puts what operators allow in force.
    pub(crate) fn set_allowance(&self, allowance: Allowance) {
        *self.allowance() = allowance;
        if let Some(view) = self.latest.get() {
            self.divide(&view);
        }
    }

    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts new routes and replicas in force.
    pub(crate) fn set_view(&self, view: View) {
        let view = Arc::new(view);
        self.homes.set_view(Arc::clone(&view));
        self.divide(&view);
        self.engine.apply(Arc::clone(&view.topology));
        self.latest.set(view);
    }

    fn divide(&self, view: &View) {
        let sender = |key: &Arc<str>| self.homes.sender(key);
        self.client.follow(&view.topology, |key, connections| {
            let part = sender(key).part_of(f64::from(connections), SENDERS_PART, OTHERS_PART);
            part as usize
        });
        let allowance = *self.allowance();
        for (key, service) in view.topology.services() {
            let sender = sender(key);
            let limits = allowance.limits(sender);
            let pace = sender.part_of(1.0, SENDERS_PART, OTHERS_PART);
            for part in service.parts() {
                self.engine.set_budget(part, limits);
                self.engine.set_cold_rate_share(part, pace);
            }
        }
    }
}
