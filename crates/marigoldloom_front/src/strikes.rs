//! Sharing of the strikes against requests that crash upstreams.
//!
//! Each process publishes its own strikes to the other instances. Once a request is refused, its
//! strikes are also saved on the platform, so that they outlive all instances.

use std::collections::BTreeMap;
use std::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{self, Either};
use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::relay::{Role, Roster};
use marigoldloom_catalog::source::{SavedEntry, Source};
use marigoldloom_limits::fingerprint::{self, Fingerprint, Silence, Strikes};
use marigoldloom_peers::exchange::{Entry, Space};
use marigoldloom_query::hooks::StrikeChange;
use marigoldloom_runtime::runtime::{self, Runtime};

use crate::exchange::PeerExchange;

/// End of the names of entries with numbers of silent upstreams.
const SILENCE_SUFFIX: &str = "/silence";

/// Shortest and longest pause before a failed call to the platform is retried.
const RETRY_BASE: Duration = Duration::from_millis(500);
const RETRY_CAP: Duration = Duration::from_secs(5);

/// Shortest and longest time between two reads of the saved strikes. The pause doubles with each
/// read that follows the one before it within [`RESTORE_CAP`]: instances that have ended for good
/// stay registered, and calls to the platform are expensive.
const RESTORE_BASE: Duration = Duration::from_secs(1);
const RESTORE_CAP: Duration = Duration::from_secs(30);

/// Longest time for which a process that has just started waits for the list of instances, to read
/// the strikes from them.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two checks whether the list of instances is known.
const ROSTER_POLL: Duration = Duration::from_millis(50);

/// Time for which the instances that watch the platform read the saved strikes before others ask
/// them: all instances may have started at the same time.
const WATCHER_LEAD: Duration = Duration::from_millis(700);

/// Longest random delay before strikes are saved again that the platform has lost.
const RESAVE_SPREAD: Duration = Duration::from_secs(2);

/// Number of refused requests whose strikes are saved again. The platform loses those of the last seconds.
const MAX_RESAVED: usize = 256;

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
    let saved = || entry(change.fingerprint, change.total, fingerprint::SAVED_ORIGIN);
    change.refused.then(saved)
}

/// Reads the saved strikes into `exchange` at the start, and again whenever another instance can't be
/// reached: the instances on the other side of a partition can't send theirs. Only instances that
/// watch the platform read them there; the others get them from the instances that they poll for
/// records. Runs until it is dropped.
pub(crate) async fn restore<R: Runtime, S: Source>(
    rt: R,
    source: S,
    exchange: PeerExchange<R>,
    roster: Arc<Roster>,
) {
    let start = rt.now();
    while roster.role(rt.now()) == Role::Unknown && rt.now().since(start) < ROSTER_TIMEOUT {
        rt.sleep(ROSTER_POLL).await;
    }
    if matches!(roster.role(rt.now()), Role::Follower(_)) {
        rt.sleep(WATCHER_LEAD).await;
    }
    let mut pause = RESTORE_BASE;
    loop {
        if !restore_from_peers(&rt, &exchange, &roster).await {
            restore_once(&rt, &source, &exchange).await;
        }
        let restored = rt.now();
        rt.sleep(pause).await;
        exchange.until_unreachable().await;
        pause = match rt.now().since(restored) > RESTORE_CAP {
            true => RESTORE_BASE,
            false => (2 * pause).min(RESTORE_CAP),
        };
    }
}

/// Gets the strikes from the instances that this one polls for records. Returns false if it watches
/// the platform itself or none of them answers.
async fn restore_from_peers<R: Runtime>(
    rt: &R,
    exchange: &PeerExchange<R>,
    roster: &Roster,
) -> bool {
    let Role::Follower(peers) = roster.role(rt.now()) else {
        return false;
    };
    let pulls = peers.iter().map(|peer| exchange.pull(peer.address));
    future::join_all(pulls).await.contains(&true)
}

