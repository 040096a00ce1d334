//! Tests how instances go on after the platform has come back from an older copy.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::{Batch, Feed, Revisions};
use marigoldloom_catalog::fleet;
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::Roster;
use marigoldloom_catalog::source::{Changes, Kind, Listing, Record, Revision, Source};
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime;
use support::fleet::{Fleet, NAMES};
use support::{FakePlatform, Fault, configuration, in_force, member, replica};

/// Time in which a new configuration must be in force on all instances.
const CONFIGURATION_DEADLINE: Duration = Duration::from_secs(3);

/// Time for which a change of the platform needs to reach all instances while none fails.
const DELAY: Duration = Duration::from_millis(600);

/// Time from the platform's return for which instances keep what it lacks.
const KEPT: Duration = Duration::from_secs(9);

/// Time after which they don't.
const NOT_KEPT: Duration = Duration::from_secs(12);

fn run<F>(check: impl FnOnce(Fleet) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        check(Fleet::start(&rt, &NAMES).await).await;
    });
}

fn configure(fleet: &Fleet, version: u64) {
    let platform = &fleet.platform;
    platform.set(Kind::Configuration, "main", Some(configuration(version)));
}

/// Comes back from a copy after changes whose numbers are given out again, and writes the latest
/// configuration again.
async fn lose_changes(fleet: &Fleet, version: u64, changes: u64, away: Duration) {
    let copy = fleet.platform.copy();
    for number in 0..changes {
        configure(fleet, version + number);
        fleet.rt.sleep(DELAY).await;
    }
    fleet
        .platform
        .with_state(|s| s.unavailable = !away.is_zero());
    fleet.rt.sleep(away).await;
    fleet.platform.with_state(|s| s.unavailable = false);
    fleet.platform.restore(copy);
    configure(fleet, version + changes - 1);
}

