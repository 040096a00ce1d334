//! Errors in a settings file.

use std::io;
use std::net;
use std::path;

use derive_more::derive;
use marigoldloom_records::record;

/// A settings file that can't be used.
#[derive(Debug)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// The file can't be read.
    #[display("{}: {source}", file.display())]
    Read {
        /// Path of the settings file.
        file: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file isn't TOML, has an unknown key or a value of the wrong type.
    #[display("{}: {key}: {source}", file.display())]
    Decode {
        /// Path of the settings file.
        file: path::PathBuf,
        /// Dotted path of the key; `.` stands for the whole file.
        key: String,
        /// Error of the decoder, with the line number.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range or conflicts with another one.
    #[display("{}: {source}", file.display())]
    Value {
        /// Path of the settings file.
        file: path::PathBuf,
        /// The key and what is wrong with its value.
        source: Invalid,
    },
}

/// A value that is out of range or conflicts with another one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("{key}: {problem}")]
pub struct Invalid {
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong with its value.
    #[error(not(source))]
    pub problem: Problem,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Problem {
    /// The value is outside its range.
    #[display("{value} is outside {min}..={max}")]
    Range {
        /// Configured value.
        value: u64,
        /// Smallest value allowed.
        min: u64,
        /// Largest value allowed.
        max: u64,
    },
    /// The name is empty, too long or has other characters than the text lists.
    #[display(
        "{name:?} is not a valid name (1 to {} ASCII letters, digits, '-', '_' or '.')",
        record::NAME_LIMIT
    )]
    Name {
        /// Configured name.
        name: String,
    },
    /// The address is unspecified (such as `0.0.0.0`), so nothing can connect to it.
    #[display("{address} can't be connected to; name the address of one interface")]
    Unspecified {
        /// Configured address.
        address: net::SocketAddr,
    },
    /// Two listeners have the same address.
    #[display("{address} is also the value of {other}")]
    Duplicate {
        /// The address that both keys have.
        address: net::SocketAddr,
        /// Dotted path of the other key.
        other: &'static str,
    },
}
