//! Stand-ins for the platform and for upstreams, used by tests, the trial mode and experiments.

pub mod platform;
pub mod upstream;
pub mod users;
