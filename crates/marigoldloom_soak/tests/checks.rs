//! Tests the checks of the soak test: each must find its violation and report none in valid
//! observations.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_soak::checks;
use marigoldloom_soak::deployment;
use marigoldloom_soak::guarantees::Guarantee;
use marigoldloom_soak::history::{
    ColdPeriod, Configuration, Disruption, Drain, DrainTarget, Execution, Observations, Outcome,
    Refusal, Request, RequestKind, Scope, VersionMove,
};
use marigoldloom_standin::users::caller::Response;
use marigoldloom_standin::users::server::{self, Identity};
use marigoldloom_standin::users::shard::Signature;

/// Index of the replica that executes all requests.
const REPLICA: usize = 0;

/// Index of a replica in the other failure domain.
const REMOTE_REPLICA: usize = 1;

/// Adds a violation to observations.
type Mutation = fn(&mut Observations);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn identity(service: &str, shard: bool) -> Identity {
    Identity {
        id: "i-0-1".to_owned(),
        service: service.to_owned(),
        shard,
    }
}

fn signature(service: &str, request: &str) -> Signature {
    Signature {
        service: service.to_owned(),
        replica: "i-0-1".to_owned(),
        request: request.to_owned(),
    }
}

fn response(status: u16, headers: &str, body: Vec<u8>) -> Response {
    Response {
        head: format!("HTTP/1.1 {status} X\r\n{headers}"),
        body,
    }
}

/// Answer of one replica of `service`.
fn single_answer(service: &str, id: &str) -> Response {
    let signature = signature(service, id);
    let body = server::body(&identity(service, false), id);
    response(200, &format!("Server-Seal: {signature}"), body)
}

/// Answer merged from `services` that reports `missing` more shards.
fn merged_answer(services: &[String], missing: usize, id: &str) -> Response {
    let bodies = services
        .iter()
        .map(|s| server::body(&identity(s, true), id));
    let bodies: Vec<_> = bodies.collect();
    let mut records: Vec<_> = bodies.iter().flat_map(|b| b.chunks(16)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(deployment::RECORD_LIMIT);
    let signatures = services.iter().map(|s| signature(s, id).to_string());
    let signatures: Vec<_> = signatures.collect();
    let headers = format!(
        "Part-Seals: {}\r\nMissing-Parts: {missing}",
        signatures.join(", ")
    );
    response(200, &headers, records.concat())
}

fn request(kind: RequestKind, id: &str, sent_at: u64, response: Response) -> Request {
    let method = if kind == RequestKind::Job {
        "POST"
    } else {
        "GET"
    };
    Request {
        kind,
        line: format!("{method} {}{id}", deployment::path_prefix(kind)),
        body: Vec::new(),
        instance: 0,
        process: 1,
        sent_at: ms(sent_at),
        timeout: ms(1_000),
        end: Some((
            ms(sent_at + 100),
            Outcome::Answered {
                response,
                surplus: false,
            },
        )),
    }
}

fn execution(observations: &Observations, id: &str, service: &str, at: u64) -> Execution {
    let request = &observations.requests[id];
    Execution {
        id: Arc::from(id),
        replica: REPLICA,
        service: Arc::from(service),
        at: ms(at),
        line: request.line.clone(),
        body: request.body.clone(),
        timeout: Some((request.sent_at + request.timeout).saturating_sub(ms(at))),
    }
}

fn add_request(
    observations: &mut Observations,
    kind: RequestKind,
    id: &str,
    sent_at: u64,
    service: &str,
) {
    let response = match kind {
        RequestKind::Query => merged_answer(&deployment::shards(0), 0, id),
        _ => single_answer(service, id),
    };
    let request = request(kind, id, sent_at, response);
    observations.requests.insert(Arc::from(id), request);
    let services = match kind {
        RequestKind::Query => deployment::shards(0),
        _ => vec![service.to_owned()],
    };
    for service in services {
        let execution = execution(observations, id, &service, sent_at + 10);
        observations.executions.push(execution);
    }
}

/// Observations without a violation.
fn valid_observations() -> Observations {
    let mut observations = Observations {
        domains: vec![0, 1],
        maintenance_start: Some(ms(50_000)),
        ..Observations::default()
    };
    for (number, at, set) in [(1, 0, 0), (2, 10_000, 0)] {
        observations.configurations.push(Configuration {
            number,
            at: ms(at),
            shards: deployment::shards(set),
        });
    }
    add_request(&mut observations, RequestKind::Query, "query", 20_000, "");
    add_request(
        &mut observations,
        RequestKind::Fetch,
        "fetch",
        20_000,
        deployment::FETCH_SERVICE,
    );
    add_request(
        &mut observations,
        RequestKind::Job,
        "job",
        20_000,
        deployment::JOB_SERVICE,
    );
    add_request(
        &mut observations,
        RequestKind::Version,
        "old",
        9_000,
        "version1",
    );
    add_request(
        &mut observations,
        RequestKind::Version,
        "new",
        20_000,
        "version2",
    );
    observations
}

fn answer_mut<'a>(observations: &'a mut Observations, id: &str) -> &'a mut Response {
    match &mut observations.requests.get_mut(id).unwrap().end {
        Some((_, Outcome::Answered { response, .. })) => response,
        _ => panic!("{id} has no answer"),
    }
}

