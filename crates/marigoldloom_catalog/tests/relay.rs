//! Guards the way of the platform's records to instances that don't follow it themselves.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::{Batch, Feed, Revisions, Update};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::{self, Role, Roster};
use marigoldloom_catalog::source::{Changes, Kind, Listing, Revision};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use support::{Fake, configuration, member, replica, seen};

/// Time in which a configuration must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Instances of the failure domain.
const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Time in which a running deployment settles.
const SETTLED: Duration = Duration::from_secs(2);

/// The ways between instances.
#[derive(Clone)]
struct Mesh {
    rt: VirtualRuntime,
    feeds: Arc<BTreeMap<Arc<str>, Arc<Feed>>>,
    /// Instances that nobody reaches.
    lost: Arc<Mutex<BTreeSet<Arc<str>>>>,
    /// Questions to each instance.
    asked: Arc<Mutex<BTreeMap<Arc<str>, u32>>>,
}

impl relay::Peers for Mesh {
    async fn poll(
        &self,
        peer: &Member,
        known: &Revisions,
        wait: Duration,
    ) -> Result<Update, relay::Error> {
        self.rt.sleep(Duration::from_millis(1)).await;
        let name = &peer.candidate.name;
        *self
            .asked
            .lock()
            .unwrap()
            .entry(Arc::clone(name))
            .or_default() += 1;
        if self.lost.lock().unwrap().contains(name) {
            return Err(relay::Error::Unreachable);
        }
        let news = self.feeds[name].poll(&self.rt, known, wait).await;
        news.ok_or(relay::Error::Disconnected)
    }
}

/// Instances of one failure domain that follow one platform.
struct Fleet {
    rt: VirtualRuntime,
    fake: Fake,
    mesh: Mesh,
    latest: BTreeMap<Arc<str>, LatestView>,
    /// In the order in which they follow the platform.
    order: Vec<Arc<str>>,
}

impl Fleet {
    async fn start(rt: &VirtualRuntime, names: &[impl AsRef<str>]) -> Self {
        let fake = Fake::new(rt.clone());
        fake.set(Kind::Configuration, "main", Some(configuration(3)));
        for name in ["r1", "r2"] {
            fake.set(Kind::Replicas, name, Some(replica(name, false)));
        }
        let feeds = names
            .iter()
            .map(|n| (Arc::from(n.as_ref()), Arc::default()));
        let mesh = Mesh {
            rt: rt.clone(),
            feeds: Arc::new(feeds.collect()),
            lost: Arc::default(),
            asked: Arc::default(),
        };
        let members: Vec<_> = names.iter().map(|n| member(n.as_ref())).collect();
        let mut latest = BTreeMap::new();
        let mut order = Vec::new();
        for own in &members {
            let name = &own.candidate.name;
            let roster = Roster::new(own.candidate.clone());
            roster.set_members(&members);
            if roster.role(rt.now()) == Role::Watcher {
                order.push(Arc::clone(name));
            }
            let sources = Sources {
                platform: fake.seen_by(name),
                peers: mesh.clone(),
                roster: Arc::new(roster),
                feed: Arc::clone(&mesh.feeds[name]),
            };
            let place = Place {
                domain: Arc::from("north"),
                regions: BTreeMap::new(),
            };
            let views = LatestView::default();
            latest.insert(Arc::clone(name), views.clone());
            let apply = move |view| views.set(Arc::new(view));
            rt.spawn(follower::follow(rt.clone(), sources, place, apply));
        }
        rt.sleep(SETTLED).await;
        Self {
            rt: rt.clone(),
            fake,
            mesh,
            latest,
            order,
        }
    }

    /// Instances that don't have `version` in force.
    fn behind(&self, version: u64) -> Vec<&str> {
        let old = |latest: &LatestView| seen(latest).is_none_or(|(known, _)| known < version);
        let behind = self.latest.iter().filter(|(_, latest)| old(latest));
        behind.map(|(name, _)| &**name).collect()
    }

    /// Instances that hold a watch at the platform.
    fn watching(&self) -> usize {
        let held = self.fake.with(|s| s.held.clone());
        held.values().filter(|count| **count > 0).count()
    }
}

/// Runs `check` against a fleet that has settled.
fn run<F>(check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        check(Fleet::start(&rt, &NAMES).await).await;
    });
}

/// Runs `check` against a fleet with as many instances in the failure domain as the target has.
fn run_large<F>(check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        let names: Vec<_> = (0..217).map(|i| format!("i{i}")).collect();
        check(Fleet::start(&rt, &names).await).await;
    });
}

