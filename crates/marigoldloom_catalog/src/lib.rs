//! A local copy of the configuration and the replica records that the platform stores.
//!
//! A [`source::Source`] reads records from the platform. [`follower`] keeps a
//! [`catalog::Catalog`] up to date with it and builds a new [`view::View`] for the request path
//! after each change. In each failure domain only a few instances watch the platform; the others
//! get its records from the [`feed::Feed`]s of those instances, see [`relay`].

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
