//! Command `marigoldloom-bench`: runs the policy benchmark and compares its figures with the
//! bounds.

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::{env, fmt};

use derive_more::derive;
use marigoldloom_bench::bounds::{Bounds, Measured, Violation};
use marigoldloom_bench::report::{self, Record};
use marigoldloom_bench::{measure, scenario};

const USAGE: &str = "\
marigoldloom-bench: policy bench on virtual time, see docs/policy-bench.md

usage: marigoldloom-bench [--reduced] [--only TEXT] [--record] [--recorded FILE]

  --reduced        only the scenarios that run in CI
  --only TEXT      only scenarios whose name contains TEXT
  --record         writes the figures to the file of recorded figures
  --recorded FILE  figures of an earlier run; crates/marigoldloom_bench/recorded.toml by default
  --help           prints this text
";

/// Default file of the recorded figures, relative to the root of the repository.
const RECORDED: &str = "crates/marigoldloom_bench/recorded.toml";

/// Why the command failed.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Failure {
    #[display("{_0}")]
    Arguments(lexopt::Error),
    #[display("{path:?}: {source}")]
    #[from(skip)]
    File { path: PathBuf, source: io::Error },
    #[display("{_0}")]
    Output(io::Error),
    #[display("{_0}")]
    Table(fmt::Error),
    #[display("the bounds or the recorded figures are invalid: {_0}")]
    Invalid(toml::de::Error),
    #[display("the figures can't be written: {_0}")]
    Unwritable(toml::ser::Error),
    #[display(
        "{violations} bounds are violated, {differing} answers differ from the naive baseline"
    )]
    #[from(skip)]
    Bounds { violations: usize, differing: u32 },
}

struct Arguments {
    reduced: bool,
    record: bool,
    only: String,
    recorded: PathBuf,
}

fn main() -> ExitCode {
    let result = parse().and_then(|arguments| match arguments {
        Some(arguments) => execute(&arguments),
        None => Ok(io::stdout().write_all(USAGE.as_bytes())?),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nowhere is left to report the error if standard error is closed.
            let _ = writeln!(io::stderr(), "marigoldloom-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the command line. Returns `None` for `--help`.
fn parse() -> Result<Option<Arguments>, Failure> {
    let mut arguments = Arguments {
        reduced: false,
        record: false,
        only: String::new(),
        recorded: RECORDED.into(),
    };
    let mut parser = lexopt::Parser::from_args(env::args_os().skip(1));
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("help") => return Ok(None),
            lexopt::Arg::Long("reduced") => arguments.reduced = true,
            lexopt::Arg::Long("record") => arguments.record = true,
            lexopt::Arg::Long("only") => {
                arguments.only = parser.value()?.to_string_lossy().into_owned();
            }
            lexopt::Arg::Long("recorded") => arguments.recorded = parser.value()?.into(),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

fn execute(arguments: &Arguments) -> Result<(), Failure> {
    let bounds = Bounds::load()?;
    let recorded = read_record(arguments)?;
    let mut scenarios = match arguments.reduced {
        true => scenario::reduced(),
        false => scenario::all(),
    };
    scenarios.retain(|s| s.name().contains(&arguments.only));
    let measured = measure::measure_all(&scenarios);
    let mut out = io::stdout().lock();
    write!(out, "{}", report::table(&measured, &recorded)?)?;
    let violations = bounds.check(&measured);
    for violation in &violations {
        writeln!(out, "BROKEN {violation}")?;
    }
    if arguments.record {
        write_record(arguments, recorded, &measured)?;
    }
    summarize(&violations, &measured)
}

fn read_record(arguments: &Arguments) -> Result<Record, Failure> {
    let path = &arguments.recorded;
    match fs::read_to_string(path) {
        Ok(text) => Ok(Record::from_toml(&text)?),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Record::default()),
        Err(source) => Err(file_failure(path, source)),
    }
}

/// Replaces the recorded figures of the measured scenarios and keeps those of the others.
fn write_record(
    arguments: &Arguments,
    mut record: Record,
    measured: &[Measured],
) -> Result<(), Failure> {
    record.scenarios.extend(Record::new(measured).scenarios);
    let path = &arguments.recorded;
    fs::write(path, record.to_toml()?).map_err(|source| file_failure(path, source))
}

fn file_failure(path: &std::path::Path, source: io::Error) -> Failure {
    Failure::File {
        path: path.to_owned(),
        source,
    }
}

fn summarize(violations: &[Violation], measured: &[Measured]) -> Result<(), Failure> {
    let differing = measured.iter().map(|m| m.difference.differing).sum();
    match (violations.len(), differing) {
        (0, 0) => Ok(()),
        (violations, differing) => Err(Failure::Bounds {
            violations,
            differing,
        }),
    }
}