/// Silences the platform towards the instances that follow it; the others must get a new
/// configuration in time.
async fn replaces_silenced_watchers(fleet: Fleet) {
    let silenced = fleet.order.iter().cloned();
    fleet.fake.with(|s| s.silenced.extend(silenced));
    fleet
        .fake
        .set(Kind::Configuration, "main", Some(configuration(5)));
    fleet.rt.sleep(IN_FORCE).await;
    let behind = fleet.behind(5);
    let others = behind
        .iter()
        .filter(|n| !fleet.order.iter().any(|o| &**o == **n));
    assert_eq!(others.count(), 0, "{behind:?}");
}

/// Makes instances unreachable for a while; all must get a new configuration in time, and in the
/// end few follow the platform.
async fn replaces_lost(fleet: &Fleet, lost: Vec<Arc<str>>) {
    fleet.mesh.lost.lock().unwrap().extend(lost);
    fleet
        .fake
        .set(Kind::Configuration, "main", Some(configuration(5)));
    fleet.rt.sleep(IN_FORCE).await;
    assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    fleet.mesh.lost.lock().unwrap().clear();
    fleet.rt.sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
}

/// Guards against instances that answer all others of their failure domain: one exchange takes
/// about 500 bytes, and control may take 9 KB/s.
#[test]
fn no_instance_answers_a_whole_failure_domain() {
    const SPAN: Duration = Duration::from_secs(20);
    run_large(|fleet| async move {
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
        fleet.mesh.asked.lock().unwrap().clear();
        fleet.rt.sleep(SPAN).await;
        let most = fleet.mesh.asked.lock().unwrap().values().max().copied();
        let rate = f64::from(most.unwrap()) / SPAN.as_secs_f64();
        assert!(rate <= 18.0, "{rate} questions a second");
        fleet
            .fake
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(100)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    });
}

/// Guards against a failure domain that stays on an old configuration until its watches end,
/// because their connections fell silent while the platform answers all other calls.
#[test]
fn silent_watches_begin_anew() {
    let names = ["a", "b", "c", "south-a", "south-b", "south-c"];
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = Fleet::start(&rt, &names).await;
        let mut version = 5;
        for domain in ["north", "south"] {
            let silent = fleet
                .order
                .iter()
                .filter(|n| member(n).candidate.domain[..] == *domain);
            fleet.fake.with(|s| {
                for name in silent {
                    *s.deaf.entry(Arc::clone(name)).or_default() += 1;
                }
            });
            let change = configuration(version);
            fleet.fake.set(Kind::Configuration, "main", Some(change));
            fleet.rt.sleep(IN_FORCE).await;
            assert!(
                fleet.behind(version).is_empty(),
                "{:?}",
                fleet.behind(version)
            );
            version += 1;
        }
        // The watches report again.
        let change = configuration(version);
        fleet.fake.set(Kind::Configuration, "main", Some(change));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(
            fleet.behind(version).is_empty(),
            "{:?}",
            fleet.behind(version)
        );
        assert_eq!(fleet.watching(), 2 * relay::WATCHERS_PER_DOMAIN);
    });
}

/// Guards against comparisons of records that cost calls to the platform while all is well.
#[test]
fn changes_begin_no_watch_anew() {
    run(|fleet| async move {
        fleet.fake.with(|s| s.lists = 0);
        for version in 5..25 {
            let change = configuration(version);
            fleet.fake.set(Kind::Configuration, "main", Some(change));
            fleet.rt.sleep(Duration::from_millis(370)).await;
        }
        assert_eq!(fleet.fake.with(|s| s.lists), 0);
    });
}

/// Guards against instances that learn of a change late because all those that they ask, and
/// those that these ask, are lost at once.
#[test]
fn lost_levels_delay_little() {
    run_large(|fleet| async move {
        let asked: Vec<_> = fleet.mesh.asked.lock().unwrap().keys().cloned().collect();
        assert!(asked.len() > 18, "{} are asked", asked.len());
        replaces_lost(&fleet, asked).await;
    });
}

/// Guards against instances far from those that follow the platform that stay on an old
/// configuration when the platform falls silent towards these.
#[test]
fn silenced_watchers_of_many_are_replaced_in_time() {
    run_large(replaces_silenced_watchers);
}

/// Guards against calls to the platform that grow with the number of instances, and against
/// instances that learn of a change late because they don't ask the platform.
#[test]
fn two_instances_follow_the_platform_for_all() {
    run(|fleet| async move {
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
        assert!(fleet.behind(3).is_empty(), "{:?}", fleet.behind(3));
        let lists = fleet.fake.with(|s| s.lists);
        assert_eq!(lists as usize, relay::WATCHERS_PER_DOMAIN * Kind::ALL.len());
        fleet
            .fake
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    });
}

