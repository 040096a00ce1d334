//! Measures CPU time and heap bytes of this process.

use std::alloc::System;
use std::time::Duration;

use cpu_time::ProcessTime;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Runs `work` and returns its result with the CPU time that the process used meanwhile.
///
/// Wall time would also count the time that other programs on the machine use.
pub fn cpu<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = ProcessTime::now();
    let value = work();
    (value, start.elapsed())
}

/// Runs `work` and returns its result with the heap bytes that are still allocated afterwards.
pub fn heap<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = work();
    (value, net_bytes(&region))
}

/// Counts the heap bytes that were allocated and not freed since it was created.
#[derive(Debug)]
pub struct HeapCounter {
    region: Region<'static, System>,
}

impl HeapCounter {
    /// Starts counting at zero.
    pub fn start() -> Self {
        Self {
            region: Region::new(ALLOCATOR),
        }
    }

    /// Returns the heap bytes allocated minus those freed since the start. Negative if more
    /// bytes were freed.
    pub fn bytes(&self) -> f64 {
        net_bytes(&self.region)
    }
}

fn net_bytes(region: &Region<'_, System>) -> f64 {
    let stats = region.change();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}
