//! Reads message bodies within limits on each of them and on all of them together.

use std::error::Error as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{io, pin};

use bytes::Bytes;
use derive_more::derive;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::receive_limit::{Exceeded, ReceivedBody};

/// Bytes of a body that are not counted in [`Memory`], so that small bodies can be read while large
/// ones have taken all of it.
const UNCOUNTED: usize = 16 * 1024;

/// Part of an instance's memory that a single sender may take.
const SENDER_DIVISOR: usize = 4;

/// Part of an instance's memory that answers may take until they are sent. Callers that don't read
/// theirs leave the rest for answers that are being read.
const SENDING_DIVISOR: usize = 2;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
pub(crate) enum Error {
    /// The body is longer than allowed.
    #[display("the body is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The bodies that are being read take all memory.
    #[display("bodies being read take all of the {limit} bytes for them")]
    NoMemory {
        /// The limit that was reached, in bytes.
        limit: usize,
    },
    /// Too many bytes came that aren't part of the body.
    #[display("the body's framing has {_0}")]
    Framing(Exceeded),
    /// The connection ended or failed within the body.
    #[display("the body ended early")]
    Truncated,
}

/// Memory for the bodies that an instance is reading, or for those of one sender. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    used: Arc<AtomicUsize>,
    limit: usize,
    /// Memory that this one is a part of.
    whole: Option<Arc<Self>>,
}

impl Memory {
    /// Creates an amount of `limit` bytes of which nothing is used.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
            whole: None,
        }
    }

    /// Creates the part of this memory that one sender may use.
    pub(crate) fn for_sender(&self) -> Self {
        self.part(SENDER_DIVISOR)
    }

    /// Creates the part of this memory that answers may use until they are sent.
    pub(crate) fn for_sending(&self) -> Self {
        self.part(SENDING_DIVISOR)
    }

    fn part(&self, divisor: usize) -> Self {
        Self {
            whole: Some(Arc::new(self.clone())),
            ..Self::new(self.limit / divisor)
        }
    }

    /// Takes `bytes`; takes nothing and returns the limit that is reached if too few are left.
    fn take(&self, bytes: usize) -> Result<(), usize> {
        let left = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
        taken.map_err(|_used| self.limit)?;
        let whole = self
            .whole
            .as_ref()
            .map_or(Ok(()), |whole| whole.take(bytes));
        whole.inspect_err(|_limit| {
            self.used.fetch_sub(bytes, Ordering::Relaxed);
        })
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(whole) = &self.whole {
            whole.give_back(bytes);
        }
    }
}

/// Bytes that are counted in [`Memory`] until this is dropped.
#[derive(Debug)]
pub(crate) struct Counted {
    memory: Memory,
    bytes: usize,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.memory.give_back(self.bytes);
    }
}

/// A body that is counted until it is dropped.
struct Held {
    bytes: Vec<u8>,
    _counted: Counted,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the body of a response. It uses `memory` until it has been sent or its connection has ended.
///
/// # Errors
///
/// [`Error::NoMemory`] if too little is left.
pub(crate) fn hold(bytes: Vec<u8>, memory: &Memory) -> Result<Bytes, Error> {
    let counted = bytes.capacity().saturating_sub(UNCOUNTED);
    let taken = memory.take(counted);
    taken.map_err(|limit| Error::NoMemory { limit })?;
    Ok(Bytes::from_owner(Held {
        bytes,
        _counted: Counted {
            memory: memory.clone(),
            bytes: counted,
        },
    }))
}

/// A buffer whose capacity is counted.
struct Buffer {
    bytes: Vec<u8>,
    counted: Counted,
}

impl Buffer {
    /// Appends `data`, up to `limit` bytes in all.
    fn push(&mut self, data: &[u8], limit: usize) -> Result<(), Error> {
        let needed = self.bytes.len() + data.len();
        if needed > limit {
            return Err(Error::TooLong { limit });
        }
        if needed > self.bytes.capacity() {
            let capacity = needed.max(2 * self.bytes.capacity()).min(limit);
            let added = capacity.saturating_sub(UNCOUNTED) - self.counted.bytes;
            let taken = self.counted.memory.take(added);
            taken.map_err(|limit| Error::NoMemory { limit })?;
            self.counted.bytes += added;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Returns why reading a body failed.
fn explain(error: &hyper::Error) -> Error {
    let source = error.source().and_then(|s| s.downcast_ref::<io::Error>());
    let source = source.and_then(io::Error::get_ref);
    let exceeded = source.and_then(|s| s.downcast_ref::<Exceeded>());
    exceeded.map_or(Error::Truncated, |exceeded| Error::Framing(*exceeded))
}

/// Reads a whole body of at most `limit` bytes. While it is read, it uses `memory`.
pub(crate) async fn read(
    body: ReceivedBody,
    limit: usize,
    memory: &Memory,
) -> Result<Vec<u8>, Error> {
    let (bytes, _counted) = read_counted(body, limit, memory).await?;
    Ok(bytes)
}

/// Reads a whole body of at most `limit` bytes. It uses `memory` until what is returned beside it is
/// dropped.
///
/// The data is copied: pieces of a chunked body may be a byte long, and each one would keep the
/// buffer that it was received in.
pub(crate) async fn read_counted(
    body: ReceivedBody,
    limit: usize,
    memory: &Memory,
) -> Result<(Vec<u8>, Counted), Error> {
    let length = body.size_hint().lower();
    if length > limit as u64 {
        return Err(Error::TooLong { limit });
    }
    let mut buffer = Buffer {
        bytes: Vec::new(),
        counted: Counted {
            memory: memory.clone(),
            bytes: 0,
        },
    };
    let mut body = pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| explain(&error))?;
        if let Some(data) = frame.data_ref() {
            buffer.push(data, limit)?;
        }
    }
    Ok((buffer.bytes, buffer.counted))
}
