//! Communication between instances: replication of the shared map of control state,
//! failure detection, cold-start dispatch leases and query forwarding.

pub mod config_watch;
pub mod dispatch_lease;
pub mod dissemination;
pub mod exchange;
mod failure_detection;
pub mod generated;
pub mod grpc;
pub mod membership;
pub mod metered;
pub mod peers;
pub mod shared_map;
mod store;
pub mod transport;
mod wire;
