//! The shared map as a data structure: the merge rule, limits, expiry and hashes.
//!
//! Of two entries with one name, the map keeps the one with the greater stamp. Each merge
//! updates a hash per space and per bucket of a space, so that two instances can find the
//! entries in which they differ without sending their whole maps.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::ops;
use std::sync::Arc;

use marigoldloom_platform::object;
use marigoldloom_runtime::time;
use xxhash_rust::xxh3;

use crate::exchange::{Entry, Space};

/// Number of buckets per space. With the target of 6,700 configuration entries, a bucket holds
/// about 52 of them, and a repair sends 1 KB of bucket hashes and 1.3 KB of summaries.
pub const BUCKETS: usize = 128;

/// Greatest length of an entry's name, in bytes.
pub const NAME_LIMIT: usize = 512;

/// Greatest size of the map, in bytes, counting each entry's name, value and struct. It is a
/// quarter of the 256 MB that an instance has for control state.
pub const BYTES_LIMIT: usize = 64_000_000;

/// Result of merging an entry into the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The entry was added or replaced an older one.
    Accepted,
    /// Not merged: the map already holds this entry or a newer one.
    NotNewer,
    /// Not merged: the entry has expired.
    Expired,
    /// Not merged: the entry is too large, or the map or the entry's space is full.
    LimitExceeded,
}

/// Digest of one entry, by which anti-entropy compares two maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Hash of the name.
    pub name_hash: u64,
    /// Stamp of the entry.
    pub stamp: u64,
    /// Hash of the whole entry.
    pub entry_hash: u64,
}

/// Entries that two instances have to send each other to make their maps equal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Hashes of the names of entries that this map lacks or that are newer in the other map.
    pub remote_newer: Vec<u64>,
    /// Entries that the other map lacks or that are newer in this map.
    pub local_newer: Vec<Entry>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    /// XOR of the hashes of the bucket's entries.
    hash: u64,
    /// Names of the entries, by their hashes.
    names: BTreeMap<u64, Arc<str>>,
}

/// The entries of one space.
#[derive(Clone, Debug)]
struct SpaceMap {
    /// XOR of the hashes of all entries.
    hash: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    buckets: Vec<Bucket>,
}

impl Default for SpaceMap {
    fn default() -> Self {
        Self {
            hash: 0,
            entries: BTreeMap::new(),
            buckets: vec![Bucket::default(); BUCKETS],
        }
    }
}

/// The entries of all spaces with their hashes.
#[derive(Clone, Debug, Default)]
pub struct SharedMap {
    spaces: [SpaceMap; Space::ALL.len()],
    expiries: BTreeSet<(time::WallTime, Space, Arc<str>)>,
    /// Sum of [`memory_bytes`] over all entries.
    bytes: usize,
}

impl SharedMap {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an entry into the map, unless it has expired at `now`.
    pub fn merge(&mut self, entry: Entry, now: time::WallTime) -> Outcome {
        let held = self.get(entry.space, &entry.name);
        match held {
            _ if entry.expires.is_some_and(|at| at <= now) => Outcome::Expired,
            Some(held) if !is_newer(&entry, held) => Outcome::NotNewer,
            None if self.is_full(&entry) => Outcome::LimitExceeded,
            _ if exceeds_limits(&entry) => Outcome::LimitExceeded,
            _ => {
                self.replace(entry);
                Outcome::Accepted
            }
        }
    }

    /// The entry with this name.
    pub fn get(&self, space: Space, name: &str) -> Option<&Entry> {
        self.space_map(space).entries.get(name)
    }

