//! File descriptors of the process.

use rustix::process::{Resource, getrlimit};

/// Returns how many file descriptors the process may open; `None` if there is no limit.
pub fn limit() -> Option<usize> {
    let limit = getrlimit(Resource::Nofile).current?;
    usize::try_from(limit).ok()
}
