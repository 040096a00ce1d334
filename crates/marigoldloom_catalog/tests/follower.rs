//! Tests how an instance follows the platform, also during outages and lost changes.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::{Feed, Revisions, Update};
use marigoldloom_catalog::fleet::{self, Member};
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::{self, Roster};
use marigoldloom_catalog::replica::Replica;
use marigoldloom_catalog::source::{Invalid, Kind, Record};
use marigoldloom_catalog::view::View;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use support::{FakePlatform, Fault, configuration, in_force, member, replica, versioned};

/// A client of peers that none of them answers.
#[derive(Clone)]
struct NoPeers;

impl relay::Peers for NoPeers {
    async fn poll(&self, _: &Member, _: &Revisions, _: Duration) -> Result<Update, relay::Error> {
        Err(relay::Error::Unreachable)
    }
}

/// Returns the roster of an instance that knows no other instance yet.
fn roster(name: &str) -> Arc<Roster> {
    Arc::new(Roster::new(member(name).candidate))
}

/// Returns the sources of the only instance of a deployment.
fn sources(platform: &FakePlatform) -> Sources<FakePlatform, NoPeers> {
    let own = member("a");
    let roster = Roster::new(own.candidate.clone());
    roster.set_members(&[own]);
    Sources {
        platform: platform.clone(),
        peers: NoPeers,
        roster: Arc::new(roster),
        feed: Arc::new(Feed::default()),
    }
}

/// Returns a configuration whose cold upstreams accept `rate` requests a second.
fn paced(version: u64, rate: f64) -> Record {
    let Record::Configuration(mut new) = configuration(version) else {
        unreachable!("it is a configuration");
    };
    for service in new.services.values_mut() {
        service.cold_rate = rate;
    }
    Record::Configuration(new)
}

/// Returns the record of a replica that is warm after `warmup`.
fn warming(name: &str, warmup: Duration) -> Record {
    let Record::Replica(new) = replica(name, false) else {
        unreachable!("it is a replica");
    };
    Record::Replica(Replica { warmup, ..new })
}

/// Whether requests to the upstream `name` are paced at `now`.
fn is_paced(latest: &LatestView, name: &str, now: Timestamp) -> bool {
    let view = latest.get().unwrap();
    let mut services = view.topology.services().values();
    let upstream = services.find_map(|s| s.upstreams().get(name)).unwrap();
    upstream.pace.is_some_and(|pace| pace.end > now)
}

/// Runs `check` on an instance that follows a fake platform with one configuration and two
/// replicas.
fn follow<F>(check: impl FnOnce(VirtualRuntime, FakePlatform, LatestView) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        platform.set(Kind::Replicas, "r2", Some(replica("r2", false)));
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        let follow = follower::follow(rt.clone(), sources(&platform), place, move |view| {
            views.set(Arc::new(view));
        });
        rt.spawn(follow);
        rt.sleep(Duration::from_millis(100)).await;
        check(rt, platform, latest).await;
    });
}

/// Guards against an instance that follows nothing any more, and says so nowhere, after a panic in the
/// task that follows the platform.
#[test]
fn platform_is_followed_after_a_panic() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        let apply = move |view: View| {
            assert_ne!(view.version, 4, "a fault of this version");
            views.set(Arc::new(view));
        };
        rt.spawn(follower::follow(
            rt.clone(),
            sources(&platform),
            place,
            apply,
        ));
        rt.sleep(Duration::from_secs(1)).await;
        platform.set(Kind::Configuration, "main", Some(configuration(4)));
        rt.sleep(Duration::from_secs(5)).await;
        assert_eq!(in_force(&latest), Some((3, first_replica())));
        platform.set(Kind::Configuration, "main", Some(configuration(5)));
        rt.sleep(Duration::from_secs(3)).await;
        assert_eq!(in_force(&latest), Some((5, first_replica())));
    });
}

fn both_replicas() -> Vec<String> {
    vec!["r1".to_owned(), "r2".to_owned()]
}

fn first_replica() -> Vec<String> {
    vec!["r1".to_owned()]
}

