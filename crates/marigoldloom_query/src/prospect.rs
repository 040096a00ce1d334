//! The replicas that a shard's part may go to.

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
use crate::shard::{Query, Tries};

/// Where a subquery may go at present.
pub(crate) enum Outlook {
    Chosen(attempt::Choice),
    Wait(Reason, Vec<event_listener::EventListener>),
    Never(Reason),
}

/// A replica with what the choice needs.
pub(crate) struct Prospect {
    pub(crate) replica: Arc<topology::Replica>,
    health: Arc<health::Health>,
    view: health::View,
    cold: u32,
    sharers: u32,
    /// Least time from one request of this instance to the next, if the replica is paced.
    gap: Option<Duration>,
    /// Whether the pace leaves no request at the moment.
    paced: bool,
    until: Timestamp,
}

impl<R: Runtime, U: upstream::Upstream, H: Hooks> Query<'_, R, U, H> {
    /// Where a subquery may go after `tries`.
    pub(crate) fn outlook(&self, shard: u32, tries: &Tries) -> Outlook {
        let all = self.prospects(shard, &tries.gone);
        let fresh: Vec<_> = all
            .iter()
            .filter(|o| !tries.tried.contains(&o.replica.target.name))
            .collect();
        let options = match fresh.is_empty() {
            true => all.iter().collect(),
            false => fresh,
        };
        let Some(topology) = self.core.topology() else {
            return Outlook::Never(Reason::NoReplica);
        };
        let candidates: Vec<_> = options.iter().map(|o| o.candidate()).collect();
        let chosen = choice::choose(&candidates, || self.core.rt.random());
        match chosen {
            Some(i) => Outlook::Chosen(options[i].choice()),
            None => self.blocked(&options, &candidates, &topology),
        }
    }

    /// Why no candidate takes the subquery now.
    fn blocked(
        &self,
        prospects: &[&Prospect],
        candidates: &[choice::Candidate<'_>],
        topology: &topology::Topology,
    ) -> Outlook {
        let service = topology.service(&self.request.service);
        let held = service.is_some_and(|s| s.shards(&self.snapshot).is_some());
        let cold = candidates.iter().all(|c| c.view.cold);
        match candidates.is_empty() {
            true if held => Outlook::Never(Reason::NoReplica),
            true => Outlook::Never(Reason::SnapshotGone),
            false if choice::all_ejected(candidates) => Outlook::Never(Reason::Ejected),
            false => {
                let freed = prospects.iter().map(|p| p.health.slot_freed());
                let reason = if cold {
                    Reason::Cold
                } else {
                    Reason::Overloaded
                };
                Outlook::Wait(reason, freed.collect())
            }
        }
    }

    /// Whether a shard has several replicas and all of them are ready.
    pub(crate) fn is_spare(&self, shard: u32) -> bool {
        let prospects = self.prospects(shard, &BTreeSet::new());
        let ready = |p: &Prospect| p.view.availability == health::Availability::Ready;
        prospects.len() > 1 && prospects.iter().all(ready)
    }

    /// Whether a shard has a replica in the own failure domain.
    pub(crate) fn is_near(&self, shard: u32) -> bool {
        let prospects = self.prospects(shard, &BTreeSet::new());
        let near = |p: &Prospect| p.replica.proximity == topology::Proximity::Domain;
        prospects.iter().any(near)
    }

    /// The usable replicas of a shard in the topology in force, without `excluded`.
    pub(crate) fn prospects(&self, shard: u32, excluded: &BTreeSet<Arc<str>>) -> Vec<Prospect> {
        let topology = self.core.topology();
        let service = topology
            .as_ref()
            .and_then(|t| t.service(&self.request.service));
        let shards = service.and_then(|s| s.shards(&self.snapshot));
        let replicas = shards.map_or(&[][..], |s| s.replicas(shard));
        let wanted = replicas
            .iter()
            .filter(|r| !excluded.contains(&r.target.name));
        wanted.filter_map(|r| self.prospect(shard, r)).collect()
    }

    fn prospect(&self, shard: u32, replica: &Arc<topology::Replica>) -> Option<Prospect> {
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
        let gap = pace.map(|pace| self.tracked(shard).own_gap(pace.interval));
        let paced = gap.is_some_and(|gap| {
            let fraction = || self.core.rt.random() as f64 / u64::MAX as f64;
            !self.core.paces.is_due(name, now, gap, fraction)
        });
        Some(Prospect {
            replica: Arc::clone(replica),
            health,
            view,
            cold: grant.map_or(0, |g| g.limit),
            sharers: self.service.sharers(),
            gap,
            paced,
            until: grant.map_or(self.deadline, |g| g.deadline),
        })
    }
}

impl Prospect {
    /// The replica as the choice sees it.
    pub(crate) fn candidate(&self) -> choice::Candidate<'_> {
        choice::Candidate {
            replica: &self.replica,
            view: self.view,
            cold_limit: self.cold,
            senders: self.sharers,
            throttled: self.paced,
        }
    }

    /// The replica once it is chosen.
    pub(crate) fn choice(&self) -> attempt::Choice {
        attempt::Choice {
            replica: Arc::clone(&self.replica),
            health: Arc::clone(&self.health),
            view: self.view,
            room: self.candidate().request_limit(),
            gap: self.gap,
            until: self.until,
        }
    }
}
