//! The records of services and version moves, read from the shared map.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use marigoldloom_peers::exchange::{self, Exchange, Space};
use marigoldloom_records::{record, service, version_move};

/// Decoded records by name. A record is decoded again only if its entry's stamp has changed.
#[derive(Default)]
pub(crate) struct Records {
    stamps: BTreeMap<Arc<str>, u64>,
    pub(crate) services: BTreeMap<String, service::Service>,
    pub(crate) moves: BTreeMap<String, version_move::VersionMove>,
}

/// Returns the name of a move's record in the shared map.
pub(crate) fn move_entry_name(name: &str) -> String {
    format!("{}/{name}", record::Kind::VersionMove.as_str())
}

/// Decodes the record of an entry; `None` if it is deleted or invalid.
pub(crate) fn decode<T: record::Record>(entry: &exchange::Entry) -> Option<T> {
    let value = serde_json::from_str(entry.value.as_deref()?).ok()?;
    match record::decode(&value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(name = &*entry.name, %error, "the record is invalid and is ignored");
            None
        }
    }
}

impl Records {
    /// Reads the entries that have changed since the last call.
    pub(crate) fn refresh(&mut self, exchange: &impl Exchange) {
        refresh(exchange, &mut self.stamps, &mut self.services);
        refresh(exchange, &mut self.stamps, &mut self.moves);
    }

    /// Returns the moves of `service` in the order of their start.
    pub(crate) fn moves_of(&self, service: &str) -> Vec<&version_move::VersionMove> {
        let moves = self.moves.values().filter(|m| m.service == service);
        let mut moves: Vec<_> = moves.collect();
        moves.sort_by_key(|m| (m.start_ms, &m.name));
        moves
    }
}

fn refresh<T: record::Record>(
    exchange: &impl Exchange,
    stamps: &mut BTreeMap<Arc<str>, u64>,
    records: &mut BTreeMap<String, T>,
) {
    let prefix = format!("{}/", T::KIND.as_str());
    let entries = exchange.scan(Space::Config, &prefix);
    let mut listed = BTreeSet::new();
    for entry in entries {
        let name = entry.name.strip_prefix(&prefix).unwrap_or_default();
        listed.insert(name.to_owned());
        if stamps.get(&entry.name) == Some(&entry.stamp) {
            continue;
        }
        match decode::<T>(&entry) {
            Some(record) => records.insert(name.to_owned(), record),
            None => records.remove(name),
        };
        stamps.insert(Arc::clone(&entry.name), entry.stamp);
    }
    records.retain(|name, _| listed.contains(name));
}
