//! Tests of the merge rules, hashes and limits of the shared map.

use std::sync::Arc;

use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_peers::shared_map::{self, Outcome, SharedMap};
use marigoldloom_runtime::time::WallTime;
use quickcheck::{Arbitrary, Gen, TestResult};

const NOW: WallTime = WallTime(1_000);

/// A random entry. Names, stamps and values are drawn from small sets, so that many collide.
#[derive(Clone, Debug)]
struct TestEntry(Entry);

impl Arbitrary for TestEntry {
    fn arbitrary(g: &mut Gen) -> Self {
        let value = Option::<u8>::arbitrary(g).map(|v| Arc::from((v % 3).to_string()));
        Self(Entry {
            space: *g.choose(&Space::ALL).unwrap(),
            name: Arc::from(format!("service/{}", u8::arbitrary(g) % 5)),
            stamp: u64::arbitrary(g) % 4,
            value,
            expires: *g
                .choose(&[None, Some(WallTime(2_000)), Some(WallTime(500))])
                .unwrap(),
        })
    }
}

fn merge_all<'a>(entries: impl IntoIterator<Item = &'a TestEntry>) -> SharedMap {
    let mut map = SharedMap::new();
    for entry in entries {
        map.merge(entry.0.clone(), NOW);
    }
    map
}

fn contents(map: &SharedMap) -> (Vec<Entry>, Vec<u64>) {
    let spaces = Space::ALL.into_iter();
    let entries = spaces.clone().flat_map(|s| map.scan(s, "")).cloned();
    let hashes = spaces.flat_map(|s| [vec![map.hash(s)], map.bucket_hashes(s)].concat());
    (entries.collect(), hashes.collect())
}

quickcheck::quickcheck! {
    /// Guards against maps that differ because entries arrived in another order, in other
    /// batches or twice.
    fn order_and_repetition_do_not_matter(entries: Vec<TestEntry>, split: usize) -> bool {
        let split = split % (entries.len() + 1);
        let (head, tail) = entries.split_at(split);
        let once = contents(&merge_all(&entries));
        let swapped = contents(&merge_all(tail.iter().chain(head)));
        let reversed = contents(&merge_all(entries.iter().rev()));
        let twice = contents(&merge_all(entries.iter().chain(&entries)));
        once == swapped && once == reversed && once == twice
    }

    /// Guards against an entry that is replaced by one with a smaller stamp.
    fn stamps_never_decrease(entries: Vec<TestEntry>) -> bool {
        let mut map = SharedMap::new();
        entries.iter().all(|TestEntry(entry)| {
            let before = map.get(entry.space, &entry.name).map(|e| e.stamp);
            let outcome = map.merge(entry.clone(), NOW);
            let after = map.get(entry.space, &entry.name).map(|e| e.stamp);
            before <= after && (outcome == Outcome::Expired || after >= Some(entry.stamp))
        })
    }

    /// Guards against incremental hashes that differ from those of a newly built map.
    fn hashes_match_contents(entries: Vec<TestEntry>) -> bool {
        let mut map = merge_all(&entries);
        map.expire(WallTime(3_000));
        let kept: Vec<TestEntry> = Space::ALL
            .into_iter()
            .flat_map(|s| map.scan(s, ""))
            .cloned()
            .map(TestEntry)
            .collect();
        kept.iter().all(|o| o.0.expires.is_none()) && contents(&map) == contents(&merge_all(&kept))
    }

    /// Guards against anti-entropy that doesn't repair every difference.
    fn comparison_finds_every_difference(left: Vec<TestEntry>, right: Vec<TestEntry>) -> TestResult {
        let (mut a, mut b) = (merge_all(&left), merge_all(&right));
        for space in Space::ALL {
            let buckets = b.differing_buckets(space, &a.bucket_hashes(space));
            let difference = a.compare(space, &buckets, &b.summaries(space, &buckets));
            let remote_newer: Vec<Entry> = b.entries_by_hash(space, &difference.remote_newer).cloned().collect();
            for entry in remote_newer {
                a.merge(entry, NOW);
            }
            for entry in difference.local_newer {
                b.merge(entry, NOW);
            }
        }
        TestResult::from_bool(contents(&a) == contents(&b))
    }
}

/// Guards against a map that grows without limit when a faulty peer sends entries.
#[test]
fn entries_over_the_limits_are_refused() {
    let mut map = SharedMap::new();
    let mut entry = Entry {
        space: Space::Strike,
        name: Arc::from("x".repeat(shared_map::NAME_LIMIT + 1)),
        stamp: 1,
        value: None,
        expires: None,
    };
    assert_eq!(map.merge(entry.clone(), NOW), Outcome::LimitExceeded);
    for number in 0..10_000 {
        entry.name = Arc::from(number.to_string());
        map.merge(entry.clone(), NOW);
    }
    assert_eq!(map.len(Space::Strike), 8_192);
    entry.name = Arc::from("0");
    entry.stamp = 2;
    assert_eq!(map.merge(entry, NOW), Outcome::Accepted);
}
