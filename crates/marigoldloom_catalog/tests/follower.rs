//! Guards what an instance believes while the platform is away, slow or forgetful.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_catalog::catalog::Place;
use marigoldloom_catalog::feed::{Feed, Revisions, Update};
use marigoldloom_catalog::fleet::{self, Member};
use marigoldloom_catalog::follower::{self, LatestView, Sources};
use marigoldloom_catalog::relay::{self, Roster};
use marigoldloom_catalog::source::{Invalid, Kind, Record};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use support::{Fake, configuration, member, replica, seen};

/// No other instance answers.
#[derive(Clone)]
struct Alone;

impl relay::Peers for Alone {
    async fn poll(&self, _: &Member, _: &Revisions, _: Duration) -> Result<Update, relay::Error> {
        Err(relay::Error::Unreachable)
    }
}

/// The roster of an instance that knows no other yet.
fn roster(name: &str) -> Arc<Roster> {
    Arc::new(Roster::new(member(name).candidate))
}

/// The sources of an instance that is alone.
fn sources(fake: &Fake) -> Sources<Fake, Alone> {
    let own = member("a");
    let roster = Roster::new(own.candidate.clone());
    roster.set_members(&[own]);
    Sources {
        platform: fake.clone(),
        peers: Alone,
        roster: Arc::new(roster),
        feed: Arc::new(Feed::default()),
    }
}

/// Runs `check` against an instance that follows a fake with one configuration and two replicas.
fn follow<F>(check: impl FnOnce(VirtualRuntime, Fake, LatestView) -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    virtual_runtime::block_on(1, |rt| async move {
        let fake = Fake::new(rt.clone());
        fake.set(Kind::Configuration, "main", Some(configuration(3)));
        fake.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        fake.set(Kind::Replicas, "r2", Some(replica("r2", false)));
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        let follow = follower::follow(rt.clone(), sources(&fake), place, move |view| {
            views.set(Arc::new(view));
        });
        rt.spawn(follow);
        rt.sleep(Duration::from_millis(100)).await;
        check(rt, fake, latest).await;
    });
}

fn both() -> Vec<String> {
    vec!["r1".to_owned(), "r2".to_owned()]
}

fn first() -> Vec<String> {
    vec!["r1".to_owned()]
}

