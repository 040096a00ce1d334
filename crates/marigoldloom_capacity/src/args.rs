//! Parses the command line and lists the measures.

use derive_more::derive;
use lexopt::ValueExt;

use crate::report::Report;
use crate::{
    bursts, calls, claims, connections, control, engine, fill, homes, loopback, memory,
    propagation, rebuild,
};

/// Usage text, printed for `--help` and after a command line that can't be parsed.
pub const USAGE: &str = "\
usage: marigoldloom-capacity MEASURE [--sizes a,b,c] [--output human|json]

Measures a cost of the tier at several sizes and extrapolates it to the target.
";

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// A table of plain text.
    #[default]
    Human,
    /// One JSON object.
    Json,
}

/// A measurement that the command line can select.
#[derive(Clone, Copy, Debug)]
pub struct Measure {
    /// Name on the command line.
    pub name: &'static str,
    /// One line for the help text: what is measured, and what the sizes count.
    pub description: &'static str,
    /// Sizes that are used without `--sizes`.
    pub sizes: &'static [usize],
    /// Runs the measure at the given sizes.
    pub run: fn(&[usize]) -> Report,
}

/// All measures, in the order of the help text.
pub const MEASURES: &[Measure] = &[
    Measure {
        name: "control",
        description: "bytes, messages and CPU time of control traffic, by instances",
        sizes: &[32, 64, 128, 256],
        run: control::measure,
    },
    Measure {
        name: "rest",
        description: "control traffic of an idle fleet, by instances",
        sizes: &[32, 128, 256],
        run: control::measure_rest,
    },
    Measure {
        name: "memory",
        description: "heap bytes of an instance's state, by upstreams",
        sizes: &[53, 530, 2_650, 5_300],
        run: memory::measure,
    },
    Measure {
        name: "loopback",
        description: "CPU time of control traffic over loopback, by instances",
        sizes: &[8, 16, 32],
        run: loopback::measure,
    },
    Measure {
        name: "fill",
        description: "cost of a large configuration and time to learn it, by upstreams",
        sizes: &[53, 530, 2_650, 5_300],
        run: fill::measure,
    },
    Measure {
        name: "propagation",
        description: "time from a write on the platform until every instance has it, by instances",
        sizes: &[8, 32, 128, 256],
        run: propagation::measure,
    },
    Measure {
        name: "calls",
        description: "platform calls of an idle fleet and after an outage, by instances",
        sizes: &[8, 32, 128, 256],
        run: calls::measure,
    },
    Measure {
        name: "claims",
        description: "platform calls of non-idempotent requests, by requests per second",
        sizes: &[10, 40, 160, 640],
        run: claims::measure,
    },
    Measure {
        name: "engine",
        description: "CPU time of a subquery in the engine, by shards",
        sizes: &[10, 53, 200],
        run: engine::measure,
    },
    Measure {
        name: "subqueries",
        description: "CPU time of a subquery over loopback, by shards",
        sizes: &[10, 53, 100],
        run: engine::measure_loopback,
    },
    Measure {
        name: "rebuild",
        description: "CPU time of applying a configuration change, by upstreams",
        sizes: &[53, 530, 2_650, 5_300],
        run: rebuild::measure,
    },
    Measure {
        name: "homes",
        description: "connections and home roles, by instances",
        sizes: &[8, 130, 1_300],
        run: homes::measure,
    },
    Measure {
        name: "bursts",
        description: "control traffic while many instances are lost or return, by instances",
        sizes: &[48, 96, 192],
        run: bursts::measure,
    },
    Measure {
        name: "connections",
        description: "heap bytes of a connection to an upstream, by connections",
        sizes: &[10, 100, 300],
        run: connections::measure,
    },
];

/// A parsed and validated command line.
#[derive(Clone, Debug)]
pub enum Invocation {
    /// Print the usage.
    Help,
    /// Run a measure and print its report.
    Run {
        /// Measure to run.
        measure: Measure,
        /// Sizes to run it at, each greater than zero.
        sizes: Vec<usize>,
        /// Output format of the report.
        output: Output,
    },
}

/// Why a command line can't be used.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The name of the measure is missing.
    #[display("the name of a measure is missing")]
    #[from(skip)]
    MissingMeasure,
    /// No measure has the given name.
    #[display("unknown measure {name:?}; --help lists the measures")]
    #[from(skip)]
    UnknownMeasure {
        /// Name as given.
        name: String,
    },
    /// The value of `--sizes` isn't a list of positive numbers separated by commas.
    #[display("--sizes takes positive numbers separated by commas, not {value:?}")]
    #[from(skip)]
    InvalidSizes {
        /// Value as given.
        value: String,
    },
    /// The value of `--output` is neither `human` nor `json`.
    #[display("--output takes human or json, not {value:?}")]
    #[from(skip)]
    InvalidOutput {
        /// Value as given.
        value: String,
    },
    /// An argument can't be parsed.
    #[display("{_0}")]
    Argument(lexopt::Error),
}

/// Parses a command line.
///
/// # Errors
///
/// If the arguments don't follow [`USAGE`].
pub fn parse(mut parser: lexopt::Parser) -> Result<Invocation, Error> {
    let mut measure = None;
    let mut sizes = None;
    let mut output = Output::default();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Short('h') | lexopt::Arg::Long("help") => return Ok(Invocation::Help),
            lexopt::Arg::Long("sizes") => sizes = Some(parse_sizes(parser.value()?.string()?)?),
            lexopt::Arg::Long("output") => output = parse_output(parser.value()?.string()?)?,
            lexopt::Arg::Value(name) if measure.is_none() => {
                measure = Some(find_measure(name.string()?)?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let measure = measure.ok_or(Error::MissingMeasure)?;
    Ok(Invocation::Run {
        measure,
        sizes: sizes.unwrap_or_else(|| measure.sizes.to_vec()),
        output,
    })
}

fn find_measure(name: String) -> Result<Measure, Error> {
    let found = MEASURES.iter().find(|m| m.name == name);
    found.copied().ok_or(Error::UnknownMeasure { name })
}

fn parse_sizes(value: String) -> Result<Vec<usize>, Error> {
    let parsed: Option<Vec<usize>> = value
        .split(',')
        .map(|part| part.trim().parse().ok().filter(|size| *size > 0))
        .collect();
    parsed.ok_or(Error::InvalidSizes { value })
}

fn parse_output(value: String) -> Result<Output, Error> {
    match value.as_str() {
        "human" => Ok(Output::Human),
        "json" => Ok(Output::Json),
        _ => Err(Error::InvalidOutput { value }),
    }
}
