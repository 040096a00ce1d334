//! Runs a stand-in upstream as a process.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::{fs, io, pin};

use async_std::task;
use derive_more::derive;
use futures::StreamExt;
use futures::future::{self, Either};
use lexopt::ValueExt;
use marigoldloom_http::server;
use marigoldloom_standin::upstream;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Time limit for running queries at a shutdown.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);

const USAGE: &str = "\
marigoldloom-upstream: stand-in upstream with fault injection

usage: marigoldloom-upstream [--settings FILE] [--FIELD VALUE]...

  --settings FILE   JSON file with the fields of upstream::Settings
  --FIELD VALUE     one field, e.g. --listen 127.0.0.1:7001 --shards [0,1] --cold true
  --help            prints this text

Prints its settings with the bound addresses as one line of JSON once it listens.
Ends with status 0 after SIGTERM or a drain, with 1 after a crash.
";

/// Why the process can't start or ended early.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Failure {
    #[display("{_0}")]
    Arguments(lexopt::Error),
    #[display("{_0}")]
    Io(io::Error),
    #[display("the settings are invalid: {_0}")]
    Settings(serde_json::Error),
    #[display("queries were cut off: {_0}")]
    Unfinished(server::Unfinished),
    #[display("crashed")]
    Crashed,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_ansi(io::IsTerminal::is_terminal(&io::stderr()))
        .with_writer(io::stderr)
        .init();
    match parse().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "the stand-in upstream ended with an error");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings from the command line; `None` for `--help`.
fn parse() -> Result<Option<upstream::Settings>, Failure> {
    let mut fields = serde_json::Map::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        let name = match argument {
            lexopt::Arg::Long("help") => return Ok(None),
            lexopt::Arg::Long(name) => name.replace('-', "_"),
            other => return Err(other.unexpected().into()),
        };
        let value = parser.value()?;
        match name.as_str() {
            "settings" => fields.extend(read_file(value)?),
            _ => {
                fields.insert(name, parse_field(value)?);
            }
        }
    }
    let settings = serde_json::from_value(fields.into())?;
    Ok(Some(settings))
}

/// Reads a settings file.
fn read_file(path: OsString) -> Result<serde_json::Map<String, serde_json::Value>, Failure> {
    let text = fs::read(PathBuf::from(path))?;
    Ok(serde_json::from_slice(&text)?)
}

/// Parses the value of a field as JSON; text that isn't JSON becomes a string.
fn parse_field(value: OsString) -> Result<serde_json::Value, Failure> {
    let text = value.string()?;
    let parsed = serde_json::from_str(&text);
    Ok(parsed.unwrap_or(serde_json::Value::String(text)))
}

fn run(settings: Option<upstream::Settings>) -> Result<(), Failure> {
    match settings {
        Some(settings) => task::block_on(serve(settings)),
        None => print(USAGE),
    }
}

fn print(text: &str) -> Result<(), Failure> {
    use io::Write;
    let mut stdout = io::stdout().lock();
    stdout.write_all(text.as_bytes())?;
    stdout.flush()?;
    Ok(())
}

async fn serve(settings: upstream::Settings) -> Result<(), Failure> {
    let signals = Signals::new([SIGTERM, SIGINT])?;
    let standin = upstream::start(settings.clone()).await?;
    let bound = upstream::Settings {
        listen: standin.address(),
        admin: standin.admin(),
        ..settings
    };
    print(&format!("{}\n", serde_json::to_string(&bound)?))?;
    let planned = wait(&standin, signals).await;
    match planned {
        true => Ok(standin.shut_down(SHUTDOWN_LIMIT).await?),
        false => Err(Failure::Crashed),
    }
}

/// Waits until the upstream has to stop: returns true after a signal or a request to `/drain`,
/// false after a crash without a restart.
async fn wait(standin: &upstream::Upstream, mut signals: Signals) -> bool {
    let outcome = pin::pin!(standin.wait());
    match future::select(signals.next(), outcome).await {
        Either::Left(_) => true,
        Either::Right((outcome, _)) => outcome == upstream::Outcome::Drained,
    }
}
