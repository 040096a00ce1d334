//! A loopback TCP proxy that delays, holds or resets the connections between two processes.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Async;
use async_std::task;
use futures::future;
use futures::{AsyncReadExt, AsyncWriteExt};
use serde::Serialize;
use socket2::SockRef;

/// Size of the read buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time between two checks whether held bytes may pass.
const DELAY_POLL_PERIOD: Duration = Duration::from_millis(5);

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Bytes pass without delay.
    #[default]
    Open,
    /// Bytes pass with a delay, in both directions.
    Slow {
        /// Delay of each read, in milliseconds.
        delay_ms: u64,
    },
    /// Bytes are held in both directions until the condition changes.
    Silent,
    /// Bytes to the client are held until the condition changes; bytes to the target pass.
    AnswersHeld,
    /// New connections are reset as soon as they are accepted.
    Refusing,
}

/// A proxy that listens on one address. Clones share its state.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    target: SocketAddr,
    condition: Condition,
    /// Channel that is closed to reset all open connections, and then replaced.
    reset: (Sender<()>, Receiver<()>),
    /// Connections up to this number carry no more bytes.
    last_muted: u64,
    /// Connections accepted so far; the number of the latest one.
    accepted: u64,
    /// Channel that is closed to stop listening; `None` while the proxy doesn't listen.
    listening: Option<Sender<()>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port of a loopback address of its own.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind((unused_ip(), 0))?;
        let address = listener.get_ref().local_addr()?;
        let state = State {
            target,
            condition: Condition::default(),
            reset: async_channel::bounded(1),
            last_muted: 0,
            accepted: 0,
            listening: None,
        };
        let proxy = Self {
            address,
            state: Arc::new(Mutex::new(state)),
        };
        proxy.listen(listener);
        Ok(proxy)
    }

    fn listen(&self, listener: Async<TcpListener>) {
        let (listening, stopped) = async_channel::bounded::<()>(1);
        self.lock_state().listening = Some(listening);
        let acceptor = self.clone();
        task::spawn(async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    task::spawn(acceptor.clone().forward(stream));
                }
            };
            let stopped = pin::pin!(stopped.recv());
            future::select(pin::pin!(accept), stopped).await;
        });
    }

    /// Stops listening, so that new connections are refused, and resets all open ones.
    pub fn close(&self) {
        let listening = self.lock_state().listening.take();
        listening.inspect(|sender| {
            sender.close();
        });
        self.reset();
    }

    /// Listens again after [`Self::close`].
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address can't be bound.
    pub fn reopen(&self) -> io::Result<()> {
        if self.lock_state().listening.is_none() {
            self.listen(Async::<TcpListener>::bind(self.address)?);
        }
        Ok(())
    }

    /// Address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how the proxy treats connections. `Refusing` applies to new ones only.
    pub fn set_condition(&self, condition: Condition) {
        self.lock_state().condition = condition;
    }

    /// Forwards new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.lock_state().target = target;
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        let mut state = self.lock_state();
        let (old, _) = std::mem::replace(&mut state.reset, async_channel::bounded(1));
        old.close();
    }

    /// Holds the bytes of all open connections for good. New connections work.
    pub fn mute(&self) {
        let mut state = self.lock_state();
        state.last_muted = state.accepted;
    }

    async fn forward(self, client: Async<TcpStream>) {
        let (target, reset, number, refuses) = {
            let mut state = self.lock_state();
            state.accepted += 1;
            let refuses = state.condition == Condition::Refusing;
            (state.target, state.reset.1.clone(), state.accepted, refuses)
        };
        let server = match refuses {
            true => Err(io::ErrorKind::ConnectionRefused.into()),
            false => Async::<TcpStream>::connect(target).await,
        };
        let Ok(server) = server else {
            reset_on_drop(&client);
            return;
        };
        let requests = self.copy(&client, &server, Direction::Request, number);
        let answers = self.copy(&server, &client, Direction::Answer, number);
        let copies = pin::pin!(future::try_join(requests, answers));
        let reset = pin::pin!(reset.recv());
        match future::select(copies, reset).await {
            future::Either::Left((Ok(_), _)) => {}
            // A reset or an error on one side resets the other side too.
            future::Either::Left((Err(_), _)) | future::Either::Right(_) => {
                reset_on_drop(&client);
                reset_on_drop(&server);
            }
        }
    }

    /// Copies bytes in one direction until its end of stream.
    async fn copy(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        direction: Direction,
        number: u64,
    ) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk).await;
            self.delay(direction, number).await;
            match read? {
                0 => break,
                len => to.write_all(&chunk[..len]).await?,
            }
        }
        // Fails if the receiver has already closed the connection.
        let _ = to.get_ref().shutdown(Shutdown::Write);
        Ok(())
    }

    /// Waits until bytes in `direction` of the connection `number` may pass.
    async fn delay(&self, direction: Direction, number: u64) {
        loop {
            let (condition, muted) = {
                let state = self.lock_state();
                (state.condition, number <= state.last_muted)
            };
            match condition {
                _ if muted => {}
                Condition::Slow { delay_ms } => {
                    return task::sleep(Duration::from_millis(delay_ms)).await;
                }
                Condition::AnswersHeld if direction == Direction::Answer => {}
                Condition::Silent => {}
                Condition::Open | Condition::AnswersHeld | Condition::Refusing => return,
            }
            task::sleep(DELAY_POLL_PERIOD).await;
        }
    }
}

/// Loopback address for the next proxy. No connection has it as its own address, which could take the
/// port while the proxy is closed.
fn unused_ip() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let run = std::process::id();
    let part = |value: u32| u8::try_from(value % 250 + 1).unwrap_or(1);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, part(run / 250 % 100 + 100), part(run), part(number))
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &Async<TcpStream>) {
    // Fails if the connection has already ended, which needs no reset.
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}
