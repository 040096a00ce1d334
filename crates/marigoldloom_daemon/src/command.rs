//! Command line of the daemon and the commands that it runs.

use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use async_std::task;
use derive_more::derive;
use lexopt::Arg;
use marigoldloom_platform::http;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_settings::{error as settings_error, load, settings};
use marigoldloom_telemetry::log;

use crate::instance;
use crate::trial;

/// Exit code for an invalid command line or invalid settings.
const USAGE_CODE: u8 = 2;

const HELP: &str = "\
marigoldloomd - one instance of the marigoldloom query tier

Usage:
  marigoldloomd --settings FILE    run with the settings in FILE
  marigoldloomd --check FILE       check the settings in FILE and exit
  marigoldloomd --trial            run a trial tier in one process: an in-memory
                                   platform, stand-in upstreams and one instance
Options:
  --caller ADDRESS   with --trial: callers' address (default 127.0.0.1:8080)
  --admin ADDRESS    with --trial: operators' address (default 127.0.0.1:8082)
  -h, --help         print this help
  -V, --version      print the version

SIGTERM or SIGINT starts a graceful shutdown.

Exit codes: 0 stopped as planned or settings valid, 1 failed, 2 wrong usage or settings.
";

/// Command given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run one instance.
    Run {
        /// Path of the settings file.
        file: PathBuf,
    },
    /// Check a settings file.
    Check {
        /// Path of the settings file.
        file: PathBuf,
    },
    /// Run a trial tier that listens on these addresses.
    Trial(trial::Addresses),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

/// The daemon stopped with a failure.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The command line is invalid.
    #[display("{_0}")]
    Usage(lexopt::Error),
    /// No command was given.
    #[display("one of --settings, --check and --trial is required")]
    #[from(skip)]
    NoCommand,
    /// The settings file is invalid.
    #[display("{_0}")]
    Settings(settings_error::Error),
    /// Logging can't be initialized.
    #[display("{_0}")]
    Log(log::Error),
    /// The instance can't start or was not shut down gracefully.
    #[display("{_0}")]
    Instance(instance::Error),
    /// Writing to standard output failed.
    #[display("standard output: {_0}")]
    Output(io::Error),
}

/// Runs the daemon with the process's arguments.
pub fn main() -> ExitCode {
    let result = parse(std::env::args_os().skip(1)).and_then(execute);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // There is nowhere to report that standard error can't be written.
            let _ = writeln!(io::stderr(), "marigoldloomd: {error}");
            error.exit_code()
        }
    }
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::NoCommand | Self::Settings(_) => ExitCode::from(USAGE_CODE),
            Self::Log(_) | Self::Instance(_) | Self::Output(_) => ExitCode::FAILURE,
        }
    }
}

/// Parses the command line.
///
/// # Errors
///
/// [`Error::Usage`] for an unknown option or an invalid value, [`Error::NoCommand`] without a
/// command.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut command = None;
    let mut addresses = trial::Addresses::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => {
                let file = parser.value()?.into();
                command = Some(Command::Run { file });
            }
            Arg::Long("check") => {
                let file = parser.value()?.into();
                command = Some(Command::Check { file });
            }
            Arg::Long("trial") => command = Some(Command::Trial(addresses)),
            Arg::Long("caller") => addresses.caller = parse_address(&mut parser)?,
            Arg::Long("admin") => addresses.admin = parse_address(&mut parser)?,
            Arg::Short('h') | Arg::Long("help") => return Ok(Command::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(Command::Version),
            _ => return Err(arg.unexpected().into()),
        }
    }
    match command {
        Some(Command::Trial(_)) => Ok(Command::Trial(addresses)),
        other => other.ok_or(Error::NoCommand),
    }
}

fn parse_address(parser: &mut lexopt::Parser) -> Result<SocketAddr, lexopt::Error> {
    lexopt::ValueExt::parse(&parser.value()?)
}

fn execute(command: Command) -> Result<(), Error> {
    match command {
        Command::Help => Ok(io::stdout().write_all(HELP.as_bytes())?),
        Command::Version => Ok(writeln!(
            io::stdout(),
            "marigoldloomd {}",
            env!("CARGO_PKG_VERSION")
        )?),
        Command::Check { file } => {
            load::load(&file)?;
            Ok(writeln!(io::stdout(), "{}: valid", file.display())?)
        }
        Command::Trial(addresses) => {
            log::init(log::Format::Human, "info")?;
            Ok(task::block_on(trial::run(addresses))?)
        }
        Command::Run { file } => run(&load::load(&file)?),
    }
}

fn run(settings: &settings::Settings) -> Result<(), Error> {
    let format = match settings.log.format {
        settings::Format::Json => log::Format::Json,
        settings::Format::Human => log::Format::Human,
    };
    log::init(format, &settings.log.level.to_string())?;
    let timeouts = http::Timeouts {
        call: std::time::Duration::from_millis(settings.platform.timeout_ms),
        ..http::Timeouts::default()
    };
    let platform = http::HttpPlatform::new(settings.platform.address, timeouts);
    let rt = AsyncStd::new();
    rt.spawn(rt.watch_suspensions());
    let instance = instance::Instance::start(rt, platform, settings);
    task::block_on(async move { Ok(instance.await?.run_until_signal().await?) })
}
