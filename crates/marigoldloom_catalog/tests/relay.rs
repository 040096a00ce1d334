//! Tests how the platform's records reach instances that don't watch the platform.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_catalog::feed::{Batch, Feed, Revisions};
use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::relay::{self, Role, Roster};
use marigoldloom_catalog::source::{Changes, Kind, Listing, Record, Revision};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::virtual_runtime;
use support::fleet::{Fleet, NAMES};
use support::{FakePlatform, Fault, configuration, in_force, member, replica};

/// Time in which a new configuration must be in force on all instances.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(3);

/// Whether the instance `own` of `names` watches the platform while no instance fails.
fn is_watcher(own: &str, names: &[&str]) -> bool {
    let roster = Roster::new(member(own).candidate);
    let members: Vec<_> = names.iter().map(|name| member(name)).collect();
    roster.set_members(&members);
    roster.role(Timestamp::ZERO) == Role::Watcher
}

/// Runs `check` on a small fleet after its start.
fn run<F>(check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    run_seeded(1, check);
}

/// Like [`run`], with another seed.
fn run_seeded<F>(seed: u64, check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(seed, |rt| async move {
        check(Fleet::start(&rt, &NAMES).await).await;
    });
}

/// Runs `check` on a fleet with 217 instances in the failure domain, as in the target deployment.
fn run_large<F>(check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        let names: Vec<_> = (0..217).map(|i| format!("i{i}")).collect();
        check(Fleet::start(&rt, &names).await).await;
    });
}

/// Checks that the other instances get a new configuration in time while the platform leaves the
/// calls of the watching instances unanswered.
async fn check_unanswered_watchers(fleet: Fleet) {
    let unanswered = fleet.watchers.iter().cloned();
    fleet
        .platform
        .with_state(|s| s.unanswered.extend(unanswered));
    fleet
        .platform
        .set(Kind::Configuration, "main", Some(configuration(5)));
    fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
    let behind = fleet.behind(5);
    let others = behind
        .iter()
        .filter(|n| !fleet.watchers.iter().any(|o| &**o == **n));
    assert_eq!(others.count(), 0, "{behind:?}");
}

/// Checks that all instances get a new configuration in time while some are unreachable for polls,
/// and that later only the usual number of instances watches the platform.
async fn check_unreachable(fleet: &Fleet, unreachable: Vec<Arc<str>>) {
    fleet
        .network
        .unreachable
        .lock()
        .unwrap()
        .extend(unreachable);
    fleet
        .platform
        .set(Kind::Configuration, "main", Some(configuration(5)));
    fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
    assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    fleet.network.unreachable.lock().unwrap().clear();
    fleet.rt.sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
}

/// Guards against instances that are polled by all others of their failure domain: one exchange
/// takes about 500 bytes, and an instance may use 9 KB/s for control messages.
#[test]
fn no_instance_answers_a_whole_failure_domain() {
    const SPAN: Duration = Duration::from_secs(20);
    run_large(|fleet| async move {
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
        fleet.network.polls.lock().unwrap().clear();
        fleet.rt.sleep(SPAN).await;
        let most = fleet.network.polls.lock().unwrap().values().max().copied();
        let rate = f64::from(most.unwrap()) / SPAN.as_secs_f64();
        assert!(rate <= 18.0, "{rate} polls per second");
        fleet
            .platform
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(100)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    });
}

/// Guards against a failure domain that stays on an old configuration until its watches end,
/// because their connections are silently lost while the platform answers all other calls.
#[test]
fn silent_watches_begin_anew() {
    let names = ["a", "b", "c", "south-a", "south-b", "south-c"];
    virtual_runtime::block_on(1, move |rt| async move {
        let fleet = Fleet::start(&rt, &names).await;
        let mut version = 5;
        for domain in ["north", "south"] {
            let stalled = fleet
                .watchers
                .iter()
                .filter(|n| member(n).candidate.domain[..] == *domain);
            fleet.platform.with_state(|s| {
                for name in stalled {
                    *s.stalled.entry(Arc::clone(name)).or_default() += 1;
                }
            });
            let change = configuration(version);
            fleet
                .platform
                .set(Kind::Configuration, "main", Some(change));
            fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
            assert!(
                fleet.behind(version).is_empty(),
                "{:?}",
                fleet.behind(version)
            );
            version += 1;
        }
        // The new watches report changes.
        let change = configuration(version);
        fleet
            .platform
            .set(Kind::Configuration, "main", Some(change));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(
            fleet.behind(version).is_empty(),
            "{:?}",
            fleet.behind(version)
        );
        assert_eq!(fleet.watching(), 2 * relay::WATCHERS_PER_DOMAIN);
    });
}

