//! Merging of the shards' answers.

use marigoldloom_front::merge::{RECORD_LEN, greatest};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against records that are lost, made up, duplicated or out of order.
    fn equals_a_full_sort(parts: Vec<Vec<u8>>, top: u8) -> bool {
        let top = usize::from(top);
        let mut all: Vec<[u8; RECORD_LEN]> = Vec::new();
        for part in &parts {
            for chunk in part.chunks(RECORD_LEN) {
                all.extend(<[u8; RECORD_LEN]>::try_from(chunk));
            }
        }
        all.sort();
        all.reverse();
        all.truncate(top);
        greatest(parts.iter().map(Vec::as_slice), top) == all.concat()
    }
}

/// Guards against a short remainder that is returned as a record, and against equal records
/// that are merged into one.
#[test]
fn short_remainders_are_ignored_and_equal_records_kept() {
    let low = [1; RECORD_LEN];
    let high = [9; RECORD_LEN];
    let with_rest = [&high[..], &[255; 7]].concat();
    let merged = greatest([&low[..], &with_rest, &high], 3);
    assert_eq!(merged, [high, high, low].concat());
    assert_eq!(
        greatest([&low[..], &with_rest, &high], 2),
        [high, high].concat()
    );
}