    /// The entries of `space` whose names start with `prefix`, ordered by name.
    pub fn scan<'a>(
        &'a self,
        space: Space,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let entries = &self.space_map(space).entries;
        entries
            .range::<str, _>((ops::Bound::Included(prefix), ops::Bound::Unbounded))
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.name.starts_with(prefix))
    }

    /// The entries of `space` whose names follow `name`, ordered by name.
    pub fn entries_after<'a>(
        &'a self,
        space: Space,
        name: &'a str,
    ) -> impl Iterator<Item = &'a Entry> + use<'a> {
        let entries = &self.space_map(space).entries;
        entries
            .range::<str, _>((ops::Bound::Excluded(name), ops::Bound::Unbounded))
            .map(|(_, entry)| entry)
    }

    /// Number of entries in `space`.
    pub fn len(&self, space: Space) -> usize {
        self.space_map(space).entries.len()
    }

    /// Whether `space` has no entries.
    pub fn is_empty(&self, space: Space) -> bool {
        self.space_map(space).entries.is_empty()
    }

    /// Removes the entries that have expired at `now` and returns them.
    pub fn expire(&mut self, now: time::WallTime) -> Vec<Entry> {
        let mut expired = Vec::new();
        while let Some((at, space, name)) = self.expiries.pop_first() {
            if at > now {
                self.expiries.insert((at, space, name));
                break;
            }
            expired.extend(self.remove(space, &name));
        }
        expired
    }

    /// Hash of all entries of `space`.
    pub fn hash(&self, space: Space) -> u64 {
        self.space_map(space).hash
    }

    /// Hash of each bucket of `space`.
    pub fn bucket_hashes(&self, space: Space) -> Vec<u64> {
        let buckets = &self.space_map(space).buckets;
        buckets.iter().map(|bucket| bucket.hash).collect()
    }

    /// Numbers of the buckets whose hashes differ from `others`, another map's bucket hashes.
    pub fn differing_buckets(&self, space: Space, others: &[u64]) -> Vec<usize> {
        let buckets = self.space_map(space).buckets.iter();
        buckets
            .zip(others)
            .enumerate()
            .filter(|(_, (bucket, other))| bucket.hash != **other)
            .map(|(number, _)| number)
            .collect()
    }

    /// Summaries of the entries in the given buckets.
    pub fn summaries(&self, space: Space, buckets: &[usize]) -> Vec<Summary> {
        let space_map = self.space_map(space);
        buckets
            .iter()
            .filter_map(|number| space_map.buckets.get(*number))
            .flat_map(|bucket| bucket.names.values())
            .filter_map(|name| space_map.entries.get(name))
            .map(summary)
            .collect()
    }

    /// The entries whose names have the given hashes.
    pub fn entries_by_hash(&self, space: Space, hashes: &[u64]) -> impl Iterator<Item = &Entry> {
        let space_map = self.space_map(space);
        hashes.iter().filter_map(|hash| {
            let name = space_map.buckets[bucket_of(*hash)].names.get(hash)?;
            space_map.entries.get(name)
        })
    }

    /// Compares the given buckets with another map's summaries of the same buckets.
    pub fn compare(&self, space: Space, buckets: &[usize], remote: &[Summary]) -> Difference {
        let by_name = |summaries: Vec<Summary>| -> BTreeMap<u64, Summary> {
            summaries.into_iter().map(|s| (s.name_hash, s)).collect()
        };
        let remote = by_name(remote.to_vec());
        let local = by_name(self.summaries(space, buckets));
        let newer = missing_or_older(&local, &remote);
        Difference {
            remote_newer: missing_or_older(&remote, &local),
            local_newer: self.entries_by_hash(space, &newer).cloned().collect(),
        }
    }

    fn space_map(&self, space: Space) -> &SpaceMap {
        &self.spaces[space as usize]
    }

    fn is_full(&self, entry: &Entry) -> bool {
        self.len(entry.space) >= entry_limit(entry.space)
            || self.bytes + memory_bytes(entry) > BYTES_LIMIT
    }

    fn replace(&mut self, entry: Entry) {
        self.remove(entry.space, &entry.name);
        if let Some(at) = entry.expires {
            self.expiries
                .insert((at, entry.space, Arc::clone(&entry.name)));
        }
        self.bytes += memory_bytes(&entry);
        let space_map = &mut self.spaces[entry.space as usize];
        space_map.toggle_hash(&entry);
        let name = Arc::clone(&entry.name);
        let hash = name_hash(&name);
        space_map.buckets[bucket_of(hash)]
            .names
            .insert(hash, Arc::clone(&name));
        space_map.entries.insert(name, entry);
    }

    fn remove(&mut self, space: Space, name: &str) -> Option<Entry> {
        let space_map = &mut self.spaces[space as usize];
        let entry = space_map.entries.remove(name)?;
        space_map.toggle_hash(&entry);
        let hash = name_hash(name);
        space_map.buckets[bucket_of(hash)].names.remove(&hash);
        self.bytes = self.bytes.saturating_sub(memory_bytes(&entry));
        if let Some(at) = entry.expires {
            self.expiries.remove(&(at, space, Arc::clone(&entry.name)));
        }
        Some(entry)
    }
}

impl SpaceMap {
    /// Adds an entry to the hashes or removes it from them; XOR is its own inverse.
    fn toggle_hash(&mut self, entry: &Entry) {
        let hash = entry_hash(entry);
        self.hash ^= hash;
        self.buckets[bucket_of(name_hash(&entry.name))].hash ^= hash;
    }
}

/// Greatest number of entries in a space. The limits are about three times the target of 6,700
/// records for `Config`, of 1,300 instances for `Member` and of 5,300 upstreams for `Warm`, and
/// a week of moves or faults for the other spaces.
const fn entry_limit(space: Space) -> usize {
    match space {
        Space::Config | Space::Warm => 20_000,
        Space::Member | Space::Verdict | Space::Evidence => 4_096,
        Space::Strike => 8_192,
    }
}

fn exceeds_limits(entry: &Entry) -> bool {
    let value = entry.value.as_ref().map_or(0, |value| value.len());
    entry.name.len() > NAME_LIMIT || value > object::VALUE_LIMIT
}

fn is_newer(entry: &Entry, held: &Entry) -> bool {
    let rank = |e: &Entry| (e.stamp, e.value.clone(), e.expires);
    rank(entry) > rank(held)
}

/// Name hashes of the entries in `from` that `to` lacks or may hold in an older state. Entries
/// with equal stamps and different content are sent both ways; the merge then picks the same
/// one on both sides.
fn missing_or_older(from: &BTreeMap<u64, Summary>, to: &BTreeMap<u64, Summary>) -> Vec<u64> {
    let is_needed = |entry: &&Summary| match to.get(&entry.name_hash) {
        Some(other) => other.entry_hash != entry.entry_hash && entry.stamp >= other.stamp,
        None => true,
    };
    from.values()
        .filter(is_needed)
        .map(|s| s.name_hash)
        .collect()
}

fn summary(entry: &Entry) -> Summary {
    Summary {
        name_hash: name_hash(&entry.name),
        stamp: entry.stamp,
        entry_hash: entry_hash(entry),
    }
}

/// Size of an entry in memory: its struct, name and value.
fn memory_bytes(entry: &Entry) -> usize {
    let value = entry.value.as_ref().map_or(0, |value| value.len());
    mem::size_of::<Entry>() + entry.name.len() + value
}

fn bucket_of(hash: u64) -> usize {
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

fn name_hash(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

fn entry_hash(entry: &Entry) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(entry.name.as_bytes());
    hasher.update(&[0xff, u8::from(entry.value.is_some())]);
    hasher.update(&entry.stamp.to_le_bytes());
    hasher.update(&entry.expires.map_or(0, |at| at.0).to_le_bytes());
    hasher.update(entry.value.as_deref().unwrap_or_default().as_bytes());
    hasher.digest()
}
