//! Cancellation of all work that belongs to one request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// Work that ends together. Clones share the state.
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

    /// Cancels the work of the scope.
    pub fn cancel(&self) {
        self.inner.cancelled.store(true, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Whether the work was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.inner.cancelled.load(Ordering::SeqCst)
    }

    /// Completes once the work is cancelled.
    pub async fn cancelled(&self) {
        while !self.is_cancelled() {
            let changed = self.inner.changed.listen();
            if self.is_cancelled() {
                return;
            }
            changed.await;
        }
    }

    /// A guard that cancels the scope when it is dropped before [`Guard::finish`].
    pub fn guard(&self) -> Guard {
        Guard {
            scope: self.clone(),
            armed: true,
        }
    }
}

/// Cancels its scope on drop.
#[derive(Debug)]
pub struct Guard {
    scope: Scope,
    armed: bool,
}

impl Guard {
    /// Ends the guard without cancelling the scope.
    pub fn finish(mut self) {
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
