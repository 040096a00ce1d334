//! Command-line parsing.

use std::collections::{BTreeMap, VecDeque};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path;
use std::str;
use std::time::Duration;

use derive_more::derive;
use lexopt::{Arg, Parser, ValueExt};
use marigoldloom_platform::object::{Revision, Version};
use marigoldloom_records::failure_domain;
use marigoldloom_records::record;

use crate::{output, time};

/// Text of `--help`.
pub const USAGE: &str = include_str!("usage.txt");

/// Options that take a value.
const VALUE_OPTIONS: [&str; 11] = [
    "platform",
    "admin",
    "output",
    "timeout-ms",
    "if-version",
    "since",
    "count",
    "after",
    "service",
    "to",
    "within",
];

/// Options that take no value.
const FLAG_OPTIONS: [&str; 1] = ["force"];

/// Why a command line is rejected.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// An option is unknown, malformed or lacks its value.
    #[display("{_0}")]
    Syntax(lexopt::Error),
    /// No command was given.
    #[display("a command is missing")]
    #[from(skip)]
    MissingCommand,
    /// The command does not exist.
    #[display("unknown command {name:?}")]
    #[from(skip)]
    UnknownCommand {
        /// The given command, with its subcommand.
        name: String,
    },
    /// The kind of record does not exist.
    #[display("unknown kind {name:?}; the kinds are {}", kind_names())]
    #[from(skip)]
    UnknownKind {
        /// The given kind.
        name: String,
    },
    /// A required argument or option is missing.
    #[display("{name} is missing")]
    #[from(skip)]
    MissingArgument {
        /// Name of the argument as shown in the usage text.
        name: &'static str,
    },
    /// The command takes fewer positional arguments.
    #[display("unexpected argument {value:?}")]
    #[from(skip)]
    UnexpectedArgument {
        /// The first unexpected argument.
        value: String,
    },
    /// The command does not support the option.
    #[display("this command doesn't support --{option}")]
    #[from(skip)]
    UnsupportedOption {
        /// Name of the option, without dashes.
        option: &'static str,
    },
    /// The option is given more than once.
    #[display("--{option} is given more than once")]
    #[from(skip)]
    RepeatedOption {
        /// Name of the option, without dashes.
        option: &'static str,
    },
    /// The option's value can't be parsed.
    #[display("--{option}: {value:?} is not valid")]
    #[from(skip)]
    InvalidValue {
        /// Name of the option, without dashes.
        option: &'static str,
        /// The given value.
        value: String,
    },
    /// `--if-version` and `--force` are both given.
    #[display("--if-version and --force exclude each other")]
    #[from(skip)]
    ConflictingOptions,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// Options common to all commands.
    pub options: Options,
    /// Command to run.
    pub action: Action,
}

/// Options common to all commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Address of the platform's HTTP API.
    pub platform: SocketAddr,
    /// Admin address of an instance.
    pub admin: SocketAddr,
    /// Output format.
    pub output: output::Format,
    /// Timeout of one call.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            platform: SocketAddr::from(([127, 0, 0, 1], 7070)),
            admin: SocketAddr::from(([127, 0, 0, 1], 8082)),
            output: output::Format::default(),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Command to run, with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Print the usage text.
    Help,
    /// Print the program's version.
    Version,
    /// Print a record.
    Get(Target),
    /// Print all records of a kind.
    List(record::Kind),
    /// Write a record from a file.
    Put(Put),
    /// Delete a record.
    Delete(Target, Precondition),
    /// Print writes as they happen.
    Watch(Watch),
    /// Take a failure domain out of service or bring it back.
    Domain {
        /// The failure domain.
        name: String,
        /// State to set.
        state: failure_domain::State,
    },
    /// Start a version move.
    MoveStart(MoveStart),
    /// Print a move's status and evidence.
    MoveStatus(String),
    /// Print a move's status each time it changes, until the move ends.
    MoveFollow(String),
    /// Take a move back.
    MoveTakeBack(String),
    /// Print the events of an instance, each a decision that it made.
    Events {
        /// Number of the event after which events are printed; 0 for all.
        after: u64,
    },
    /// Print the members that an instance knows.
    Members,
    /// Print the events of an instance that concern one request.
    Explain {
        /// Request id.
        request: String,
    },
}

