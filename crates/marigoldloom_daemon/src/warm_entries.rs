//! Shared map entries by which instances report upstreams that finished their cold start.
//!
//! An entry identifies an upstream process by its start id and is valid as long as that process
//! runs. After a restart the start id no longer matches, so the entry need not be withdrawn.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::platform;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time;

use crate::instance::Engine;

/// Number of home set members that an instance fetches entries from when it joins the set.
pub(crate) const FETCH_PEERS: usize = 2;

/// Time after which an entry expires unless an instance that uses the upstream renews it, so that
/// entries about removed upstreams disappear.
const LIFETIME: Duration = Duration::from_secs(1_800);

/// Remaining lifetime below which an entry is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_secs(900);

/// Time between two searches for entries to renew.
const RENEWAL_PERIOD: Duration = Duration::from_secs(60);

fn entry_name(service: &str, upstream: &str) -> Arc<str> {
    Arc::from(format!("{service}/{upstream}"))
}

fn start_id(entry: &Entry) -> Option<u64> {
    entry.value.as_deref().and_then(|text| text.parse().ok())
}

/// Passes an entry to the engine, which checks the start id before it relies on it.
pub(crate) fn apply<P: platform::Platform>(engine: &Engine<P>, entry: &Entry) {
    if let Some((_, upstream)) = entry.name.split_once('/') {
        engine.set_warm_report(upstream, start_id(entry));
    }
}

fn find_entry(exchange: &impl Exchange, name: &Arc<str>) -> Option<Entry> {
    let entries = exchange.scan(Space::Warm, name);
    entries.into_iter().find(|entry| entry.name == *name)
}

/// Publishes that the upstream process with the start id `start` is warm. Without a start id,
/// withdraws an earlier entry about the upstream.
pub(crate) fn publish(
    exchange: &impl Exchange,
    now: time::WallTime,
    service: &str,
    upstream: &str,
    start: Option<u64>,
) {
    let name = entry_name(service, upstream);
    let current = find_entry(exchange, &name);
    let is_long_lived = |entry: &Entry| entry.expires.is_some_and(|at| at > now + RENEWAL_MARGIN);
    let known = current.as_ref().and_then(start_id);
    match &current {
        None if start.is_none() => return,
        Some(entry) if known == start && (is_long_lived(entry) || start.is_none()) => return,
        _ => {}
    }
    exchange.publish(Entry {
        space: Space::Warm,
        name,
        stamp: current.map_or(0, |e| e.stamp + 1).max(now.0),
        value: start.map(|s| Arc::from(s.to_string())),
        expires: Some(now + LIFETIME),
    });
}

/// Renews the entries about upstreams that are warm on this instance before they expire.
pub(crate) async fn renew<P: platform::Platform>(
    rt: impl Runtime,
    engine: Engine<P>,
    exchange: impl Exchange,
) {
    loop {
        rt.sleep(RENEWAL_PERIOD).await;
        for (service, upstream, start) in engine.warm_upstreams() {
            publish(&exchange, rt.wall(), &service, &upstream, Some(start));
        }
    }
}
