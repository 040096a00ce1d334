//! Cancellation of all tasks that belong to one request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// Cancellation scope of a group of tasks. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    cancelled: AtomicBool,
    changed: Event,
}

impl Scope {
    /// Creates a scope that isn't cancelled.
    pub fn new() -> Self {
        Self::default()
    }

    /// Cancels the scope and wakes all tasks that wait in [`Scope::cancelled`].
    pub fn cancel(&self) {
        self.inner.cancelled.store(true, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Whether the scope was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.inner.cancelled.load(Ordering::SeqCst)
    }

    /// Completes once the scope is cancelled.
    pub async fn cancelled(&self) {
        while !self.is_cancelled() {
            let changed = self.inner.changed.listen();
            if self.is_cancelled() {
                return;
            }
            changed.await;
        }
    }

    /// Returns a guard that cancels the scope when dropped, unless [`Guard::disarm`] was called.
    pub fn guard(&self) -> Guard {
        Guard {
            scope: self.clone(),
            armed: true,
        }
    }
}

/// Cancels its scope on drop unless it is disarmed.
#[derive(Debug)]
pub struct Guard {
    scope: Scope,
    armed: bool,
}

impl Guard {
    /// Consumes the guard without cancelling the scope.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.armed {
            self.scope.cancel();
        }
    }
}