/// Guards against replicas that are dropped because a list of the platform ends early, and against such
/// a list that is never read again.
#[test]
fn records_missing_in_a_partial_list_stay_in_use() {
    follow(|rt, platform, latest| async move {
        platform.with_state(|state| {
            state.partial = true;
            state.watch_failures += 1;
        });
        rt.sleep(Duration::from_secs(1)).await;
        let lists = platform.with_state(|state| state.list_calls);
        assert_eq!(in_force(&latest), Some((3, both_replicas())));
        platform.set(Kind::Replicas, "r2", None);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(in_force(&latest), Some((3, first_replica())));
        rt.sleep(Duration::from_secs(60)).await;
        let again = platform.with_state(|state| state.list_calls) - lists;
        assert!(
            (2 * 4..=4 * 4).contains(&again),
            "{again} lists in a minute"
        );
    });
}

/// Guards against changes that take effect late, and against new requests to draining replicas and
/// evacuated failure domains.
#[test]
fn changes_take_effect_at_once() {
    follow(|rt, platform, latest| async move {
        assert_eq!(in_force(&latest), Some((3, both_replicas())));
        platform.set(Kind::Configuration, "main", Some(configuration(5)));
        platform.set(Kind::Replicas, "r2", Some(replica("r2", true)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(in_force(&latest), Some((5, first_replica())));
        platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(in_force(&latest), Some((5, Vec::new())));
        platform.set(Kind::Evacuations, "north", None);
        platform.set(Kind::Replicas, "r2", None);
        // Changes of replicas are collected for 300 ms.
        rt.sleep(Duration::from_millis(350)).await;
        assert_eq!(in_force(&latest), Some((5, first_replica())));
    });
}

/// Guards against a failure domain that returns with cold upstreams which get their usual share of
/// requests until their next reports say that they are cold, and against upstreams that stay slow for
/// want of such a report.
#[test]
fn upstreams_of_a_returned_domain_count_as_cold_until_they_can_have_reported() {
    struct Case {
        rate: f64,
        /// Time from the return until the record of `r1` states `warmup`.
        report: Option<Duration>,
        warmup: Duration,
        /// Time from the return until a check, and whether requests are paced then.
        checks: [(Duration, bool); 2],
    }
    let seconds = Duration::from_secs_f64;
    let cases = [
        Case {
            rate: 5.0,
            report: None,
            warmup: Duration::ZERO,
            checks: [(seconds(0.5), true), (seconds(3.5), false)],
        },
        Case {
            rate: 5.0,
            report: Some(seconds(1.2)),
            warmup: seconds(8.0),
            checks: [(seconds(0.5), true), (seconds(8.0), true)],
        },
        Case {
            rate: 5.0,
            report: Some(seconds(1.2)),
            warmup: seconds(0.5),
            checks: [(seconds(2.5), true), (seconds(3.5), false)],
        },
        Case {
            rate: 0.0,
            report: Some(seconds(1.2)),
            warmup: seconds(8.0),
            checks: [(seconds(0.5), false), (seconds(2.0), false)],
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        follow(move |rt, platform, latest| async move {
            platform.set(Kind::Configuration, "main", Some(paced(4, case.rate)));
            platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
            rt.sleep(Duration::from_secs(5)).await;
            platform.set(Kind::Evacuations, "north", None);
            rt.sleep(Duration::from_millis(50)).await;
            let returned = rt.now();
            let report = async {
                if let Some(at) = case.report {
                    rt.sleep(at).await;
                    platform.set(Kind::Replicas, "r1", Some(warming("r1", case.warmup)));
                }
            };
            let check = async {
                for (at, expected) in case.checks {
                    rt.sleep(at.saturating_sub(rt.now().since(returned))).await;
                    let seen = is_paced(&latest, "r1", rt.now());
                    assert_eq!(seen, expected, "case {number}, {at:?} after the return");
                }
            };
            futures::future::join(report, check).await;
        });
    }
}

/// Guards against a return to an older version of the configuration.
#[test]
fn older_configuration_is_ignored() {
    follow(|rt, platform, latest| async move {
        platform.set(Kind::Configuration, "main", Some(configuration(7)));
        rt.sleep(Duration::from_millis(50)).await;
        platform.set(Kind::Configuration, "main", Some(configuration(4)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(in_force(&latest), Some((7, both_replicas())));
    });
}

/// Guards against an instance that stays on an old configuration because its new watch doesn't
/// report the changes that the failed watch missed.
#[test]
fn failed_watch_is_followed_by_a_list() {
    follow(|rt, platform, latest| async move {
        platform.with_state(|s| s.changes_withheld = true);
        platform.set(Kind::Configuration, "main", Some(configuration(9)));
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(in_force(&latest), Some((3, both_replicas())));
        platform.with_state(|s| s.watch_failures += 1);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(in_force(&latest), Some((9, both_replicas())));
    });
}

/// Guards against the removal of replicas whose records expired only because of an outage of the
/// platform, and against replicas that stay in use although their records did not reappear.
#[test]
fn expired_replicas_have_a_grace_period_after_an_outage() {
    follow(|rt, platform, latest| async move {
        platform.with_state(|s| s.unavailable = true);
        platform.set(Kind::Replicas, "r1", None);
        platform.set(Kind::Replicas, "r2", None);
        rt.sleep(Duration::from_secs(4)).await;
        assert_eq!(in_force(&latest), Some((3, both_replicas())));
        platform.with_state(|s| s.unavailable = false);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(in_force(&latest), Some((3, both_replicas())));
        platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        rt.sleep(Duration::from_secs(3)).await;
        assert_eq!(in_force(&latest), Some((3, first_replica())));
    });
}

/// Guards against a grace period for records that did not expire: after a failed watch, a replica
/// that is no longer listed is removed at once.
#[test]
fn failed_watch_gives_no_grace_period() {
    follow(|rt, platform, latest| async move {
        platform
            .with_state(|s| (s.changes_withheld, s.watch_failures) = (true, s.watch_failures + 1));
        platform.set(Kind::Replicas, "r2", None);
        platform.with_state(|s| s.changes_withheld = false);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(in_force(&latest), Some((3, first_replica())));
    });
}

/// Guards against many calls to the platform during an outage, because calls are expensive.
#[test]
fn outage_causes_few_calls() {
    follow(|rt, platform, _latest| async move {
        platform.with_state(|s| (s.unavailable, s.list_calls) = (true, 0));
        rt.sleep(Duration::from_secs(10)).await;
        let lists = platform.with_state(|s| s.list_calls);
        assert!((10..80).contains(&lists), "{lists} lists in 10 s");
    });
}

/// Guards against an invalid record that discards valid ones, and against a replica that stays in
/// use after its record became invalid.
#[test]
fn invalid_record_removes_only_its_replica() {
    follow(|rt, platform, latest| async move {
        let invalid = Invalid {
            field: "Slots".to_owned(),
            problem: "not a number".to_owned(),
        };
        platform.set(Kind::Replicas, "r2", Some(Record::Invalid(invalid.clone())));
        platform.set(Kind::Configuration, "main", Some(Record::Invalid(invalid)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(in_force(&latest), Some((3, first_replica())));
    });
}

/// Guards against a view that is built before all kinds are listed.
#[test]
fn no_view_before_everything_is_listed() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.with_state(|s| s.unavailable = true);
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        rt.spawn(follower::follow(
            rt.clone(),
            sources(&platform),
            place,
            move |v| views.set(Arc::new(v)),
        ));
        rt.sleep(Duration::from_secs(2)).await;
        assert!(latest.get().is_none());
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        platform.with_state(|s| s.unavailable = false);
        rt.sleep(Duration::from_secs(3)).await;
        assert_eq!(in_force(&latest), Some((3, Vec::new())));
    });
}

/// Guards against limits that are divided by too few instances, and against an instance that stays
/// unregistered because the platform is unavailable when it starts.
#[test]
fn instances_are_counted_after_an_outage_at_their_start() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.with_state(|s| s.unavailable = true);
        let counts = Arc::new(Mutex::new(Vec::new()));
        for name in ["a", "b", "c"] {
            let counts = Arc::clone(&counts);
            let apply = move |all: Vec<Member>| counts.lock().unwrap().push(all.len());
            rt.spawn(fleet::follow(
                rt.clone(),
                platform.clone(),
                member(name),
                roster(name),
                apply,
            ));
        }
        rt.sleep(Duration::from_secs(5)).await;
        assert!(counts.lock().unwrap().is_empty());
        platform.with_state(|s| s.unavailable = false);
        rt.sleep(Duration::from_secs(15)).await;
        assert_eq!(*counts.lock().unwrap(), [3, 3, 3]);
        platform.with_state(|s| s.registered.insert("d".to_owned()));
        rt.sleep(Duration::from_secs(20)).await;
        assert_eq!(*counts.lock().unwrap(), [3, 3, 3, 4, 4, 4]);
    });
}

/// Guards against a restarted instance that serves for seconds as if it were the only one: after a
/// power loss, all instances would connect to all replicas.
#[test]
fn restarted_instance_counts_immediately() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        let names = ["a", "b", "c"].map(str::to_owned);
        platform.with_state(|s| s.registered.extend(names));
        let counts = Arc::new(Mutex::new(Vec::new()));
        let counted = Arc::clone(&counts);
        let apply = move |all: Vec<Member>| counted.lock().unwrap().push(all.len());
        rt.spawn(fleet::follow(
            rt.clone(),
            platform,
            member("a"),
            roster("a"),
            apply,
        ));
        rt.sleep(Duration::from_millis(100)).await;
        assert_eq!(*counts.lock().unwrap(), [3]);
    });
}

