//! The [`Upstream`] trait and its errors.

use std::sync::Arc;
use std::{future, net};

use derive_more::derive;

use crate::message;

/// Name and address of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Name of the upstream's record.
    pub name: Arc<str>,
    /// Address where the upstream accepts subqueries.
    pub address: net::SocketAddr,
}

/// Why a subquery got no usable answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(derive::Display, derive::Error)]
pub enum Error {
    /// No byte of the subquery was sent, so it has not run.
    #[display("the upstream can't be reached; the subquery was not sent")]
    Unreachable,
    /// The subquery was refused, by the upstream or before it was sent, so it has not run.
    #[display("the upstream refused the subquery: {refusal}")]
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
        /// The upstream's report; `None` if it sent none.
        report: Option<message::Report>,
    },
    /// The upstream answered with an error status; the subquery may have run.
    #[display("the upstream failed with status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// The upstream's report; `None` if it sent none.
        report: Option<message::Report>,
        /// The complete response, if it is passed to the caller unchanged.
        reply: Option<Box<message::Reply>>,
    },
    /// The connection ended after bytes were sent; the subquery may have run.
    #[display("the connection ended before the answer came")]
    Lost,
    /// The connection ended after bytes were sent, and the upstream's address refuses connections:
    /// its process ended while it may have run the subquery.
    #[display("the upstream ended before the answer came")]
    Ended,
    /// The deadline passed after bytes were sent; the subquery may have run.
    #[display("the deadline passed before the answer came")]
    TimedOut,
    /// The answer belongs to another subquery, shard or snapshot.
    #[display("the answer belongs to another subquery, shard or snapshot")]
    Mismatch,
}

/// Why a subquery was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display)]
pub enum Refusal {
    /// The upstream is overloaded.
    #[display("overloaded")]
    Shed,
    /// The upstream is draining.
    #[display("draining")]
    Draining,
    /// The upstream doesn't hold the snapshot.
    #[display("snapshot not held")]
    SnapshotGone,
    /// The upstream doesn't hold the shard.
    #[display("shard not held")]
    ShardGone,
    /// The deadline passed before the subquery was sent, or before the upstream started it.
    #[display("deadline passed")]
    Expired,
    /// The address belongs to another upstream now.
    #[display("another upstream has the address")]
    Misdirected,
    /// The upstream said that it wants no requests after the subquery was assigned to it.
    #[display("the upstream wants no requests")]
    Withheld,
    /// The process at the address has another start id than the subquery names; this was
    /// detected before the subquery was sent.
    #[display("another process runs there")]
    Restarted,
}

impl Error {
    /// Whether the subquery is known not to have run.
    pub const fn not_run(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused { .. })
    }

    /// Whether a response of the upstream is known to have arrived.
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

    /// Whether the upstream is known to have survived the run of the subquery.
    pub const fn survived(&self) -> bool {
        matches!(self, Self::Failed { .. })
    }

    /// The upstream's report; `None` if the error contains none.
    pub const fn report(&self) -> Option<message::Report> {
        match self {
            Self::Refused { report, .. } | Self::Failed { report, .. } => *report,
            _ => None,
        }
    }
}

/// Sends subqueries to upstreams. Dropping the future cancels the subquery, and a
/// connection with an outstanding response is never reused.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// Runs one subquery on `target` within the subquery's deadline. `admit` returns whether it may
    /// still be sent; it is called when a connection is free.
    ///
    /// If the subquery names a start id, it is sent only on a connection on which a process
    /// with that id has answered. The connection ends with the process, so a restarted
    /// process can't receive the subquery.
    fn send(
        &self,
        target: &Target,
        subquery: &message::Subquery,
        admit: impl Fn() -> bool + Send + Sync,
    ) -> impl Future<Output = Result<message::Reply, Error>> + Send;

    /// Returns whether the address of `target` refuses connections, which shows that its process has
    /// ended. False if that isn't known.
    fn has_ended(&self, _target: &Target) -> impl Future<Output = bool> + Send {
        future::ready(false)
    }
}
