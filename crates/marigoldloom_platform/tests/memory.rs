//! Tests the in-memory platform: conditions, watches, counters and faults.

use std::time::Duration;

use marigoldloom_platform::memory::{Counters, Faults, Limits, MemoryPlatform};
use marigoldloom_platform::object::{self, Changes, Key, Revision, Version};
use marigoldloom_platform::platform::{Condition, Error, Platform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use serde_json::json;

type Client = MemoryPlatform<VirtualRuntime>;

const MS: Duration = Duration::from_millis(1);

fn key() -> Key {
    Key::new("domain", "riga")
}

async fn write(client: &Client, kind: &str) -> object::Object {
    let value = json!({ "state": "active" });
    let key = Key::new(kind, "riga");
    client.put(&key, &value, Condition::Any).await.unwrap()
}

fn is_conflict<T>(result: &Result<T, Error>) -> bool {
    matches!(result, Err(Error::Conflict { .. }))
}

struct ConditionCase {
    exists: bool,
    condition: Condition,
    holds: bool,
}

/// Guards against a write that takes effect although its condition does not hold.
#[test]
fn writes_obey_their_condition() {
    let cases = [
        (false, Condition::Any, true),
        (false, Condition::Absent, true),
        (false, Condition::Version(Version(1)), false),
        (true, Condition::Any, true),
        (true, Condition::Absent, false),
        (true, Condition::Version(Version(1)), true),
        (true, Condition::Version(Version(2)), false),
    ];
    for (exists, condition, holds) in cases {
        let case = ConditionCase {
            exists,
            condition,
            holds,
        };
        virtual_runtime::block_on(1, |rt| check_condition(rt, case));
    }
}

async fn check_condition(rt: VirtualRuntime, case: ConditionCase) {
    let (put, delete) = (MemoryPlatform::new(rt.clone()), MemoryPlatform::new(rt));
    if case.exists {
        write(&put, "domain").await;
        write(&delete, "domain").await;
    }
    let before = put.get(&key()).await.unwrap();
    let result = put.put(&key(), &json!(1), case.condition).await;
    assert_eq!(
        is_conflict(&result),
        !case.holds,
        "put {:?}",
        case.condition
    );
    let after = put.get(&key()).await.unwrap();
    assert_eq!(before == after, !case.holds, "put {:?}", case.condition);
    let result = delete.delete(&key(), case.condition).await;
    assert_eq!(
        is_conflict(&result),
        !case.holds,
        "delete {:?}",
        case.condition
    );
    let remains = delete.get(&key()).await.unwrap().is_some();
    assert_eq!(remains, case.exists && !case.holds);
}

/// Guards against writes that do not increase the revision, and against versions shared by
/// several objects.
#[test]
fn revisions_are_global_and_versions_per_object() {
    virtual_runtime::block_on(1, |rt| async move {
        let client = MemoryPlatform::new(rt);
        let written = [
            write(&client, "domain").await,
            write(&client, "move").await,
            write(&client, "domain").await,
        ];
        let numbers = written.map(|o| (o.revision.0, o.version.0));
        assert_eq!(numbers, [(1, 1), (2, 1), (3, 2)]);
        client.delete(&key(), Condition::Any).await.unwrap();
        let listing = client.list("domain").await.unwrap();
        assert_eq!((listing.revision, listing.objects.len()), (Revision(4), 0));
        assert_eq!(client.list("move").await.unwrap().objects.len(), 1);
    });
}

/// Guards against accepting keys and values that a real platform refuses.
#[test]
fn oversized_values_and_invalid_keys_are_refused() {
    virtual_runtime::block_on(1, |rt| async move {
        let client = MemoryPlatform::new(rt);
        // The JSON text has two quotation marks around the characters.
        let fits = json!("x".repeat(object::VALUE_LIMIT - 2));
        let large = json!("x".repeat(object::VALUE_LIMIT - 1));
        assert!(client.put(&key(), &fits, Condition::Any).await.is_ok());
        let bad = Key::new("domain", "a/b");
        for (key, value) in [(key(), large), (bad, json!(1))] {
            let result = client.put(&key, &value, Condition::Any).await;
            assert!(matches!(result, Err(Error::Refused { .. })), "{key}");
        }
    });
}

struct WatchCase {
    name: &'static str,
    kinds: &'static [&'static str],
    since: u64,
    result: Result<(u64, Vec<u64>), Error>,
    millis: u64,
}

/// Guards against watches that miss a write, return writes of other kinds, or never end.
#[test]
fn watches_return_writes_after_their_revision() {
    let compacted = || Err(Error::Compacted);
    let case = |name, kinds, since, result, millis| WatchCase {
        name,
        kinds,
        since,
        result,
        millis,
    };
    let cases: [WatchCase; 5] = [
        case(
            "past writes",
            &["domain", "move"],
            1,
            Ok((3, vec![2, 3])),
            0,
        ),
        case("a later write", &["domain"], 3, Ok((5, vec![5])), 20),
        case("other kinds", &["service"], 3, Ok((5, vec![])), 1_000),
        case("compacted", &["domain"], 0, compacted(), 0),
        case("revision in the future", &["domain"], 9, compacted(), 0),
    ];
    for case in cases {
        virtual_runtime::block_on(1, |rt| check_watch(rt, case));
    }
}

fn revisions(changes: Changes) -> (u64, Vec<u64>) {
    let writes = changes.changes.iter().map(|c| c.revision.0).collect();
    (changes.revision.0, writes)
}

