//! Selection of the replica that a subquery is sent to.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_routing::{choice, health, topology};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_upstream::upstream;

use crate::answer::Reason;
use crate::attempt;
use crate::hooks::Hooks;
use crate::shard::{AttemptHistory, Query};

/// Result of selecting a replica for a subquery.
pub(crate) enum Selection {
    Selected(attempt::SelectedReplica),
    /// No replica has capacity now. One of the listeners completes when a request on a replica
    /// ends and may leave room.
    Wait(Reason, Vec<event_listener::EventListener>),
    /// No replica can take the subquery; waiting doesn't help.
    Unavailable(Reason),
}

/// A replica with the state that the selection depends on, at one moment.
pub(crate) struct ReplicaView {
    pub(crate) replica: Arc<topology::Replica>,
    health: Arc<health::Health>,
    view: health::View,
    /// Requests that may run on the replica at a time while it is cold; zero without a lease.
    cold_limit: u32,
    /// Number of instances that send to the service's upstreams.
    senders: u32,
    /// Minimum time between two requests of this instance; `None` if no pace is in force.
    own_interval: Option<Duration>,
    /// Whether the next request of this instance isn't due yet.
    throttled: bool,
    /// Deadline of an attempt on this replica.
    deadline: Timestamp,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Query<'_, R, U, H> {
    /// Selects a replica for the next attempt. Replicas that were not tried yet come first, and of
    /// these the ones with the preferred version.
    pub(crate) fn select_replica(&self, shard: u32, history: &AttemptHistory) -> Selection {
        let all = self.replica_views(shard, &history.without_data);
        let filter = self.version_filter(shard, history.is_empty());
        let untried = |view: &&ReplicaView| !history.tried.contains(&view.replica.target.name);
        if filter.preferred.is_some() {
            let preferred = all.iter().filter(|view| filter.prefers(&view.replica));
            let preferred: Vec<_> = preferred.filter(untried).collect();
            let candidates: Vec<_> = preferred.iter().map(|view| view.candidate()).collect();
            match choice::choose(&candidates, || self.core.rt.random()) {
                Some(i) if !choice::all_ejected(&candidates) => {
                    return Selection::Selected(preferred[i].select());
                }
                _ => {}
            }
        }
        let allowed = all.iter().filter(|view| filter.allows(&view.replica));
        let allowed: Vec<_> = allowed.collect();
        let untried: Vec<_> = allowed.iter().copied().filter(untried).collect();
        let options = match untried.is_empty() {
            true => allowed,
            false => untried,
        };
        let Some(topology) = self.core.topology() else {
            return Selection::Unavailable(Reason::NoReplica);
        };
        let candidates: Vec<_> = options.iter().map(|view| view.candidate()).collect();
        let chosen = choice::choose(&candidates, || self.core.rt.random());
        match chosen {
            Some(i) => Selection::Selected(options[i].select()),
            None => self.wait_or_fail(&options, &candidates, &topology),
        }
    }

