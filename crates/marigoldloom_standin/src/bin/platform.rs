//! Runs the stand-in platform as a process: `marigoldloom-platform --listen ADDR`.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use async_std::task;
use derive_more::derive;
use futures::StreamExt;
use lexopt::{Arg, Parser, ValueExt};
use marigoldloom_platform::memory;
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_standin::platform;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// Time limit for running requests at a planned stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

const USAGE: &str = "usage: marigoldloom-platform --listen ADDR

Serves the object API from memory, for tests and trials. GET /counters shows the
calls so far; GET and PUT /faults show and set faults. Prints the address it
listens on; port 0 stands for any free port.
";

/// Why the process can't start or ended early.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
enum Error {
    #[display("{_0}\n{USAGE}")]
    Usage(lexopt::Error),
    #[display("--listen is missing\n{USAGE}")]
    #[from(skip)]
    MissingAddress,
    #[display("{_0}")]
    Io(io::Error),
}

enum Command {
    Help,
    Listen(SocketAddr),
}

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_ansi(io::IsTerminal::is_terminal(&io::stderr()))
        .with_writer(io::stderr)
        .init();
    match parse(Parser::from_env()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut parser: Parser) -> Result<Command, Error> {
    let mut address = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => address = Some(parser.value()?.parse()?),
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            _ => return Err(arg.unexpected().into()),
        }
    }
    address.map(Command::Listen).ok_or(Error::MissingAddress)
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Help => Ok(write!(io::stdout(), "{USAGE}")?),
        Command::Listen(address) => task::block_on(serve(address)),
    }
}

async fn serve(address: SocketAddr) -> Result<(), Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let platform = memory::MemoryPlatform::new(AsyncStd::new());
    let server = platform::bind(address, platform).await?;
    writeln!(io::stdout(), "listening on {}", server.address())?;
    signals.next().await;
    if let Err(error) = server.shut_down(DRAIN_LIMIT).await {
        tracing::warn!("{error}");
    }
    Ok(())
}
