//! What instances tell each other about upstreams that left cold start.
//!
//! An entry names a process by its start id. It stays true for as long as that process
//! runs, so an upstream's restart needs no news: the entry no longer matches.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::platform;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time;

use crate::instance::Engine;

/// Members of a home set that an instance asks when it enters the set.
pub(crate) const ASKED: usize = 2;

/// How long an entry lasts unless an instance that uses the upstream repeats it, so that
/// entries about upstreams that left the fleet go away.
const LIFE: Duration = Duration::from_secs(1_800);

/// An entry is repeated once this much of its life is left.
const REPEAT: Duration = Duration::from_secs(900);

/// How often an instance looks for entries to repeat.
const PERIOD: Duration = Duration::from_secs(60);

fn name(service: &str, upstream: &str) -> Arc<str> {
    Arc::from(format!("{service}/{upstream}"))
}

fn start_id(entry: &Entry) -> Option<u64> {
    entry.value.as_deref().and_then(|text| text.parse().ok())
}

/// Obeys an entry. The engine checks the start id before it relies on it.
pub(crate) fn apply<P: platform::Platform>(engine: &Engine<P>, entry: &Entry) {
    if let Some((_, upstream)) = entry.name.split_once('/') {
        engine.set_warm_report(upstream, start_id(entry));
    }
}

fn held(exchange: &impl Exchange, name: &Arc<str>) -> Option<Entry> {
    let entries = exchange.scan(Space::Warm, name);
    entries.into_iter().find(|entry| entry.name == *name)
}

/// Tells the home set that the process `start` is warm, or with none that an earlier word
/// for the upstream no longer counts.
pub(crate) fn tell(
    exchange: &impl Exchange,
    now: time::WallTime,
    service: &str,
    upstream: &str,
    start: Option<u64>,
) {
    let name = name(service, upstream);
    let held = held(exchange, &name);
    let lasts = |entry: &Entry| entry.expires.is_some_and(|at| at > now + REPEAT);
    let known = held.as_ref().and_then(start_id);
    match &held {
        None if start.is_none() => return,
        Some(entry) if known == start && (lasts(entry) || start.is_none()) => return,
        _ => {}
    }
    exchange.publish(Entry {
        space: Space::Warm,
        name,
        stamp: held.map_or(0, |e| e.stamp + 1).max(now.0),
        value: start.map(|s| Arc::from(s.to_string())),
        expires: Some(now + LIFE),
    });
}

/// Repeats entries about upstreams that are warm here before they end.
pub(crate) async fn repeat<P: platform::Platform>(
    rt: impl Runtime,
    engine: Engine<P>,
    exchange: impl Exchange,
) {
    loop {
        rt.sleep(PERIOD).await;
        for (service, upstream, start) in engine.warm_upstreams() {
            tell(&exchange, rt.wall(), &service, &upstream, Some(start));
        }
    }
}