/// Guards against comparisons of records that cause calls to the platform without a failure.
#[test]
fn changes_restart_no_watch() {
    run(|fleet| async move {
        fleet.platform.with_state(|s| s.list_calls = 0);
        for version in 5..25 {
            let change = configuration(version);
            fleet
                .platform
                .set(Kind::Configuration, "main", Some(change));
            fleet.rt.sleep(Duration::from_millis(370)).await;
        }
        assert_eq!(fleet.platform.with_state(|s| s.list_calls), 0);
    });
}

/// Guards against instances that get a change late because all polled instances, on every level of
/// the tree, are lost at once.
#[test]
fn changes_arrive_in_time_without_all_polled_instances() {
    run_large(|fleet| async move {
        let polled: Vec<_> = fleet
            .network
            .polls
            .lock()
            .unwrap()
            .keys()
            .cloned()
            .collect();
        assert!(polled.len() > 18, "{} instances are polled", polled.len());
        check_unreachable(&fleet, polled).await;
    });
}

/// Guards against instances that hear of a change late because others that they could poll are silent,
/// however many, and however long: they were asked two by two while the platform answered.
#[test]
fn changes_arrive_in_time_behind_silent_instances() {
    struct Case {
        instances: usize,
        /// Number of silent instances, the first ones that others poll.
        silent: usize,
        /// Time from the silence to the change.
        before: Duration,
    }
    let second = Duration::from_secs(1);
    let cases = [
        (6, 2),
        (6, 4),
        (16, 14),
        (60, 54),
        (217, 20),
        (217, 200),
        (217, 215),
    ];
    for (instances, silent) in cases {
        for before in [Duration::from_millis(10), second, 5 * second, 37 * second] {
            let case = Case {
                instances,
                silent,
                before,
            };
            virtual_runtime::block_on(1, |rt| async move {
                let names: Vec<_> = (0..case.instances).map(|i| format!("i{i}")).collect();
                let fleet = Fleet::start(&rt, &names).await;
                fleet.configure(4);
                rt.sleep(Duration::from_millis(200)).await;
                let silent: BTreeSet<_> = fleet.order().into_iter().take(case.silent).collect();
                for name in &silent {
                    fleet.processes[name].pause();
                }
                *fleet.network.silent.lock().unwrap() = silent.clone();
                rt.sleep(case.before).await;
                for version in [5, 6] {
                    fleet.configure(version);
                    rt.sleep(CONFIGURATION_DEADLINE).await;
                    let behind = fleet.behind(version);
                    let behind: Vec<_> = behind.iter().filter(|n| !silent.contains(**n)).collect();
                    assert!(
                        behind.is_empty(),
                        "{} of {} silent, change {version} after {:?}: {behind:?}",
                        case.silent,
                        case.instances,
                        case.before
                    );
                }
                // They come back, and only the usual number of instances calls the platform.
                fleet.network.silent.lock().unwrap().clear();
                silent
                    .iter()
                    .for_each(|name| fleet.processes[name].resume());
                rt.sleep(Duration::from_secs(75)).await;
                assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
            });
        }
    }
}

/// Guards against calls to the platform that grow with the number of instances while others are silent.
#[test]
fn silent_instances_cause_few_calls() {
    for (instances, silent) in [(16, 14), (217, 2), (217, 200)] {
        virtual_runtime::block_on(1, |rt| async move {
            let names: Vec<_> = (0..instances).map(|i| format!("i{i}")).collect();
            let fleet = Fleet::start(&rt, &names).await;
            let silent: BTreeSet<_> = fleet.order().into_iter().take(silent).collect();
            silent.iter().for_each(|name| fleet.processes[name].pause());
            *fleet.network.silent.lock().unwrap() = silent;
            fleet.platform.with_state(|s| s.list_calls = 0);
            rt.sleep(Duration::from_secs(60)).await;
            let lists = fleet.platform.with_state(|s| s.list_calls);
            // Each instance lists each kind once, and those that go on watching a second time.
            let allowed = 18 * 2 * Kind::ALL.len();
            assert!(
                lists as usize <= allowed,
                "{lists} of {allowed} lists, {instances} instances"
            );
        });
    }
}

/// Guards against instances on lower levels of the tree that stay on an old configuration when the
/// platform stops answering the watching instances.
#[test]
fn unanswered_watchers_of_a_large_fleet_are_replaced_in_time() {
    run_large(check_unanswered_watchers);
}

