//! Signals that stop the process or tell that its settings have changed.

use std::os::unix::net;
use std::{io, pin};

use async_std::io::ReadExt;
use async_std::os::unix::net::UnixStream;
use futures::future::{self, Either};
use signal_hook::consts::signal;
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;

/// What a signal asks for. The greatest one counts if several have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// Read the settings again.
    Reload,
    /// End the process; contains the signal's number.
    Stop(i32),
}

/// Handles SIGTERM, SIGINT and SIGHUP. Signals that arrive before [`Signals::next`] is called are
/// kept.
#[derive(Debug)]
pub struct Signals {
    delivery: SignalDelivery<net::UnixStream, SignalOnly>,
    /// The same socket as that of `delivery`, once it is waited for.
    wakeups: Option<UnixStream>,
}

impl Signals {
    /// Installs the handlers. Until then each of the signals ends the process.
    ///
    /// # Errors
    ///
    /// The error of the operating system if they can't be installed.
    pub fn install() -> io::Result<Self> {
        let handled = [signal::SIGHUP, signal::SIGTERM, signal::SIGINT];
        let (read, write) = net::UnixStream::pair()?;
        Ok(Self {
            delivery: SignalDelivery::with_pipe(read, write, SignalOnly, handled)?,
            wakeups: None,
        })
    }

    /// Returns the signal to act on, of those that have arrived.
    fn take(&mut self) -> Option<Signal> {
        let signals = self.delivery.pending().map(|number| match number {
            signal::SIGHUP => Signal::Reload,
            stop => Signal::Stop(stop),
        });
        signals.max()
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// The error of the operating system if signals can't be waited for.
    pub async fn next(&mut self) -> io::Result<Signal> {
        loop {
            if let Some(signal) = self.take() {
                return Ok(signal);
            }
            let wakeups = match &mut self.wakeups {
                Some(wakeups) => wakeups,
                none => none.insert(UnixStream::from(self.delivery.get_read().try_clone()?)),
            };
            wakeups.read(&mut [0; 64]).await?;
        }
    }

    /// Waits for `operation`, but no longer than until the next signal.
    ///
    /// # Errors
    ///
    /// The error of the operating system if signals can't be waited for.
    pub async fn during<T>(
        &mut self,
        operation: impl Future<Output = T>,
    ) -> io::Result<Either<Signal, T>> {
        let signal = pin::pin!(self.next());
        match future::select(signal, pin::pin!(operation)).await {
            Either::Left((signal, _)) => signal.map(Either::Left),
            Either::Right((value, _)) => Ok(Either::Right(value)),
        }
    }
}
