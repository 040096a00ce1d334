//! Checks what callers get for first and repeated attempts.

use std::time::Duration;

use marigoldloom_claims::bucket::{self, Bucket, Claim};
use marigoldloom_claims::claims::Claims;
use marigoldloom_claims::outcome::{self, DispatchResult, Response};
use marigoldloom_claims::refusal::{Refusal, RunStatus};
use marigoldloom_claims::request::{AttemptKind, Key, Request};
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_platform::object;
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::WallTime;
use marigoldloom_testkit::virtual_runtime::{self, VirtualRuntime};
use quickcheck::quickcheck;

type TestClaims = Claims<VirtualRuntime, MemoryPlatform<VirtualRuntime>>;

const FIRST: AttemptKind = AttemptKind::First {
    until: WallTime(u64::MAX),
};

/// A first attempt that arrives after its caller may have sent the key elsewhere.
const LATE_FIRST: AttemptKind = AttemptKind::First {
    until: WallTime(1_000),
};

fn request(hash: u64, kind: AttemptKind) -> Request {
    let key = Key::new("rampe", "crew", "k1").unwrap();
    Request { key, hash, kind }
}

async fn send(
    rt: &VirtualRuntime,
    claims: &TestClaims,
    request: &Request,
    result: DispatchResult,
) -> Result<Response, Refusal> {
    let dispatch = || async {
        rt.sleep(Duration::from_millis(100)).await;
        result
    };
    let deadline = rt.now() + Duration::from_secs(1);
    claims.run(request, deadline, dispatch).await
}

fn finished(len: usize) -> DispatchResult {
    let body = Some("x".repeat(len));
    DispatchResult::Finished(Response { status: 201, body })
}

struct Case {
    name: &'static str,
    /// Result of the first attempt's dispatch.
    first: DispatchResult,
    /// Time between the attempts.
    delay: Duration,
    /// Request hash of the repeated attempt.
    hash: u64,
    /// What a repeated attempt through another instance gets.
    expected: Result<Response, Refusal>,
}

/// Guards against a repeated attempt that runs again, loses the outcome or gets that of another
/// request.
#[test]
fn repeated_attempt_on_another_instance_gets_the_recorded_result() {
    let short = "x".repeat(outcome::BODY_LIMIT);
    let second = Response {
        status: 200,
        body: Some("second".into()),
    };
    let (status, soon) = (201, Duration::from_millis(500));
    let cases = [
        Case {
            name: "short body",
            first: finished(outcome::BODY_LIMIT),
            delay: soon,
            hash: 1,
            expected: Ok(Response {
                status,
                body: Some(short),
            }),
        },
        Case {
            name: "long body",
            first: finished(outcome::BODY_LIMIT + 1),
            delay: soon,
            hash: 1,
            expected: Ok(Response { status, body: None }),
        },
        Case {
            name: "lost outcome",
            first: DispatchResult::Lost,
            delay: soon,
            hash: 1,
            expected: Err(Refusal::OutcomeUnknown),
        },
        Case {
            name: "not run",
            first: DispatchResult::NotRun,
            delay: soon,
            hash: 1,
            expected: Ok(second.clone()),
        },
        Case {
            name: "still running",
            first: finished(1),
            delay: Duration::from_millis(50),
            hash: 1,
            expected: Err(Refusal::ClaimHeld),
        },
        Case {
            name: "another request",
            first: finished(1),
            delay: soon,
            hash: 2,
            expected: Err(Refusal::KeyReused),
        },
        Case {
            name: "expired",
            first: finished(1),
            delay: bucket::RETENTION,
            hash: 1,
            expected: Ok(second.clone()),
        },
    ];
    for case in cases {
        let second = second.clone();
        let answer = virtual_runtime::block_on(3, move |rt| async move {
            let platform = MemoryPlatform::new(rt.clone());
            let claims = [0, 1].map(|_| Claims::new(rt.clone(), platform.client(), 4));
            let (task_rt, task_claims) = (rt.clone(), claims[0].clone());
            rt.spawn(async move {
                let first = request(1, FIRST);
                let _ = send(&task_rt, &task_claims, &first, case.first).await;
            });
            rt.sleep(case.delay).await;
            let repeated = request(case.hash, AttemptKind::Repeated);
            send(&rt, &claims[1], &repeated, DispatchResult::Finished(second)).await
        });
        assert_eq!(answer, case.expected, "{}", case.name);
    }
}

