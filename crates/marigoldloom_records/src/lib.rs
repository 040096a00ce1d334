//! Versioned records that operators and the platform write: services, failure
//! domains, upstreams, instances and version moves.
//!
//! Each record carries its schema version. Fields that this build does not know are
//! kept in `extra`, so that an old process preserves the fields that a newer one wrote.

pub mod class;
pub mod failure_domain;
pub mod instance;
pub mod record;
pub mod service;
pub mod upstream;
pub mod version_move;
