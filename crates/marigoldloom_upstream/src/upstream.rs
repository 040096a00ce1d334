//! The upstream trait and its failures.

use std::net;
use std::sync::Arc;

use derive_more::derive;

use crate::message;

/// Names one upstream and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Record name.
    pub name: Arc<str>,
    /// Address of the upstream protocol.
    pub address: net::SocketAddr,
}

/// Why a subquery got no usable answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// No byte of the request was sent: it has not run.
    #[display("the upstream can't be reached; the subquery was not sent")]
    Unreachable,
    /// The upstream refused it: it has not run.
    #[display("the upstream refused the subquery: {refusal}")]
    Refused {
        /// Why.
        refusal: Refusal,
        /// The upstream's report, where it sent one.
        report: Option<message::Report>,
    },
    /// The upstream ran it and failed.
    #[display("the upstream failed with status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// The upstream's report, where it sent one.
        report: Option<message::Report>,
        /// The complete response, where callers get it unchanged.
        reply: Option<Box<message::Reply>>,
    },
    /// The connection ended after bytes were sent; it may have run.
    #[display("the connection ended before the answer came")]
    Lost,
    /// The deadline passed after bytes were sent; it may have run.
    #[display("the deadline passed before the answer came")]
    TimedOut,
    /// The answer belongs to another subquery, shard or snapshot.
    #[display("the answer belongs to another subquery, shard or snapshot")]
    Mismatch,
}

/// Why an upstream refused a subquery without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub enum Refusal {
    /// Overloaded.
    #[display("overloaded")]
    Shed,
    /// Draining.
    #[display("draining")]
    Draining,
    /// The snapshot is not held.
    #[display("snapshot not held")]
    SnapshotGone,
    /// The shard is not held.
    #[display("shard not held")]
    ShardGone,
    /// The deadline passed before the subquery was sent, or had passed on arrival.
    #[display("deadline passed")]
    Expired,
    /// Another upstream has the address now.
    #[display("another upstream has the address")]
    Misdirected,
    /// The process that the subquery is meant for is gone; found out before it was sent.
    #[display("another process runs there")]
    Restarted,
}

impl Error {
    /// Whether the subquery is known not to have run.
    pub const fn not_run(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused { .. })
    }

    /// Whether the upstream sent an answer.
    pub const fn answered(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                report: Some(_),
                ..
            } | Self::Failed { .. }
                | Self::Mismatch
        )
    }

    /// The upstream's report, where the failure carries one.
    pub const fn report(&self) -> Option<message::Report> {
        match self {
            Self::Refused { report, .. } | Self::Failed { report, .. } => *report,
            _ => None,
        }
    }
}

/// Sends subqueries to upstreams. Dropping the future cancels the subquery, and
/// a connection whose answer is still due is never used again.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// Runs one subquery on `target` within the subquery's deadline.
    ///
    /// If the subquery names a start id, it is sent only over a connection on which that
    /// process has identified itself. A connection ends with its process, so a restart
    /// can't slip in between.
    fn send(
        &self,
        target: &Target,
        subquery: &message::Subquery,
    ) -> impl Future<Output = Result<message::Reply, Error>> + Send;
}
