//! Tests the commands against the platform stand-in over loopback.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use async_std::task;
use futures::future;
use http_types::StatusCode;
use marigoldloom_cli::error::Error;
use marigoldloom_cli::output::Printer;
use marigoldloom_cli::{args, run};
use marigoldloom_http::{message, server};
use marigoldloom_platform::memory::{Faults, MemoryPlatform};
use marigoldloom_platform::object::Key;
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_standin::platform;
use serde_json::{Value, json};

struct Fixture {
    memory: MemoryPlatform<AsyncStd>,
    server: server::Server,
}

async fn start_fixture() -> Fixture {
    let memory = MemoryPlatform::new(AsyncStd::new());
    let address = ([127, 0, 0, 1], 0).into();
    let server = platform::bind(address, memory.clone()).await.unwrap();
    Fixture { memory, server }
}

impl Fixture {
    async fn run(&self, line: &str) -> Result<String, Error> {
        run_at(self.server.address(), self.server.address(), line).await
    }

    async fn write(&self, kind: &str, value: &Value) {
        let name = value["name"].as_str().unwrap();
        let key = Key::new(kind, name);
        let written = self.memory.put(&key, value, Condition::Any).await;
        written.unwrap();
    }

    async fn value(&self, kind: &str, name: &str) -> Value {
        let object = self.memory.get(&Key::new(kind, name)).await.unwrap();
        object.unwrap().value
    }
}

async fn run_at(platform: SocketAddr, admin: SocketAddr, line: &str) -> Result<String, Error> {
    let line = format!("--platform {platform} --admin {admin} --timeout-ms 1000 {line}");
    let parser = lexopt::Parser::from_args(line.split_whitespace());
    let invocation = args::parse(parser).unwrap();
    let mut printer = Printer::new(invocation.options.output, Vec::new());
    let result = run::run(&AsyncStd::new(), &invocation, &mut printer).await;
    result.map(|()| String::from_utf8(printer.into_sink()).unwrap())
}

fn failure_text(error: &Error) -> String {
    let mut printer = Printer::new(Default::default(), Vec::new());
    printer.failure(error).unwrap();
    String::from_utf8(printer.into_sink()).unwrap()
}

fn domain(state: &str) -> Value {
    json!({ "schema": 1, "name": "riga", "region": "baltic", "state": state, "rack": "r7" })
}

fn service() -> Value {
    json!({
        "schema": 1, "name": "search", "active": "v1", "deadline_ms": 280,
        "versions": { "v1": { "shards": 20, "epoch": 1 }, "v2": { "shards": 20, "epoch": 1 } },
        "routes": { "find": { "idempotent": true } },
    })
}

/// A file that is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let unique = format!("marigoldloom-{}-{name}", std::process::id());
        let path = env::temp_dir().join(unique);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Guards against a record that changes in a round trip through the tool.
#[test]
fn records_are_written_read_and_deleted() {
    task::block_on(async {
        let fixture = start_fixture().await;
        let toml =
            "schema = 1\nname = \"riga\"\nregion = \"baltic\"\nstate = \"active\"\nrack = \"r7\"";
        let file = TempFile::new("round.toml", toml);
        let put = format!("put domain {}", file.path());
        fixture.run(&put).await.unwrap();
        assert_eq!(fixture.value("domain", "riga").await, domain("active"));
        let table = fixture.run("get domain riga").await.unwrap();
        assert!(
            table.starts_with("field         value\nkind          domain\n"),
            "{table}"
        );
        assert!(table.contains("value.rack    r7\n"), "{table}");
        let list = fixture.run("list domain").await.unwrap();
        let expected = "object  object_version  name  rack  region  schema  state\n\
                        riga    1               riga  r7    baltic  1       active\n";
        assert_eq!(list, expected);
        fixture
            .run("delete domain riga --if-version 1")
            .await
            .unwrap();
        let absent = fixture.run("get domain riga").await.unwrap_err();
        assert_eq!(
            (absent.code(), absent.to_string()),
            (1, "domain/riga doesn't exist".into())
        );
    });
}

/// Guards against writing an edited file over a change made since the file was read.
#[test]
fn edited_output_of_get_is_written_only_if_unchanged() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("domain", &domain("active")).await;
        let text = fixture.run("get domain riga --output json").await.unwrap();
        let file = TempFile::new("edited.json", &text.replace("r7", "r8"));
        let put = format!("put domain {}", file.path());
        fixture.run(&put).await.unwrap();
        let conflict = fixture.run(&put).await.unwrap_err();
        assert_eq!(conflict.code(), 3);
        fixture.run(&format!("{put} --force")).await.unwrap();
    });
}

