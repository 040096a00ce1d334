//! Estimates how much of a service's traffic the new version of a move can currently carry.
//!
//! No instance knows the traffic of the whole tier. The old version's slots serve as the estimate,
//! because operators size them for all traffic of the service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_platform::platform;
use marigoldloom_records::version_move;
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;

use crate::config;
use crate::instance::{Engine, Moves};

/// Time between two checks of the upstreams' health. Slow replies of upstreams that became cold
/// since the last check count against the new version.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// All of the traffic, in thousandths.
const FULL_PER_MILLE: u64 = 1_000;

/// Reports the capacity of the new versions to the running version moves.
pub(crate) struct Monitor<P: platform::Platform> {
    pub(crate) rt: AsyncStd,
    pub(crate) engine: Engine<P>,
    pub(crate) moves: Moves<P>,
    pub(crate) view: Arc<Mutex<config::View>>,
}

impl<P: platform::Platform> Monitor<P> {
    /// Updates the capacity of the running moves until the process ends.
    pub(crate) async fn run(self) {
        loop {
            self.update();
            self.rt.sleep(CHECK_PERIOD).await;
        }
    }

    fn update(&self) {
        let Some(topology) = self.engine.topology() else {
            return;
        };
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let is_running =
            |m: &&version_move::VersionMove| m.status.phase == version_move::Phase::Running;
        let running: Vec<_> = view.moves.values().filter(is_running).cloned().collect();
        drop(view);
        for record in running {
            if let Some(service) = topology.service(&record.service) {
                let health = |upstream: &str| self.engine.health(upstream);
                let share = per_mille(service, &record.from, &record.to, health);
                self.moves
                    .set_warm_capacity(&record.service, &record.to, share);
                let cold = is_cold(service, &record.to, health);
                self.moves.set_cold(&record.service, &record.to, cold);
            }
        }
    }
}

/// Returns the slots that the upstreams of version `to` currently offer, relative to the slots of
/// version `from`, in thousandths and at most 1,000.
///
/// A query takes a slot on every shard, so the shard with the fewest slots counts. A cold upstream
/// offers its cold slots: if it offered none, a new version with only cold upstreams would get no
/// traffic and never become warm. An ejected upstream offers no slots.
pub fn per_mille(
    service: &topology::ServiceView,
    from: &str,
    to: &str,
    health: impl Fn(&str) -> Option<health::View>,
) -> u64 {
    let needed = least_slots(service, from, |replica| replica.slots);
    let offered = least_slots(service, to, |replica| {
        offered_slots(replica, health(&replica.target.name))
    });
    (offered * FULL_PER_MILLE)
        .checked_div(needed)
        .map_or(FULL_PER_MILLE, |share| share.min(FULL_PER_MILLE))
}

/// Whether every query on `version` must run on a cold upstream, because some shard has no warm
/// one.
pub fn is_cold(
    service: &topology::ServiceView,
    version: &str,
    health: impl Fn(&str) -> Option<health::View>,
) -> bool {
    let warm = least_slots(service, version, |replica| {
        let cold = health(&replica.target.name).is_none_or(|view| view.cold);
        u32::from(!cold)
    });
    warm == 0
}

fn offered_slots(replica: &topology::Replica, health: Option<health::View>) -> u32 {
    match health {
        Some(view) if view.availability == health::Availability::Ready => replica.slots,
        Some(view) if view.availability == health::Availability::Cold => replica.cold_slots,
        Some(_) => 0,
        None => replica.cold_slots,
    }
}

/// Returns the number of slots on the shard with the fewest slots.
fn least_slots(
    service: &topology::ServiceView,
    version: &str,
    slots: impl Fn(&topology::Replica) -> u32,
) -> u64 {
    let snapshot = service.query_snapshot(version);
    let Some(shards) = snapshot.as_ref().and_then(|s| service.shards(s)) else {
        return 0;
    };
    let sum = |shard: u32| {
        let replicas = shards.replicas(shard).iter();
        replicas.map(|replica| u64::from(slots(replica))).sum()
    };
    (0..shards.total()).map(sum).min().unwrap_or_default()
}
