//! Plays seeded runs and reports the first broken promise of each.

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
marigoldloom-soak - plays randomized runs of real instances with faults from outside

Usage: marigoldloom-soak [OPTIONS]

Options:
  --seed N          play the run with this seed [default: 1]
  --seeds A..B      play the runs from seed A to seed B
  --trouble S       seconds in which faults happen [default: 14]
  --instances N     instances of the query tier [default: 6]
  --rate N          requests a second [default: 60]
  --edge FILE       program of an instance [default: marigoldloom-edge beside this program]
  --logs DIR        where a broken run leaves its report and the instances' logs
  --plan            print the steps instead of playing them
  -h, --help        print this help

Each run prints one line of JSON. Exit codes: 0 all promises kept, 1 some broken or a run failed,
2 wrong usage.
";

/// Exit code for a wrong command line.
const USAGE_CODE: u8 = 2;

/// Most instances of a run, so that a mistyped number does not fill the machine.
const INSTANCE_LIMIT: usize = 200;

/// Why there is no result.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Failure {
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
    match parse().and_then(|arguments| execute(&arguments)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(failure) => {
            // Nothing is left to do if standard error can't be written.
            let _ = writeln!(io::stderr(), "marigoldloom-soak: {failure}");
            match failure {
                Failure::Usage(_) => ExitCode::from(USAGE_CODE),
                Failure::Run(_) | Failure::Report(_) => ExitCode::FAILURE,
            }
        }
    }
}

fn parse() -> Result<Arguments, Failure> {
    let mut arguments = Arguments {
        seeds: 1..=1,
        settings: run::Settings {
            program: env::current_exe()?.with_file_name("marigoldloom-edge"),
            logs: None,
            instances: 6,
            trouble: Duration::from_secs(14),
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
            Arg::Long("seeds") => arguments.seeds = parser.value()?.parse_with(seeds)?,
            Arg::Long("trouble") => {
                settings.trouble = Duration::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("instances") => settings.instances = parser.value()?.parse_with(instances)?,
            Arg::Long("rate") => settings.rate = parser.value()?.parse_with(rate)?,
            Arg::Long("edge") => settings.program = PathBuf::from(parser.value()?),
            Arg::Long("logs") => settings.logs = Some(PathBuf::from(parser.value()?)),
            Arg::Long("plan") => arguments.plan = true,
            Arg::Short('h') | Arg::Long("help") => arguments.help = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let wrong = || format!("expected A..B, not {text:?}");
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let number = |text: &str| text.parse::<u64>().map_err(|_error| wrong());
    Ok(number(first)?..=number(last)?)
}

fn instances(text: &str) -> Result<usize, String> {
    let number = text.parse().ok();
    let allowed = number.filter(|n| (1..=INSTANCE_LIMIT).contains(n));
    allowed.ok_or_else(|| format!("expected 1 to {INSTANCE_LIMIT} instances, not {text:?}"))
}

fn rate(text: &str) -> Result<f64, String> {
    let number = text.parse().ok();
    let allowed = number.filter(|n: &f64| n.is_finite() && *n > 0.0);
    allowed.ok_or_else(|| format!("expected a rate above 0, not {text:?}"))
}

/// Plays the runs. Returns whether all promises were kept.
fn execute(arguments: &Arguments) -> Result<bool, Failure> {
    let mut out = io::stdout();
    if arguments.help {
        out.write_all(HELP.as_bytes())?;
        return Ok(true);
    }
    let mut kept = true;
    for seed in arguments.seeds.clone() {
        let line = match arguments.plan {
            true => serde_json::to_string(&plan::plan(seed, &arguments.settings.shape()))?,
            false => {
                let report = task::block_on(interruptible(&arguments.settings, seed))?;
                kept &= report.violations.is_empty();
                serde_json::to_string(&report)?
            }
        };
        writeln!(out, "{line}")?;
    }
    Ok(kept)
}

/// Plays a run unless a signal comes, which ends its instances too.
async fn interruptible(settings: &run::Settings, seed: u64) -> io::Result<run::Report> {
    let mut signals = Signals::new([signal::SIGINT, signal::SIGTERM])?;
    let play = pin::pin!(run::play(settings, seed));
    match select(play, signals.next()).await {
        Either::Left((report, _)) => report,
        Either::Right(_) => Err(io::ErrorKind::Interrupted.into()),
    }
}
