//! Command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use marigoldloom_daemon::command::{self, Command};
use marigoldloom_daemon::trial;

struct Case {
    name: &'static str,
    args: &'static [&'static str],
    expected: Result<Command, &'static str>,
}

fn cases() -> Vec<Case> {
    let file = PathBuf::from("a.toml");
    vec![
        Case {
            name: "settings file",
            args: &["--settings", "a.toml"],
            expected: Ok(Command::Run { file: file.clone() }),
        },
        Case {
            name: "check",
            args: &["--check=a.toml"],
            expected: Ok(Command::Check { file }),
        },
        Case {
            name: "addresses may precede the trial",
            args: &["--caller", "127.0.0.1:1", "--trial"],
            expected: Ok(Command::Trial(trial::Addresses {
                caller: ([127, 0, 0, 1], 1).into(),
                ..trial::Addresses::default()
            })),
        },
        Case {
            name: "no command",
            args: &[],
            expected: Err("one of --settings, --check and --trial is required"),
        },
        Case {
            name: "unknown option",
            args: &["--fast"],
            expected: Err("invalid option '--fast'"),
        },
        Case {
            name: "missing value",
            args: &["--settings"],
            expected: Err("missing argument for option '--settings'"),
        },
    ]
}

/// Guards against options that are ignored or parsed wrongly.
#[test]
fn command_line_is_parsed() {
    for case in cases() {
        let args = case.args.iter().map(OsString::from);
        let parsed = command::parse(args).map_err(|e| e.to_string());
        let expected = case.expected.map_err(str::to_owned);
        assert_eq!(parsed, expected, "{}", case.name);
    }
}
