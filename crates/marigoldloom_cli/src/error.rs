//! Errors of commands and their exit codes.

use std::io;
use std::net;
use std::path;

use derive_more::derive;
use marigoldloom_platform::object::{Key, Version};
use marigoldloom_platform::platform;
use marigoldloom_records::record;
use marigoldloom_records::version_move;
use serde::Serialize;

use crate::args;
use crate::difference;

/// Why a command failed.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The command line is invalid.
    #[display("{_0}\nSee `marigoldloom --help`.")]
    Usage(args::Error),
    /// The output can't be written.
    #[display("the output can't be written: {_0}")]
    Output(io::Error),
    /// The output can't be serialized as JSON.
    #[display("the output can't be encoded: {_0}")]
    Encode(serde_json::Error),
    /// A record file can't be read.
    #[display("{}: {source}", file.display())]
    #[from(skip)]
    ReadFile {
        /// Path of the file.
        file: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A record file is not valid JSON.
    #[display("{}: {source}", file.display())]
    #[from(skip)]
    Json {
        /// Path of the file.
        file: path::PathBuf,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A record file is not valid TOML.
    #[display("{}: {source}", file.display())]
    #[from(skip)]
    Toml {
        /// Path of the file.
        file: path::PathBuf,
        /// Error of the parser.
        source: Box<toml::de::Error>,
    },
    /// A record file's name has an extension other than `.json` or `.toml`.
    #[display("{}: the name must end in .json or .toml", file.display())]
    #[from(skip)]
    UnknownExtension {
        /// Path of the file.
        file: path::PathBuf,
    },
    /// A record is invalid. The daemon applies the same checks.
    #[display("{_0}")]
    Invalid(record::Invalid),
    /// The object does not exist.
    #[display("{key} doesn't exist")]
    #[from(skip)]
    NotFound {
        /// Key of the object.
        key: Key,
    },
    /// The object changed since it was read, or exists already; nothing was written.
    #[display("{key} was not written: {}", conflict_reason(*version))]
    #[from(skip)]
    Conflict {
        /// Key of the object.
        key: Key,
        /// Value that `before` in the differences refers to.
        base: Baseline,
        /// Current version of the object; none if it does not exist.
        version: Option<Version>,
        /// Fields that differ between the base and the current value.
        differences: Vec<difference::Difference>,
    },
    /// The platform refused the request; nothing was written.
    #[display("the platform refused the request: {reason}")]
    #[from(skip)]
    Refused {
        /// The reason given by the platform.
        reason: String,
    },
    /// The platform can't be reached, or did not respond to a read; nothing was written.
    #[display("the platform can't be reached; nothing was written")]
    #[from(skip)]
    Unreachable,
    /// No response to a write was received, and reading the object back did not confirm that
    /// the write took effect.
    #[display("no answer from the platform: {key} may have been written; check with `get`")]
    #[from(skip)]
    OutcomeUnknown {
        /// Key of the object.
        key: Key,
    },
    /// The platform no longer retains the changes since the watch's start revision.
    #[display("the changes since the given revision are no longer available; use `list`")]
    #[from(skip)]
    Compacted,
    /// The service has no such version.
    #[display("service {service:?} has no version {version:?}")]
    #[from(skip)]
    UnknownVersion {
        /// Name of the service.
        service: String,
        /// Name of the version.
        version: String,
    },
    /// The version is already the active version of the service.
    #[display("version {version:?} is already the active version of service {service:?}")]
    #[from(skip)]
    AlreadyActive {
        /// Name of the service.
        service: String,
        /// Name of the version.
        version: String,
    },
    /// Another move of the service is running.
    #[display("move {name:?} of service {service:?} is still running")]
    #[from(skip)]
    MoveInProgress {
        /// Name of the service.
        service: String,
        /// Name of the other move.
        name: String,
    },
    /// The move has ended and can no longer be taken back.
    #[display("move {name:?} has ended: {phase:?}")]
    #[from(skip)]
    MoveEnded {
        /// Name of the move.
        name: String,
        /// Final phase of the move.
        phase: version_move::Phase,
    },
    /// The followed move was taken back.
    #[display("move {name:?} was taken back: {reason}")]
    #[from(skip)]
    TakenBack {
        /// Name of the move.
        name: String,
        /// The reason given by the instance.
        reason: String,
    },
    /// The instance can't be reached or did not respond.
    #[display("the instance at {address} can't be reached")]
    #[from(skip)]
    InstanceUnreachable {
        /// Admin address of the instance.
        address: net::SocketAddr,
    },
    /// The instance's response has an unexpected status or body.
    #[display("unexpected response from the instance at {address}, with status {status}")]
    #[from(skip)]
    UnexpectedResponse {
        /// Admin address of the instance.
        address: net::SocketAddr,
        /// HTTP status.
        status: u16,
    },
    /// The instance holds no event that concerns the request.
    #[display(
        "the instance at {address} holds no event about request {request:?}; \
         ask the instance that served it, soon after the request"
    )]
    #[from(skip)]
    NoEvents {
        /// Admin address of the instance.
        address: net::SocketAddr,
        /// Request id.
        request: String,
    },
}

/// Value with which the current value is compared after a conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Baseline {
    /// The value that the operator submitted.
    Submitted,
    /// The value that the command read before its write.
    Read,
}

impl Baseline {
    /// Returns the heading of the column with this value.
    pub const fn heading(self) -> &'static str {
        match self {
            Self::Submitted => "yours",
            Self::Read => "when read",
        }
    }
}

/// Failure of a command, printed as JSON.
#[derive(Debug)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report<'a> {
    /// Exit code of the command.
    pub code: u8,
    /// Error message.
    pub message: String,
    /// Value that `before` in the differences refers to; only for conflicts.
    pub base: Option<Baseline>,
    /// Fields that differ; empty unless the failure is a conflict.
    pub differences: &'a [difference::Difference],
}

impl Error {
    /// Returns the exit code of the command.
    pub const fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable | Self::InstanceUnreachable { .. } => 4,
            Self::OutcomeUnknown { .. } => 5,
            _ => 1,
        }
    }

    /// Returns the report that is printed as JSON.
    pub fn report(&self) -> Report<'_> {
        let (base, differences) = match self {
            Self::Conflict {
                base, differences, ..
            } => (Some(*base), differences.as_slice()),
            _ => (None, [].as_slice()),
        };
        Report {
            code: self.code(),
            message: self.to_string(),
            base,
            differences,
        }
    }

    /// Converts the platform's error for a read. A read without a response wrote nothing, so it
    /// becomes [`Error::Unreachable`].
    pub fn from_read(error: platform::Error) -> Self {
        match error {
            platform::Error::Refused { reason } => Self::Refused { reason },
            platform::Error::Compacted => Self::Compacted,
            _ => Self::Unreachable,
        }
    }
}

fn conflict_reason(version: Option<Version>) -> String {
    match version {
        Some(version) => format!("it has changed or exists already, now at version {version}"),
        None => "it doesn't exist any more".to_owned(),
    }
}
