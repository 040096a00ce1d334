//! Adapts a [`runtime::Runtime`] to hyper's executor and timer traits.

use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt;
use marigoldloom_runtime::runtime;

/// hyper's executor and timer.
#[derive(Clone, Debug)]
pub struct HyperRuntime<R>(pub R);

/// hyper requires `Unpin` of executors; the inner runtime is never pinned.
impl<R> Unpin for HyperRuntime<R> {}

impl<R, F> rt::Executor<F> for HyperRuntime<R>
where
    R: runtime::Runtime,
    F: Future + Send + 'static,
    F::Output: Send,
{
    fn execute(&self, task: F) {
        self.0.spawn(async move {
            task.await;
        });
    }
}

impl<R: runtime::Runtime> rt::Timer for HyperRuntime<R> {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep(Mutex::new(Box::pin(self.0.sleep(duration)))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

/// A sleep that is `Sync`, as hyper requires; the lock is never contended.
struct Sleep<F>(Mutex<Pin<Box<F>>>);

impl<F: Future<Output = ()>> Future for Sleep<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let sleep = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        sleep.as_mut().poll(cx)
    }
}

impl<F: Future<Output = ()> + Send> rt::Sleep for Sleep<F> {}
