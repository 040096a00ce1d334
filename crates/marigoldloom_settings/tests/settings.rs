//! Settings file: defaults, the documented example and rejected values.

use std::path;

use marigoldloom_settings::error::Error;
use marigoldloom_settings::load;
use marigoldloom_settings::settings::{Limits, Listen, Log, Platform, Settings};

const EXAMPLE: &str = include_str!("../../../docs/marigoldloomd.example.toml");
const INSTANCE: &str = "[instance]\nname = \"riga-1\"\ndomain = \"riga\"\n";

fn parse(text: &str) -> Result<Settings, Error> {
    load::parse(path::Path::new("node.toml"), text)
}

struct InvalidCase {
    text: &'static str,
    key: &'static str,
    reason: &'static str,
}

const fn invalid_case(text: &'static str, key: &'static str, reason: &'static str) -> InvalidCase {
    InvalidCase { text, key, reason }
}

const INVALID_CASES: &[InvalidCase] = &[
    invalid_case(
        "[limits]\nconcurency = 1",
        "limits.concurency",
        "unknown field `concurency`",
    ),
    invalid_case("[metrics]\nport = 1", "metrics", "unknown field `metrics`"),
    invalid_case(
        "[limits]\nconcurrency = 0",
        "limits.concurrency",
        "0 is outside 1..=1000000",
    ),
    invalid_case(
        "[limits]\nqueue = 1000001",
        "limits.queue",
        "1000001 is outside 0..=1000000",
    ),
    invalid_case(
        "[limits]\nqueue = -1",
        "limits.queue",
        "invalid value: integer `-1`",
    ),
    invalid_case(
        "[limits]\nbody_bytes = 64000001",
        "limits.body_bytes",
        "64000001 is outside 1..=64000000",
    ),
    invalid_case(
        "[limits]\ndrain_ms = 600001",
        "limits.drain_ms",
        "600001 is outside 0..=600000",
    ),
    invalid_case(
        "[platform]\ntimeout_ms = 0",
        "platform.timeout_ms",
        "0 is outside 1..=600000",
    ),
    invalid_case(
        "[platform]\naddress = \"platform:80\"",
        "platform.address",
        "invalid socket address",
    ),
    invalid_case(
        "[peers]\nseeds = [\"10.0.0.1:1\", \"0.0.0.0:1\"]",
        "peers.seeds",
        "0.0.0.0:1 can't be connected to",
    ),
    invalid_case(
        "[listen]\npeer = \"0.0.0.0:1\"",
        "listen.peer",
        "0.0.0.0:1 can't be connected to",
    ),
    invalid_case(
        "[listen]\nadmin = \"127.0.0.1:8080\"",
        "listen.admin",
        "127.0.0.1:8080 is also the value of listen.caller",
    ),
    invalid_case(
        "[tenants.coaches]\nweight = 0",
        "tenants.coaches.weight",
        "0 is outside 1..=1000",
    ),
    invalid_case(
        "[tenants.\"a b\"]\nweight = 1",
        "tenants",
        "\"a b\" is not a valid name",
    ),
    invalid_case(
        "[log]\nlevel = \"loud\"",
        "log.level",
        "unknown variant `loud`",
    ),
    invalid_case("[log", ".", "TOML parse error at line 4"),
];

/// Guards against a misspelt key that silently leaves a default in effect, and against errors
/// that don't name the file and key.
#[test]
fn errors_name_file_key_and_reason() {
    for case in INVALID_CASES {
        let error = parse(&format!("{INSTANCE}{}", case.text)).unwrap_err();
        let message = error.to_string();
        let prefix = format!("node.toml: {}: ", case.key);
        assert!(message.starts_with(&prefix), "{message}");
        assert!(message.contains(case.reason), "{message}");
    }
}

/// Guards against an instance that starts without an identity.
#[test]
fn name_and_domain_are_required() {
    let cases = [
        ("", "instance"),
        ("[instance]\nname = \"riga-1\"", "domain"),
        (
            "[instance]\nname = \"\"\ndomain = \"riga\"",
            "instance.name",
        ),
    ];
    for (text, key) in cases {
        let message = parse(text).unwrap_err().to_string();
        assert!(message.contains(key), "{message}");
    }
}

/// Guards against defaults that the validation rejects or that differ from the example.
#[test]
fn example_shows_every_setting_and_the_defaults() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.listen, Listen::default());
    assert_eq!(settings.platform, Platform::default());
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.log, Log::default());
    assert_eq!(parse(INSTANCE).unwrap().instance, settings.instance);
    assert_eq!(
        (settings.weight("coaches"), settings.weight("club")),
        (4, 1)
    );
    let example: toml::Table = toml::from_str(EXAMPLE).unwrap();
    assert_eq!(example, toml::Table::try_from(&settings).unwrap());
}

/// Guards against an error for a missing file that doesn't name the file.
#[test]
fn error_for_an_unreadable_file_names_it() {
    let error = load::load(path::Path::new("/nonexistent/a.toml")).unwrap_err();
    assert!(matches!(error, Error::Read { .. }));
    assert!(error.to_string().starts_with("/nonexistent/a.toml: "));
}
