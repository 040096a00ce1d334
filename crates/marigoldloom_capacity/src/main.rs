//! Command `marigoldloom-capacity`: runs one measure and prints its figures.

use std::env;
use std::io::{self, Write};
use std::process::ExitCode;

use marigoldloom_capacity::args::{self, Invocation, Output};

fn main() -> ExitCode {
    match args::parse(lexopt::Parser::from_args(env::args_os().skip(1))) {
        Ok(invocation) => match run(&invocation) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        },
        Err(error) => {
            // Nowhere is left to report the error if standard error is closed.
            let _ = writeln!(io::stderr(), "{error}\n{}", args::USAGE);
            ExitCode::from(2)
        }
    }
}

fn run(invocation: &Invocation) -> io::Result<()> {
    let mut out = io::stdout();
    match invocation {
        Invocation::Help => write_help(&mut out),
        Invocation::Run {
            measure,
            sizes,
            output,
        } => {
            let report = (measure.run)(sizes);
            match output {
                Output::Human => report.write_human(out),
                Output::Json => report.write_json(out),
            }
        }
    }
}

fn write_help(out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "{}\nMeasures:", args::USAGE)?;
    for measure in args::MEASURES {
        writeln!(out, "  {:<12}{}", measure.name, measure.description)?;
    }
    Ok(())
}
