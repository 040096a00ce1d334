//! Merges the parts of a query into the greatest records of all.

/// Bytes of one record.
pub const RECORD_LEN: usize = 16;

/// The `top` greatest records of `parts`, greatest first. A remainder that is shorter than a
/// record is none; equal records all count.
pub fn greatest<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let records = parts.into_iter().flat_map(|p| p.chunks_exact(RECORD_LEN));
    let mut records: Vec<_> = records.collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat()
}
