//! Opens connections that notice when the other side goes silent.

use std::io;
use std::net::{self, SocketAddr};
use std::time::Duration;

use async_io::Async;
use async_std::future;
use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle time after which the other side is asked whether it is still there, and the time
/// between two such probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection counts as lost. A connection that goes
/// silent is noticed within 3 s, the time in which a configuration is in force.
const PROBE_LIMIT: u32 = 2;

/// Time without an acknowledgement of sent bytes after which the connection counts as lost.
const SEND_LIMIT: Duration = Duration::from_secs(3);

/// Opens a connection within `limit` that sends small writes at once and notices when the
/// other side goes silent.
///
/// # Errors
///
/// The error of the operating system, or that the limit passed.
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
