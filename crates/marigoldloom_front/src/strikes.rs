//! Sharing of the strikes against requests that crash upstreams.
//!
//! Each process publishes its own strikes to the other instances. Once a request is refused, its
//! strikes are also saved on the platform, so that they outlive all instances.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_catalog::source::{SavedEntry, Source};
use marigoldloom_limits::fingerprint::{self, Fingerprint, Silence, Strikes};
use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_query::hooks::StrikeChange;
use marigoldloom_runtime::runtime::{self, Runtime};

use crate::exchange::PeerExchange;

/// Writer of strikes that were read from the platform.
const SAVED: &str = "saved";

/// End of the names of entries with numbers of silent upstreams.
const SILENCE_SUFFIX: &str = "/silence";

/// Shortest and longest pause before a failed call to the platform is retried.
const RETRY_BASE: Duration = Duration::from_millis(500);
const RETRY_CAP: Duration = Duration::from_secs(5);

/// Shortest time between two reads of the saved strikes.
const RESTORE_PAUSE: Duration = Duration::from_secs(1);

/// Number of refused requests whose strikes may wait to be saved.
pub(crate) const SAVE_QUEUE: usize = 64;

/// Returns the entry by which the process `writer` publishes its strikes.
pub(crate) fn entry(fingerprint: Fingerprint, strikes: &Strikes, writer: &str) -> Entry {
    let value = serde_json::to_string(strikes).ok();
    Entry {
        space: Space::Strike,
        name: Arc::from(format!("{fingerprint}/{writer}")),
        stamp: strikes.latest.0,
        value: value.map(Arc::from),
        expires: Some(strikes.latest + fingerprint::QUARANTINE),
    }
}

/// Decodes the fingerprint, the writer and the strikes of an entry; `None` if it is malformed.
pub(crate) fn parse(entry: &Entry) -> Option<(Fingerprint, &str, Strikes)> {
    let (fingerprint, writer) = entry.name.split_once('/')?;
    let strikes = serde_json::from_str(entry.value.as_deref()?).ok()?;
    Some((fingerprint.parse().ok()?, writer, strikes))
}

/// Returns the entry by which the process `writer` publishes the number of silent upstreams.
pub(crate) fn silence_entry(fingerprint: Fingerprint, silence: Silence, writer: &str) -> Entry {
    let value = serde_json::to_string(&silence).ok();
    Entry {
        space: Space::Strike,
        name: Arc::from(format!("{fingerprint}/{writer}{SILENCE_SUFFIX}")),
        stamp: silence.latest.0,
        value: value.map(Arc::from),
        expires: Some(silence.latest + fingerprint::SILENCE_TIME),
    }
}

/// Decodes the fingerprint, the writer and the number of silent upstreams of an entry; `None` if it
/// is malformed.
pub(crate) fn parse_silence(entry: &Entry) -> Option<(Fingerprint, &str, Silence)> {
    let (fingerprint, writer) = entry.name.split_once('/')?;
    let silence = serde_json::from_str(entry.value.as_deref()?).ok()?;
    let writer = writer.strip_suffix(SILENCE_SUFFIX)?;
    Some((fingerprint.parse().ok()?, writer, silence))
}

/// Returns the entry to save if `change` concerns a request that instances refuse, or that they
/// refused until it was cleared.
pub(crate) fn saved_entry(change: &StrikeChange<'_>) -> Option<Entry> {
    let saved = || entry(change.fingerprint, change.total, SAVED);
    change.refused.then(saved)
}

/// Reads the saved strikes into `exchange` at the start, and again whenever another instance can't be
/// reached: the instances on the other side of a partition can't send theirs. Runs until it is
/// dropped.
pub(crate) async fn restore<R: Runtime, S: Source>(rt: R, source: S, exchange: PeerExchange<R>) {
    loop {
        restore_once(&rt, &source, &exchange).await;
        exchange.until_unreachable().await;
        rt.sleep(RESTORE_PAUSE).await;
    }
}

/// Saves the entries of `queue`. Runs until the queue is closed.
pub(crate) async fn save<R: Runtime, S: Source>(
    rt: R,
    source: S,
    queue: async_channel::Receiver<Entry>,
) {
    while let Ok(entry) = queue.recv().await {
        let Ok(content) = serde_json::to_string(&entry) else {
            continue;
        };
        // The writer is the same for all saved strikes.
        let name = entry.name.split('/').next().unwrap_or_default();
        let mut attempt = 0;
        while let Err(error) = source.save_entry(name, &content).await {
            tracing::warn!(name, %error, "strikes can't be saved on the platform");
            back_off(&rt, &mut attempt).await;
        }
        tracing::info!(name, "strikes saved on the platform");
    }
}

async fn restore_once<R: Runtime>(rt: &R, source: &impl Source, exchange: &PeerExchange<R>) {
    let mut attempt = 0;
    let saved = loop {
        match source.saved_entries().await {
            Ok(saved) => break saved,
            Err(_) => back_off(rt, &mut attempt).await,
        }
    };
    for SavedEntry { name, content } in saved {
        let entry = serde_json::from_str::<Entry>(&content).ok();
        let live = |e: &Entry| e.expires.is_some_and(|at| at > rt.wall());
        match entry.filter(live) {
            Some(entry) => exchange.restore(&entry),
            None => {
                let removed = source.remove_entry(&name).await;
                tracing::info!(%name, ok = removed.is_ok(), "expired strikes removed");
            }
        }
    }
}

async fn back_off(rt: &impl Runtime, attempt: &mut u32) {
    let pause = runtime::backoff(rt, *attempt, RETRY_BASE, RETRY_CAP);
    *attempt += 1;
    rt.sleep(pause.max(RETRY_BASE)).await;
}
