//! Lets hyper sleep on async-std.

use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use hyper::rt;

/// hyper's timer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AsyncStdTimer;

impl rt::Timer for AsyncStdTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep(Mutex::new(Box::pin(task::sleep(duration)))))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

/// A sleep that is `Sync`, as hyper demands; the lock is never contended.
struct Sleep<F>(Mutex<Pin<Box<F>>>);

impl<F: Future<Output = ()>> Future for Sleep<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let sleep = self.0.get_mut().unwrap_or_else(PoisonError::into_inner);
        sleep.as_mut().poll(cx)
    }
}

impl<F: Future<Output = ()> + Send> rt::Sleep for Sleep<F> {}