/// Ways in which the calls for one kind fail.
const FAULTS: [Fault; 5] = [
    Fault::Status(500),
    Fault::Status(503),
    Fault::Status(429),
    Fault::Malformed,
    Fault::Silence,
];

/// Time from a start until an instance serves without evacuations or version moves.
const SERVING_AFTER: Duration = Duration::from_secs(7);

/// Longest time from the end of a fault until the records of its kind are in force.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Starts an instance that follows `platform`. Returns its view and its feed.
fn start(rt: &VirtualRuntime, platform: &FakePlatform) -> (LatestView, Arc<Feed>) {
    let place = Place {
        domain: Arc::from("north"),
        regions: BTreeMap::new(),
    };
    let (latest, sources) = (LatestView::default(), sources(platform));
    let (views, feed) = (latest.clone(), Arc::clone(&sources.feed));
    rt.spawn(follower::follow(rt.clone(), sources, place, move |view| {
        views.set(Arc::new(view));
    }));
    (latest, feed)
}

/// Guards against one kind of records that can't be had and holds up all service after a restart.
#[test]
fn missing_evacuations_or_moves_hold_up_no_service() {
    for kind in [Kind::Evacuations, Kind::Moves] {
        for fault in FAULTS {
            virtual_runtime::block_on(1, move |rt| async move {
                let platform = FakePlatform::new(rt.clone());
                platform.set(Kind::Configuration, "main", Some(configuration(3)));
                platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
                platform.set(Kind::Replicas, "r2", Some(replica("r2", false)));
                platform.set(Kind::Evacuations, "north", Some(Record::Evacuation));
                platform.with_state(|s| s.faults.insert(kind, fault));
                let (latest, feed) = start(&rt, &platform);
                rt.sleep(SERVING_AFTER).await;
                let expected = match kind {
                    Kind::Evacuations => both_replicas(),
                    _ => Vec::new(),
                };
                let served = Some((3, expected));
                assert_eq!(in_force(&latest), served, "{kind} {fault:?}");
                assert!(feed.is_live(rt.now()), "{kind} {fault:?}");
                platform.with_state(|s| (s.faults.clear(), s.list_calls = 0));
                rt.sleep(RECOVERY_TIME).await;
                let evacuated = Some((3, Vec::new()));
                assert_eq!(in_force(&latest), evacuated, "{kind} {fault:?}");
            });
        }
    }
}

