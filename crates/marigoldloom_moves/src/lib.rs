//! Gradual moves of a service's traffic from one version to another, by a deadline.
//!
//! Every instance computes the new version's share from the move's record, the wall
//! clock and the evidence that all instances share; there is no leader. A move is taken
//! back, so that all traffic returns to the old version, if the new version is worse than
//! the old one, isn't proven by the deadline, or an operator asks for it. That decision is
//! final and spreads between peers, also while the platform is unreachable.
//!
//! [`control`] runs moves between versions of a whole service, which proceed in steps that each need
//! proof. [`window`] runs moves of replicated services that must end within seconds, by a [`plan`]
//! that bounds what the new version gets over the whole time.

pub mod control;
pub mod evidence;
pub mod moves;
pub mod plan;
pub mod sequential;
pub mod share;
pub mod window;

mod config;
mod progress;
mod recorder;
mod status;
mod table;
