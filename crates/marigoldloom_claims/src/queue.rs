//! Queues of bucket changes and the state that callers share with the bucket writers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldloom_platform::{object, platform};
use marigoldloom_runtime::time;

use crate::bucket;
use crate::in_flight::{self, Answer};
use crate::outcome;
use crate::request;
use crate::writer;

/// Maximum estimated bytes of cached buckets. A write of a cached bucket needs no read first.
const CACHE_LIMIT: usize = 16_000_000;

/// Result of a [`Job`]. For a claim, the waiting attempt receives it.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The change is written to the platform, or needs no write any more. For a claim: the attempt
    /// owns it.
    Done,
    /// The claim isn't written: the result of an earlier attempt, or a refusal.
    Answered(Answer),
}

/// A change to a claim in a bucket.
pub(crate) enum Change {
    /// Add a claim.
    Claim {
        hash: u64,
        at: time::WallTime,
        reply: async_channel::Sender<Reply>,
    },
    /// Remove a claim whose request was never dispatched.
    Release,
    /// Add the outcome to a claim.
    Record(outcome::RecordedOutcome),
}

/// A change that waits for the next write of its bucket.
pub(crate) struct Job {
    pub(crate) key: request::Key,
    /// Token of the attempt that owns the claim.
    pub(crate) token: Arc<str>,
    pub(crate) change: Change,
    /// Condition of the last write of this job whose answer was lost; `None` if there was none.
    ///
    /// That write may take effect later, as long as the bucket has the version it expects.
    pub(crate) unconfirmed: Option<platform::Condition>,
}

impl Job {
    pub(crate) fn new(key: &request::Key, token: &Arc<str>, change: Change) -> Self {
        Self {
            key: key.clone(),
            token: Arc::clone(token),
            change,
            unconfirmed: None,
        }
    }
}

/// A bucket as last read or written.
pub(crate) struct CachedBucket {
    /// Version of the object; `None` if it doesn't exist.
    pub(crate) version: Option<object::Version>,
    pub(crate) bucket: bucket::Bucket,
}

#[derive(Default)]
struct Cache {
    size: usize,
    /// Buckets by index, each with its estimated size in bytes.
    buckets: BTreeMap<u32, (usize, CachedBucket)>,
}

/// State that callers and bucket writers share.
pub(crate) struct Shared<R, P> {
    pub(crate) rt: R,
    pub(crate) platform: P,
    /// Number of buckets; the same on all instances.
    pub(crate) buckets: u32,
    pub(crate) in_flight: in_flight::InFlight,
    queues: Mutex<BTreeMap<u32, async_channel::Sender<Job>>>,
    cache: Mutex<Cache>,
}

impl<R, P> Shared<R, P> {
    pub(crate) fn new(rt: R, platform: P, buckets: u32) -> Self {
        Self {
            rt,
            platform,
            buckets,
            in_flight: in_flight::InFlight::default(),
            queues: Mutex::default(),
            cache: Mutex::default(),
        }
    }

    /// Removes a bucket's queue unless a job has arrived. Returns whether it was removed; the
    /// bucket's writer must then end.
    pub(crate) fn remove_if_idle(&self, index: u32, rx: &async_channel::Receiver<Job>) -> bool {
        let mut queues = self.queues();
        let idle = rx.is_empty();
        if idle {
            queues.remove(&index);
        }
        idle
    }

    /// Removes and returns a cached bucket. While a writer holds it, it isn't in the cache.
    pub(crate) fn take_cached(&self, index: u32) -> Option<CachedBucket> {
        let mut cache = self.cache();
        let (size, cached) = cache.buckets.remove(&index)?;
        cache.size -= size;
        Some(cached)
    }

    /// Caches a bucket; drops other buckets, lowest index first, until it fits.
    pub(crate) fn keep_cached(&self, index: u32, cached: CachedBucket) {
        let size = cached.bucket.size();
        let mut cache = self.cache();
        while cache.size + size > CACHE_LIMIT {
            let Some((_, (freed, _))) = cache.buckets.pop_first() else {
                return;
            };
            cache.size -= freed;
        }
        cache.size += size;
        cache.buckets.insert(index, (size, cached));
    }

    fn queues(&self) -> MutexGuard<'_, BTreeMap<u32, async_channel::Sender<Job>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<R, P> Shared<R, P>
where
    R: marigoldloom_runtime::runtime::Runtime,
    P: platform::Platform,
{
    /// Queues a job for its bucket's writer; starts the writer if none runs.
    pub(crate) fn enqueue(self: &Arc<Self>, job: Job) {
        let index = job.key.bucket_index(self.buckets);
        let mut queues = self.queues();
        let tx = queues.entry(index).or_insert_with(|| {
            let (tx, rx) = async_channel::unbounded();
            let writer = writer::Writer::new(Arc::clone(self), index, rx);
            self.rt.spawn(writer.run());
            tx
        });
        // The send can't fail: the writer holds the receiver until `remove_if_idle` has removed the
        // queue under the same lock.
        let _ = tx.try_send(job);
    }
}