/// Adds requests of the fetch route at `sent_at`, all executed by [`REPLICA`].
fn add_fetches(observations: &mut Observations, prefix: &str, count: u32, sent_at: u64) {
    for number in 0..count {
        let id = format!("{prefix}{number}");
        let service = deployment::FETCH_SERVICE;
        add_request(observations, RequestKind::Fetch, &id, sent_at, service);
    }
}

/// Adds a bad version that runs on [`REPLICA`] and gets `count` requests in its window.
fn add_moved(observations: &mut Observations, count: u32) {
    add_fetches(observations, "moved", count, 21_000);
    observations.moves.push(VersionMove {
        service: deployment::FETCH_SERVICE.to_owned(),
        from: ms(20_500),
        window: ms(2_000),
        replicas: vec![REPLICA],
        bad_from: Some(ms(20_500)),
        state: Some("reverted".to_owned()),
    });
}

/// Adds a refusal by [`REPLICA`] that states a pause of 3 s, and `count` jobs that it gets 1 s later.
fn add_pause(observations: &mut Observations, count: u32) {
    observations.refusals.push(Refusal {
        id: Arc::from("job"),
        replica: REPLICA,
        at: ms(20_020),
        pause: Some(ms(3_000)),
    });
    add_jobs(observations, "pause", count, 21_000);
}

/// Adds requests of the job route at `sent_at`, all executed by [`REPLICA`].
fn add_jobs(observations: &mut Observations, prefix: &str, count: u32, sent_at: u64) {
    for number in 0..count {
        let id = format!("{prefix}{number}");
        let service = deployment::JOB_SERVICE;
        add_request(observations, RequestKind::Job, &id, sent_at, service);
    }
}

/// Adds a time in which [`REPLICA`] is cold, and `count` requests that it gets in one second.
fn add_cold(observations: &mut Observations, count: u32) {
    observations.cold_periods.push(ColdPeriod {
        replica: REPLICA,
        from: ms(25_000),
        until: ms(28_000),
    });
    add_fetches(observations, "cold", count, 26_000);
}

/// Adds executions of one request that crashes replicas.
fn add_crashes(observations: &mut Observations, count: u32, sent_at: u64) {
    let prefix = format!("crash{sent_at}-");
    add_fetches(observations, &prefix, count, sent_at);
    let line = "GET /fetch/crash-1";
    for request in observations.requests.iter_mut() {
        if request.0.starts_with("crash") {
            line.clone_into(&mut request.1.line);
            request.1.end = None;
        }
    }
    for execution in &mut observations.executions {
        if execution.id.starts_with("crash") {
            line.clone_into(&mut execution.line);
        }
    }
}

/// Adds a return of all instances at 45 s, and 60 requests at `sent_at`, of which `served` are
/// served.
fn add_return(observations: &mut Observations, served: u32, sent_at: u64) {
    observations.returned_at = Some(ms(45_000));
    add_fetches(observations, "returned", served, sent_at);
    for number in served..60 {
        let id = format!("refused{number}");
        let refusal = response(503, "", Vec::new());
        let request = request(RequestKind::Fetch, &id, sent_at, refusal);
        observations.requests.insert(Arc::from(id), request);
    }
}

fn set_end(observations: &mut Observations, id: &str, at: u64, outcome: Outcome) {
    observations.requests.get_mut(id).unwrap().end = Some((ms(at), outcome));
}

#[test]
fn valid_observations_give_no_violations() {
    assert_eq!(checks::violations(&valid_observations()), []);
}

