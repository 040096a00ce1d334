//! Measures the costs that docs/CAPACITY.md extrapolates to the target size.
//!
//! Each measure runs production code at several sizes and fits a line through the figures. The
//! slope shows how a cost grows with the size. The target size is 1,300 instances and 5,300
//! upstreams in 6 failure domains, with 53 shards in each service.

pub mod args;
pub mod bursts;
pub mod calls;
pub mod claims;
pub mod connections;
pub mod control;
pub mod cost;
pub mod engine;
pub mod fill;
pub mod fleet;
pub mod homes;
pub mod loopback;
pub mod memory;
pub mod net;
pub mod propagation;
pub mod rebuild;
pub mod records;
pub mod report;
