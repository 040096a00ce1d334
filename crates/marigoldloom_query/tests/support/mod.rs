//! Test fixture: an engine, a fake fleet and an open-loop load generator on virtual time.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some items"
)]
#![allow(
    missing_docs,
    unreachable_pub,
    reason = "the fixture is internal to the tests"
)]

pub(crate) mod tier;

pub(crate) use marigoldloom_bench::checks::{
    coverage_matches_ledger, not_run_matches_ledger, percentile, wrong_parts,
};
pub(crate) use marigoldloom_bench::world::{Call, Fleet, Rt, World, run};