/// Guards against refusing a repeated attempt on the same instance while the first attempt runs.
#[test]
fn repeated_attempt_on_the_same_instance_waits_for_the_first_attempt() {
    let answers = virtual_runtime::block_on(3, |rt| async move {
        let claims = Claims::new(rt.clone(), MemoryPlatform::new(rt.clone()), 4);
        let request = request(1, FIRST);
        let first = send(&rt, &claims, &request, finished(4));
        let repeated = send(&rt, &claims, &request, finished(9));
        futures::join!(first, repeated)
    });
    let body = Some("xxxx".to_owned());
    let expected = Ok(Response { status: 201, body });
    assert_eq!(answers, (expected.clone(), expected));
}

/// Guards against "not run" for a possibly repeated attempt whose earlier one can't be looked up.
#[test]
fn outage_refuses_a_first_attempt_as_not_run_and_a_repeated_one_as_unknown() {
    for (kind, run) in [
        (FIRST, RunStatus::NotRun),
        (LATE_FIRST, RunStatus::Unknown),
        (AttemptKind::Repeated, RunStatus::Unknown),
    ] {
        let answer = virtual_runtime::block_on(3, move |rt| async move {
            let platform = MemoryPlatform::new(rt.clone());
            platform.set_faults(Faults {
                down: true,
                ..Faults::default()
            });
            let claims = Claims::new(rt.clone(), platform, 4);
            send(&rt, &claims, &request(1, kind), finished(1)).await
        });
        assert_eq!(answer, Err(Refusal::NoClaim { run }));
    }
}

fn claim(at_ms: WallTime, body: String) -> Claim {
    let response = Response {
        status: 65_535,
        body: Some(body),
    };
    Claim {
        request: "f".repeat(16),
        attempt: "f".repeat(32),
        at_ms,
        outcome: Some(outcome::RecordedOutcome::Finished(response)),
        extra: Default::default(),
    }
}

/// Guards against a write beyond the platform's size limit and against removing claims that
/// haven't expired.
#[test]
fn full_bucket_refuses_until_claims_expire() {
    let answers = virtual_runtime::block_on(3, |rt| async move {
        let platform = MemoryPlatform::new(rt.clone());
        let mut full = Bucket::new();
        for number in 0..4_690 {
            let claim = claim(rt.wall(), String::new());
            full.claims
                .insert(format!("rampe/crew/old-{number}"), claim);
        }
        let key = bucket::object_key(0);
        platform
            .put(&key, &full.encode(), Condition::Any)
            .await
            .unwrap();
        let claims = Claims::new(rt.clone(), platform.client(), 1);
        let early = send(&rt, &claims, &request(1, FIRST), finished(1)).await;
        rt.sleep(bucket::RETENTION).await;
        let late = send(&rt, &claims, &request(1, FIRST), finished(1)).await;
        (early, late.is_ok())
    });
    assert_eq!(answers, (Err(Refusal::BucketFull), true));
    assert_eq!(Refusal::BucketFull.run_status(), RunStatus::NotRun);
}

/// Guards against overwriting a bucket that a newer build has written.
#[test]
fn bucket_with_a_newer_schema_is_not_overwritten() {
    virtual_runtime::block_on(3, |rt| async move {
        let platform = MemoryPlatform::new(rt.clone());
        let key = bucket::object_key(0);
        let newer = serde_json::json!({"schema": 99, "claims": {}});
        platform.put(&key, &newer, Condition::Any).await.unwrap();
        let claims = Claims::new(rt.clone(), platform.client(), 1);
        let answer = send(&rt, &claims, &request(1, FIRST), finished(1)).await;
        assert_eq!(answer, Err(Refusal::BucketUnreadable));
        assert_eq!(platform.get(&key).await.unwrap().unwrap().value, newer);
    });
}

quickcheck! {
    /// Guards against an estimate below the true size, which could exceed the platform's limit.
    fn size_estimate_covers_the_encoding(bodies: Vec<String>) -> bool {
        let mut full = Bucket::new();
        for (number, body) in bodies.into_iter().enumerate() {
            let claim = claim(WallTime(9_999_999_999_999), body);
            full.claims.insert(format!("t/s/{number}"), claim);
        }
        let spare = object::VALUE_LIMIT - bucket::SIZE_LIMIT;
        serde_json::to_string(&full.encode()).unwrap().len() <= full.size() + spare
            && serde_json::to_string(&full.claims).unwrap().len() <= full.size() + 2
    }
}
