//! Runs a scenario and writes its report.

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use derive_more::derive;
use marigoldloom_load::{page, report, run, scenario};

const USAGE: &str = "\
marigoldloom-load: open-loop load on the caller interface

usage: marigoldloom-load [--json FILE] [--html FILE] [--quiet] SCENARIO

  SCENARIO      TOML file, see docs/load.md
  --json FILE   where to write the report as JSON; standard output by default
  --html FILE   where to write the report as an HTML page
  --quiet       no progress lines
  --help        prints this text
";

/// Why the tool ended without a complete report.
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
    #[display("the scenario is invalid: {_0}")]
    Scenario(scenario::Invalid),
    #[display("{_0}")]
    Page(page::DrawError),
    #[display("the report can't be written: {_0}")]
    Json(serde_json::Error),
}

/// Command line arguments.
#[derive(Default)]
struct Arguments {
    scenario: PathBuf,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    quiet: bool,
}

fn main() -> ExitCode {
    let result = parse().and_then(|arguments| match arguments {
        Some(arguments) => execute(&arguments),
        None => print(USAGE.as_bytes()),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, the exit code alone tells of the failure.
            let _ = writeln!(io::stderr(), "marigoldloom-load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the command line; `None` for `--help`.
fn parse() -> Result<Option<Arguments>, Failure> {
    let mut arguments = Arguments::default();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("help") => return Ok(None),
            lexopt::Arg::Long("json") => arguments.json = Some(parser.value()?.into()),
            lexopt::Arg::Long("html") => arguments.html = Some(parser.value()?.into()),
            lexopt::Arg::Long("quiet") => arguments.quiet = true,
            lexopt::Arg::Value(path) => arguments.scenario = path.into(),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

fn execute(arguments: &Arguments) -> Result<(), Failure> {
    let path = &arguments.scenario;
    let text = fs::read_to_string(path).map_err(|source| Failure::File {
        path: path.clone(),
        source,
    })?;
    let scenario = scenario::Scenario::parse(&text)?;
    let report = task::block_on(async {
        match arguments.quiet {
            true => run::run(scenario, io::sink()).await,
            false => run::run(scenario, io::stderr()).await,
        }
    });
    write_report(arguments, &report)
}

fn write_report(arguments: &Arguments, report: &report::Report) -> Result<(), Failure> {
    if let Some(path) = &arguments.html {
        write_file(path, page::render(report)?.as_bytes())?;
    }
    let mut json = serde_json::to_vec_pretty(report)?;
    json.push(b'\n');
    match &arguments.json {
        Some(path) => write_file(path, &json),
        None => print(&json),
    }
}

fn write_file(path: &PathBuf, contents: &[u8]) -> Result<(), Failure> {
    fs::write(path, contents).map_err(|source| Failure::File {
        path: path.clone(),
        source,
    })
}

fn print(contents: &[u8]) -> Result<(), Failure> {
    io::stdout().lock().write_all(contents)?;
    Ok(())
}
