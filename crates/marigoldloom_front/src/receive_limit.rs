//! A stream that limits how many bytes can be read beside the data of bodies.
//!
//! hyper bounds the length of one head, but skips any number of informational responses before it, and of
//! leading zeros in the length of a chunk, without yielding as long as there are bytes to read. Such a
//! connection would occupy a thread until its sender stops, and no timer could end it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use bytes::Bytes;
use derive_more::derive;
use futures::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Bytes that may be read without data of a body, in receive buffers. hyper reads up to two buffers of
/// data before the first part of it is taken, and a head takes up to one.
const LIMIT_BUFFERS: usize = 4;

/// Bytes that each byte of a body allows in addition. A chunk of one byte has six.
const FRAMING_RATIO: usize = 8;

/// The limit of [`ReceiveLimit`] was exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("more than {limit} bytes without data")]
pub(crate) struct Exceeded {
    /// The limit in bytes.
    pub(crate) limit: usize,
}

/// Number of bytes that may still be read from a connection. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReceiveLimit {
    left: Arc<AtomicUsize>,
    limit: usize,
}

impl ReceiveLimit {
    /// Creates the limit of a connection whose receive buffer has at most `buffer` bytes.
    pub(crate) fn new(buffer: usize) -> Self {
        let limit = buffer.saturating_mul(LIMIT_BUFFERS);
        Self {
            left: Arc::new(AtomicUsize::new(limit)),
            limit,
        }
    }

    /// Allows all bytes anew, before a request is sent or when the head of a message is complete.
    pub(crate) fn reset(&self) {
        self.left.store(self.limit, Ordering::Relaxed);
    }

    /// Allows the bytes that the framing of `data` bytes of a body may take.
    fn allow(&self, data: usize) {
        let added = data.saturating_mul(FRAMING_RATIO);
        let left = |left: usize| Some(left.saturating_add(added).min(self.limit));
        // The closure returns no `None`.
        let _ = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
    }

    /// Counts bytes that were read.
    fn count(&self, bytes: usize) -> Result<(), Exceeded> {
        let left = |left: usize| left.checked_sub(bytes);
        let updated = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
        let exceeded = Exceeded { limit: self.limit };
        updated.map(drop).map_err(|_left| exceeded)
    }
}

/// The body of a message from a connection with a [`ReceiveLimit`].
#[derive(Debug)]
pub struct ReceivedBody {
    incoming: Incoming,
    limit: ReceiveLimit,
}

impl ReceivedBody {
    /// Creates the body of a message whose head is complete.
    pub(crate) fn new(incoming: Incoming, limit: &ReceiveLimit) -> Self {
        limit.reset();
        Self {
            incoming,
            limit: limit.clone(),
        }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            self.limit.allow(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// A TCP stream with a [`ReceiveLimit`].
#[derive(Debug)]
pub(crate) struct LimitedStream {
    pub(crate) tcp: TcpStream,
    pub(crate) limit: ReceiveLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        let counted = self.limit.count(count);
        let counted = counted.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error));
        Poll::Ready(counted.map(|()| count))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}
