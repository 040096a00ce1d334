//! The front end that forwards callers' HTTP requests to upstreams unchanged.
//!
//! Routes and replicas come from the catalog. The query engine decides where and how often a
//! request is sent. A [`dialect::Dialect`] defines the headers of callers and upstreams.
//!
//! This crate uses hyper instead of async-h1, which neither preserves the target of a request byte
//! for byte nor supports response bodies that are delimited by the end of the connection.

mod body;
mod calls;
pub mod client;
pub mod connection;
mod decisions;
pub mod dialect;
mod drain;
mod endpoints;
mod exchange;
mod forward;
pub mod front;
pub mod headers;
mod homes;
pub mod instance;
pub mod listener;
pub mod merge;
mod moves;
mod peer_client;
mod reader;
mod receive_limit;
mod records;
mod rejection;
mod responses;
mod sent_requests;
mod sharing;
pub mod signals;
mod start;
mod strikes;
