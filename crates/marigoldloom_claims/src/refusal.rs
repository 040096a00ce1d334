//! Refusals of non-idempotent requests.

use derive_more::derive;
use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// No upstream has run the request so far.
    #[display("not_run")]
    NotRun,
    /// An upstream may have run the request.
    #[display("unknown")]
    Unknown,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub enum Refusal {
    /// The idempotency key is missing, too long or holds an invalid character.
    #[display("the idempotency key is invalid")]
    InvalidKey,
    /// The key was used for a request with another route or body.
    #[display("the idempotency key was used for another request")]
    KeyReused,
    /// The key's bucket has no room for another claim until older ones expire.
    #[display("the claim bucket is full")]
    BucketFull,
    /// The claim wasn't confirmed in time.
    #[display("the claim can't be written to the platform")]
    NoClaim {
        /// [`RunStatus::Unknown`] if an earlier attempt may have run the request.
        run: RunStatus,
    },
    /// The bucket is malformed or has a newer schema than this build supports.
    #[display("the claim bucket can't be decoded")]
    BucketUnreadable,
    /// The deadline passed or the claim became too old before the dispatch.
    #[display("the request wasn't dispatched in time")]
    Late {
        /// [`RunStatus::Unknown`] if the claim expired meanwhile, so that another attempt may have
        /// run the request.
        run: RunStatus,
    },
    /// No upstream ran the request.
    #[display("no upstream took the request")]
    NotRun,
    /// The request was dispatched, but its outcome isn't known.
    #[display("the outcome of the request is unknown")]
    OutcomeUnknown,
    /// An earlier attempt holds the claim and its outcome isn't recorded yet.
    #[display("an earlier sending of this request holds the claim")]
    ClaimHeld,
}

impl Refusal {
    /// Returns whether the refused request may have run.
    pub const fn run_status(self) -> RunStatus {
        match self {
            Self::NoClaim { run } | Self::Late { run } => run,
            Self::InvalidKey | Self::KeyReused | Self::BucketFull | Self::NotRun => {
                RunStatus::NotRun
            }
            Self::BucketUnreadable | Self::OutcomeUnknown | Self::ClaimHeld => RunStatus::Unknown,
        }
    }
}
