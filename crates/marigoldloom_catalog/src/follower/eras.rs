//! Order of the platform's records over its eras.

use marigoldloom_runtime::runtime::Runtime;

use super::Follower;
use crate::catalog::RecoveredAt;
use crate::relay::Peers;
use crate::source::{Error, Kind, Listing, Revision, Source};
use crate::view::View;

impl<R: Runtime, S: Source, P: Peers, F: Fn(View)> Follower<R, S, P, F> {
    /// Returns whether the platform is in a later era than some of the known records.
    pub(super) fn has_later_era(&self) -> bool {
        let era = self.sources.platform.era();
        let state = self.state();
        // A kind whose calls fail can't be listed again.
        let mut sound = state.known.iter();
        sound.any(|(kind, known)| known.era < era && !state.failures.contains_key(kind))
    }

    /// Fails if the records of `kind` are known from a later era than that of `listing`.
    pub(super) fn check_era(&self, kind: Kind, listing: Listing) -> Result<Listing, Error> {
        let era = listing.revision.era;
        match self.state().known.get(&kind) {
            Some(known) if known.era > era => Err(Error::OtherEra { era }),
            _ => Ok(listing),
        }
    }

    /// Prepares for records of `kind` if they are of a later era than the known ones.
    pub(super) fn enter_era(&self, kind: Kind, revision: Revision) {
        let now = self.rt.now();
        let mut state = self.state();
        let Some(known) = state.known.get(&kind).copied() else {
            state.era = state.era.max(revision.era);
            return;
        };
        if revision.era <= known.era {
            return;
        }
        self.sources.platform.note_era(revision.era);
        if state.era < revision.era {
            state.era = revision.era;
            tracing::warn!(
                %kind,
                %revision,
                %known,
                "the platform came back from an older copy; what it lacks is kept for a while"
            );
        }
        state.recovered_at = RecoveredAt(Some(now));
        state.catalog.begin_era(kind, now);
        drop(state);
        self.sources.feed.set_recovered(now);
    }
}
