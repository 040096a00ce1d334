//! Answers and their coverage.

use std::str;

use derive_more::derive;
use marigoldloom_records::service;
use marigoldloom_upstream::{message, upstream};
use serde::{Deserialize, Serialize};

/// The answer to one request, from one snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Answer {
    /// The request.
    pub request: message::RequestId,
    /// What every part of the answer was read from.
    pub snapshot: service::Snapshot,
    /// The shards whose parts are in the answer, and those that are missing.
    pub coverage: Coverage,
    /// The parts, by shard in ascending order.
    pub results: Vec<Part>,
}

/// Which shards of the snapshot an answer covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Coverage {
    /// Shards whose complete part is in the answer, in ascending order.
    pub answered: Vec<u32>,
    /// Shards without a part, in ascending order.
    pub missing: Vec<MissingShard>,
    /// Shards of the snapshot that the request addresses.
    pub total: u32,
}

impl Coverage {
    /// Whether no shard is missing.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }
}

/// A shard without a part in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MissingShard {
    /// Shard.
    pub shard: u32,
    /// Why.
    pub reason: Reason,
}

/// Why a shard gave no part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No upstream that takes work serves the shard.
    #[display("no upstream serves the shard")]
    NoReplica,
    /// All replicas are ejected after failures.
    #[display("all replicas are ejected")]
    Ejected,
    /// No replica had room before the deadline.
    #[display("no replica had room")]
    Overloaded,
    /// The replicas are in cold start and took no more.
    #[display("the replicas are in cold start")]
    Cold,
    /// No connection could be made.
    #[display("no connection could be made")]
    Unreachable,
    /// The upstream failed.
    #[display("the upstream failed")]
    Failed,
    /// The connection ended before the answer came.
    #[display("the connection was lost")]
    Lost,
    /// The deadline passed first.
    #[display("the deadline passed")]
    TimedOut,
    /// The snapshot is no longer held.
    #[display("the snapshot is gone")]
    SnapshotGone,
    /// The upstream no longer holds the shard.
    #[display("the shard is gone")]
    ShardGone,
    /// The upstream answered another subquery.
    #[display("the answer belongs to another subquery")]
    Mismatch,
}

impl From<&upstream::Error> for Reason {
    fn from(error: &upstream::Error) -> Self {
        match error {
            upstream::Error::Unreachable => Self::Unreachable,
            upstream::Error::Refused { refusal, .. } => Self::from(*refusal),
            upstream::Error::Failed { .. } => Self::Failed,
            upstream::Error::Lost => Self::Lost,
            upstream::Error::TimedOut => Self::TimedOut,
            upstream::Error::Mismatch => Self::Mismatch,
        }
    }
}

impl From<upstream::Refusal> for Reason {
    fn from(refusal: upstream::Refusal) -> Self {
        match refusal {
            upstream::Refusal::Shed => Self::Overloaded,
            upstream::Refusal::Draining | upstream::Refusal::Misdirected => Self::NoReplica,
            upstream::Refusal::SnapshotGone => Self::SnapshotGone,
            upstream::Refusal::ShardGone => Self::ShardGone,
            upstream::Refusal::Expired => Self::TimedOut,
            upstream::Refusal::Restarted => Self::Cold,
        }
    }
}

/// One shard's part of an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Part {
    /// Shard.
    pub shard: u32,
    /// The upstream's body.
    pub body: Body,
    /// Head of the upstream's response, for callers that get it unchanged.
    #[serde(skip)]
    pub head: Option<Box<message::Head>>,
}

impl Part {
    /// The part that `reply` is.
    pub fn new(shard: u32, reply: message::Reply) -> Self {
        Self {
            shard,
            body: Body(reply.body),
            head: reply.head,
        }
    }
}

/// An upstream's body: a JSON string if it is UTF-8, else an array of bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Body(pub Vec<u8>);

#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum Wire {
    Text(String),
    Bytes(Vec<u8>),
}

impl From<Body> for Wire {
    fn from(body: Body) -> Self {
        match String::from_utf8(body.0) {
            Ok(text) => Self::Text(text),
            Err(e) => Self::Bytes(e.into_bytes()),
        }
    }
}

impl From<Wire> for Body {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Text(text) => Self(text.into_bytes()),
            Wire::Bytes(bytes) => Self(bytes),
        }
    }
}

impl Body {
    /// The body as text, if it is UTF-8.
    pub fn text(&self) -> Option<&str> {
        str::from_utf8(&self.0).ok()
    }
}