#[test]
fn each_violation_is_found() {
    struct Case {
        name: &'static str,
        guarantee: Guarantee,
        mutate: Mutation,
    }
    let case = |name, guarantee, mutate| Case {
        name,
        guarantee,
        mutate,
    };
    let cases = [
        case("bytes after a response", Guarantee::Whole, |o| {
            let response = answer_mut(o, "fetch").clone();
            let surplus = true;
            set_end(o, "fetch", 20_100, Outcome::Answered { response, surplus });
        }),
        case("answer to another request", Guarantee::Whole, |o| {
            *answer_mut(o, "fetch") = single_answer(deployment::FETCH_SERVICE, "job");
        }),
        case("answer without a signature", Guarantee::Whole, |o| {
            answer_mut(o, "fetch").head = "HTTP/1.1 200 OK".to_owned();
        }),
        case("body cut short", Guarantee::Whole, |o| {
            answer_mut(o, "fetch").body.pop();
        }),
        case("records that are not the greatest", Guarantee::Whole, |o| {
            answer_mut(o, "query").body.rotate_left(16);
        }),
        case("part of another request", Guarantee::Whole, |o| {
            let other = merged_answer(&deployment::shards(0), 0, "fetch");
            *answer_mut(o, "query") = other;
        }),
        case("two parts of one shard", Guarantee::Whole, |o| {
            let mut shards = deployment::shards(0);
            shards[1] = shards[0].clone();
            *answer_mut(o, "query") = merged_answer(&shards, 0, "query");
        }),
        case("too few shards", Guarantee::Whole, |o| {
            let shards = deployment::shards(0);
            let missing = shards.len() - 2;
            *answer_mut(o, "query") = merged_answer(&shards[..2], missing, "query");
        }),
        case("shards of two sets", Guarantee::OneSet, |o| {
            let mut shards = deployment::shards(0);
            shards[0] = deployment::shards(1)[0].clone();
            *answer_mut(o, "query") = merged_answer(&shards, 0, "query");
        }),
        case("wrong number of missing shards", Guarantee::OneSet, |o| {
            *answer_mut(o, "query") = merged_answer(&deployment::shards(0), 1, "query");
        }),
        case(
            "valid request refused as unknown",
            Guarantee::Allowed,
            |o| {
                *answer_mut(o, "fetch") = response(404, "", Vec::new());
            },
        ),
        case("refused request ran", Guarantee::TrueRefusal, |o| {
            *answer_mut(o, "job") = response(503, "", Vec::new());
        }),
        case("ran twice", Guarantee::Once, |o| {
            let extra = execution(o, "job", deployment::JOB_SERVICE, 20_050);
            o.executions.push(extra);
        }),
        case("request line changed", Guarantee::Unchanged, |o| {
            o.executions.last_mut().unwrap().line.push('/');
        }),
        case("body changed", Guarantee::Unchanged, |o| {
            o.executions.last_mut().unwrap().body.push(b'x');
        }),
        case("no caller sent the request", Guarantee::Unchanged, |o| {
            o.executions.last_mut().unwrap().id = Arc::from("other");
        }),
        case("ran on another service", Guarantee::Routed, |o| {
            o.executions.last_mut().unwrap().service = Arc::from(deployment::FETCH_SERVICE);
        }),
        case("answer of another service", Guarantee::Routed, |o| {
            *answer_mut(o, "fetch") = single_answer(deployment::JOB_SERVICE, "fetch");
        }),
        case(
            "old configuration after the time limit",
            Guarantee::InForce,
            |o| {
                o.requests.remove("new");
                o.executions.retain(|execution| &*execution.id != "new");
                add_request(o, RequestKind::Version, "late", 13_200, "version1");
            },
        ),
        case("old shards after the time limit", Guarantee::InForce, |o| {
            o.configurations[1].shards = deployment::shards(1);
        }),
        case(
            "return to an older configuration",
            Guarantee::NotBack,
            |o| {
                add_request(o, RequestKind::Version, "early", 10_500, "version2");
                add_request(o, RequestKind::Version, "back", 11_500, "version1");
            },
        ),
        case("draining replica gets a request", Guarantee::Closed, |o| {
            o.drains.push(Drain {
                target: DrainTarget::Replica(REPLICA),
                from: ms(16_900),
                until: None,
            });
        }),
        case("evacuated domain gets a request", Guarantee::Closed, |o| {
            o.executions.last_mut().unwrap().replica = REMOTE_REPLICA;
            o.drains.push(Drain {
                target: DrainTarget::Domain(1),
                from: ms(14_900),
                until: Some(ms(30_000)),
            });
        }),
        case("too many extra attempts", Guarantee::Budget, |o| {
            for number in 0..60 {
                let extra = execution(o, "fetch", deployment::FETCH_SERVICE, 20_010 + number);
                o.executions.push(extra);
            }
        }),
        case(
            "attempt starts after its caller disconnected",
            Guarantee::Left,
            |o| {
                set_end(o, "fetch", 20_005, Outcome::Left);
                let late = execution(o, "fetch", deployment::FETCH_SERVICE, 20_600);
                o.executions.push(late);
            },
        ),
        case(
            "time limit past the caller's deadline",
            Guarantee::Patience,
            |o| {
                o.executions.last_mut().unwrap().timeout = Some(ms(1_600));
            },
        ),
        case("no time limit passed on", Guarantee::Patience, |o| {
            o.executions.last_mut().unwrap().timeout = None;
        }),
        case(
            "planned operation interrupts a request",
            Guarantee::Delivered,
            |o| {
                add_request(o, RequestKind::Job, "cut", 60_000, deployment::JOB_SERVICE);
                set_end(o, "cut", 60_100, Outcome::Lost);
            },
        ),
        case("no answer in time", Guarantee::Answered, |o| {
            add_request(o, RequestKind::Job, "slow", 60_000, deployment::JOB_SERVICE);
            set_end(o, "slow", 63_000, Outcome::Overdue);
        }),
        case(
            "few requests served after the faults",
            Guarantee::Recovered,
            |o| {
                for number in 0..60 {
                    let id = format!("refused{number}");
                    let refusal = response(503, "", Vec::new());
                    let request = request(RequestKind::Fetch, &id, 70_000, refusal);
                    o.requests.insert(Arc::from(id), request);
                }
            },
        ),
        case("bad version gets too much", Guarantee::Exposure, |o| {
            add_moved(o, 30);
        }),
        case(
            "bad version gets requests after it showed",
            Guarantee::Exposure,
            |o| {
                add_moved(o, 300);
                o.moves[0].state = None;
                add_fetches(o, "late", 1, 30_000);
            },
        ),
        case(
            "crashing request reaches more replicas",
            Guarantee::Crashing,
            |o| {
                add_crashes(o, 3, 20_000);
                add_crashes(o, 4, 24_500);
            },
        ),
        case(
            "request reaches a replica after its answer that it leaves",
            Guarantee::Closed,
            |o| {
                o.leaving.insert(REPLICA, ms(19_000));
                add_jobs(o, "late", 1, 23_200);
            },
        ),
        case(
            "refused request reaches a replica after its answer that it leaves",
            Guarantee::Closed,
            |o| {
                o.leaving.insert(REPLICA, ms(19_000));
                add_jobs(o, "late", 1, 23_200);
                let late = o.executions.pop().unwrap();
                set_end(o, "late0", 23_300, Outcome::Lost);
                o.refusals.push(Refusal {
                    id: late.id,
                    replica: REPLICA,
                    at: late.at,
                    pause: None,
                });
            },
        ),
        case("requests in a pause", Guarantee::Pause, |o| add_pause(o, 3)),
        case("too many requests while cold", Guarantee::Cold, |o| {
            add_cold(o, 7);
        }),
        case(
            "crashing request of a split reaches more replicas",
            Guarantee::Crashing,
            |o| {
                add_crashes(o, 3, 20_000);
                add_crashes(o, 4, 24_500);
                for execution in o.executions.iter_mut().rev().step_by(2).take(3) {
                    let request = o.requests.get_mut(&execution.id).unwrap();
                    request.kind = RequestKind::Split;
                    execution.service = Arc::from("version1");
                }
            },
        ),
        case("split reaches another service", Guarantee::Routed, |o| {
            let service = deployment::FETCH_SERVICE;
            add_request(o, RequestKind::Split, "split", 20_000, service);
        }),
        case("instance exits unexpectedly", Guarantee::Alive, |o| {
            o.unexpected_exits
                .push((0, ms(1_000), "exit status: 1".to_owned()));
        }),
        case("signal ends an instance", Guarantee::Alive, |o| {
            o.unexpected_exits
                .push((0, ms(1_000), "signal: 1 (SIGHUP)".to_owned()));
        }),
        case(
            "few requests served after a return",
            Guarantee::Return,
            |o| {
                add_return(o, 14, 57_500);
            },
        ),
    ];
    for Case {
        name,
        guarantee,
        mutate,
    } in cases
    {
        let mut observations = valid_observations();
        mutate(&mut observations);
        let found = checks::violations(&observations);
        let guarantees: Vec<_> = found.iter().map(|v| v.guarantee).collect();
        assert!(guarantees.contains(&guarantee), "{name}: {found:?}");
    }
}