/// Guards against instances that get no records from others, or no changes, because one kind of records
/// can't be had anywhere.
#[test]
fn records_of_sound_kinds_reach_all_instances() {
    for kind in [Kind::Evacuations, Kind::Moves] {
        for fault in [Fault::Status(503), Fault::Malformed, Fault::Silence] {
            virtual_runtime::block_on(1, move |rt| async move {
                let platform = FakePlatform::new(rt.clone());
                platform.with_state(|s| s.faults.insert(kind, fault));
                let fleet = Fleet::start_on(platform, &rt, &NAMES).await;
                fleet.rt.sleep(Duration::from_secs(6)).await;
                assert!(fleet.behind(3).is_empty(), "{kind} {fault:?}");
                let change = configuration(5);
                fleet
                    .platform
                    .set(Kind::Configuration, "main", Some(change));
                fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
                assert!(fleet.behind(5).is_empty(), "{kind} {fault:?}");
                assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
            });
        }
    }
}

/// Guards against an instance that serves without records which other instances know.
#[test]
fn records_of_a_failing_kind_come_from_other_instances() {
    for fault in [Fault::Status(503), Fault::Malformed, Fault::Silence] {
        virtual_runtime::block_on(1, move |rt| async move {
            let platform = FakePlatform::new(rt.clone());
            platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
            let own = NAMES.into_iter().find(|name| is_watcher(name, &NAMES));
            let own = own.unwrap();
            platform.with_state(|s| {
                s.faulty = Some(Arc::from(own));
                s.faults.insert(Kind::Evacuations, fault);
            });
            let fleet = Fleet::start_on(platform, &rt, &NAMES).await;
            fleet.rt.sleep(Duration::from_secs(1)).await;
            let latest = &fleet.latest[own];
            let evacuated = Some((3, Vec::new()));
            assert_eq!(in_force(latest), evacuated, "{fault:?}");
            fleet.platform.set(Kind::Evacuations, "north", None);
            fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
            let returned = in_force(latest).map(|(_, replicas)| replicas.len());
            assert_eq!(returned, Some(2), "{fault:?}");
        });
    }
}

/// Guards against calls to the platform that grow with the number of instances, and against
/// instances that get a change late because they don't watch the platform.
#[test]
fn two_instances_watch_the_platform_for_all() {
    run(|fleet| async move {
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN);
        assert!(fleet.behind(3).is_empty(), "{:?}", fleet.behind(3));
        let lists = fleet.platform.with_state(|s| s.list_calls);
        assert_eq!(lists as usize, relay::WATCHERS_PER_DOMAIN * Kind::ALL.len());
        fleet
            .platform
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
    });
}

