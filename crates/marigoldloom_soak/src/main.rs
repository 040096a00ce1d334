//! Executes seeded soak runs and prints a report for each.

use std::env;
use std::io::{self, Write};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::pin;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use derive_more::derive;
use futures::StreamExt;
use futures::future::{Either, select};
use lexopt::{Arg, ValueExt};
use marigoldloom_soak::{plan, run};
use signal_hook::consts::signal;
use signal_hook_async_std::Signals;

const HELP: &str = "\
marigoldloom-soak - runs real instances under randomized faults and checks their guarantees

Usage: marigoldloom-soak [OPTIONS]

Options:
  --seed N          execute the run with this seed [default: 1]
  --seeds A..B      execute the runs from seed A to seed B, both included
  --trouble S       length of the fault phase in seconds [default: 14]
  --instances N     number of instances of the query tier [default: 6]
  --rate N          mean requests per second [default: 60]
  --edge FILE       program of an instance [default: marigoldloom-edge beside this program]
  --logs DIR        save the report and the instances' logs of a run with violations below DIR
  --plan            print the steps instead of executing them
  -h, --help        print this help

Each run prints one line of JSON. Exit codes: 0 no violations, 1 violations or a run failed,
2 wrong usage.
";

/// Exit code for a wrong command line.
const USAGE_CODE: u8 = 2;

/// Limit on the instances of a run, so that a mistyped number doesn't exhaust the machine.
const INSTANCE_LIMIT: usize = 200;

/// Error that prevents a run or its report.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Error {
    #[display("{_0}")]
    Usage(lexopt::Error),
    #[display("{_0}")]
    Run(io::Error),
    #[display("the report can't be written: {_0}")]
    Report(serde_json::Error),
}

struct Arguments {
    seeds: RangeInclusive<u64>,
    settings: run::Settings,
    plan: bool,
    help: bool,
}

fn main() -> ExitCode {
    match parse_arguments().and_then(|arguments| execute_runs(&arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            // The error can't be reported if standard error can't be written.
            let _ = writeln!(io::stderr(), "marigoldloom-soak: {error}");
            match error {
                Error::Usage(_) => ExitCode::from(USAGE_CODE),
                Error::Run(_) | Error::Report(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn parse_arguments() -> Result<Arguments, Error> {
    let mut arguments = Arguments {
        seeds: 1..=1,
        settings: run::Settings {
            program: env::current_exe()?.with_file_name("marigoldloom-edge"),
            logs: None,
            instances: 6,
            fault_phase: Duration::from_secs(14),
            rate: 60.0,
        },
        plan: false,
        help: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        let settings = &mut arguments.settings;
        match argument {
            Arg::Long("seed") => {
                let seed = parser.value()?.parse()?;
                arguments.seeds = seed..=seed;
            }
            Arg::Long("seeds") => arguments.seeds = parser.value()?.parse_with(parse_seeds)?,
            Arg::Long("trouble") => {
                settings.fault_phase = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("instances") => {
                settings.instances = parser.value()?.parse_with(parse_instances)?;
            }
            Arg::Long("rate") => settings.rate = parser.value()?.parse_with(parse_rate)?,
            Arg::Long("edge") => settings.program = PathBuf::from(parser.value()?),
            Arg::Long("logs") => settings.logs = Some(PathBuf::from(parser.value()?)),
            Arg::Long("plan") => arguments.plan = true,
            Arg::Short('h') | Arg::Long("help") => arguments.help = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let wrong = || format!("expected A..B, not {text:?}");
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let number = |text: &str| text.parse::<u64>().map_err(|_error| wrong());
    Ok(number(first)?..=number(last)?)
}

fn parse_instances(text: &str) -> Result<usize, String> {
    let number = text.parse().ok();
    let allowed = number.filter(|n| (1..=INSTANCE_LIMIT).contains(n));
    allowed.ok_or_else(|| format!("expected 1 to {INSTANCE_LIMIT} instances, not {text:?}"))
}

fn parse_rate(text: &str) -> Result<f64, String> {
    let number = text.parse().ok();
    let allowed = number.filter(|n: &f64| n.is_finite() && *n > 0.0);
    allowed.ok_or_else(|| format!("expected a rate above 0, not {text:?}"))
}

/// Executes the runs, or prints their plans or the help. Returns whether no run found violations.
fn execute_runs(arguments: &Arguments) -> Result<bool, Error> {
    let mut out = io::stdout();
    if arguments.help {
        out.write_all(HELP.as_bytes())?;
        return Ok(true);
    }
    let mut passed = true;
    for seed in arguments.seeds.clone() {
        let line = match arguments.plan {
            true => serde_json::to_string(&plan::generate(seed, &arguments.settings.sizes()))?,
            false => {
                let report = task::block_on(run_until_signal(&arguments.settings, seed))?;
                passed &= report.violations.is_empty();
                serde_json::to_string(&report)?
            }
        };
        writeln!(out, "{line}")?;
    }
    Ok(passed)
}

/// Executes a run. On SIGINT or SIGTERM the run is dropped, which kills its instances.
async fn run_until_signal(settings: &run::Settings, seed: u64) -> io::Result<run::Report> {
    let mut signals = Signals::new([signal::SIGINT, signal::SIGTERM])?;
    let run = pin::pin!(run::execute(settings, seed));
    match select(run, signals.next()).await {
        Either::Left((report, _)) => report,
        Either::Right(_) => Err(io::ErrorKind::Interrupted.into()),
    }
}