/// Guards against records that are served without the evacuations and moves which are known a
/// moment later.
#[test]
fn service_waits_for_evacuations_that_are_late() {
    virtual_runtime::block_on(1, |rt| async move {
        let platform = FakePlatform::new(rt.clone());
        platform.set(Kind::Configuration, "main", Some(configuration(3)));
        platform.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        platform.with_state(|s| s.faults.insert(Kind::Evacuations, Fault::Status(503)));
        let (latest, _feed) = start(&rt, &platform);
        rt.sleep(Duration::from_secs(2)).await;
        assert_eq!(in_force(&latest), None);
    });
}

/// Guards against a fault of one kind that counts as an outage: changes of the others come late, and
/// other instances get none.
#[test]
fn fault_of_one_kind_is_no_outage() {
    for kind in Kind::ALL {
        for fault in FAULTS {
            follow(move |rt, platform, latest| async move {
                let (_view, feed) = start(&rt, &platform);
                rt.sleep(Duration::from_secs(1)).await;
                let case = format!("{kind} {fault:?}");
                platform.with_state(|s| {
                    s.faults.insert(kind, fault);
                    s.list_calls = 0;
                });
                // A fault that is silent shows after the time limit of a call.
                rt.sleep(Duration::from_secs(4)).await;
                for second in 0..10 {
                    rt.sleep(Duration::from_secs(1)).await;
                    assert!(feed.is_live(rt.now()), "{case}, second {second}");
                }
                let lists = platform.with_state(|s| s.list_calls);
                assert!(lists < 2 * 3 * 14, "{lists} lists in 14 s, {case}");
                match kind {
                    Kind::Configuration => {
                        platform.set(Kind::Replicas, "r2", None);
                        rt.sleep(Duration::from_secs(1)).await;
                        assert_eq!(in_force(&latest), Some((3, first_replica())), "{case}");
                    }
                    _ => {
                        platform.set(Kind::Configuration, "main", Some(configuration(5)));
                        rt.sleep(Duration::from_secs(1)).await;
                        assert_eq!(in_force(&latest), Some((5, both_replicas())), "{case}");
                    }
                }
                platform.set(Kind::Configuration, "main", Some(configuration(7)));
                platform.set(Kind::Replicas, "r2", None);
                platform.with_state(|s| s.faults.clear());
                rt.sleep(RECOVERY_TIME).await;
                assert_eq!(in_force(&latest), Some((7, first_replica())), "{case}");
            });
        }
    }
}