/// Guards against an instance with a small capacity that serves records to many others although
/// there are instances with a large one.
#[test]
fn strong_instances_watch_the_platform() {
    let watchers = |members: &[Member]| -> BTreeSet<_> {
        let is_watcher = |own: &&Member| {
            let roster = Roster::new(own.candidate.clone());
            roster.set_members(members);
            roster.role(Timestamp::ZERO) == Role::Watcher
        };
        let watchers = members.iter().filter(is_watcher);
        watchers.map(|m| Arc::clone(&m.candidate.name)).collect()
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

/// Guards against instances that stay on an old configuration because the platform stopped
/// answering the watching instances but keeps their connections.
#[test]
fn unanswered_watchers_are_replaced_in_time() {
    run(check_unanswered_watchers);
}

/// Guards against changes that are delayed by one lost instance.
#[test]
fn one_lost_watcher_delays_nothing() {
    run(|fleet| async move {
        fleet
            .network
            .unreachable
            .lock()
            .unwrap()
            .insert(Arc::clone(&fleet.watchers[0]));
        fleet
            .platform
            .set(Kind::Configuration, "main", Some(configuration(5)));
        fleet.rt.sleep(Duration::from_millis(50)).await;
        assert!(fleet.behind(5).is_empty(), "{:?}", fleet.behind(5));
        fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
        // The lost instance still watches the platform.
        assert_eq!(fleet.watching(), relay::WATCHERS_PER_DOMAIN + 1);
    });
}

/// Guards against a fleet that gets no changes after all watching instances are lost at once, and
/// against one in which all instances then watch the platform permanently.
#[test]
fn lost_watchers_are_replaced_in_time() {
    run(|fleet| async move {
        check_unreachable(&fleet, fleet.watchers.clone()).await;
    });
}

/// Guards against an instance that was paused or suspended and then serves its old records, or acts
/// on them, as if it were still connected to the platform.
#[test]
fn paused_instances_are_not_connected() {
    const PAUSE: Duration = Duration::from_secs(5);
    for is_watcher in [true, false] {
        run(move |fleet| async move {
            let chosen = |name: &&Arc<str>| fleet.watchers.contains(name) == is_watcher;
            let name = fleet.processes.keys().find(chosen).unwrap();
            let (process, feed) = (&fleet.processes[name], &fleet.network.feeds[name]);
            assert!(feed.is_live(fleet.rt.now()));
            process.pause();
            fleet.rt.sleep(PAUSE).await;
            assert!(!feed.is_live(fleet.rt.now()), "watcher: {is_watcher}");
            let known = Revisions::new();
            let update = feed.poll(&fleet.rt, &known, Duration::ZERO).await;
            assert_eq!(update, None, "watcher: {is_watcher}");
            process.resume();
            fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
            assert!(feed.is_live(fleet.rt.now()), "watcher: {is_watcher}");
        });
    }
}

/// Guards against a connection to the platform that seems to be interrupted while nothing changes.
#[test]
fn connection_lasts_without_changes() {
    run(|fleet| async move {
        for _ in 0..600 {
            fleet.rt.sleep(Duration::from_millis(100)).await;
            let now = fleet.rt.now();
            let feeds = fleet.network.feeds.iter();
            let lost: Vec<_> = feeds.filter(|(_, f)| !f.is_live(now)).collect();
            assert!(lost.is_empty(), "{lost:?}");
        }
    });
}

/// Guards against the removal of replicas whose records expired only because of an outage of the
/// platform, on instances that poll others.
#[test]
fn expired_replicas_have_a_grace_period_on_all_instances() {
    run(|fleet| async move {
        let replicas = |fleet: &Fleet| -> BTreeSet<usize> {
            let all = fleet.latest.values().filter_map(in_force);
            all.map(|(_, replicas)| replicas.len()).collect()
        };
        fleet.platform.with_state(|s| s.unavailable = true);
        for name in ["r1", "r2"] {
            fleet.platform.set(Kind::Replicas, name, None);
        }
        fleet.rt.sleep(Duration::from_secs(4)).await;
        fleet.platform.with_state(|s| s.unavailable = false);
        fleet.rt.sleep(Duration::from_millis(1_200)).await;
        assert_eq!(replicas(&fleet), BTreeSet::from([2]));
        fleet
            .platform
            .set(Kind::Replicas, "r1", Some(replica("r1", false)));
        fleet.rt.sleep(Duration::from_secs(4)).await;
        assert_eq!(replicas(&fleet), BTreeSet::from([1]));
    });
}

/// Guards against an outage in which every instance calls the platform as often as a single one,
/// which may list 80 times in 10 s: all together may make a quarter of that per instance.
#[test]
fn outage_causes_few_calls() {
    for seed in 1..=10 {
        run_seeded(seed, move |fleet| async move {
            fleet
                .platform
                .with_state(|s| (s.unavailable, s.list_calls) = (true, 0));
            fleet.rt.sleep(Duration::from_secs(10)).await;
            let lists = fleet.platform.with_state(|s| s.list_calls);
            let allowed = u32::try_from(NAMES.len()).unwrap() * 80 / 4;
            assert!(
                lists < allowed,
                "{lists} of {allowed} lists in 10 s, seed {seed}"
            );
        });
    }
}

fn revision(number: u64) -> Revision {
    Revision { era: 0, number }
}

fn listing(number: u64, names: &[&str]) -> Listing {
    let records = names.iter().map(|n| (Arc::from(*n), replica(n, false)));
    Listing {
        records: records.collect(),
        revision: revision(number),
        partial: false,
    }
}

/// Guards against removals that an instance never gets because it knows an older revision.
#[test]
fn feed_reports_removed_records() {
    virtual_runtime::block_on(1, |rt| async move {
        let feed = Feed::default();
        feed.set_connected(rt.now());
        feed.replace(Kind::Replicas, &listing(5, &["r1", "r2", "r3"]));
        feed.replace(Kind::Replicas, &listing(9, &["r1", "r3"]));
        let known = |number| Revisions::from([(Kind::Replicas, revision(number))]);
        let poll = |known| {
            let (rt, feed) = (rt.clone(), &feed);
            async move {
                let update = feed.poll(&rt, &known, Duration::ZERO).await;
                update.expect("a live feed").batches.remove(&Kind::Replicas)
            }
        };
        let removed = Changes {
            changes: vec![(Arc::from("r2"), None)],
            revision: revision(9),
        };
        assert_eq!(poll(known(5)).await, Some(Batch::Changes(removed)));
        assert_eq!(poll(known(9)).await, None);
        let all = Batch::Listing(listing(9, &["r1", "r3"]));
        assert_eq!(poll(known(4)).await, Some(all.clone()));
        assert_eq!(poll(Revisions::new()).await, Some(all));
    });
}
