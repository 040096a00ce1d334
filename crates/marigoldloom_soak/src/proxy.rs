//! A loopback proxy between two processes, whose connections can be harmed.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Async;
use async_std::task;
use futures::future;
use futures::{AsyncReadExt, AsyncWriteExt};
use serde::Serialize;
use socket2::SockRef;

/// Bytes read at a time.
const CHUNK: usize = 16 * 1024;

/// Time between two looks whether bytes that are held may pass.
const POLL: Duration = Duration::from_millis(5);

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass later, in each direction.
    Slow {
        /// How much later.
        delay_ms: u64,
    },
    /// No bytes pass until the condition changes.
    Silent,
    /// Requests pass and answers don't, until the condition changes.
    AnswersHeld,
    /// Connections are reset as soon as they are open.
    Refusing,
}

/// The proxy. Clones share its connections.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Mutex<State>>,
}

struct State {
    target: SocketAddr,
    condition: Condition,
    /// Closed when the connections so far are reset.
    reset: (Sender<()>, Receiver<()>),
    /// Connections opened before this many were open stay silent for good.
    muted: u64,
    opened: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Proxy {
    /// Starts a proxy for `target` on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// The error of the operating system if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let state = State {
            target,
            condition: Condition::default(),
            reset: async_channel::bounded(1),
            muted: 0,
            opened: 0,
        };
        let proxy = Self {
            address: listener.get_ref().local_addr()?,
            shared: Arc::new(Mutex::new(state)),
        };
        let shared = proxy.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(shared.clone().carry(stream));
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it treats connections.
    pub fn set(&self, condition: Condition) {
        self.state().condition = condition;
    }

    /// Makes new connections go to `target`.
    pub fn aim(&self, target: SocketAddr) {
        self.state().target = target;
    }

    /// Resets the connections so far.
    pub fn reset(&self) {
        let mut state = self.state();
        let (old, _) = std::mem::replace(&mut state.reset, async_channel::bounded(1));
        old.close();
    }

    /// Makes the connections so far silent for good; new ones work.
    pub fn mute(&self) {
        let mut state = self.state();
        state.muted = state.opened;
    }

    async fn carry(self, near: Async<TcpStream>) {
        let (target, reset, number, refused) = {
            let mut state = self.state();
            state.opened += 1;
            let refused = state.condition == Condition::Refusing;
            (state.target, state.reset.1.clone(), state.opened, refused)
        };
        let far = match refused {
            true => Err(io::ErrorKind::ConnectionRefused.into()),
            false => Async::<TcpStream>::connect(target).await,
        };
        let Ok(far) = far else {
            abort(&near);
            return;
        };
        let there = self.pump(&near, &far, Direction::Request, number);
        let back = self.pump(&far, &near, Direction::Answer, number);
        let pumps = pin::pin!(future::try_join(there, back));
        let reset = pin::pin!(reset.recv());
        match future::select(pumps, reset).await {
            future::Either::Left((Ok(_), _)) => {}
            // What happened to one side happens to the other.
            future::Either::Left((Err(_), _)) | future::Either::Right(_) => {
                abort(&near);
                abort(&far);
            }
        }
    }

    /// Carries bytes in one direction until it ends.
    async fn pump(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        way: Direction,
        number: u64,
    ) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = from.read(&mut chunk).await;
            self.hold(way, number).await;
            match read? {
                0 => break,
                len => to.write_all(&chunk[..len]).await?,
            }
        }
        // The other side may have closed its end already.
        let _ = to.get_ref().shutdown(Shutdown::Write);
        Ok(())
    }

    /// Waits until bytes may pass.
    async fn hold(&self, way: Direction, number: u64) {
        loop {
            let (condition, muted) = {
                let state = self.state();
                (state.condition, number <= state.muted)
            };
            match condition {
                _ if muted => {}
                Condition::Slow { delay_ms } => {
                    return task::sleep(Duration::from_millis(delay_ms)).await;
                }
                Condition::AnswersHeld if way == Direction::Answer => {}
                Condition::Silent => {}
                Condition::Open | Condition::AnswersHeld | Condition::Refusing => return,
            }
            task::sleep(POLL).await;
        }
    }
}

/// Makes the connection end with a reset once it is dropped.
fn abort(stream: &Async<TcpStream>) {
    // A socket that has ended by itself needs no reset.
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}