/// Guards against changes that take effect late, and against work for what is leaving.
#[test]
fn changes_take_effect_at_once() {
    follow(|rt, fake, latest| async move {
        assert_eq!(seen(&latest), Some((3, both())));
        fake.set(Kind::Configuration, "main", Some(configuration(5)));
        fake.set(Kind::Replicas, "r2", Some(replica("r2", true)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(seen(&latest), Some((5, first())));
        fake.set(Kind::Evacuations, "north", Some(Record::Evacuation));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(seen(&latest), Some((5, Vec::new())));
        fake.set(Kind::Evacuations, "north", None);
        fake.set(Kind::Replicas, "r2", None);
        // Changes of replicas are reported in groups.
        rt.sleep(Duration::from_millis(350)).await;
        assert_eq!(seen(&latest), Some((5, first())));
    });
}

/// Guards against a configuration that goes back to an older version.
#[test]
fn older_configuration_is_ignored() {
    follow(|rt, fake, latest| async move {
        fake.set(Kind::Configuration, "main", Some(configuration(7)));
        rt.sleep(Duration::from_millis(50)).await;
        fake.set(Kind::Configuration, "main", Some(configuration(4)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(seen(&latest), Some((7, both())));
    });
}

/// Guards against an instance that stays on an old configuration because its new watch
/// doesn't report what changed while the old one was mute.
#[test]
fn cut_watch_is_followed_by_a_list() {
    follow(|rt, fake, latest| async move {
        fake.with(|s| s.mute = true);
        fake.set(Kind::Configuration, "main", Some(configuration(9)));
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(seen(&latest), Some((3, both())));
        fake.with(|s| s.cut += 1);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(seen(&latest), Some((9, both())));
    });
}

/// Guards against replicas that are given up because their records lapsed while the platform
/// was away, and against replicas that stay in use although they did not come back.
#[test]
fn lapsed_records_have_time_to_come_back() {
    follow(|rt, fake, latest| async move {
        fake.with(|s| s.away = true);
        fake.set(Kind::Replicas, "r1", None);
        fake.set(Kind::Replicas, "r2", None);
        rt.sleep(Duration::from_secs(4)).await;
        assert_eq!(seen(&latest), Some((3, both())));
        fake.with(|s| s.away = false);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(seen(&latest), Some((3, both())));
        fake.set(Kind::Replicas, "r1", Some(replica("r1", false)));
        rt.sleep(Duration::from_secs(3)).await;
        assert_eq!(seen(&latest), Some((3, first())));
    });
}

/// Guards against grace for records that did not lapse: after a short cut a missing replica
/// is gone at once.
#[test]
fn short_cut_gives_no_grace() {
    follow(|rt, fake, latest| async move {
        fake.with(|s| (s.mute, s.cut) = (true, s.cut + 1));
        fake.set(Kind::Replicas, "r2", None);
        fake.with(|s| s.mute = false);
        rt.sleep(Duration::from_secs(1)).await;
        assert_eq!(seen(&latest), Some((3, first())));
    });
}

/// Guards against many calls to a platform that is away: each has its price.
#[test]
fn outage_costs_few_calls() {
    follow(|rt, fake, _latest| async move {
        fake.with(|s| (s.away, s.lists) = (true, 0));
        rt.sleep(Duration::from_secs(10)).await;
        let lists = fake.with(|s| s.lists);
        assert!((10..80).contains(&lists), "{lists} lists in 10 s");
    });
}

/// Guards against an unreadable record that takes the others with it, or that keeps an
/// upstream in use which no longer describes itself.
#[test]
fn unreadable_record_names_no_replica() {
    follow(|rt, fake, latest| async move {
        let invalid = Invalid {
            field: "Slots".to_owned(),
            problem: "not a number".to_owned(),
        };
        fake.set(Kind::Replicas, "r2", Some(Record::Invalid(invalid.clone())));
        fake.set(Kind::Configuration, "main", Some(Record::Invalid(invalid)));
        rt.sleep(Duration::from_millis(50)).await;
        assert_eq!(seen(&latest), Some((3, first())));
    });
}

/// Guards against answers from an instance that knows no configuration.
#[test]
fn no_view_before_everything_is_listed() {
    virtual_runtime::block_on(1, |rt| async move {
        let fake = Fake::new(rt.clone());
        fake.with(|s| s.away = true);
        let place = Place {
            domain: Arc::from("north"),
            regions: BTreeMap::new(),
        };
        let latest = LatestView::default();
        let views = latest.clone();
        rt.spawn(follower::follow(
            rt.clone(),
            sources(&fake),
            place,
            move |v| views.set(Arc::new(v)),
        ));
        rt.sleep(Duration::from_secs(2)).await;
        assert!(latest.get().is_none());
        fake.set(Kind::Configuration, "main", Some(configuration(3)));
        fake.with(|s| s.away = false);
        rt.sleep(Duration::from_secs(3)).await;
        assert_eq!(seen(&latest), Some((3, Vec::new())));
    });
}

/// Guards against limits that are divided by too few instances, and against an instance that
/// gives up to register because the platform is away when it starts.
#[test]
fn instances_are_counted_although_the_platform_was_away() {
    virtual_runtime::block_on(1, |rt| async move {
        let fake = Fake::new(rt.clone());
        fake.with(|s| s.away = true);
        let counts = Arc::new(Mutex::new(Vec::new()));
        for name in ["a", "b", "c"] {
            let counts = Arc::clone(&counts);
            let apply = move |all: Vec<Member>| counts.lock().unwrap().push(all.len());
            rt.spawn(fleet::follow(
                rt.clone(),
                fake.clone(),
                member(name),
                roster(name),
                apply,
            ));
        }
        rt.sleep(Duration::from_secs(5)).await;
        assert!(counts.lock().unwrap().is_empty());
        fake.with(|s| s.away = false);
        rt.sleep(Duration::from_secs(15)).await;
        assert_eq!(*counts.lock().unwrap(), [3, 3, 3]);
        fake.with(|s| s.registered.insert("d".to_owned()));
        rt.sleep(Duration::from_secs(20)).await;
        assert_eq!(*counts.lock().unwrap(), [3, 3, 3, 4, 4, 4]);
    });
}

/// Guards against an instance that starts again and serves for seconds as if it were alone:
/// after a power loss all instances would connect to all replicas.
#[test]
fn restarted_instance_counts_at_once() {
    virtual_runtime::block_on(1, |rt| async move {
        let fake = Fake::new(rt.clone());
        let names = ["a", "b", "c"].map(str::to_owned);
        fake.with(|s| s.registered.extend(names));
        let counts = Arc::new(Mutex::new(Vec::new()));
        let counted = Arc::clone(&counts);
        let apply = move |all: Vec<Member>| counted.lock().unwrap().push(all.len());
        rt.spawn(fleet::follow(
            rt.clone(),
            fake,
            member("a"),
            roster("a"),
            apply,
        ));
        rt.sleep(Duration::from_millis(100)).await;
        assert_eq!(*counts.lock().unwrap(), [3]);
    });
}
