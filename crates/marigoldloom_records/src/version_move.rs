//! A move of a service's traffic from one version to another, with a deadline.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};

use crate::record;

/// A version move: the operator's request and its status.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct VersionMove {
    /// Schema version of this record; at most [`record::SCHEMA`].
    pub schema: u32,
    /// Name, unique within the kind.
    pub name: String,
    /// Service whose traffic moves.
    pub service: String,
    /// Version that traffic moves away from.
    pub from: String,
    /// Version that traffic moves to.
    pub to: String,
    /// When the move starts, in wall-clock milliseconds.
    pub start_ms: time::WallTime,
    /// Time by which the move must be complete; otherwise it is taken back. In wall-clock
    /// milliseconds.
    pub deadline_ms: time::WallTime,
    /// Whether the operator wants the move to proceed or to be taken back.
    pub intent: Intent,
    /// Progress of the move; written by an instance.
    #[serde(default)]
    pub status: Status,
    /// Fields that this build does not know, kept when the record is written back.
    #[serde(flatten)]
    pub extra: record::Extra,
}

/// An operator's order to move a replicated service to a version within a short time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// Name of the move, without a slash. An order that is given again has another name.
    pub name: Arc<str>,
    /// Name of the replicated service.
    pub service: Arc<str>,
    /// Version that traffic moves to.
    pub version: Arc<str>,
    /// Time from the order until the move must be complete.
    pub window: Duration,
    /// Phase in the status of the order; `None` before the first status is written.
    pub phase: Option<Phase>,
    /// Revision of the record. A phase is written only if the record still has it, so that no
    /// instance overwrites a final phase that it doesn't know.
    pub revision: u64,
    /// Era of the platform that the revision belongs to.
    pub era: u64,
}

/// Whether the operator wants a move to proceed or to be taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Intent {
    /// Advance as far as the evidence permits.
    Proceed,
    /// Return all traffic to the old version.
    TakeBack,
}

/// Progress of a move.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Status {
    /// Whether the move is running or how it ended.
    pub phase: Phase,
    /// Reason for the phase, one sentence to be shown to the operator.
    pub reason: String,
    /// When the phase was reached, in wall-clock milliseconds.
    pub at_ms: time::WallTime,
    /// Evidence by route name.
    pub evidence: BTreeMap<String, RouteEvidence>,
}

/// Phase of a move. `Done` and `TakenBack` are final.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The move has not ended.
    #[default]
    Running,
    /// Complete: all traffic goes to the new version.
    Done,
    /// Taken back: all traffic goes to the old version again.
    TakenBack,
}

/// Request counts of both versions on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct RouteEvidence {
    /// Requests to the new version.
    pub requests: u64,
    /// Failed requests to the new version.
    pub failures: u64,
    /// Slow requests to the new version.
    pub slow: u64,
    /// Requests to the old version.
    pub old_requests: u64,
    /// Failed requests to the old version.
    pub old_failures: u64,
    /// Slow requests to the old version.
    pub old_slow: u64,
}

impl record::Record for VersionMove {
    const KIND: record::Kind = record::Kind::VersionMove;

    fn name(&self) -> &str {
        &self.name
    }

    fn schema(&self) -> u32 {
        self.schema
    }

    fn check(&self) -> Result<(), record::Invalid> {
        let checker = record::Checker {
            kind: Self::KIND,
            name: &self.name,
        };
        checker.check_name("service", &self.service)?;
        checker.check_name("from", &self.from)?;
        checker.check_name("to", &self.to)?;
        let (start, deadline) = (self.start_ms.0, self.deadline_ms.0);
        // The deadline must be later than the start, so the start can't be `u64::MAX`.
        checker.check_range("start_ms", start, 0, u64::MAX - 1)?;
        checker.check_range("deadline_ms", deadline, start + 1, u64::MAX)?;
        match self.from == self.to {
            true => Err(checker.error("to", record::Problem::NotDistinct { other: "from" })),
            false => Ok(()),
        }
    }
}
