//! A TCP stream that limits the size of each incoming message.
//!
//! async-h1 reads a head line of any length into memory, and header values with
//! bytes outside ASCII make `http-types` panic. Both are rejected here, before
//! async-h1 parses the bytes.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use derive_more::derive;
use futures::{AsyncRead, AsyncWrite, ready};
use http_types::Headers;

use crate::message;

/// Largest head of a message in bytes; the limit of async-h1.
pub(crate) const HEAD_LIMIT: usize = 8 * 1024;

/// The bytes that end a head.
const HEAD_END: u32 = u32::from_be_bytes(*b"\r\n\r\n");

/// Why an incoming message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub(crate) enum Error {
    /// The head is longer than [`HEAD_LIMIT`].
    #[display("the head is too long")]
    HeadTooLong,
    /// The body is longer than the limit given to [`LimitedStream::start_message`].
    #[display("the body is too long")]
    BodyTooLong,
    /// The head contains a byte outside ASCII.
    #[display("the head isn't ASCII")]
    NotAscii,
}

/// Byte counts and state of the current message.
#[derive(Default)]
struct Meter {
    /// Whether the end of the head has not been read yet.
    in_head: bool,
    /// The last four bytes of the head, to find [`HEAD_END`].
    last_bytes: u32,
    head_len: usize,
    body_len: usize,
    limit: usize,
    error: Option<Error>,
    ended: bool,
    written: bool,
}

impl Meter {
    fn count(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let mut rest = bytes;
        while let [byte, tail @ ..] = rest
            && self.in_head
        {
            self.head_len += 1;
            self.last_bytes = (self.last_bytes << 8) | u32::from(*byte);
            self.in_head = self.last_bytes != HEAD_END;
            rest = tail;
            match () {
                () if !byte.is_ascii() => return Err(Error::NotAscii),
                () if self.head_len > HEAD_LIMIT => return Err(Error::HeadTooLong),
                () => (),
            }
        }
        self.body_len += rest.len();
        match self.body_len > self.limit {
            true => Err(Error::BodyTooLong),
            false => Ok(()),
        }
    }
}

/// What was read of the current message; lengths in bytes.
#[derive(Clone, Copy)]
pub(crate) struct Received {
    pub(crate) head_len: usize,
    pub(crate) body_len: usize,
    pub(crate) error: Option<Error>,
    /// Whether the peer closed the stream, or reading from it failed.
    pub(crate) ended: bool,
}

/// A TCP stream with size limits for incoming messages. Clones share the byte counts.
#[derive(Clone)]
pub(crate) struct LimitedStream {
    pub(crate) tcp: TcpStream,
    meter: Arc<Mutex<Meter>>,
}

impl LimitedStream {
    pub(crate) fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            meter: Arc::default(),
        }
    }

    /// Resets the byte counts for a new incoming message with at most `limit` body bytes.
    pub(crate) fn start_message(&self, limit: usize) {
        *self.lock() = Meter {
            in_head: true,
            limit,
            ..Meter::default()
        };
    }

    /// What was read since [`Self::start_message`].
    pub(crate) fn received(&self) -> Received {
        let meter = self.lock();
        Received {
            head_len: meter.head_len,
            body_len: meter.body_len,
            error: meter.error,
            ended: meter.ended,
        }
    }

    /// Whether bytes that follow `message` were read with it. They are discarded, so the
    /// connection can't be reused.
    pub(crate) fn has_trailing_bytes<H>(&self, message: &message::Message<H>) -> bool
    where
        H: AsRef<Headers> + AsMut<Headers>,
    {
        !message.is_chunked() && self.received().body_len != message.body.len()
    }

    /// Whether a byte was written since [`Self::start_message`].
    pub(crate) fn has_written(&self) -> bool {
        self.lock().written
    }

    fn lock(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.tcp).poll_read(cx, buf));
        let mut meter = self.lock();
        meter.ended |= !matches!(result, Ok(1..));
        let count = result?;
        match meter.count(&buf[..count]) {
            Ok(()) => Poll::Ready(Ok(count)),
            Err(error) => {
                meter.error = Some(error);
                Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)))
            }
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.tcp).poll_write(cx, buf))?;
        self.lock().written |= count > 0;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
