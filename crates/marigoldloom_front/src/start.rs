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

/// Longest time that an instance waits for settings that can be used. Addresses are waited for without a
/// limit, because a restart wouldn't get them sooner.
const SETTINGS_LIMIT: Duration = Duration::from_secs(10);

/// Time between two log lines about an address that can't be used.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Pause before settings or addresses that can't be used are tried again.
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

/// Whether an address may be bound later: its last user may end, or its interface may come up.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}

/// Reads the settings and listens on their addresses. While the settings can't be used, as they may
/// be until they are written to their end, or an address can't be bound yet, tries again with the
/// newest settings. Returns `None` after a stop signal.
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
    let end = rt.now() + SETTINGS_LIMIT;
    let mut newest = None;
    let mut unusable = false;
    let mut next_report = rt.now();
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
                return Err(Error::Unread(SETTINGS_LIMIT));
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
                Err((address, error)) if is_temporary(&error) => {
                    if rt.now() >= next_report {
                        tracing::warn!(%address, %error, "an address can't be used yet; waiting");
                        next_report = rt.now() + REPORT_PERIOD;
                    }
                }
                Err((address, error)) => return Err(Error::Bind { address, error }),
            }
            newest = Some((settings, source));
        }
        rt.sleep(PAUSE).await;
    }
}
