//! Merges the answers of shards into the greatest records overall.

/// Length of one record in bytes.
pub const RECORD_LEN: usize = 16;

/// Returns the `top` greatest records of `parts` in byte order, greatest first. A remainder
/// shorter than a record is ignored; equal records are all kept.
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let records = parts.into_iter().flat_map(|p| p.chunks_exact(RECORD_LEN));
    let mut records: Vec<_> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}