/// Guards against false alarms at the bounds of what replicas that leave, want no requests or are
/// cold may get.
#[test]
fn bounds_of_notices_are_kept() {
    struct Case {
        name: &'static str,
        mutate: Mutation,
        disrupted: Option<Scope>,
    }
    let leaving: Mutation = |o| {
        o.leaving.insert(REPLICA, ms(19_000));
        add_jobs(o, "late", 1, 23_200);
    };
    let case = |name, mutate, disrupted| Case {
        name,
        mutate,
        disrupted,
    };
    let instance = Some(Scope::Instance(0));
    let cases = [
        case(
            "sent before the limit",
            |o| {
                o.leaving.insert(REPLICA, ms(19_000));
                add_jobs(o, "early", 1, 23_050);
            },
            None,
        ),
        case("two requests in a pause", |o| add_pause(o, 2), None),
        case("six requests while cold", |o| add_cold(o, 6), None),
        case("instance frozen after an answer", leaving, instance),
        case("instance frozen in a pause", |o| add_pause(o, 3), instance),
        case("instance frozen while cold", |o| add_cold(o, 7), instance),
    ];
    for Case {
        name,
        mutate,
        disrupted,
    } in cases
    {
        let mut observations = valid_observations();
        mutate(&mut observations);
        if let Some(scope) = disrupted {
            observations.disruptions.push(Disruption {
                scope,
                from: ms(20_500),
                until: Some(ms(22_000)),
            });
        }
        assert_eq!(checks::violations(&observations), [], "{name}");
    }
}

