//! The start of an instance, until it listens on its addresses.

use std::io;
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use futures::future::Either;
use marigoldloom_runtime::runtime::Runtime;

use crate::instance::{Error, Settings};
use crate::listener;
use crate::signals::{Signal, Signals};

/// Longest time that an instance waits for an address that is in use: longer than platforms let a
/// process run on after a stop signal.
const BIND_LIMIT: Duration = Duration::from_secs(10);

/// Pause before such an address is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// Listeners of an instance, except that of metrics.
pub(crate) struct Listeners {
    pub(crate) peers: TcpListener,
    pub(crate) callers: TcpListener,
    pub(crate) checks: TcpListener,
}

impl Listeners {
    /// Listens on all addresses, or on none of them.
    async fn bind(settings: &Settings) -> Result<Self, (SocketAddr, io::Error)> {
        let bind = |address| async move {
            let listener = listener::bind(address).await;
            listener.map_err(|error| (address, error))
        };
        Ok(Self {
            peers: bind(settings.peer_address).await?,
            callers: bind(settings.caller_address).await?,
            checks: bind(settings.readiness_address).await?,
        })
    }
}

/// What an instance starts with.
pub(crate) struct Start<S> {
    pub(crate) settings: Settings,
    pub(crate) source: S,
    pub(crate) listeners: Listeners,
}

/// Reads the settings and listens on their addresses. While another process uses one, as the
/// instance's last one may until it has ended, tries again with the newest settings. Returns `None`
/// after a stop signal.
pub(crate) async fn start<S, E>(
    rt: &impl Runtime,
    signals: &mut Signals,
    read: impl Fn() -> Result<(Settings, S), E>,
) -> Result<Option<Start<S>>, Error<E>> {
    let (mut settings, mut source) = read().map_err(Error::Settings)?;
    let end = rt.now() + BIND_LIMIT;
    let mut reported = false;
    let mut signal = signals.take();
    loop {
        match signal {
            Some(Signal::Stop(signal)) => {
                tracing::info!(signal, "stopping");
                tracing::info!(connections = 0, "stopped");
                return Ok(None);
            }
            Some(Signal::Reload) => {
                tracing::info!("reloading the settings");
                if let Ok(new) = read() {
                    (settings, source) = new;
                }
            }
            None => {}
        }
        match Listeners::bind(&settings).await {
            Ok(listeners) => {
                return Ok(Some(Start {
                    settings,
                    source,
                    listeners,
                }));
            }
            Err((address, error)) if error.kind() == io::ErrorKind::AddrInUse && rt.now() < end => {
                if !mem::replace(&mut reported, true) {
                    tracing::warn!(%address, "the address is in use; waiting for it");
                }
            }
            Err((address, error)) => return Err(Error::Bind { address, error }),
        }
        let pause = signals.during(rt.sleep(BIND_PAUSE)).await;
        signal = match pause.map_err(Error::Signals)? {
            Either::Left(signal) => Some(signal),
            Either::Right(()) => None,
        };
    }
}
