//! Open-loop load generator for the caller interface, with scheduled faults and a report.
//!
//! Requests are sent at times that don't depend on the answers, and latency counts from the
//! intended send time. A closed loop would send fewer requests while the system is slow, so its
//! latencies would be too low.

pub mod caller;
pub mod page;
pub mod recorder;
pub mod report;
pub mod run;
pub mod scenario;