/// Guards against false alarms at the bounds of what must be served after a return.
#[test]
fn bounds_of_a_return_are_kept() {
    for (served, sent_at) in [(15, 57_500), (0, 56_900), (0, 60_100)] {
        let mut observations = valid_observations();
        add_return(&mut observations, served, sent_at);
        let found = checks::violations(&observations);
        let missed = found.iter().any(|v| v.guarantee == Guarantee::Return);
        assert!(!missed, "{served} served at {sent_at} ms: {found:?}");
    }
}

/// Guards against false alarms: a disruption of the store, an instance or a replica explains late
/// reactions.
#[test]
fn disruptions_excuse_late_reactions() {
    let excused: [(&str, Mutation); 3] = [
        ("old configuration", |o| {
            add_request(o, RequestKind::Version, "late", 13_200, "version1");
            o.requests.remove("new");
            o.executions.retain(|execution| &*execution.id != "new");
        }),
        ("draining replica", |o| {
            o.drains.push(Drain {
                target: DrainTarget::Replica(REPLICA),
                from: ms(16_900),
                until: None,
            });
        }),
        ("time limit past the caller's deadline", |o| {
            o.executions.last_mut().unwrap().timeout = Some(ms(1_600));
        }),
    ];
    for (name, mutate) in excused {
        // A replica's link can delay executions, but not the configuration of an instance.
        let delayed = (name != "old configuration").then_some((Scope::Replica(REPLICA), 20_000));
        let disrupted = [(Scope::Instance(0), 17_000), (Scope::Store, 17_000)];
        for (scope, until) in disrupted.into_iter().chain(delayed) {
            let mut observations = valid_observations();
            mutate(&mut observations);
            observations.disruptions.push(Disruption {
                scope,
                from: ms(9_000),
                until: Some(ms(until)),
            });
            assert_eq!(checks::violations(&observations), [], "{name}, {scope:?}");
        }
    }
}

/// Guards against checks that let a past disruption of a replica excuse later requests.
#[test]
fn disruption_that_ended_before_the_request_excuses_nothing() {
    let mut observations = valid_observations();
    observations.executions.last_mut().unwrap().timeout = Some(ms(1_600));
    observations.disruptions.push(Disruption {
        scope: Scope::Replica(REPLICA),
        from: ms(9_000),
        until: Some(ms(9_500)),
    });
    let found = checks::violations(&observations);
    let guarantees: Vec<_> = found.iter().map(|v| v.guarantee).collect();
    assert!(guarantees.contains(&Guarantee::Patience), "{found:?}");
}
