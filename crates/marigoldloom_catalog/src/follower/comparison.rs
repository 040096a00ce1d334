//! Detects stalled watches by comparing records with other instances that watch the platform.

use std::time::Duration;

use futures::future;
use marigoldloom_runtime::runtime::Runtime;

use super::{CHECK_PERIOD, Follower};
use crate::feed::{Batch, Revisions, Update};
use crate::fleet::Member;
use crate::relay::Peers;
use crate::source::{Kind, Revision, Source};
use crate::view::View;

impl<R: Runtime, S: Source, P: Peers, F: Fn(View)> Follower<R, S, P, F> {
    /// Completes once other instances have had newer records for a check period: a watch whose
    /// connection is silently lost would otherwise be held until its wait limit. While the platform
    /// doesn't answer, the newer records of the others are applied and the comparison goes on. The
    /// same holds for kinds whose calls fail.
    pub(super) async fn until_outdated(&self) {
        let mut behind = Revisions::new();
        loop {
            self.rt.sleep(CHECK_PERIOD).await;
            let known = self.state().known.clone();
            let peers = self.sources.roster.comparison_peers();
            let asked = peers.iter().map(|peer| self.poll_now(peer, &known));
            let updates = future::join_all(asked).await.into_iter().flatten();
            let updates = updates.inspect(|update| self.note_recovery(update));
            let batches = updates.flat_map(|update| update.batches);
            let failing: Vec<_> = self.state().failures.keys().copied().collect();
            let (unread, batches): (Vec<_>, Vec<_>) =
                batches.partition(|(kind, _)| failing.contains(kind));
            if !unread.is_empty() {
                self.apply_batches(unread);
                self.publish();
            }
            let later = |(kind, batch): &(Kind, Batch)| {
                known.get(kind).is_some_and(|own| batch.revision() > *own)
            };
            // A batch of a later revision may contain no new records; its revision is recorded now.
            let (same, newer): (Vec<_>, Vec<_>) = batches
                .into_iter()
                .filter(later)
                .partition(|(kind, batch)| self.sources.feed.matches(*kind, batch));
            self.apply_batches(same);
            let missed = newer.iter().map(|(kind, _)| (*kind, known[kind]));
            let missed: Revisions = missed.collect();
            let still_missed = |(kind, own): (&Kind, &Revision)| behind.get(kind) == Some(own);
            if !missed.iter().any(still_missed) {
                behind = missed;
                continue;
            }
            let kinds: Vec<_> = missed.keys().map(ToString::to_string).collect();
            tracing::warn!(
                kinds = kinds.join(", "),
                "other instances know newer records"
            );
            self.apply_batches(newer);
            if self.state().down_since.is_none() {
                return;
            }
        }
    }

    /// Polls a peer without waiting for changes. Returns `None` if the poll fails.
    async fn poll_now(&self, peer: &Member, known: &Revisions) -> Option<Update> {
        let answer = self.sources.peers.poll(peer, known, Duration::ZERO).await;
        answer
            .inspect_err(|error| {
                tracing::debug!(instance = %peer.candidate.name, %error, "could not compare records with the instance");
            })
            .ok()
    }
}