/// Saves the entries of `queue`, and again those that the platform lacks after its return from an older
/// copy. Runs until the queue is closed.
pub(crate) async fn save<R: Runtime, S: Source>(
    rt: R,
    source: S,
    queue: async_channel::Receiver<Entry>,
    feed: Arc<Feed>,
) {
    let mut saved = BTreeMap::new();
    let mut era = None;
    loop {
        let later_era = pin::pin!(feed.until_later_era(era));
        match future::select(pin::pin!(queue.recv()), later_era).await {
            Either::Left((Ok(entry), _)) => {
                save_entry(&rt, &source, &entry).await;
                remember(&rt, &mut saved, entry);
            }
            Either::Left((Err(_), _)) => return,
            Either::Right((later, _)) => {
                if era.replace(later).is_some() && !saved.is_empty() {
                    save_again(&rt, &source, &saved).await;
                }
            }
        }
    }
}

/// Adds a saved entry to `saved`, without those that have expired and the earliest over the limit.
fn remember(rt: &impl Runtime, saved: &mut BTreeMap<Arc<str>, Entry>, entry: Entry) {
    saved.insert(Arc::clone(&entry.name), entry);
    let now = rt.wall();
    saved.retain(|_, entry| entry.expires.is_some_and(|at| at > now));
    while saved.len() > MAX_RESAVED
        && let Some((name, _)) = saved.iter().min_by_key(|(_, entry)| entry.stamp)
    {
        let name = Arc::clone(name);
        saved.remove(&name);
    }
}

/// Saves the entries of `saved` of which the platform has none or an earlier one.
async fn save_again(rt: &impl Runtime, source: &impl Source, saved: &BTreeMap<Arc<str>, Entry>) {
    rt.sleep(runtime::backoff(rt, 0, RESAVE_SPREAD, RESAVE_SPREAD))
        .await;
    let held = read_saved(rt, source).await;
    let held = held.into_iter();
    let held = held.filter_map(|held| serde_json::from_str::<Entry>(&held.content).ok());
    let held: BTreeMap<_, _> = held.map(|entry| (entry.name, entry.stamp)).collect();
    let lost = |entry: &&Entry| {
        held.get(&entry.name)
            .is_none_or(|stamp| *stamp < entry.stamp)
    };
    let lost: Vec<_> = saved.values().filter(lost).collect();
    tracing::info!(
        known = saved.len(),
        lost = lost.len(),
        "the platform came back from an older copy; lost strikes are saved again"
    );
    for entry in lost {
        save_entry(rt, source, entry).await;
    }
}

async fn save_entry(rt: &impl Runtime, source: &impl Source, entry: &Entry) {
    let Ok(content) = serde_json::to_string(entry) else {
        return;
    };
    // The writer is the same for all saved strikes.
    let name = entry.name.split('/').next().unwrap_or_default();
    let mut attempt = 0;
    while let Err(error) = source.save_entry(name, &content).await {
        tracing::warn!(name, %error, "strikes can't be saved on the platform");
        back_off(rt, &mut attempt).await;
    }
    tracing::info!(name, "strikes saved on the platform");
}

/// Reads the saved entries, and retries until the call succeeds.
async fn read_saved(rt: &impl Runtime, source: &impl Source) -> Vec<SavedEntry> {
    let mut attempt = 0;
    loop {
        match source.saved_entries().await {
            Ok(saved) => return saved,
            Err(_) => back_off(rt, &mut attempt).await,
        }
    }
}

async fn restore_once<R: Runtime>(rt: &R, source: &impl Source, exchange: &PeerExchange<R>) {
    let saved = read_saved(rt, source).await;
    let mut restored = 0;
    for SavedEntry { name, content } in saved {
        let entry = serde_json::from_str::<Entry>(&content).ok();
        let live = |e: &Entry| e.expires.is_some_and(|at| at > rt.wall());
        match entry.filter(live) {
            Some(entry) => {
                restored += 1;
                exchange.restore(entry);
            }
            None => {
                let removed = source.remove_entry(&name).await;
                tracing::info!(%name, ok = removed.is_ok(), "expired strikes removed");
            }
        }
    }
    tracing::info!(requests = restored, "strikes read from the platform");
}

async fn back_off(rt: &impl Runtime, attempt: &mut u32) {
    let pause = runtime::backoff(rt, *attempt, RETRY_BASE, RETRY_CAP);
    *attempt += 1;
    rt.sleep(pause.max(RETRY_BASE)).await;
}
