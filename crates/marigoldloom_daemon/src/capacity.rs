//! How much of a service's traffic the new version of a move can carry at present.
//!
//! No instance knows the traffic of the whole tier, so the old version's slots stand for
//! it: operators size them for all of the service's traffic.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_platform::platform;
use marigoldloom_records::version_move;
use marigoldloom_routing::{health, topology};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;

use crate::config;
use crate::instance::{Engine, Moves};

/// Time between looks at the upstreams' health.
///
/// Slow replies of upstreams that became cold in between count against the new version.
const TICK: Duration = Duration::from_millis(250);

/// The part of a version that is a whole, in thousandths.
const WHOLE: u64 = 1_000;

/// Tells the version moves what the new versions can carry.
pub(crate) struct Watcher<P: platform::Platform> {
    pub(crate) rt: AsyncStd,
    pub(crate) engine: Engine<P>,
    pub(crate) moves: Moves<P>,
    pub(crate) view: Arc<Mutex<config::View>>,
}

impl<P: platform::Platform> Watcher<P> {
    /// Looks at the running moves for as long as the process runs.
    pub(crate) async fn run(self) {
        loop {
            self.look();
            self.rt.sleep(TICK).await;
        }
    }

    fn look(&self) {
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

/// The share of the slots of version `from` that the upstreams of version `to` offer at
/// present, in thousandths and at most 1,000.
///
/// A query takes a slot on every shard, so the shard with the fewest slots counts. A cold
/// upstream offers its cold slots: with none, a new version that is cold as a whole would
/// get no traffic and never become warm. An ejected upstream offers nothing.
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
    (offered * WHOLE)
        .checked_div(needed)
        .map_or(WHOLE, |share| share.min(WHOLE))
}

/// Whether a query on `version` must run on a cold upstream, because a shard has no other.
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

/// Slots on the shard that has the fewest.
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