/// Identifies a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Kind of the record.
    pub kind: record::Kind,
    /// Name of the record.
    pub name: String,
}

/// Arguments of `put`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Kind of the record.
    pub kind: record::Kind,
    /// File with the record, in JSON or TOML.
    pub file: path::PathBuf,
    /// Precondition of the write.
    pub precondition: Precondition,
}

/// Precondition of a write on the current record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Neither `--if-version` nor `--force` is given.
    Unspecified,
    /// The record must have this version.
    Version(Version),
    /// No precondition: the record is overwritten or deleted in any case.
    Force,
}

/// Arguments of `watch`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Kinds of records to watch; at least one.
    pub kinds: Vec<record::Kind>,
    /// Revision after which writes are printed; none for the current revision.
    pub since: Option<Revision>,
    /// Number of writes after which the command ends; none for no limit.
    pub count: Option<u64>,
}

/// Arguments of `move start`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveStart {
    /// Name of the move.
    pub name: String,
    /// Service whose traffic moves.
    pub service: String,
    /// Version that traffic moves to.
    pub to: String,
    /// Time from now within which the move must be complete.
    pub within: Duration,
}

/// Parses a command line.
///
/// # Errors
///
/// [`Error`] if the command line is invalid.
pub fn parse(parser: Parser) -> Result<Invocation, Error> {
    let mut arguments = Arguments::collect(parser)?;
    let options = arguments.options()?;
    let action = arguments.action()?;
    arguments.check_consumed()?;
    Ok(Invocation { options, action })
}

/// Arguments that were given and not yet consumed.
#[derive(Default)]
struct Arguments {
    positionals: VecDeque<String>,
    values: BTreeMap<&'static str, String>,
    early_action: Option<Action>,
}

impl Arguments {
    fn collect(mut parser: Parser) -> Result<Self, Error> {
        let mut arguments = Self::default();
        while let Some(arg) = parser.next()? {
            let name = match arg {
                Arg::Long("help") | Arg::Short('h') => {
                    arguments.early_action = Some(Action::Help);
                    continue;
                }
                Arg::Long("version") | Arg::Short('V') => {
                    arguments.early_action = Some(Action::Version);
                    continue;
                }
                Arg::Value(value) => {
                    arguments.positionals.push_back(value.string()?);
                    continue;
                }
                Arg::Long(name) => name.to_owned(),
                Arg::Short(_) => return Err(arg.unexpected().into()),
            };
            arguments.add_option(&mut parser, &name)?;
        }
        Ok(arguments)
    }

