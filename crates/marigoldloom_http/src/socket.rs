//! Opens TCP connections that detect an unresponsive peer.

use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;

use async_io::Async;
use async_std::future;
use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time before the first keep-alive probe, and the time between two probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection counts as lost. An unresponsive peer is
/// detected within 3 s, the time within which a configuration must take effect.
const PROBE_LIMIT: u32 = 2;

/// Time without an acknowledgement of sent bytes after which the connection counts as lost.
const SEND_LIMIT: Duration = Duration::from_secs(3);

/// Shortest and longest limits of [`limit_sending`].
const SEND_LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3_600));

/// Ends the connection once its peer has acknowledged none of the bytes that wait to be sent for
/// `limit`, because it is gone or doesn't read.
///
/// # Errors
///
/// The error of the operating system.
pub fn limit_sending(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let (shortest, longest) = SEND_LIMITS;
    SockRef::from(stream).set_tcp_user_timeout(Some(limit.clamp(shortest, longest)))
}

/// Opens a connection within `limit`, without Nagle's algorithm and with keep-alive probes.
///
/// # Errors
///
/// The error of the operating system, or [`io::ErrorKind::TimedOut`] if the limit passed.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let opening = Async::<net::TcpStream>::connect(address);
    let stream = future::timeout(limit, opening).await;
    let stream = stream.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    let socket = SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SEND_LIMIT))?;
    Ok(TcpStream::from(stream.into_inner()?))
}