/// Guards against instances that stay on an old configuration after the platform's return from an older
/// copy, because the new one has a lower revision than those before.
#[test]
fn changes_after_a_return_reach_all_instances() {
    struct Case {
        changes: u64,
        away: Duration,
        returns: u64,
    }
    let cases = [
        Case {
            changes: 1,
            away: Duration::ZERO,
            returns: 1,
        },
        Case {
            changes: 4,
            away: Duration::from_millis(700),
            returns: 1,
        },
        Case {
            changes: 20,
            away: Duration::from_secs(3),
            returns: 1,
        },
        Case {
            changes: 8,
            away: Duration::from_millis(200),
            returns: 3,
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        run(move |fleet| async move {
            let mut version = 10;
            for _ in 0..case.returns {
                lose_changes(&fleet, version, case.changes, case.away).await;
                version += 100;
            }
            configure(&fleet, version);
            fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
            let behind = fleet.behind(version);
            assert!(behind.is_empty(), "case {number}: {behind:?}");
            version += 1;
            configure(&fleet, version);
            fleet.rt.sleep(DELAY).await;
            let behind = fleet.behind(version);
            assert!(behind.is_empty(), "case {number}: {behind:?}");
        });
    }
}

/// Guards against an instance that was paused during the platform's return and takes its old records,
/// which have higher revisions, for newer ones, or serves them to others.
#[test]
fn instance_paused_during_a_return_follows_the_new_era() {
    for is_watcher in [true, false] {
        run(move |fleet| async move {
            let chosen = |name: &&Arc<str>| fleet.watchers.contains(name) == is_watcher;
            let process = &fleet.processes[fleet.processes.keys().find(chosen).unwrap()];
            let copy = fleet.platform.copy();
            for version in 5..10 {
                configure(&fleet, version);
                fleet.rt.sleep(DELAY).await;
            }
            process.pause();
            fleet.platform.restore(copy);
            fleet.rt.sleep(Duration::from_secs(5)).await;
            configure(&fleet, 11);
            fleet.rt.sleep(DELAY).await;
            process.resume();
            fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
            let behind = fleet.behind(11);
            assert!(behind.is_empty(), "watcher: {is_watcher}, {behind:?}");
            configure(&fleet, 12);
            fleet.rt.sleep(Duration::from_secs(1)).await;
            let behind = fleet.behind(12);
            assert!(behind.is_empty(), "watcher: {is_watcher}, {behind:?}");
        });
    }
}

/// Guards against an older configuration on instances that start after the platform's return, while
/// others know a newer one.
#[test]
fn newer_configuration_is_served_after_a_return() {
    run(|fleet| async move {
        let copy = fleet.platform.copy();
        configure(&fleet, 9);
        fleet.rt.sleep(DELAY).await;
        fleet.platform.restore(copy);
        fleet.rt.sleep(CONFIGURATION_DEADLINE).await;
        assert!(fleet.behind(9).is_empty(), "{:?}", fleet.behind(9));
        let feed = &fleet.network.feeds[&fleet.watchers[0]];
        let update = feed
            .poll(&fleet.rt, &Revisions::new(), Duration::ZERO)
            .await;
        let mut batches = update.unwrap().batches;
        let Some(Batch::Listing(listing)) = batches.remove(&Kind::Configuration) else {
            panic!("no listing");
        };
        let (_, record) = &listing.records[0];
        assert_eq!(*record, configuration(9));
    });
}

/// Guards against evacuations that are taken for revoked because the platform's copy lacks them, and
/// against those that stay in force for good.
#[test]
fn evacuations_missing_after_a_return_are_kept_for_a_while() {
    struct Case {
        /// Time from the return until the evacuation is written again.
        again: Option<Duration>,
        /// Time from the return until it is revoked.
        revoked: Option<Duration>,
        /// Times from the return, and whether the domain's replicas are in use then.
        checks: [(Duration, bool); 2],
    }
    let second = Duration::from_secs(1);
    let cases = [
        Case {
            again: None,
            revoked: None,
            checks: [(KEPT, false), (NOT_KEPT, true)],
        },
        Case {
            again: Some(second),
            revoked: None,
            checks: [(KEPT, false), (3 * NOT_KEPT, false)],
        },
        Case {
            again: Some(second),
            revoked: Some(2 * second),
            checks: [(second, false), (3 * second, true)],
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        run(move |fleet| async move {
            let platform = &fleet.platform;
            let copy = platform.copy();
            platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
            fleet.rt.sleep(DELAY).await;
            platform.restore(copy);
            let returned = fleet.rt.now();
            let evacuation = [(case.again, Some(Record::Evacuation)), (case.revoked, None)];
            let mut steps: Vec<_> = evacuation
                .into_iter()
                .filter_map(|(at, record)| Some((at?, Some(record), true)))
                .collect();
            steps.extend(case.checks.map(|(at, in_use)| (at, None, in_use)));
            steps.sort_by_key(|(at, ..)| *at);
            for (at, record, in_use) in steps {
                fleet.rt.sleep((returned + at).since(fleet.rt.now())).await;
                if let Some(record) = record {
                    platform.set(Kind::Evacuations, "north", record);
                    continue;
                }
                for (name, latest) in &fleet.latest {
                    let used = in_force(latest).map(|(_, replicas)| !replicas.is_empty());
                    assert_eq!(used, Some(in_use), "case {number}, {name} at {at:?}");
                }
            }
        });
    }
}

/// Guards against an evacuation that stays in force after it was revoked, because the platform came back
/// from an older copy shortly before.
#[test]
fn evacuation_in_the_copy_can_be_revoked_at_once() {
    run(|fleet| async move {
        let platform = &fleet.platform;
        platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
        fleet.rt.sleep(DELAY).await;
        let copy = platform.copy();
        configure(&fleet, 5);
        fleet.rt.sleep(DELAY).await;
        platform.restore(copy);
        fleet.rt.sleep(Duration::from_secs(2)).await;
        platform.set(Kind::Evacuations, "north", None);
        fleet.rt.sleep(DELAY).await;
        for (name, latest) in &fleet.latest {
            let used = in_force(latest).map(|(_, replicas)| replicas.len());
            assert_eq!(used, Some(2), "{name}");
        }
    });
}

/// Guards against lists of all kinds each second, because the calls for one of them fail since the
/// platform's return.
#[test]
fn failing_kind_causes_few_lists_after_a_return() {
    run(|fleet| async move {
        let copy = fleet.platform.copy();
        configure(&fleet, 5);
        fleet.rt.sleep(DELAY).await;
        fleet.platform.with_state(|s| {
            s.faults.insert(Kind::Evacuations, Fault::Status(503));
        });
        fleet.platform.restore(copy);
        configure(&fleet, 6);
        fleet.rt.sleep(Duration::from_secs(5)).await;
        assert!(fleet.behind(6).is_empty(), "{:?}", fleet.behind(6));
        fleet.platform.with_state(|s| s.list_calls = 0);
        fleet.rt.sleep(Duration::from_secs(30)).await;
        // The failing kind is listed again, with a pause of 1 s on average, and a check each second lists
        // another kind in its place.
        let lists = fleet.platform.with_state(|s| s.list_calls);
        let allowed = 30 * 3 * fleet.watchers.len();
        assert!(lists as usize <= allowed, "{lists} of {allowed} lists");
    });
}

/// Guards against new requests to a draining replica, or to one that has ended, because the platform's
/// copy states its earlier record.
#[test]
fn draining_replicas_stay_draining_after_a_return() {
    run(|fleet| async move {
        let copy = fleet.platform.copy();
        fleet
            .platform
            .set(Kind::Replicas, "r1", Some(replica("r1", true)));
        fleet.rt.sleep(DELAY).await;
        fleet.platform.restore(copy);
        fleet.rt.sleep(DELAY).await;
        let expected = Some((3, vec!["r2".to_owned()]));
        for (name, latest) in &fleet.latest {
            assert_eq!(in_force(latest), expected, "{name}");
        }
    });
}

/// Guards against replicas that are dropped because the platform's copy lacks their records until they
/// report again.
#[test]
fn replicas_missing_after_a_return_have_time_to_report() {
    run(|fleet| async move {
        let copy = fleet.platform.copy();
        fleet
            .platform
            .set(Kind::Replicas, "r3", Some(replica("r3", false)));
        fleet
            .platform
            .set(Kind::Replicas, "r4", Some(replica("r4", false)));
        fleet.rt.sleep(DELAY).await;
        fleet.platform.restore(copy);
        fleet.rt.sleep(Duration::from_millis(1_500)).await;
        let in_use = |names: &[&str]| {
            let names: Vec<_> = names.iter().map(|name| (*name).to_owned()).collect();
            for (name, latest) in &fleet.latest {
                assert_eq!(in_force(latest), Some((3, names.clone())), "{name}");
            }
        };
        in_use(&["r1", "r2", "r3", "r4"]);
        fleet
            .platform
            .set(Kind::Replicas, "r3", Some(replica("r3", false)));
        fleet.rt.sleep(Duration::from_secs(3)).await;
        in_use(&["r1", "r2", "r3"]);
    });
}

fn order(created: u64, phase: Option<Phase>, era: u64) -> Record {
    Record::Move(Order {
        name: Arc::from(format!("index@{created}@v2")),
        service: Arc::from("index"),
        version: Arc::from("v2"),
        window: Duration::from_secs(10),
        phase,
        revision: created,
        era,
    })
}

/// Guards against a version that is tried again with a fresh allowance, or whose end is forgotten,
/// because its order is written again after the platform's return.
#[test]
fn move_goes_on_under_its_name_after_a_return() {
    run(|fleet| async move {
        let platform = &fleet.platform;
        let copy = platform.copy();
        platform.set(
            Kind::Moves,
            "index",
            Some(order(7, Some(Phase::TakenBack), 0)),
        );
        fleet.rt.sleep(DELAY).await;
        platform.restore(copy);
        fleet.rt.sleep(Duration::from_secs(2)).await;
        let names = |fleet: &Fleet| -> BTreeSet<String> {
            let views = fleet.latest.values().map(|latest| latest.get().unwrap());
            let orders = views.flat_map(|view| view.moves.to_vec());
            orders.map(|order| order.name.to_string()).collect()
        };
        let first = BTreeSet::from(["index@7@v2".to_owned()]);
        assert_eq!(names(&fleet), first, "while it is missing");
        for (created, phase) in [(5, None), (5, Some(Phase::TakenBack))] {
            platform.set(Kind::Moves, "index", Some(order(created, phase, 1)));
            fleet.rt.sleep(DELAY).await;
            assert_eq!(names(&fleet), first, "written again: {phase:?}");
        }
        platform.set(Kind::Moves, "index", None);
        fleet.rt.sleep(DELAY).await;
        assert_eq!(names(&fleet), BTreeSet::new(), "withdrawn");
        platform.set(Kind::Moves, "index", Some(order(9, None, 1)));
        fleet.rt.sleep(DELAY).await;
        let second = BTreeSet::from(["index@9@v2".to_owned()]);
        assert_eq!(names(&fleet), second, "ordered anew");
    });
}

/// Guards against limits that are divided among too few instances, because the platform has lost
/// registrations.
#[test]
fn lost_registrations_are_written_again() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        let copy = platform.copy();
        let names = ["a", "b", "c"];
        let counts: Vec<_> = names
            .iter()
            .map(|name| {
                let own = member(name);
                let roster = Arc::new(Roster::new(own.candidate.clone()));
                let count = Arc::new(std::sync::Mutex::new(BTreeSet::new()));
                let counted = Arc::clone(&count);
                let apply = move |members: Vec<fleet::Member>| {
                    counted.lock().unwrap().insert(members.len());
                };
                let source = platform.for_instance(name);
                rt.spawn(fleet::follow(rt.clone(), source, own, roster, apply));
                count
            })
            .collect();
        rt.sleep(Duration::from_secs(20)).await;
        platform.restore(copy);
        rt.sleep(Duration::from_secs(100)).await;
        let registered = platform.with_state(|state| state.registered.len());
        assert_eq!(registered, names.len());
        for count in counts {
            assert_eq!(*count.lock().unwrap(), BTreeSet::from([names.len()]));
        }
    });
}

