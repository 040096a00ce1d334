//! Divides the capacity of replicas, and the extra attempts that operators allow, among the
//! instances that send.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::source::Kind;
use marigoldloom_catalog::view::View;
use marigoldloom_limits::allowance::Allowance;
use marigoldloom_query::engine::Engine;
use marigoldloom_query::hooks::Hooks;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_upstream::upstream::Upstream;

use crate::client::Client;
use crate::dialect::Dialect;
use crate::exchange::PeerExchange;
use crate::homes::Homes;
use crate::moves::Moves;

/// Share of a replica's connections, and of the load that it can take while it is cold, that all
/// its regular senders use together, in percent.
const REGULAR_PERCENT: f64 = 100.0;

/// Share that all other instances use together, in percent. They send only while no regular
/// sender accepts their requests, which is rare.
const OTHERS_PERCENT: f64 = 5.0;

/// Applies changes of replicas, instances and allowances, and sets this instance's share of the
/// limits.
pub(crate) struct Sharing<R, D, H> {
    pub(crate) rt: R,
    pub(crate) engine: Engine<R, Client<R, D>, H>,
    pub(crate) client: Client<R, D>,
    pub(crate) latest: LatestView,
    pub(crate) homes: Arc<Homes<R>>,
    pub(crate) allowance: Mutex<Allowance>,
    pub(crate) exchange: PeerExchange<R>,
    pub(crate) moves: Moves<R>,
    /// Records that this instance serves to others.
    pub(crate) feed: Arc<Feed>,
}

impl<R: Runtime, D: Dialect, H: Hooks> Sharing<R, D, H>
where
    Client<R, D>: Upstream,
{
    /// Applies a new list of instances.
    pub(crate) fn set_members(&self, members: Vec<Member>) {
        self.exchange.set_members(&members);
        self.homes.set_members(members);
        if let Some(view) = self.latest.get() {
            self.apply_limits(&view);
        }
    }

    /// Applies the extra attempts that operators allow.
    pub(crate) fn set_allowance(&self, allowance: Allowance) {
        *self.allowance() = allowance;
        if let Some(view) = self.latest.get() {
            self.apply_limits(&view);
        }
    }

    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies new routes and replicas.
    pub(crate) fn set_view(&self, view: View) {
        let view = Arc::new(view);
        self.homes.set_view(Arc::clone(&view));
        self.apply_limits(&view);
        // An order must be in force before the first request reaches a replica of its version. The
        // phases that are due are written at the next regular tick.
        let live = self.feed.follows(self.rt.now(), Kind::Moves);
        self.moves.tick(&view.moves, live);
        self.engine.apply(Arc::clone(&view.topology));
        self.latest.set(view);
    }

    fn apply_limits(&self, view: &View) {
        let sender = |key: &Arc<str>| self.homes.sender(key);
        self.client
            .set_topology(&view.topology, |key, connections| {
                let share =
                    sender(key).part_of(f64::from(connections), REGULAR_PERCENT, OTHERS_PERCENT);
                share as usize
            });
        let allowance = *self.allowance();
        for (key, service) in view.topology.services() {
            let sender = sender(key);
            let limits = allowance.limits(sender);
            let cold_share = sender.part_of(1.0, REGULAR_PERCENT, OTHERS_PERCENT);
            for shard_service in service.shard_services() {
                self.engine.set_budget(shard_service, limits);
                self.engine.set_cold_rate_share(shard_service, cold_share);
            }
        }
    }
}