/// Guards against writing an invalid record, which every instance would reject.
#[test]
fn bad_files_are_refused_before_they_are_written() {
    let cases = [
        ("a.json", "{", "EOF while parsing"),
        ("b.toml", "a = [", "TOML parse error"),
        ("c.yaml", "", "must end in .json or .toml"),
        ("d.toml", "schema = 1", "missing field"),
        (
            "e.json",
            r#"{"schema":2,"name":"riga"}"#,
            "schema 2 is newer than 1",
        ),
        (
            "f.json",
            r#"{"schema":1,"name":"riga","region":"","state":"out"}"#,
            "domain \"riga\": region:",
        ),
    ];
    task::block_on(async {
        let fixture = start_fixture().await;
        for (name, text, reason) in cases {
            let file = TempFile::new(name, text);
            let error = fixture.run(&format!("put domain {}", file.path())).await;
            let error = error.unwrap_err();
            assert_eq!(error.code(), 1, "{name}");
            assert!(error.to_string().contains(reason), "{error}");
        }
        assert_eq!(fixture.memory.counters().calls(), 0);
    });
}

/// Guards against two concurrent writes that both report success.
#[test]
fn one_of_two_racing_operators_wins_and_the_other_sees_what_changed() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("domain", &domain("active")).await;
        let files = ["r8", "r9"].map(|rack| {
            let mut value = domain("active");
            value["rack"] = json!(rack);
            TempFile::new(&format!("{rack}.json"), &value.to_string())
        });
        let puts = files
            .each_ref()
            .map(|f| format!("put domain {} --if-version 1", f.path()));
        let (first, second) = race(&fixture, &puts[0], &puts[1]).await;
        let (winner, loser, conflict) = match (first, second) {
            (Ok(_), Err(conflict)) => ("r8", "r9", conflict),
            (Err(conflict), Ok(_)) => ("r9", "r8", conflict),
            results => panic!("expected one winner: {results:?}"),
        };
        assert_eq!(conflict.code(), 3);
        let text = format!(
            "marigoldloom: domain/riga was not written: it has changed or exists already, \
             now at version 2\nfield  yours  now\nrack   {loser}     {winner}\n"
        );
        assert_eq!(failure_text(&conflict), text);
        assert_eq!(fixture.value("domain", "riga").await["rack"], winner);
    });
}

async fn race(
    fixture: &Fixture,
    first: &str,
    second: &str,
) -> (Result<String, Error>, Result<String, Error>) {
    future::join(fixture.run(first), fixture.run(second)).await
}

/// Guards against `domain out` and `domain in` that overwrite a change made between their read
/// and their write.
#[test]
fn domain_commands_keep_other_fields_and_see_conflicts() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("domain", &domain("active")).await;
        fixture.run("domain out riga").await.unwrap();
        assert_eq!(fixture.value("domain", "riga").await, domain("out"));
        let again = fixture.run("domain out riga").await.unwrap();
        assert!(again.contains("version       2\n"), "{again}");
        let delay_ms = 400;
        fixture.memory.set_faults(Faults {
            delay_ms,
            ..Faults::default()
        });
        let concurrent_write = async {
            task::sleep(Duration::from_millis(delay_ms)).await;
            let mut value = domain("out");
            value["rack"] = json!("r9");
            fixture.memory.set_faults(Faults::default());
            fixture.write("domain", &value).await;
        };
        let (result, ()) = future::join(fixture.run("domain in riga"), concurrent_write).await;
        let text = failure_text(&result.unwrap_err());
        assert!(
            text.contains("field  when read  now\nrack   r7         r9\n"),
            "{text}"
        );
        assert_eq!(fixture.value("domain", "riga").await["state"], "out");
    });
}

struct FaultCase {
    line: &'static str,
    faults: Faults,
    code: u8,
}

/// Guards against a write with an unknown outcome that is reported as a success or as a failure.
#[test]
fn unreachable_and_unknown_outcome_have_their_own_exit_codes() {
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 3_000,
        ..Faults::default()
    };
    let case = |line, faults, code| FaultCase { line, faults, code };
    let cases = [
        case("get domain riga", down, 4),
        case("delete domain riga --force", down, 4),
        case("delete domain riga --force", slow, 5),
    ];
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("domain", &domain("active")).await;
        for case in cases {
            fixture.memory.set_faults(case.faults);
            let error = fixture.run(case.line).await.unwrap_err();
            assert_eq!(error.code(), case.code, "{}: {error}", case.line);
        }
        fixture.memory.set_faults(Faults {
            lost_answers: 1,
            ..Faults::default()
        });
        fixture
            .run("domain out riga")
            .await
            .expect("reading back finds the write");
        let closed_address = ([127, 0, 0, 1], 1).into();
        let error = run_at(closed_address, closed_address, "members")
            .await
            .unwrap_err();
        assert_eq!(error.code(), 4);
    });
}

