//! Routing of subqueries: the topology, home sets, upstream health, replica choice and
//! latency quantiles.

pub mod choice;
pub mod health;
pub mod home;
pub mod quantile;
pub mod topology;