    /// Decides, when no candidate can be selected, whether to wait for capacity or to fail.
    fn wait_or_fail(
        &self,
        views: &[&ReplicaView],
        candidates: &[choice::Candidate<'_>],
        topology: &topology::Topology,
    ) -> Selection {
        let service = topology.service(&self.request.service);
        let held = service.is_some_and(|s| s.shards(&self.snapshot).is_some());
        let cold = candidates.iter().all(|c| c.view.cold);
        match candidates.is_empty() {
            true if held => Selection::Unavailable(Reason::NoReplica),
            true => Selection::Unavailable(Reason::SnapshotGone),
            false if choice::all_ejected(candidates) => {
                let reason = match choice::any_unwilling(candidates) {
                    true => Reason::Unwilling,
                    false => Reason::Ejected,
                };
                Selection::Unavailable(reason)
            }
            false => {
                let freed = views.iter().map(|view| view.health.slot_freed());
                let reason = if cold {
                    Reason::Cold
                } else {
                    Reason::Overloaded
                };
                Selection::Wait(reason, freed.collect())
            }
        }
    }

    /// Whether a crash leaves the shard a ready replica: it has at least two, and all are ready.
    pub(crate) fn can_lose_replica(&self, shard: u32) -> bool {
        let views = self.replica_views(shard, &BTreeSet::new());
        let ready = |view: &ReplicaView| view.view.availability == health::Availability::Ready;
        views.len() > 1 && views.iter().all(ready)
    }

    /// Whether the shard has a replica in this instance's failure domain.
    pub(crate) fn has_local_replica(&self, shard: u32) -> bool {
        let views = self.replica_views(shard, &BTreeSet::new());
        let local = |view: &ReplicaView| view.replica.distance == topology::Distance::Domain;
        views.iter().any(local)
    }

    /// Returns the usable replicas of a shard that an attempt after the first may use, except
    /// `excluded`.
    pub(crate) fn allowed_views(
        &self,
        shard: u32,
        excluded: &BTreeSet<Arc<str>>,
    ) -> Vec<ReplicaView> {
        let filter = self.version_filter(shard, false);
        let mut views = self.replica_views(shard, excluded);
        views.retain(|view| filter.prefers(&view.replica) || filter.allows(&view.replica));
        views
    }

    /// Returns the usable replicas of a shard in the current topology, except `excluded`.
    pub(crate) fn replica_views(
        &self,
        shard: u32,
        excluded: &BTreeSet<Arc<str>>,
    ) -> Vec<ReplicaView> {
        let topology = self.core.topology();
        let service = topology
            .as_ref()
            .and_then(|t| t.service(&self.request.service));
        let shards = service.and_then(|s| s.shards(&self.snapshot));
        let replicas = shards.map_or(&[][..], |s| s.replicas(shard));
        let included = replicas
            .iter()
            .filter(|r| !excluded.contains(&r.target.name));
        included
            .filter_map(|r| self.replica_view(shard, r))
            .collect()
    }

    fn replica_view(&self, shard: u32, replica: &Arc<topology::Replica>) -> Option<ReplicaView> {
        let name = &replica.target.name;
        let now = self.core.rt.now();
        let health = self.core.health.get(name)?;
        let view = health.view(now);
        let leases = self.core.hooks.leases();
        let grant = match view.cold {
            true => {
                let slots = replica.cold_slots;
                self.core
                    .ramps
                    .grant(leases, name, slots, now, self.deadline)
            }
            false => None,
        };
        let pace = replica.pace.filter(|pace| pace.end > now);
        let pace = pace.or_else(|| {
            let start = replica.start_pace?;
            let end = health.restarted_until(now, start.time)?;
            let interval = start.interval;
            Some(topology::Pace { interval, end })
        });
        if pace.is_none() && replica.start_pace.is_some() {
            self.core.pacer.forget(name);
        }
        let own_interval = pace.map(|pace| self.shard_service(shard).own_interval(pace.interval));
        let throttled = own_interval.is_some_and(|interval| {
            let fraction = || self.core.rt.random() as f64 / u64::MAX as f64;
            !self.core.pacer.is_due(name, now, interval, fraction)
        });
        Some(ReplicaView {
            replica: Arc::clone(replica),
            health,
            view,
            cold_limit: grant.map_or(0, |g| g.limit),
            senders: self.service.sender_count(),
            own_interval,
            throttled,
            deadline: grant.map_or(self.deadline, |g| g.deadline),
        })
    }
}

impl ReplicaView {
    /// Returns the replica as a candidate for [`choice::choose`].
    pub(crate) fn candidate(&self) -> choice::Candidate<'_> {
        choice::Candidate {
            replica: &self.replica,
            view: self.view,
            cold_limit: self.cold_limit,
            senders: self.senders,
            throttled: self.throttled,
        }
    }

    /// Returns the replica in the form needed for [`attempt::Reservation::reserve`].
    pub(crate) fn select(&self) -> attempt::SelectedReplica {
        attempt::SelectedReplica {
            replica: Arc::clone(&self.replica),
            health: Arc::clone(&self.health),
            view: self.view,
            request_limit: self.candidate().request_limit(),
            own_interval: self.own_interval,
            deadline: self.deadline,
        }
    }
}
