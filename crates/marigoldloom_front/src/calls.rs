//! Counts the calls of an instance to the platform, which limits their rate.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use marigoldloom_catalog::fleet::Member;
use marigoldloom_catalog::source::{Changes, Error, Kind, Listing, Revision, SavedEntry, Source};
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_telemetry::metrics::Metrics;

/// A client of the platform whose calls are counted by purpose and result.
#[derive(Clone, Debug)]
pub(crate) struct CountedSource<S> {
    pub(crate) source: S,
    pub(crate) metrics: Metrics,
    /// Latest era whose start was counted.
    pub(crate) counted_era: Arc<AtomicU64>,
}

impl<S> CountedSource<S> {
    async fn count<T>(
        &self,
        purpose: &'static str,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let result = call.await;
        self.metrics.record_platform_call(purpose, result.is_ok());
        result
    }

    /// Counts a call for the records of one kind, which may fail while others don't.
    async fn count_kind<T>(
        &self,
        purpose: &'static str,
        kind: Kind,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let result = self.count(purpose, call).await;
        self.metrics
            .record_kind_call(purpose, kind_label(kind), result.is_ok());
        result
    }
}

/// Returns the label of a kind of records.
const fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Configuration => "configuration",
        Kind::Replicas => "replicas",
        Kind::Evacuations => "evacuations",
        Kind::Moves => "moves",
    }
}

impl<S: Source> Source for CountedSource<S> {
    async fn list(&self, kind: Kind) -> Result<Listing, Error> {
        self.count_kind("list", kind, self.source.list(kind)).await
    }

    async fn watch(&self, kind: Kind, since: Revision) -> Result<Changes, Error> {
        self.count_kind("watch", kind, self.source.watch(kind, since))
            .await
    }

    async fn check(&self) -> Result<(), Error> {
        self.count("check", self.source.check()).await
    }

    fn era(&self) -> u64 {
        self.source.era()
    }

    fn note_era(&self, era: u64) {
        if self.counted_era.fetch_max(era, Ordering::Relaxed) < era {
            self.metrics.record_platform_return();
        }
        self.source.note_era(era);
    }

    async fn register(&self, own: &Member) -> Result<(), Error> {
        self.count("register", self.source.register(own)).await
    }

    async fn set_phase(&self, order: &Order, phase: Phase) -> Result<(), Error> {
        self.count("phase", self.source.set_phase(order, phase))
            .await
    }

    async fn save_entry(&self, name: &str, content: &str) -> Result<(), Error> {
        self.count("save", self.source.save_entry(name, content))
            .await
    }

    async fn remove_entry(&self, name: &str) -> Result<(), Error> {
        self.count("remove", self.source.remove_entry(name)).await
    }

    async fn saved_entries(&self) -> Result<Vec<SavedEntry>, Error> {
        self.count("saved_entries", self.source.saved_entries())
            .await
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        self.count("members", self.source.members()).await
    }
}