async fn check_watch(rt: VirtualRuntime, case: WatchCase) {
    let limits = Limits {
        retained_changes: 2,
        watch_wait: 1_000 * MS,
        ..Limits::default()
    };
    let client = MemoryPlatform::with_limits(rt.clone(), limits);
    for kind in ["domain", "move", "domain"] {
        write(&client, kind).await;
    }
    let (writer, clock) = (client.client(), rt.clone());
    rt.spawn(async move {
        clock.sleep(10 * MS).await;
        write(&writer, "move").await;
        clock.sleep(10 * MS).await;
        write(&writer, "domain").await;
    });
    let result = client.watch(case.kinds, Revision(case.since)).await;
    assert_eq!(result.map(revisions), case.result, "{}", case.name);
    let millis = rt.now().as_nanos() / 1_000_000;
    assert_eq!(millis, case.millis, "{}", case.name);
}

/// Guards against a watch that fails as compacted although it was up to date: writes of other
/// kinds push its start revision out of the history while it waits.
#[test]
fn a_waiting_watch_survives_writes_of_other_kinds() {
    virtual_runtime::block_on(1, |rt| async move {
        let limits = Limits {
            retained_changes: 1,
            ..Limits::default()
        };
        let client = MemoryPlatform::with_limits(rt.clone(), limits);
        let writer = client.client();
        let clock = rt.clone();
        rt.spawn(async move {
            for kind in ["claims", "claims", "claims", "domain"] {
                clock.sleep(MS).await;
                write(&writer, kind).await;
            }
        });
        let result = client.watch(&["domain"], Revision(0)).await;
        assert_eq!(result.map(revisions), Ok((4, vec![4])));
    });
}

/// Guards against counters that miss a call or count a waiting watch more than once.
#[test]
fn each_call_is_counted_once() {
    let counters = virtual_runtime::block_on(1, |rt| async move {
        let client = MemoryPlatform::new(rt.clone());
        let watcher = client.client();
        rt.spawn(async move {
            watcher.watch(&["service"], Revision(0)).await.unwrap();
        });
        rt.sleep(MS).await;
        write(&client, "domain").await;
        client.get(&key()).await.unwrap();
        client.list("domain").await.unwrap();
        client.delete(&key(), Condition::Any).await.unwrap();
        let conflict = client.delete(&key(), Condition::Version(Version(1))).await;
        assert!(is_conflict(&conflict));
        client.counters()
    });
    let expected = Counters {
        get: 1,
        list: 1,
        put: 1,
        delete: 2,
        watch: 1,
        waiting: 1,
    };
    assert_eq!(counters, expected);
}

struct FaultCase {
    name: &'static str,
    faults: Faults,
    error: Option<Error>,
    written: bool,
    millis: u64,
}

/// Guards against an error that wrongly says that nothing was written, or that a write may have
/// taken effect.
#[test]
fn errors_state_whether_the_write_took_effect() {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 40,
        ..Faults::default()
    };
    let lossy = Faults {
        lost_answers: 1,
        ..Faults::default()
    };
    let case = |name, faults, error, written, millis| FaultCase {
        name,
        faults,
        error,
        written,
        millis,
    };
    let unreachable = || Some(Error::Unreachable);
    let cases = [
        case("down", down, unreachable(), false, 0),
        case("disconnected", Faults::default(), unreachable(), false, 0),
        case("slow", slow, None, true, 40),
        case("answer lost", lossy, Some(Error::OutcomeUnknown), true, 0),
    ];
    for case in cases {
        virtual_runtime::block_on(1, |rt| check_fault(rt, case));
    }
}

async fn check_fault(rt: VirtualRuntime, case: FaultCase) {
    let client = MemoryPlatform::new(rt.clone());
    let observer = client.client();
    client.set_faults(case.faults);
    if case.name == "disconnected" {
        client.disconnect();
    }
    let result = client.put(&key(), &json!(1), Condition::Any).await;
    assert_eq!(result.err(), case.error, "{}", case.name);
    let millis = rt.now().as_nanos() / 1_000_000;
    assert_eq!(millis, case.millis, "{}", case.name);
    client.set_faults(Faults::default());
    let written = observer.get(&key()).await.unwrap().is_some();
    assert_eq!(written, case.written, "{}", case.name);
    client.reconnect();
    write(&client, "domain").await;
}

/// Guards against calls in progress that succeed after their connection was lost.
#[test]
fn calls_in_progress_fail_with_unknown_outcome_when_the_connection_breaks() {
    virtual_runtime::block_on(1, |rt| async move {
        let client = MemoryPlatform::new(rt.clone());
        client.set_faults(Faults {
            delay_ms: 20,
            ..Faults::default()
        });
        let (other, clock) = (client.clone(), rt.clone());
        rt.spawn(async move {
            clock.sleep(15 * MS).await;
            other.disconnect();
        });
        let result = client.put(&key(), &json!(1), Condition::Absent).await;
        assert_eq!(result, Err(Error::OutcomeUnknown));
        client.reconnect();
        assert!(client.get(&key()).await.unwrap().is_some());
    });
}

/// Guards against a disconnect of one client that affects other clients.
#[test]
fn disconnecting_one_client_does_not_affect_the_others() {
    virtual_runtime::block_on(1, |rt| async move {
        let (first, clock) = (MemoryPlatform::new(rt.clone()), rt.clone());
        let second = first.client();
        let watcher = first.clone();
        let handle = first.clone();
        rt.spawn(async move {
            clock.sleep(10 * MS).await;
            handle.disconnect();
        });
        let waiting = watcher.watch(&["domain"], Revision(0)).await;
        assert_eq!(waiting, Err(Error::OutcomeUnknown));
        assert_eq!(first.get(&key()).await, Err(Error::Unreachable));
        write(&second, "domain").await;
        assert_eq!(second.counters().waiting, 0);
    });
}