/// Guards against moves of an unknown service, to an unknown or the active version, and against
/// two concurrent moves of one service.
#[test]
fn invalid_moves_are_not_started() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("service", &service()).await;
        let start = |name: &str, service: &str, to: &str| {
            format!("move start {name} --service {service} --to {to} --within 30m")
        };
        let unknown_service = fixture.run(&start("m1", "office", "v2")).await.unwrap_err();
        assert_eq!(unknown_service.to_string(), "service/office doesn't exist");
        let unknown_version = fixture.run(&start("m1", "search", "v3")).await.unwrap_err();
        assert_eq!(
            unknown_version.to_string(),
            "service \"search\" has no version \"v3\""
        );
        let active = fixture.run(&start("m1", "search", "v1")).await.unwrap_err();
        assert!(matches!(active, Error::AlreadyActive { .. }));
        fixture.run(&start("m1", "search", "v2")).await.unwrap();
        let value = fixture.value("move", "m1").await;
        let time = |field: &str| value[field].as_u64().unwrap();
        assert_eq!(time("deadline_ms") - time("start_ms"), 1_800_000);
        assert_eq!((&value["from"], &value["to"]), (&json!("v1"), &json!("v2")));
        let busy = fixture.run(&start("m2", "search", "v2")).await.unwrap_err();
        assert!(matches!(busy, Error::MoveInProgress { .. }));
    });
}

/// Guards against a take-back that fails because an instance updated the status meanwhile, and
/// against one that is accepted after the move has ended.
#[test]
fn moves_are_taken_back_despite_status_reports() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("service", &service()).await;
        let line = "move start m1 --service search --to v2 --within 30m";
        fixture.run(line).await.unwrap();
        let before = fixture.value("move", "m1").await;
        let delay_ms = 400;
        fixture.memory.set_faults(Faults {
            delay_ms,
            ..Faults::default()
        });
        let status_update = async {
            task::sleep(Duration::from_millis(delay_ms)).await;
            let mut value = before;
            value["status"]["reason"] = json!("5% on the new version");
            fixture.memory.set_faults(Faults::default());
            fixture.write("move", &value).await;
        };
        let take_back = fixture.run("move take-back m1");
        let (result, ()) = future::join(take_back, status_update).await;
        result.unwrap();
        let mut value = fixture.value("move", "m1").await;
        assert_eq!(value["intent"], "take_back");
        assert_eq!(value["status"]["reason"], "5% on the new version");
        value["intent"] = json!("proceed");
        value["status"]["phase"] = json!("done");
        fixture.write("move", &value).await;
        let ended = fixture.run("move take-back m1").await.unwrap_err();
        assert!(matches!(ended, Error::MoveEnded { .. }));
    });
}

/// Guards against `move follow` that misses the end of a move or fails during an outage.
#[test]
fn follow_prints_each_status_and_retries_during_an_outage() {
    task::block_on(async {
        let fixture = start_fixture().await;
        fixture.write("service", &service()).await;
        let line = "move start m1 --service search --to v2 --within 30m";
        fixture.run(line).await.unwrap();
        let steps = async {
            let mut value = fixture.value("move", "m1").await;
            task::sleep(Duration::from_millis(300)).await;
            let down = Faults {
                down: true,
                ..Faults::default()
            };
            fixture.memory.set_faults(down);
            task::sleep(Duration::from_millis(300)).await;
            fixture.memory.set_faults(Faults::default());
            value["status"]["phase"] = json!("taken_back");
            value["status"]["reason"] = json!("route find: 9 of 20 failed");
            value["status"]["evidence"] = json!({ "find": {
                "requests": 20, "failures": 9, "old_requests": 400, "old_failures": 1, "old_slow": 2,
            } });
            fixture.write("move", &value).await;
        };
        let follow = fixture.run("move follow m1");
        let (result, ()) = future::join(follow, steps).await;
        let error = result.unwrap_err();
        let text = "move \"m1\" was taken back: route find: 9 of 20 failed";
        assert_eq!((error.code(), error.to_string().as_str()), (1, text));
        let status = fixture.run("move status m1").await.unwrap();
        assert!(status.contains("phase      taken back\n"), "{status}");
        let counts = "route  version  requests  failures  slow\n\
                      find   v2       20        9         0\n\
                      find   v1       400       1         2\n";
        assert!(status.ends_with(counts), "{status}");
    });
}

