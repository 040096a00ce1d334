//! The task that writes one bucket.
//!
//! It applies all queued jobs of its bucket in one conditional update, so the
//! number of writes doesn't grow with the number of waiting requests.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_platform::{object, platform};
use marigoldloom_runtime::{runtime, time};

use crate::bucket;
use crate::outcome;
use crate::queue::{CachedBucket, Change, Job, Reply, Shared};
use crate::refusal::Refusal;

/// Timeout of a call to the platform; its answer then counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for which outcomes and releases wait to share the write of a claim.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Base of the backoff after failed or conflicting calls.
const RETRY_BASE: Duration = Duration::from_millis(5);

/// Upper bound of the backoff after failed calls.
const RETRY_CAP: Duration = Duration::from_secs(1);

/// Upper bound of the backoff after a conflict.
///
/// A conflict means that the platform works. With a longer wait, the same other instances would
/// write first each time until the deadlines of this instance's claims have passed.
const CONFLICT_CAP: Duration = Duration::from_millis(20);

/// Why a call to the platform failed; the jobs that are still queued are tried again.
enum CallError {
    /// Another instance wrote the bucket first.
    Conflict,
    /// The call failed, its answer was lost, or the bucket is unreadable.
    Failure,
}

impl CallError {
    fn cap(&self) -> Duration {
        match self {
            Self::Conflict => CONFLICT_CAP,
            Self::Failure => RETRY_CAP,
        }
    }
}

/// Result of applying a job to a cached bucket.
enum JobStatus {
    /// The bucket already decides the job; it needs no write.
    Decided(Reply),
    /// The bucket was changed; the job is done once it is written.
    NeedsWrite,
    /// The cached bucket may be outdated and must be read again to decide the job.
    Stale,
}

/// Writer of one bucket. At most one runs per bucket and instance.
pub(crate) struct Writer<R, P> {
    shared: Arc<Shared<R, P>>,
    index: u32,
    rx: async_channel::Receiver<Job>,
    jobs: Vec<Job>,
    cached: Option<CachedBucket>,
    /// Whether the bucket was read after the newest job arrived.
    fresh: bool,
}

impl<R: runtime::Runtime, P: platform::Platform> Writer<R, P> {
    pub(crate) fn new(
        shared: Arc<Shared<R, P>>,
        index: u32,
        rx: async_channel::Receiver<Job>,
    ) -> Self {
        Self {
            shared,
            index,
            rx,
            jobs: Vec::new(),
            cached: None,
            fresh: false,
        }
    }

    /// Processes jobs until none is left.
    pub(crate) async fn run(mut self) {
        self.cached = self.shared.take_cached(self.index);
        let mut failures = 0;
        loop {
            self.receive_jobs();
            match self.jobs.is_empty() {
                true if self.end_if_idle() => return,
                true => continue,
                false => {}
            }
            self.wait_for_claim().await;
            match self.process_jobs().await {
                Ok(()) => failures = 0,
                Err(error) => {
                    let rt = &self.shared.rt;
                    let wait = runtime::backoff(rt, failures, RETRY_BASE, error.cap());
                    rt.sleep(wait).await;
                    failures += 1;
                }
            }
        }
    }

    /// Ends the writer unless a job has arrived; leaves the bucket in the cache for the next
    /// writer. Returns whether the writer has ended.
    fn end_if_idle(&mut self) -> bool {
        // The bucket is cached before the queue is removed, so that a new writer finds it.
        if let Some(cached) = self.cached.take() {
            self.shared.keep_cached(self.index, cached);
        }
        let ended = self.shared.remove_if_idle(self.index, &self.rx);
        if !ended {
            self.cached = self.shared.take_cached(self.index);
        }
        ended
    }

    /// Takes all queued jobs and drops claims that nobody waits for any more.
    fn receive_jobs(&mut self) {
        while let Ok(job) = self.rx.try_recv() {
            self.add_job(job);
        }
        self.jobs = mem::take(&mut self.jobs)
            .into_iter()
            .filter_map(release_abandoned)
            .collect();
    }

    fn add_job(&mut self, job: Job) {
        self.fresh = false;
        self.jobs.push(job);
    }

