//! Storage of the in-memory platform: objects, revisions and a bounded history of changes,
//! without I/O.

use std::collections::{BTreeMap, VecDeque};

use crate::memory;
use crate::object::{self, Change, Key, Object, Revision, Version};
use crate::platform::{Condition, Error};
use crate::refusal;

/// A change in the history.
struct Entry {
    /// Size of the change's value, in bytes of JSON; 0 for a deletion.
    bytes: usize,
    change: Change,
}

pub(crate) struct Store {
    limits: memory::Limits,
    revision: Revision,
    objects: BTreeMap<Key, Object>,
    history: VecDeque<Entry>,
    history_bytes: usize,
    /// Revision of the newest change removed from the history.
    compacted: Revision,
}

impl Store {
    pub(crate) fn new(limits: memory::Limits) -> Self {
        Self {
            limits,
            revision: Revision::default(),
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_bytes: 0,
            compacted: Revision::default(),
        }
    }

    pub(crate) fn get(&self, key: &Key) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn list(&self, kind: &str) -> object::Listing {
        let from = self.objects.range(Key::new(kind, "")..);
        let matching = from.take_while(|(key, _)| key.kind == kind);
        object::Listing {
            revision: self.revision,
            objects: matching.map(|(_, object)| object.clone()).collect(),
        }
    }

    pub(crate) fn put(
        &mut self,
        key: &Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<Object, Error> {
        refusal::check_key(key)?;
        let bytes = refusal::check_value(value)?;
        self.check_condition(key, condition)?;
        let version = self.objects.get(key).map_or(0, |o| o.version.0);
        let object = Object {
            key: key.clone(),
            version: Version(version + 1),
            revision: Revision(self.revision.0 + 1),
            value: value.clone(),
        };
        self.objects.insert(key.clone(), object.clone());
        self.append_change(bytes, key, Some(object.clone()));
        Ok(object)
    }

    pub(crate) fn delete(&mut self, key: &Key, condition: Condition) -> Result<(), Error> {
        self.check_condition(key, condition)?;
        if self.objects.remove(key).is_some() {
            self.append_change(0, key, None);
        }
        Ok(())
    }

    /// Returns the writes of `kinds` after `since`.
    pub(crate) fn changes(
        &self,
        kinds: &[&str],
        since: Revision,
    ) -> Result<object::Changes, Error> {
        // A revision newer than the store's own was issued before the store lost its state.
        if since < self.compacted || since > self.revision {
            return Err(Error::Compacted);
        }
        let start = self.history.partition_point(|e| e.change.revision <= since);
        let later = self.history.range(start..).map(|e| &e.change);
        let watched = later.filter(|c| kinds.contains(&c.key.kind.as_str()));
        Ok(object::Changes {
            revision: self.revision,
            changes: watched.cloned().collect(),
        })
    }

    fn check_condition(&self, key: &Key, condition: Condition) -> Result<(), Error> {
        let current = self.objects.get(key);
        let holds = match condition {
            Condition::Any => true,
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|o| o.version == version),
        };
        match holds {
            true => Ok(()),
            false => Err(Error::Conflict {
                current: current.cloned().map(Box::new),
            }),
        }
    }

    fn append_change(&mut self, bytes: usize, key: &Key, object: Option<Object>) {
        self.revision.0 += 1;
        self.history_bytes += bytes;
        let change = Change {
            key: key.clone(),
            revision: self.revision,
            object,
        };
        self.history.push_back(Entry { bytes, change });
        while self.is_history_full()
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_bytes -= oldest.bytes;
            self.compacted = oldest.change.revision;
        }
    }

    fn is_history_full(&self) -> bool {
        self.history.len() > self.limits.retained_changes
            || self.history_bytes > self.limits.retained_bytes
    }
}
