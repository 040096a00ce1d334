//! Answers and the shards that they cover.

use std::str;

use derive_more::derive;
use marigoldloom_records::service;
use marigoldloom_upstream::{message, upstream};
use serde::{Deserialize, Serialize};

/// The answer to one request. All parts come from the same snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Answer {
    /// Id of the answered request.
    pub request: message::RequestId,
    /// Snapshot that every part was read from.
    pub snapshot: service::Snapshot,
    /// Which shards are in the answer and which are missing.
    pub coverage: Coverage,
    /// One part per answered shard, in ascending order of shard.
    pub results: Vec<Part>,
}

/// Which shards of the snapshot an answer covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Coverage {
    /// Shards with a part in the answer, in ascending order.
    pub answered: Vec<u32>,
    /// Shards without a part in the answer, in ascending order.
    pub missing: Vec<MissingShard>,
    /// Number of shards that the request addresses.
    pub total: u32,
}

impl Coverage {
    /// Whether every shard answered.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty()
    }
}

/// A shard without a part in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct MissingShard {
    /// Number of the shard, from zero.
    pub shard: u32,
    /// Why it gave no part.
    pub reason: Reason,
}

/// Why a shard gave no part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No upstream that accepts work serves the shard.
    #[display("no upstream serves the shard")]
    NoReplica,
    /// All replicas are ejected after repeated failures.
    #[display("all replicas are ejected")]
    Ejected,
    /// Replicas have said that they leave or want no requests for a time, and no other one can be
    /// used. The subquery has not run.
    #[display("the replicas want no requests")]
    Unwilling,
    /// No replica had capacity for the subquery, or the upstream shed it.
    #[display("no replica had room")]
    Overloaded,
    /// The replicas are in cold start and had no capacity left.
    #[display("the replicas are in cold start")]
    Cold,
    /// No connection to a replica could be opened.
    #[display("no connection could be made")]
    Unreachable,
    /// The upstream answered with an error status.
    #[display("the upstream failed")]
    Failed,
    /// The connection closed after the subquery was sent and before the answer was complete.
    #[display("the connection was lost")]
    Lost,
    /// The deadline passed before an answer came.
    #[display("the deadline passed")]
    TimedOut,
    /// The upstream no longer holds the snapshot.
    #[display("the snapshot is gone")]
    SnapshotGone,
    /// The upstream no longer holds the shard.
    #[display("the shard is gone")]
    ShardGone,
    /// The upstream's answer belongs to another subquery, shard or snapshot.
    #[display("the answer belongs to another subquery")]
    Mismatch,
}

impl From<&upstream::Error> for Reason {
    fn from(error: &upstream::Error) -> Self {
        match error {
            upstream::Error::Unreachable => Self::Unreachable,
            upstream::Error::Refused { refusal, .. } => Self::from(*refusal),
            upstream::Error::Failed { .. } => Self::Failed,
            upstream::Error::Lost | upstream::Error::Ended => Self::Lost,
            upstream::Error::TimedOut => Self::TimedOut,
            upstream::Error::Mismatch => Self::Mismatch,
        }
    }
}

impl From<upstream::Refusal> for Reason {
    fn from(refusal: upstream::Refusal) -> Self {
        match refusal {
            upstream::Refusal::Shed => Self::Overloaded,
            upstream::Refusal::Withheld => Self::Unwilling,
            upstream::Refusal::Draining | upstream::Refusal::Misdirected => Self::NoReplica,
            upstream::Refusal::SnapshotGone => Self::SnapshotGone,
            upstream::Refusal::ShardGone => Self::ShardGone,
            upstream::Refusal::Expired => Self::TimedOut,
            upstream::Refusal::Restarted => Self::Cold,
        }
    }
}

/// The part of an answer that one shard gave.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Part {
    /// Number of the shard, from zero.
    pub shard: u32,
    /// Body of the upstream's response.
    pub body: Body,
    /// Head of the upstream's response; only set if callers receive it unchanged.
    #[serde(skip)]
    pub head: Option<Box<message::Head>>,
}

impl Part {
    /// Creates the part of `shard` from an upstream's reply.
    pub fn new(shard: u32, reply: message::Reply) -> Self {
        Self {
            shard,
            body: Body(reply.body),
            head: reply.head,
        }
    }
}

/// Body of an upstream's response. Serialized as a JSON string if it is UTF-8, otherwise as an
/// array of bytes.
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
    /// Returns the body as text if it is UTF-8.
    pub fn text(&self) -> Option<&str> {
        str::from_utf8(&self.0).ok()
    }
}