    /// Waits up to [`BATCH_DELAY`] for a claim while only outcomes and releases are queued.
    async fn wait_for_claim(&mut self) {
        let rt = self.shared.rt.clone();
        let end = rt.now() + BATCH_DELAY;
        while !self.jobs.is_empty() && !self.jobs.iter().any(is_claim) {
            match runtime::timeout_at(&rt, end, self.rx.recv()).await {
                Ok(Ok(job)) => self.add_job(job),
                _ => return,
            }
        }
    }

    /// Applies the queued jobs to the bucket, answers those that are decided and writes the rest.
    async fn process_jobs(&mut self) -> Result<(), CallError> {
        let mut cached = match self.cached.take() {
            Some(cached) => cached,
            None => self.read().await?,
        };
        let now = self.shared.rt.wall();
        let mut statuses = apply_jobs(&self.jobs, &mut cached, self.fresh, now);
        if statuses
            .iter()
            .any(|status| matches!(status, JobStatus::Stale))
        {
            cached = self.read().await?;
            statuses = apply_jobs(&self.jobs, &mut cached, self.fresh, now);
        }
        self.complete_decided(statuses);
        match self.jobs.is_empty() {
            true => {
                self.cached = Some(cached);
                Ok(())
            }
            false => self.write(cached).await,
        }
    }

    /// Completes the jobs that need no write; the others remain queued.
    fn complete_decided(&mut self, statuses: Vec<JobStatus>) {
        let jobs = mem::take(&mut self.jobs);
        for (job, status) in jobs.into_iter().zip(statuses) {
            match status {
                JobStatus::Decided(reply) => self.complete(job, reply),
                JobStatus::NeedsWrite | JobStatus::Stale => self.jobs.push(job),
            }
        }
    }

    async fn read(&mut self) -> Result<CachedBucket, CallError> {
        let key = bucket::object_key(self.index);
        let call = self.shared.platform.get(&key);
        match runtime::timeout(&self.shared.rt, CALL_TIMEOUT, call).await {
            Ok(Ok(object)) => self.decode(object),
            _ => Err(CallError::Failure),
        }
    }

    fn decode(&mut self, object: Option<object::Object>) -> Result<CachedBucket, CallError> {
        let version = object.as_ref().map(|o| o.version);
        let bucket = match &object {
            Some(object) => bucket::Bucket::decode(&object.value),
            None => Ok(bucket::Bucket::new()),
        };
        match bucket {
            Ok(bucket) => {
                self.fresh = true;
                Ok(CachedBucket { version, bucket })
            }
            Err(bucket::Unreadable) => {
                self.refuse_all();
                Err(CallError::Failure)
            }
        }
    }

    /// Refuses all jobs on a bucket that can't be decoded.
    fn refuse_all(&mut self) {
        tracing::error!(bucket = self.index, "the claim bucket can't be decoded");
        for job in mem::take(&mut self.jobs) {
            self.complete(job, Reply::Answered(Err(Refusal::BucketUnreadable)));
        }
    }

    async fn write(&mut self, cached: CachedBucket) -> Result<(), CallError> {
        let condition = condition(&cached);
        let key = bucket::object_key(self.index);
        let value = cached.bucket.encode();
        let call = self.shared.platform.put(&key, &value, condition);
        match runtime::timeout(&self.shared.rt, CALL_TIMEOUT, call).await {
            Ok(Ok(object)) => {
                let version = Some(object.version);
                self.cached = Some(CachedBucket { version, ..cached });
                self.complete_all();
                Ok(())
            }
            Ok(Err(platform::Error::Conflict { current })) => {
                self.cached = Some(self.decode(current.map(|object| *object))?);
                Err(CallError::Conflict)
            }
            Ok(Err(platform::Error::OutcomeUnknown)) | Err(runtime::Elapsed) => {
                let unconfirmed = Some(condition);
                self.jobs
                    .iter_mut()
                    .for_each(|job| job.unconfirmed = unconfirmed);
                Err(CallError::Failure)
            }
            Ok(Err(_)) => Err(CallError::Failure),
        }
    }

    /// Completes all jobs after their write succeeded.
    fn complete_all(&mut self) {
        for job in mem::take(&mut self.jobs) {
            self.complete(job, Reply::Done);
        }
    }

