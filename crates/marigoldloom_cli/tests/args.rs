//! Tests command-line parsing.

use std::time::Duration;

use marigoldloom_cli::args::{
    self, Action, Invocation, MoveStart, Options, Precondition, Put, Target, Watch,
};
use marigoldloom_cli::output;
use marigoldloom_platform::object::{Revision, Version};
use marigoldloom_records::failure_domain;
use marigoldloom_records::record::Kind;

fn parse(line: &str) -> Result<Invocation, args::Error> {
    args::parse(lexopt::Parser::from_args(line.split_whitespace()))
}

fn target(kind: Kind, name: &str) -> Target {
    let name = name.to_owned();
    Target { kind, name }
}

fn put(precondition: Precondition) -> Action {
    Action::Put(Put {
        kind: Kind::Service,
        file: "a.toml".into(),
        precondition,
    })
}

fn start(within: Duration) -> Action {
    Action::MoveStart(MoveStart {
        name: "m1".to_owned(),
        service: "search".to_owned(),
        to: "v2".to_owned(),
        within,
    })
}

struct ParseCase {
    line: &'static str,
    action: Action,
}

fn parse_case(line: &'static str, action: Action) -> ParseCase {
    ParseCase { line, action }
}

/// Guards against a command line that is parsed as another command or with other arguments.
#[test]
fn commands_are_parsed() {
    let riga = || target(Kind::FailureDomain, "riga");
    let domain = |state| Action::Domain {
        name: "riga".to_owned(),
        state,
    };
    let watch = |kinds, since, count| {
        Action::Watch(Watch {
            kinds,
            since,
            count,
        })
    };
    let cases = [
        parse_case("--help", Action::Help),
        parse_case("get -h", Action::Help),
        parse_case("-V", Action::Version),
        parse_case("get domain riga", Action::Get(riga())),
        parse_case("list upstream", Action::List(Kind::Upstream)),
        parse_case("put service a.toml", put(Precondition::Unspecified)),
        parse_case(
            "put service --if-version 7 a.toml",
            put(Precondition::Version(Version(7))),
        ),
        parse_case("put service a.toml --force", put(Precondition::Force)),
        parse_case(
            "delete domain riga --if-version=2",
            Action::Delete(riga(), Precondition::Version(Version(2))),
        ),
        parse_case(
            "delete domain riga --force",
            Action::Delete(riga(), Precondition::Force),
        ),
        parse_case("watch move", watch(vec![Kind::VersionMove], None, None)),
        parse_case(
            "watch move domain --since 4 --count 2",
            watch(
                vec![Kind::VersionMove, Kind::FailureDomain],
                Some(Revision(4)),
                Some(2),
            ),
        ),
        parse_case("domain out riga", domain(failure_domain::State::Out)),
        parse_case("domain in riga", domain(failure_domain::State::Active)),
        parse_case(
            "move start m1 --service search --to v2 --within 30m",
            start(Duration::from_secs(1_800)),
        ),
        parse_case(
            "move start m1 --service search --to v2 --within 1500ms",
            start(Duration::from_millis(1_500)),
        ),
        parse_case("move status m1", Action::MoveStatus("m1".to_owned())),
        parse_case("move follow m1", Action::MoveFollow("m1".to_owned())),
        parse_case("move take-back m1", Action::MoveTakeBack("m1".to_owned())),
        parse_case("events", Action::Events { after: 0 }),
        parse_case("events --after 12", Action::Events { after: 12 }),
        parse_case("members", Action::Members),
        parse_case(
            "explain r-1",
            Action::Explain {
                request: "r-1".to_owned(),
            },
        ),
    ];
    for case in cases {
        let invocation = parse(case.line).unwrap();
        assert_eq!(invocation.action, case.action, "{}", case.line);
        assert_eq!(invocation.options, Options::default(), "{}", case.line);
    }
}

/// Guards against common options that are accepted but ignored.
#[test]
fn common_options_are_parsed_in_any_position() {
    let line = "--platform 10.0.0.1:1 members --admin [::1]:2 --output json --timeout-ms 50";
    let options = Options {
        platform: "10.0.0.1:1".parse().unwrap(),
        admin: "[::1]:2".parse().unwrap(),
        output: output::Format::Json,
        timeout: Duration::from_millis(50),
    };
    assert_eq!(parse(line).unwrap().options, options);
}

struct ErrorCase {
    line: &'static str,
    reason: &'static str,
}

const fn error_case(line: &'static str, reason: &'static str) -> ErrorCase {
    ErrorCase { line, reason }
}

const ERROR_CASES: &[ErrorCase] = &[
    error_case("", "a command is missing"),
    error_case("fetch domain riga", "unknown command \"fetch\""),
    error_case(
        "get domian riga",
        "unknown kind \"domian\"; the kinds are domain, service,",
    ),
    error_case("get domain", "NAME is missing"),
    error_case("get domain riga nord", "unexpected argument \"nord\""),
    error_case(
        "get domain riga --force",
        "this command doesn't support --force",
    ),
    error_case("get domain riga --focre", "invalid option '--focre'"),
    error_case("get domain riga -x", "invalid option '-x'"),
    error_case("delete domain riga", "--if-version or --force is missing"),
    error_case(
        "put domain a.json --force --if-version 1",
        "--if-version and --force exclude each other",
    ),
    error_case(
        "put domain a.json --if-version one",
        "--if-version: \"one\" is not valid",
    ),
    error_case(
        "events --after 1 --after 2",
        "--after is given more than once",
    ),
    error_case("domain down riga", "unknown command \"domain down\""),
    error_case("move pause m1", "unknown command \"move pause\""),
    error_case("move start m1 --to v2 --within 1h", "--service is missing"),
    error_case(
        "move start m1 --service s --to v2 --within 30",
        "--within: \"30\" is not valid",
    ),
    error_case(
        "move start m1 --service s --to v2 --within 99999999999999h",
        "--within: \"99999999999999h\" is not valid",
    ),
    error_case("members --output yaml", "--output: \"yaml\" is not valid"),
    error_case(
        "members --admin localhost",
        "--admin: \"localhost\" is not valid",
    ),
    error_case("members --admin", "missing argument for option '--admin'"),
];

/// Guards against a mistyped command line that runs as another command.
#[test]
fn invalid_command_lines_are_rejected() {
    for case in ERROR_CASES {
        let shown = parse(case.line).unwrap_err().to_string();
        assert!(shown.starts_with(case.reason), "{}: {shown}", case.line);
    }
}
