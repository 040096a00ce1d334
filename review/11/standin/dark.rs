//! Machines that are removed for good.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::edge::Edge;
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// The address of a machine that has no power: connections to it hang.
pub struct Dark {
    _listener: TcpListener,
    _accepted: Vec<TcpStream>,
}

impl Dark {
    fn new(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // SAFETY: the descriptor is that of an open listener.
        if unsafe { listen(listener.as_raw_fd(), 0) } != 0 {
            return Err(io::Error::last_os_error());
        }
        // The queue of new connections is filled, so that the opening packets of others are dropped.
        let mut accepted = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(20)) {
            accepted.push(stream);
        }
        Ok(Self {
            _listener: listener,
            _accepted: accepted,
        })
    }
}

/// Starts machines, each batch of them once the one before it is removed for good. The first has the
/// number `first`. Returns their addresses.
pub fn remove_machines(
    record: &Record,
    store: &Store,
    first: u16,
    count: u16,
    batch: u16,
    start: impl Fn(u16) -> io::Result<Edge>,
) -> io::Result<Vec<Dark>> {
    let mut dark = Vec::new();
    for begin in (first..first + count).step_by(usize::from(batch)) {
        let end = (begin + batch).min(first + count);
        let running: Vec<_> = (begin..end).map(&start).collect::<io::Result<_>>()?;
        let since = Instant::now();
        // A machine is known to the others once it has registered.
        while store.names("marigoldloom-instances").len() < usize::from(end) {
            if since.elapsed() > Duration::from_secs(20) {
                return Err(io::Error::other("machines don't register"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        let addresses: Vec<_> = running.iter().map(|edge| edge.peers).collect();
        drop(running);
        record.line(format!(
            "machines {} to {end} are removed for good",
            begin + 1
        ));
        for address in addresses {
            dark.push(Dark::new(address)?);
        }
    }
    Ok(dark)
}