    /// Replies to a claim's attempt, or removes a recorded outcome from the in-flight requests.
    fn complete(&mut self, job: Job, reply: Reply) {
        let claimed = matches!(reply, Reply::Done);
        match &job.change {
            Change::Claim { reply: tx, .. } => {
                if tx.try_send(reply).is_err() && claimed {
                    // The attempt gave up while its claim was written.
                    self.add_job(Job::new(&job.key, &job.token, Change::Release));
                }
            }
            Change::Record(_) => self.shared.in_flight.remove(&job.key),
            Change::Release => {}
        }
    }
}

fn is_claim(job: &Job) -> bool {
    matches!(job.change, Change::Claim { .. })
}

/// Drops a claim whose attempt gave up; turns it into a release if it may have been written.
fn release_abandoned(job: Job) -> Option<Job> {
    match &job.change {
        Change::Claim { reply, .. } if reply.is_closed() => {
            job.unconfirmed.is_some().then(|| Job {
                change: Change::Release,
                ..job
            })
        }
        _ => Some(job),
    }
}

fn condition(cached: &CachedBucket) -> platform::Condition {
    match cached.version {
        Some(version) => platform::Condition::Version(version),
        None => platform::Condition::Absent,
    }
}

/// Applies all jobs to the cached bucket in order.
fn apply_jobs(
    jobs: &[Job],
    cached: &mut CachedBucket,
    fresh: bool,
    now: time::WallTime,
) -> Vec<JobStatus> {
    cached.bucket.remove_expired(now);
    let condition = condition(cached);
    let bucket = &mut cached.bucket;
    let statuses = jobs.iter().map(|job| match &job.change {
        Change::Claim { hash, at, .. } => add_claim(job, bucket, &format!("{hash:016x}"), *at),
        Change::Release => release_claim(job, bucket, condition),
        Change::Record(recorded) => record_outcome(job, bucket, recorded),
    });
    let statuses = statuses.map(|(status, is_final)| match (status, is_final || fresh) {
        (JobStatus::Decided(_), false) => JobStatus::Stale,
        (status, _) => status,
    });
    statuses.collect()
}

/// Returns the status and whether it holds even if the cached bucket is outdated.
fn add_claim(
    job: &Job,
    bucket: &mut bucket::Bucket,
    request: &str,
    at: time::WallTime,
) -> (JobStatus, bool) {
    let key = job.key.as_str();
    let refuse = |refusal| JobStatus::Decided(Reply::Answered(Err(refusal)));
    match bucket.claims.get(key) {
        Some(claim) if *claim.attempt == *job.token => (JobStatus::Decided(Reply::Done), true),
        Some(claim) if claim.request != request => {
            (refuse(Refusal::KeyReused), claim.outcome.is_some())
        }
        Some(claim) => match &claim.outcome {
            Some(outcome::RecordedOutcome::Finished(response)) => (
                JobStatus::Decided(Reply::Answered(Ok(response.clone()))),
                true,
            ),
            Some(outcome::RecordedOutcome::Lost) => (refuse(Refusal::OutcomeUnknown), true),
            None => (refuse(Refusal::ClaimHeld), false),
        },
        None if !bucket.has_room(key) => (refuse(Refusal::BucketFull), false),
        None => {
            let claim = bucket::Claim {
                request: request.to_owned(),
                attempt: (*job.token).to_owned(),
                at_ms: at,
                outcome: None,
                extra: Default::default(),
            };
            bucket.claims.insert(key.to_owned(), claim);
            (JobStatus::NeedsWrite, true)
        }
    }
}

fn release_claim(
    job: &Job,
    bucket: &mut bucket::Bucket,
    condition: platform::Condition,
) -> (JobStatus, bool) {
    let key = job.key.as_str();
    match bucket.owned_claim(key, &job.token) {
        Some(claim) if claim.outcome.is_none() => {
            bucket.claims.remove(key);
            (JobStatus::NeedsWrite, true)
        }
        // The unconfirmed write can still add the claim. Writing the bucket now changes its
        // version, so that the unconfirmed write can't take effect any more.
        None if job.unconfirmed == Some(condition) => (JobStatus::NeedsWrite, true),
        _ => (JobStatus::Decided(Reply::Done), false),
    }
}

fn record_outcome(
    job: &Job,
    bucket: &mut bucket::Bucket,
    recorded: &outcome::RecordedOutcome,
) -> (JobStatus, bool) {
    match bucket.record_outcome(job.key.as_str(), &job.token, recorded) {
        true => (JobStatus::NeedsWrite, true),
        false => (JobStatus::Decided(Reply::Done), false),
    }
}
