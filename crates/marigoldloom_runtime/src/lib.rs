//! Clock, timers, spawning and randomness behind one small trait.
//!
//! Production code is generic over [`runtime::Runtime`], so the same async code
//! runs on async-std in the daemon and on a seeded virtual-time executor in tests.

pub mod async_std_runtime;
pub mod clock;
pub mod delay;
pub mod descriptors;
pub mod runtime;
pub mod scope;
pub mod supervisor;
pub mod time;
