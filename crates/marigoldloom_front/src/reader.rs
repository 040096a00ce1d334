//! Reads the settings without blocking the executor.

use std::mem;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use marigoldloom_runtime::runtime::{self, Runtime};

/// Longest time that a read is waited for.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Calls `F` on threads of its own, one at a time, since a read may take any time.
pub(crate) struct Reader<F, T> {
    read: F,
    /// Result of the read that has begun last, unless it was returned.
    running: Option<Receiver<T>>,
    /// Whether it was reported that a read takes long.
    reported: bool,
}

impl<F, T> Reader<F, T>
where
    F: Fn() -> T + Clone + Send + 'static,
    T: Send + 'static,
{
    pub(crate) fn new(read: F) -> Self {
        Self {
            read,
            running: None,
            reported: false,
        }
    }

    /// Returns the result of a read that begins after the call, or `None` if there is none in time.
    /// A read that takes longer is left alone, and the next one begins once it has ended: one that never
    /// ends holds up all later ones, but takes only one thread.
    pub(crate) async fn read(&mut self, rt: &impl Runtime) -> Option<T> {
        let end = rt.now() + READ_LIMIT;
        loop {
            let new = self.running.is_none();
            if new {
                self.running = self.begin();
            }
            let running = self.running.as_ref()?;
            match runtime::timeout_at(rt, end, running.recv()).await {
                Ok(result) => {
                    self.running = None;
                    self.reported = false;
                    if new {
                        return result.ok();
                    }
                }
                Err(_) => {
                    if !mem::replace(&mut self.reported, true) {
                        tracing::warn!(limit = ?READ_LIMIT, "the settings aren't read in time");
                    }
                    return None;
                }
            }
        }
    }

    fn begin(&self) -> Option<Receiver<T>> {
        let (sender, receiver) = async_channel::bounded(1);
        let read = self.read.clone();
        let reading = thread::Builder::new()
            .name("settings".to_owned())
            // Fails only if nobody waits for the result any more.
            .spawn(move || drop(sender.try_send(read())));
        reading
            .inspect_err(|error| tracing::warn!(%error, "no thread for reading the settings"))
            .ok()
            .map(|_| receiver)
    }
}
