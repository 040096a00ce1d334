//! What operators configure and which upstreams exist, on a platform that keeps both.
//!
//! A [`source::Source`] reads records from the platform. [`follower`] keeps a
//! [`catalog::Catalog`] up to date with it, and each change gives a new [`view::View`]
//! for the request path. In each failure domain few instances ask the platform; the others get
//! its records from their [`feed::Feed`]s, see [`relay`].

pub mod catalog;
pub mod configuration;
pub mod feed;
pub mod fleet;
pub mod follower;
pub mod relay;
pub mod replica;
pub mod source;
pub mod table;
pub mod view;
