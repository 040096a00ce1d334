//! The start of an instance, until it listens on its addresses.

use std::net::SocketAddr;
use std::time::Duration;
use std::{fmt, io, mem};

use async_std::net::TcpListener;
use futures::future::Either;
use marigoldloom_runtime::runtime::Runtime;

use crate::instance::{Error, Settings};
use crate::listener;
use crate::reader::Reader;
use crate::signals::{Signal, Signals};

/// Longest time that an instance waits for its settings, and for an address that is in use: longer
/// than platforms let a process run on after a stop signal.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Pause before they are tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// What a read of the settings returns: the settings and the source of records that they name.
pub(crate) type Read<S, E> = Result<(Settings, S), E>;

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

/// Reads the settings and listens on their addresses. While the settings can't be used, as they may
/// be until they are written to their end, or another process uses an address, as the instance's
/// last one may until it has ended, tries again with the newest settings. Returns `None` after a
/// stop signal.
pub(crate) async fn start<F, S, E>(
    rt: &impl Runtime,
    signals: &mut Signals,
    reader: &mut Reader<F, Read<S, E>>,
) -> Result<Option<Start<S>>, Error<E>>
where
    F: Fn() -> Read<S, E> + Clone + Send + 'static,
    S: Send + 'static,
    E: fmt::Display + Send + 'static,
{
    let end = rt.now() + START_LIMIT;
    let mut newest = None;
    let (mut unusable, mut reported) = (false, false);
    loop {
        match signals.during(reader.read(rt)).await? {
            Either::Left(Signal::Stop(signal)) => {
                tracing::info!(signal, "stopping");
                tracing::info!(connections = 0, "stopped");
                return Ok(None);
            }
            Either::Left(Signal::Reload) => {
                tracing::info!("reloading the settings");
                continue;
            }
            Either::Right(Some(Ok(new))) => newest = Some(new),
            Either::Right(Some(Err(error))) if newest.is_none() && rt.now() >= end => {
                return Err(Error::Settings(error));
            }
            Either::Right(None) if newest.is_none() && rt.now() >= end => {
                return Err(Error::Unread(START_LIMIT));
            }
            Either::Right(Some(Err(error))) => {
                if !mem::replace(&mut unusable, true) {
                    tracing::warn!(%error, "the settings can't be used; waiting for others");
                }
            }
            Either::Right(_) => {}
        }
        if let Some((settings, source)) = newest.take() {
            match Listeners::bind(&settings).await {
                Ok(listeners) => {
                    return Ok(Some(Start {
                        settings,
                        source,
                        listeners,
                    }));
                }
                Err((address, error))
                    if error.kind() == io::ErrorKind::AddrInUse && rt.now() < end =>
                {
                    if !mem::replace(&mut reported, true) {
                        tracing::warn!(%address, "the address is in use; waiting for it");
                    }
                }
                Err((address, error)) => return Err(Error::Bind { address, error }),
            }
            newest = Some((settings, source));
        }
        rt.sleep(PAUSE).await;
    }
}