/// Guards against a late answer of an earlier era that replaces records of a later one.
#[test]
fn list_of_an_earlier_era_is_read_again() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        let own = member("a");
        let roster = Roster::new(own.candidate.clone());
        roster.set_members(&[own]);
        let sources = Sources {
            platform: platform.clone(),
            peers: support::fleet::no_peers(&rt),
            roster: Arc::new(roster),
            feed: Arc::new(Feed::default()),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        rt.spawn(follower::follow(rt.clone(), sources, place, move |view| {
            views.set(Arc::new(view));
        }));
        platform.with_state(|state| state.era = 4);
        rt.sleep(Duration::from_secs(1)).await;
        // Three lists are answered by a copy of an earlier era.
        platform.with_state(|state| {
            state.era = 3;
            state.watch_failures += 1;
        });
        platform.set(Kind::Replicas, "r1", None);
        rt.sleep(Duration::from_secs(1)).await;
        let r1 = Some((3, vec!["r1".to_owned()]));
        assert_eq!(in_force(&latest), r1);
        assert_eq!(platform.era(), 4);
        platform.with_state(|state| state.era = 4);
        rt.sleep(Duration::from_secs(5)).await;
        assert_eq!(in_force(&latest), Some((3, Vec::new())));
    });
}

/// Guards against instances that keep what another one has never had, and against complete lists to all
/// instances at once.
#[test]
fn feed_reports_what_changed_since_an_earlier_era() {
    struct Case {
        known: Option<Revision>,
        /// Names in the answer; `None` if there is none.
        expected: Option<(bool, &'static [&'static str])>,
    }
    let revision = |era, number| Revision { era, number };
    let cases = [
        Case {
            known: Some(revision(1, 90)),
            expected: Some((false, &["a", "b", "c", "d"])),
        },
        Case {
            known: Some(revision(1, 100)),
            expected: Some((false, &["a", "d"])),
        },
        // What followed 100 in the first era isn't known.
        Case {
            known: Some(revision(1, 101)),
            expected: Some((true, &["b", "c", "d"])),
        },
        Case {
            known: Some(revision(2, 60)),
            expected: Some((false, &["d"])),
        },
        Case {
            known: Some(revision(2, 71)),
            expected: Some((true, &["b", "c", "d"])),
        },
        Case {
            known: Some(revision(3, 65)),
            expected: None,
        },
        Case {
            known: Some(revision(4, 5)),
            expected: None,
        },
        Case {
            known: None,
            expected: Some((true, &["b", "c", "d"])),
        },
    ];
    let listing = |revision, names: &[&str]| Listing {
        records: names
            .iter()
            .map(|name| (Arc::from(*name), replica(name, false)))
            .collect(),
        revision,
        partial: false,
    };
    virtual_runtime::block_on(1, move |rt| async move {
        let feed = Feed::default();
        feed.set_connected(rt.now());
        feed.replace(Kind::Replicas, &listing(revision(1, 80), &["a"]));
        let added = ["b", "c"].map(|name| (Arc::from(name), Some(replica(name, false))));
        let changes = Changes {
            changes: added.to_vec(),
            revision: revision(1, 100),
        };
        feed.change(Kind::Replicas, &changes);
        feed.replace(Kind::Replicas, &listing(revision(2, 60), &["b", "c"]));
        let changes = Changes {
            changes: Vec::new(),
            revision: revision(2, 70),
        };
        feed.change(Kind::Replicas, &changes);
        feed.replace(Kind::Replicas, &listing(revision(3, 65), &["b", "c", "d"]));
        for (number, case) in cases.into_iter().enumerate() {
            let known = case.known.map(|known| (Kind::Replicas, known));
            let known = Revisions::from_iter(known);
            let update = feed.poll(&rt, &known, Duration::ZERO).await.unwrap();
            let batch = update.batches.get(&Kind::Replicas);
            let seen = batch.map(|batch| match batch {
                Batch::Listing(listing) => (
                    true,
                    listing.records.iter().map(|(name, _)| &**name).collect(),
                ),
                Batch::Changes(changes) => {
                    let names = changes.changes.iter();
                    (false, names.map(|(name, _)| &**name).collect::<Vec<_>>())
                }
            });
            let expected = case.expected.map(|(all, names)| (all, names.to_vec()));
            assert_eq!(seen, expected, "case {number}");
        }
    });
}

/// Guards against calls to the platform that grow with the number of instances after its return: all of
/// them learn of the new era at once.
#[test]
fn return_causes_few_calls_at_any_size() {
    for instances in [6, 60, 217] {
        virtual_runtime::block_on(1, move |rt| async move {
            let names: Vec<_> = (0..instances).map(|i| format!("i{i}")).collect();
            let fleet = Fleet::start(&rt, &names).await;
            lose_changes(&fleet, 5, 4, Duration::from_millis(700)).await;
            fleet.platform.with_state(|s| s.list_calls = 0);
            lose_changes(&fleet, 25, 4, Duration::ZERO).await;
            rt.sleep(Duration::from_secs(10)).await;
            assert!(fleet.behind(28).is_empty(), "{instances} instances");
            let lists = fleet.platform.with_state(|s| s.list_calls) as usize;
            // For each return, the watching instances and the two that stand in for them after an outage.
            let allowed = 2 * (fleet.watchers.len() + 2) * Kind::ALL.len();
            assert!(lists <= allowed, "{lists} lists, {instances} instances");
        });
    }
}
