//! Instances of one failure domain, the network between them, and the platform that they follow.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::{Feed, Revisions, Update};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::{self, Role, Roster};
use marigoldloom_catalog::source::Kind;
use marigoldloom_routing::home;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;

use super::{FakePlatform, configuration, in_force, member, replica};

/// Names of the instances of one failure domain.
pub(crate) const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Time after which all started instances have the platform's records.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Connects the instances' feeds and counts polls.
#[derive(Clone)]
pub(crate) struct PeerNetwork {
    rt: VirtualRuntime,
    pub(crate) feeds: Arc<BTreeMap<Arc<str>, Arc<Feed>>>,
    /// Instances that don't respond to polls.
    pub(crate) unreachable: Arc<Mutex<BTreeSet<Arc<str>>>>,
    /// Instances that get polls and don't respond.
    pub(crate) silent: Arc<Mutex<BTreeSet<Arc<str>>>>,
    /// Number of polls of each instance.
    pub(crate) polls: Arc<Mutex<BTreeMap<Arc<str>, u32>>>,
}

impl relay::Peers for PeerNetwork {
    async fn poll(
        &self,
        peer: &Member,
        known: &Revisions,
        wait: Duration,
    ) -> Result<Update, relay::Error> {
        self.rt.sleep(Duration::from_millis(1)).await;
        let name = &peer.candidate.name;
        *self
            .polls
            .lock()
            .unwrap()
            .entry(Arc::clone(name))
            .or_default() += 1;
        if self.unreachable.lock().unwrap().contains(name) {
            return Err(relay::Error::Unreachable);
        }
        let silent = || self.silent.lock().unwrap().contains(name);
        if silent() {
            self.rt.sleep(wait + relay::RESPONSE_TIMEOUT).await;
            return Err(relay::Error::Unreachable);
        }
        let sent_at = self.rt.now();
        let update = self.feeds[name].poll(&self.rt, known, wait).await;
        // It fell silent while it held the poll.
        if silent() {
            let end = sent_at + wait + relay::RESPONSE_TIMEOUT;
            self.rt.sleep(end.since(self.rt.now())).await;
            return Err(relay::Error::Unreachable);
        }
        update.ok_or(relay::Error::Disconnected)
    }
}

/// Returns the network of an instance that knows no other one.
pub(crate) fn no_peers(rt: &VirtualRuntime) -> PeerNetwork {
    PeerNetwork {
        rt: rt.clone(),
        feeds: Arc::default(),
        unreachable: Arc::default(),
        silent: Arc::default(),
        polls: Arc::default(),
    }
}

/// Running instances and the platform that they follow.
pub(crate) struct Fleet {
    pub(crate) rt: VirtualRuntime,
    pub(crate) platform: FakePlatform,
    pub(crate) network: PeerNetwork,
    pub(crate) latest: BTreeMap<Arc<str>, LatestView>,
    /// The process of each instance.
    pub(crate) processes: BTreeMap<Arc<str>, VirtualRuntime>,
    /// Instances that watch the platform while no instance fails.
    pub(crate) watchers: Vec<Arc<str>>,
}

impl Fleet {
    pub(crate) async fn start(rt: &VirtualRuntime, names: &[impl AsRef<str>]) -> Self {
        Self::start_on(FakePlatform::new(rt.clone()), rt, names).await
    }

    pub(crate) async fn start_on(
        platform: FakePlatform,
        rt: &VirtualRuntime,
        names: &[impl AsRef<str>],
    ) -> Self {
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        for name in ["r1", "r2"] {
            platform.set(Kind::Replicas, name, Some(replica(name, false)));
        }
        let feeds = names
            .iter()
            .map(|n| (Arc::from(n.as_ref()), Arc::default()));
        let network = PeerNetwork {
            rt: rt.clone(),
            feeds: Arc::new(feeds.collect()),
            unreachable: Arc::default(),
            silent: Arc::default(),
            polls: Arc::default(),
        };
        let members: Vec<_> = names.iter().map(|n| member(n.as_ref())).collect();
        let mut latest = BTreeMap::new();
        let (mut watchers, mut processes) = (Vec::new(), BTreeMap::new());
        for own in &members {
            let name = &own.candidate.name;
            let roster = Roster::new(own.candidate.clone());
            roster.set_members(&members);
            if roster.role(rt.now()) == Role::Watcher {
                watchers.push(Arc::clone(name));
            }
            let sources = Sources {
                platform: platform.for_instance(name),
                peers: network.clone(),
                roster: Arc::new(roster),
                feed: Arc::clone(&network.feeds[name]),
            };
            let place = Place {
                domain: Arc::from("north"),
                regions: BTreeMap::new(),
            };
            let views = LatestView::default();
            latest.insert(Arc::clone(name), views.clone());
            let apply = move |view| views.set(Arc::new(view));
            let process = rt.fork();
            process.spawn(follower::follow(process.clone(), sources, place, apply));
            processes.insert(Arc::clone(name), process);
        }
        rt.sleep(SETTLE_TIME).await;
        Self {
            rt: rt.clone(),
            platform,
            network,
            latest,
            processes,
            watchers,
        }
    }

    /// Writes a configuration to the platform.
    pub(crate) fn configure(&self, version: u64) {
        let record = Some(configuration(version));
        self.platform.set(Kind::Configuration, "main", record);
    }

    /// Returns the instances in the order in which others poll them: most are polled by those behind them.
    pub(crate) fn order(&self) -> Vec<Arc<str>> {
        let candidates: Vec<_> = self
            .latest
            .keys()
            .map(|name| member(name).candidate)
            .collect();
        let order = home::home_set("platform watchers", &candidates, candidates.len());
        order.into_iter().map(|candidate| candidate.name).collect()
    }

    /// Returns the instances that don't have `version` or a later one in force.
    pub(crate) fn behind(&self, version: u64) -> Vec<&str> {
        let old = |latest: &LatestView| in_force(latest).is_none_or(|(known, _)| known < version);
        let behind = self.latest.iter().filter(|(_, latest)| old(latest));
        behind.map(|(name, _)| &**name).collect()
    }

    /// Returns the number of instances with an open watch.
    pub(crate) fn watching(&self) -> usize {
        let held = self.platform.with_state(|s| s.watches.clone());
        held.values().filter(|count| **count > 0).count()
    }
}