/// Guards against records that many instances get over the link of a weak one while there are
/// strong ones.
#[test]
fn strong_instances_follow_the_platform() {
    let watchers = |members: &[Member]| -> BTreeSet<_> {
        let first = |own: &&Member| {
            let roster = Roster::new(own.candidate.clone());
            roster.set_members(members);
            roster.role(Timestamp::ZERO) == Role::Watcher
        };
        let first = members.iter().filter(first);
        first.map(|m| Arc::clone(&m.candidate.name)).collect()
    };
    let mut members = NAMES.map(member);
    let weak = watchers(&members);
    let mut strong = BTreeSet::new();
    for member in &mut members {
        if !weak.contains(&member.candidate.name) && strong.len() < relay::WATCHERS_PER_DOMAIN {
            member.capacity *= 4.0;
            strong.insert(Arc::clone(&member.candidate.name));
        }
    }
    assert_eq!(watchers(&members), strong);
}

/// Guards against instances that stay on an old configuration because the platform has fallen
/// silent towards the instances that follow it, whose connections it keeps.
#[test]
fn silenced_watchers_are_replaced_in_time() {
    run(replaces_silenced_watchers);
}

/// Guards against news that wait for an instance that is lost.
#[test]
fn one_lost_watcher_delays_nothing() {
    run(|fleet| async move {
        fleet
            .mesh
            .lost
            .lock()
            .unwrap()
            .insert(Arc::clone(&fleet.order[0]));
        fleet
            .fake
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
        fleet.rt.sleep(IN_FORCE).await;
        // The lost one still follows the platform itself.
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN + 1);
    });
}

/// Guards against a fleet that stays without news when all of its sources are lost at once, and
/// against one in which everybody then asks the platform for good.
#[test]
fn lost_watchers_are_replaced_in_time() {
    run(|fleet| async move {
        replaces_lost(&fleet, fleet.order.clone()).await;
    });
}

/// Guards against replicas that instances give up during an outage of the platform because the
/// instances that follow it passed on that their records had lapsed.
#[test]
fn lapsed_records_have_time_to_come_back_everywhere() {
    run(|fleet| async move {
        let replicas = |fleet: &Fleet| -> BTreeSet<usize> {
            let all = fleet.latest.values().filter_map(seen);
            all.map(|(_, replicas)| replicas.len()).collect()
        };
        fleet.fake.with(|s| s.away = true);
        for name in ["r1", "r2"] {
            fleet.fake.set(Kind::Replicas, name, None);
        }
        fleet.rt.sleep(Duration::from_secs(4)).await;
        fleet.fake.with(|s| s.away = false);
        fleet.rt.sleep(Duration::from_millis(1_200)).await;
        assert_eq!(replicas(&fleet), BTreeSet::from([2]));
        fleet
            .fake
            .set(Kind::Replicas, "r1", Some(replica("r1", false)));
        fleet.rt.sleep(Duration::from_secs(4)).await;
        assert_eq!(replicas(&fleet), BTreeSet::from([1]));
    });
}

/// Guards against a platform that is away and asked by every instance as often as by a lone one,
/// which may list 80 times in 10 s: all together make at most a quarter of that.
#[test]
fn outage_costs_few_calls() {
    run(|fleet| async move {
        fleet.fake.with(|s| (s.away, s.lists) = (true, 0));
        fleet.rt.sleep(Duration::from_secs(10)).await;
        let lists = fleet.fake.with(|s| s.lists);
        let allowed = u32::try_from(NAMES.len()).unwrap() * 80 / 4;
        assert!(lists < allowed, "{lists} of {allowed} lists in 10 s");
    });
}

fn listing(revision: u64, names: &[&str]) -> Listing {
    let records = names.iter().map(|n| (Arc::from(*n), replica(n, false)));
    Listing {
        records: records.collect(),
        revision: Revision(revision),
    }
}

/// Guards against removals that an instance never learns of because it knows an older revision.
#[test]
fn feed_tells_what_was_removed() {
    virtual_runtime::block_on(1, |rt| async move {
        let feed = Feed::default();
        feed.set_live(true);
        feed.replace(Kind::Replicas, &listing(5, &["r1", "r2", "r3"]));
        feed.replace(Kind::Replicas, &listing(9, &["r1", "r3"]));
        let known = |revision| Revisions::from([(Kind::Replicas, Revision(revision))]);
        let poll = |known| {
            let (rt, feed) = (rt.clone(), &feed);
            async move {
                let news = feed.poll(&rt, &known, Duration::ZERO).await;
                news.expect("a live feed").batches.remove(&Kind::Replicas)
            }
        };
        let removed = Changes {
            changes: vec![(Arc::from("r2"), None)],
            revision: Revision(9),
        };
        assert_eq!(poll(known(5)).await, Some(Batch::Changes(removed)));
        assert_eq!(poll(known(9)).await, None);
        let all = Batch::Listing(listing(9, &["r1", "r3"]));
        assert_eq!(poll(known(4)).await, Some(all.clone()));
        assert_eq!(poll(Revisions::new()).await, Some(all));
    });
}