/// Guards against a watch that ends too early, repeats writes or prints other kinds.
#[test]
fn watch_prints_the_writes_of_its_kinds() {
    task::block_on(async {
        let fixture = start_fixture().await;
        for _ in 0..2 {
            fixture.write("domain", &domain("active")).await;
            fixture.write("service", &service()).await;
        }
        let line = "watch domain --since 0 --count 2 --output json";
        let text = fixture.run(line).await.unwrap();
        let changes: Vec<Value> = text
            .lines()
            .map(|l| serde_json::from_str(l).unwrap())
            .collect();
        let revisions: Vec<&Value> = changes.iter().map(|c| &c["revision"]).collect();
        assert_eq!(revisions, [&json!(1), &json!(3)]);
    });
}

/// Fake of an instance's admin interface.
struct FakeInstance;

impl server::Handler for FakeInstance {
    async fn handle(&self, request: message::Request) -> message::Response {
        let event = |number: u64, subject: &str, evidence: Value| {
            json!({
                "number": number, "at_ms": 5_000, "kind": "refused", "subject": subject,
                "cause": "the queue is full", "evidence": evidence,
            })
        };
        let body = match (request.path(), request.head.url().query()) {
            ("/admin/events", Some("after=0")) => json!([
                event(1, "r-1", json!({})),
                event(2, "u-1", json!({ "request": "r-2" })),
                event(3, "r-3", json!({})),
            ]),
            ("/admin/events", Some("after=2")) => json!([event(3, "r-3", json!({}))]),
            ("/admin/members", None) => json!([{ "name": "riga-1", "state": "alive" }]),
            _ => return message::Response::new(StatusCode::NotFound),
        };
        message::Response::json_body(StatusCode::Ok, &body)
    }
}

struct AdminCase {
    line: &'static str,
    shown: &'static str,
}

/// Guards against `explain` that misses an event or prints one that concerns another request.
#[test]
fn instances_are_asked_for_events_and_members() {
    let cases = [
        AdminCase {
            line: "members",
            shown: "name    state\nriga-1  alive\n",
        },
        AdminCase {
            line: "events --after 2",
            shown: "number  time                  decision         subject  cause              evidence\n\
                    3       1970-01-01T00:00:05Z  request refused  r-3      the queue is full  {}\n",
        },
        AdminCase {
            line: "explain r-2",
            shown: "number  time                  decision         subject  cause              evidence\n\
                    2       1970-01-01T00:00:05Z  request refused  u-1      the queue is full  {\"request\":\"r-2\"}\n",
        },
    ];
    task::block_on(async {
        let address = ([127, 0, 0, 1], 0).into();
        let settings = server::Settings::default();
        let server = server::bind(address, settings, FakeInstance).await.unwrap();
        let address = server.address();
        for case in cases {
            let text = run_at(address, address, case.line).await.unwrap();
            assert_eq!(text, case.shown, "{}", case.line);
        }
        let no_events = run_at(address, address, "explain r-9").await.unwrap_err();
        assert!(matches!(no_events, Error::NoEvents { .. }));
        let unexpected = run_at(address, address, "events --after 7")
            .await
            .unwrap_err();
        assert!(matches!(
            unexpected,
            Error::UnexpectedResponse { status: 404, .. }
        ));
    });
}

struct ProcessCase {
    line: &'static str,
    code: i32,
    stdout: &'static str,
    stderr: &'static str,
}

const fn process_case(
    line: &'static str,
    code: i32,
    stdout: &'static str,
    stderr: &'static str,
) -> ProcessCase {
    ProcessCase {
        line,
        code,
        stdout,
        stderr,
    }
}

/// Guards against changes of the exit codes and output streams that scripts rely on.
#[test]
fn program_reports_by_exit_code_and_stream() {
    let version = concat!("marigoldloom ", env!("CARGO_PKG_VERSION"), "\n");
    let unreachable = "marigoldloom: the platform can't be reached; nothing was written\n";
    let json = "{\n  \"code\": 4,\n  \"message\": \"the platform can't be reached";
    let cases = [
        process_case("--help", 0, "marigoldloom: the operators' tool\n", ""),
        process_case("--version", 0, version, ""),
        process_case("get domain", 2, "", "marigoldloom: NAME is missing\nSee"),
        process_case("get domain riga --platform 127.0.0.1:1", 4, "", unreachable),
        process_case(
            "list move --platform 127.0.0.1:1 --output json",
            4,
            "",
            json,
        ),
    ];
    for case in cases {
        let program = env!("CARGO_BIN_EXE_marigoldloom");
        let output = Command::new(program)
            .args(case.line.split(' '))
            .output()
            .unwrap();
        let (stdout, stderr) = [output.stdout, output.stderr]
            .map(|s| String::from_utf8(s).unwrap())
            .into();
        assert_eq!(output.status.code(), Some(case.code), "{}", case.line);
        assert!(stdout.starts_with(case.stdout), "{stdout}");
        assert!(stderr.starts_with(case.stderr), "{stderr}");
        assert_eq!(stdout.is_empty(), case.stdout.is_empty(), "{stdout}");
    }
}