/// Guards against requests that spread over two versions of a service while the orders to move it
/// aren't known.
#[test]
fn only_the_oldest_version_serves_without_moves() {
    struct Case {
        name: &'static str,
        replicas: Vec<(&'static str, &'static str, Option<u64>)>,
        used: Vec<&'static str>,
    }
    let cases = [
        Case {
            name: "a new version beside the old one",
            replicas: vec![("r1", "v2", Some(20)), ("r2", "v1", Some(10))],
            used: vec!["r2"],
        },
        Case {
            name: "a replica of the old version has restarted",
            replicas: vec![
                ("r1", "v1", Some(10)),
                ("r2", "v1", Some(30)),
                ("r3", "v2", Some(20)),
            ],
            used: vec!["r1", "r2"],
        },
        Case {
            name: "one version",
            replicas: vec![("r1", "v2", Some(20)), ("r2", "v2", Some(10))],
            used: vec!["r1", "r2"],
        },
        Case {
            name: "unknown starts",
            replicas: vec![("r1", "v1", None), ("r2", "v2", None)],
            used: vec!["r1", "r2"],
        },
    ];
    for case in cases {
        virtual_runtime::block_on(1, move |rt| async move {
            let platform = FakePlatform::new(rt.clone());
            platform.set(Kind::Configuration, "main", Some(configuration(3)));
            for (name, version, born) in &case.replicas {
                let record = versioned(name, version, *born);
                platform.set(Kind::Replicas, name, Some(record));
            }
            platform.with_state(|s| s.faults.insert(Kind::Moves, Fault::Malformed));
            let (latest, _feed) = start(&rt, &platform);
            rt.sleep(SERVING_AFTER).await;
            let used = case.used.iter().map(|name| (*name).to_owned());
            assert_eq!(
                in_force(&latest),
                Some((3, used.collect())),
                "{}",
                case.name
            );
            platform.with_state(|s| s.faults.clear());
            rt.sleep(RECOVERY_TIME).await;
            let all = case.replicas.iter().map(|(name, ..)| (*name).to_owned());
            assert_eq!(in_force(&latest), Some((3, all.collect())), "{}", case.name);
        });
    }
}
