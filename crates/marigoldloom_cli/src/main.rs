//! Entry point of the operators' command-line tool `marigoldloom`.

use std::env;
use std::io;
use std::process::ExitCode;

use async_std::task;
use marigoldloom_cli::error::Error;
use marigoldloom_cli::output::{Format, Printer};
use marigoldloom_cli::{args, run};
use marigoldloom_runtime::async_std_runtime::AsyncStd;

fn main() -> ExitCode {
    let (format, result) = match args::parse(lexopt::Parser::from_args(env::args_os().skip(1))) {
        Ok(invocation) => (invocation.options.output, execute(&invocation)),
        Err(error) => (Format::Table, Err(Error::Usage(error))),
    };
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    let code = error.code();
    // If standard error is closed, the failure can't be reported.
    let _ = Printer::new(format, io::stderr()).failure(&error);
    ExitCode::from(code)
}

fn execute(invocation: &args::Invocation) -> Result<(), Error> {
    let mut printer = Printer::new(invocation.options.output, io::stdout());
    task::block_on(run::run(&AsyncStd::new(), invocation, &mut printer))
}
