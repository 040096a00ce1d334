//! Definitions shared by all records: kinds, schema versions, decoding and validation.

use std::collections::BTreeMap;

use derive_more::derive;
use serde::de;
use serde::{Deserialize, Serialize};

use crate::{failure_domain, instance, service, upstream, version_move};

/// Newest schema version that this build supports.
pub const SCHEMA: u32 = 1;

/// Longest name of a record, in bytes.
pub const NAME_LIMIT: usize = 128;

/// Fields that this build does not know, kept when the record is written back.
pub type Extra = BTreeMap<String, serde_json::Value>;

/// The kinds of records that make up the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service and its versions.
    #[display("service")]
    Service,
    /// A failure domain and whether it receives work.
    #[display("domain")]
    #[serde(rename = "domain")]
    FailureDomain,
    /// An upstream: a replica of shards of a service.
    #[display("upstream")]
    Upstream,
    /// An instance of marigoldloom.
    #[display("instance")]
    Instance,
    /// A move of traffic between two versions of a service.
    #[display("move")]
    #[serde(rename = "move")]
    VersionMove,
}

impl Kind {
    /// Every kind, ordered so that records refer only to kinds listed before their own.
    pub const ALL: [Self; 5] = [
        Self::FailureDomain,
        Self::Service,
        Self::Upstream,
        Self::Instance,
        Self::VersionMove,
    ];

    /// The kind's name in the platform's URL paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::FailureDomain => "domain",
            Self::Upstream => "upstream",
            Self::Instance => "instance",
            Self::VersionMove => "move",
        }
    }

    /// Returns the kind with this name, or none if there is no such kind.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == name)
    }
}

/// Why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Invalid {
    /// The value can't be deserialized as a record of this kind.
    #[display("{kind}: {reason}")]
    Shape {
        /// Kind of the record.
        kind: Kind,
        /// The deserializer's message.
        reason: String,
    },
    /// The record's schema version is newer than this build supports.
    #[display(
        "{kind} {name:?}: schema {found} is newer than {supported}, the newest this build supports"
    )]
    Schema {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: String,
        /// Schema version of the record.
        found: u64,
        /// Newest schema version of this build.
        supported: u32,
    },
    /// A field's value is invalid or inconsistent with another field.
    #[display("{kind} {name:?}: {field}: {problem}")]
    Field {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: String,
        /// Name of the field.
        field: &'static str,
        /// What is wrong with it.
        problem: Problem,
    },
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Problem {
    /// The list or map is empty.
    #[display("must not be empty")]
    Empty,
    /// The value is outside its range.
    #[display("{value} is outside {min}..={max}")]
    OutOfRange {
        /// The rejected value.
        value: u64,
        /// Smallest allowed value.
        min: u64,
        /// Greatest allowed value.
        max: u64,
    },
    /// The name is empty, too long, or contains a character that [`is_name`] does not allow.
    #[display(
        "{name:?} is not a valid name (1 to {NAME_LIMIT} ASCII letters, digits, '-', '_' or '.')"
    )]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// The value refers to a name that the record does not define.
    #[display("{name:?} is not defined")]
    Undefined {
        /// The undefined name.
        name: String,
    },
    /// The value must differ from that of another field.
    #[display("must differ from {other}")]
    NotDistinct {
        /// Name of the other field.
        other: &'static str,
    },
}

/// A record that can be validated without looking at other records.
pub trait Record: Serialize + de::DeserializeOwned + Clone + Send + Sync + 'static {
    /// The record's kind.
    const KIND: Kind;

    /// The record's name, unique within its kind.
    fn name(&self) -> &str;

    /// The record's schema version.
    fn schema(&self) -> u32;

    /// Validates the fields' ranges and the references within the record.
    ///
    /// # Errors
    ///
    /// [`Invalid::Field`] for the first invalid field.
    fn check(&self) -> Result<(), Invalid>;
}

/// A record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum AnyRecord {
    /// A service.
    Service(service::Service),
    /// A failure domain.
    FailureDomain(failure_domain::FailureDomain),
    /// An upstream.
    Upstream(upstream::Upstream),
    /// An instance.
    Instance(instance::Instance),
    /// A version move.
    VersionMove(version_move::VersionMove),
}

/// Decodes and validates a record of a known type.
///
/// # Errors
///
/// [`Invalid::Schema`] if the schema is newer than [`SCHEMA`], [`Invalid::Shape`] if the value
/// can't be deserialized, [`Invalid::Field`] if a field's value is invalid.
pub fn decode<R: Record>(value: &serde_json::Value) -> Result<R, Invalid> {
    check_schema(R::KIND, value)?;
    let record: R = R::deserialize(value).map_err(|e| Invalid::Shape {
        kind: R::KIND,
        reason: e.to_string(),
    })?;
    check_name(R::KIND, record.name())?;
    record.check()?;
    Ok(record)
}

/// Decodes and validates a record of the given kind.
///
/// # Errors
///
/// The same as [`decode`].
pub fn decode_any(kind: Kind, value: &serde_json::Value) -> Result<AnyRecord, Invalid> {
    match kind {
        Kind::Service => decode(value).map(AnyRecord::Service),
        Kind::FailureDomain => decode(value).map(AnyRecord::FailureDomain),
        Kind::Upstream => decode(value).map(AnyRecord::Upstream),
        Kind::Instance => decode(value).map(AnyRecord::Instance),
        Kind::VersionMove => decode(value).map(AnyRecord::VersionMove),
    }
}

fn check_schema(kind: Kind, value: &serde_json::Value) -> Result<(), Invalid> {
    let found = value.get("schema").and_then(serde_json::Value::as_u64);
    let name = value.get("name").and_then(serde_json::Value::as_str);
    match found {
        Some(found) if found > u64::from(SCHEMA) => Err(Invalid::Schema {
            kind,
            name: name.unwrap_or_default().to_owned(),
            found,
            supported: SCHEMA,
        }),
        _ => Ok(()),
    }
}

fn check_name(kind: Kind, name: &str) -> Result<(), Invalid> {
    if is_name(name) {
        return Ok(());
    }
    Err(Invalid::Field {
        kind,
        name: name.to_owned(),
        field: "name",
        problem: Problem::InvalidName {
            name: name.to_owned(),
        },
    })
}

/// Whether `name` is a valid name of a record, route, version or tenant: 1 to [`NAME_LIMIT`]
/// ASCII letters, digits, `-`, `_` or `.`.
pub fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(allowed)
}

/// Validates the fields of one record and builds errors that name the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Checker<'a> {
    pub(crate) kind: Kind,
    pub(crate) name: &'a str,
}

impl Checker<'_> {
    pub(crate) fn error(&self, field: &'static str, problem: Problem) -> Invalid {
        Invalid::Field {
            kind: self.kind,
            name: self.name.to_owned(),
            field,
            problem,
        }
    }

    pub(crate) fn check_range(
        &self,
        field: &'static str,
        value: u64,
        min: u64,
        max: u64,
    ) -> Result<(), Invalid> {
        match value {
            v if v < min || v > max => {
                Err(self.error(field, Problem::OutOfRange { value, min, max }))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn check_name(&self, field: &'static str, name: &str) -> Result<(), Invalid> {
        match is_name(name) {
            true => Ok(()),
            false => Err(self.error(
                field,
                Problem::InvalidName {
                    name: name.to_owned(),
                },
            )),
        }
    }
}
