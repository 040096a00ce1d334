//! Conversion between the types of the shared map and protocol messages.

use std::sync::Arc;

use marigoldloom_runtime::time;

use crate::exchange::{Entry, Space};
use crate::generated::peer;
use crate::shared_map::Summary;
use crate::transport;

/// Converts an entry to its message.
pub(crate) fn encode(entry: &Entry) -> peer::Entry {
    peer::Entry {
        space: entry.space.number(),
        name: entry.name.to_string(),
        stamp: entry.stamp,
        value: entry.value.as_deref().map(str::to_owned),
        expires: entry.expires.map(|at| at.0),
    }
}

/// Converts messages to entries. Entries of spaces that this build doesn't know are skipped.
pub(crate) fn decode(entries: Vec<peer::Entry>) -> impl Iterator<Item = Entry> {
    entries.into_iter().filter_map(|entry| {
        Some(Entry {
            space: Space::from_number(entry.space)?,
            name: Arc::from(entry.name),
            stamp: entry.stamp,
            value: entry.value.map(Arc::from),
            expires: entry.expires.map(time::WallTime),
        })
    })
}

/// Converts a summary to its message.
pub(crate) const fn encode_summary(summary: &Summary) -> peer::Summary {
    peer::Summary {
        name: summary.name_hash,
        stamp: summary.stamp,
        entry: summary.entry_hash,
    }
}

/// Converts a message to a summary.
pub(crate) const fn decode_summary(summary: &peer::Summary) -> Summary {
    Summary {
        name_hash: summary.name,
        stamp: summary.stamp,
        entry_hash: summary.entry,
    }
}

/// Converts entries to messages and splits them into chunks of about [`transport::CHUNK_BYTES`].
pub(crate) fn chunks<'a>(entries: impl IntoIterator<Item = &'a Entry>) -> Vec<Vec<peer::Entry>> {
    let mut chunks: Vec<Vec<peer::Entry>> = Vec::new();
    let mut bytes = transport::CHUNK_BYTES;
    for entry in entries {
        if bytes >= transport::CHUNK_BYTES {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += encoded_bytes(entry);
        chunks
            .last_mut()
            .into_iter()
            .for_each(|chunk| chunk.push(encode(entry)));
    }
    chunks
}

/// The first chunk of the entries, and whether entries remain after it.
pub(crate) fn first_chunk<'a>(
    entries: impl IntoIterator<Item = &'a Entry>,
) -> (Vec<peer::Entry>, bool) {
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes >= transport::CHUNK_BYTES {
            return (chunk, true);
        }
        bytes += encoded_bytes(entry);
        chunk.push(encode(entry));
    }
    (chunk, false)
}

/// Upper estimate of an entry's encoded size: its strings, 2 varints and the field tags.
fn encoded_bytes(entry: &Entry) -> usize {
    entry.name.len() + entry.value.as_deref().map_or(0, str::len) + 40
}