    fn add_option(&mut self, parser: &mut Parser, name: &str) -> Result<(), Error> {
        let find = |known: &[&'static str]| known.iter().copied().find(|k| *k == name);
        let (option, value) = match (find(&VALUE_OPTIONS), find(&FLAG_OPTIONS)) {
            (Some(option), _) => (option, parser.value()?),
            (_, Some(option)) => (option, OsString::new()),
            _ => return Err(Arg::Long(name).unexpected().into()),
        };
        match self.values.insert(option, value.string()?) {
            None => Ok(()),
            Some(_) => Err(Error::RepeatedOption { option }),
        }
    }

    fn options(&mut self) -> Result<Options, Error> {
        let defaults = Options::default();
        let timeout = self.value("timeout-ms")?.map(Duration::from_millis);
        Ok(Options {
            platform: self.value("platform")?.unwrap_or(defaults.platform),
            admin: self.value("admin")?.unwrap_or(defaults.admin),
            output: self.value("output")?.unwrap_or(defaults.output),
            timeout: timeout.unwrap_or(defaults.timeout),
        })
    }

    fn action(&mut self) -> Result<Action, Error> {
        if let Some(early_action) = self.early_action.take() {
            *self = Self::default();
            return Ok(early_action);
        }
        let command = self.positionals.pop_front().ok_or(Error::MissingCommand)?;
        match command.as_str() {
            "get" => Ok(Action::Get(self.target()?)),
            "list" => Ok(Action::List(self.kind()?)),
            "put" => self.put(),
            "delete" => self.delete(),
            "watch" => self.watch(),
            "domain" => self.domain(),
            "move" => self.version_move(),
            "events" => Ok(Action::Events {
                after: self.value("after")?.unwrap_or(0),
            }),
            "members" => Ok(Action::Members),
            "explain" => Ok(Action::Explain {
                request: self.positional("REQUEST_ID")?,
            }),
            _ => Err(Error::UnknownCommand { name: command }),
        }
    }

    fn put(&mut self) -> Result<Action, Error> {
        Ok(Action::Put(Put {
            kind: self.kind()?,
            file: self.positional("FILE")?.into(),
            precondition: self.precondition()?,
        }))
    }

    fn delete(&mut self) -> Result<Action, Error> {
        let target = self.target()?;
        match self.precondition()? {
            Precondition::Unspecified => Err(Error::MissingArgument {
                name: "--if-version or --force",
            }),
            precondition => Ok(Action::Delete(target, precondition)),
        }
    }

    fn watch(&mut self) -> Result<Action, Error> {
        let mut kinds = vec![self.kind()?];
        while !self.positionals.is_empty() {
            kinds.push(self.kind()?);
        }
        Ok(Action::Watch(Watch {
            kinds,
            since: self.value("since")?.map(Revision),
            count: self.value("count")?,
        }))
    }

    fn domain(&mut self) -> Result<Action, Error> {
        let command = self.positional("out or in")?;
        let state = match command.as_str() {
            "out" => failure_domain::State::Out,
            "in" => failure_domain::State::Active,
            _ => return Err(unknown_subcommand("domain", &command)),
        };
        let name = self.positional("NAME")?;
        Ok(Action::Domain { name, state })
    }

    fn version_move(&mut self) -> Result<Action, Error> {
        let command = self.positional("start, status, follow or take-back")?;
        match command.as_str() {
            "start" => self.move_start().map(Action::MoveStart),
            "status" => self.positional("NAME").map(Action::MoveStatus),
            "follow" => self.positional("NAME").map(Action::MoveFollow),
            "take-back" => self.positional("NAME").map(Action::MoveTakeBack),
            _ => Err(unknown_subcommand("move", &command)),
        }
    }

    fn move_start(&mut self) -> Result<MoveStart, Error> {
        let name = self.positional("NAME")?;
        let missing = |name| Error::MissingArgument { name };
        let service = self.value("service")?;
        let to = self.value("to")?;
        let within: Option<time::Span> = self.value("within")?;
        Ok(MoveStart {
            name,
            service: service.ok_or(missing("--service"))?,
            to: to.ok_or(missing("--to"))?,
            within: within.ok_or(missing("--within"))?.0,
        })
    }

    fn target(&mut self) -> Result<Target, Error> {
        Ok(Target {
            kind: self.kind()?,
            name: self.positional("NAME")?,
        })
    }

    fn kind(&mut self) -> Result<record::Kind, Error> {
        let name = self.positional("KIND")?;
        record::Kind::parse(&name).ok_or(Error::UnknownKind { name })
    }

    fn precondition(&mut self) -> Result<Precondition, Error> {
        let version = self.value("if-version")?.map(Version);
        let force = self.values.remove("force").is_some();
        match (version, force) {
            (Some(_), true) => Err(Error::ConflictingOptions),
            (Some(version), false) => Ok(Precondition::Version(version)),
            (None, true) => Ok(Precondition::Force),
            (None, false) => Ok(Precondition::Unspecified),
        }
    }

    fn positional(&mut self, name: &'static str) -> Result<String, Error> {
        self.positionals
            .pop_front()
            .ok_or(Error::MissingArgument { name })
    }

    fn value<T: str::FromStr>(&mut self, option: &'static str) -> Result<Option<T>, Error> {
        let Some(value) = self.values.remove(option) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(Error::InvalidValue { option, value }),
        }
    }

    fn check_consumed(self) -> Result<(), Error> {
        match (
            self.positionals.into_iter().next(),
            self.values.into_iter().next(),
        ) {
            (Some(value), _) => Err(Error::UnexpectedArgument { value }),
            (None, Some((option, _))) => Err(Error::UnsupportedOption { option }),
            (None, None) => Ok(()),
        }
    }
}

fn unknown_subcommand(group: &str, command: &str) -> Error {
    Error::UnknownCommand {
        name: format!("{group} {command}"),
    }
}

fn kind_names() -> String {
    record::Kind::ALL.map(record::Kind::as_str).join(", ")
}
