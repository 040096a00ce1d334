//! Execution of non-idempotent requests, at most once per idempotency key.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_platform::platform;
use marigoldloom_runtime::{runtime, time};

use crate::bucket;
use crate::in_flight::{Answer, Registration};
use crate::outcome::{DispatchResult, RecordedOutcome};
use crate::queue::{Change, Job, Reply, Shared};
use crate::refusal::{Refusal, RunStatus};
use crate::request;

/// Default number of bucket objects.
pub const BUCKETS: u32 = 1_024;

/// A claim may take the time until the deadline divided by this. The rest is left for running the
/// request.
const CLAIM_DIVISOR: u32 = 2;

/// Maximum advance of the wall clock over the monotonic clock before a claim counts as too old.
///
/// Both clocks are compared because the monotonic clock may stop while a virtual machine is
/// suspended.
const CLOCK_SLACK: Duration = Duration::from_secs(1);

/// Runs the non-idempotent requests of one instance. Clones share their state.
pub struct Claims<R, P> {
    shared: Arc<Shared<R, P>>,
}

impl<R, P> Clone for Claims<R, P> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self { shared }
    }
}

impl<R: runtime::Runtime, P: platform::Platform> Claims<R, P> {
    /// Creates the claims of an instance. All instances must use the same number of `buckets`,
    /// at least one: with different numbers they would look for one key in different buckets.
    pub fn new(rt: R, platform: P, buckets: u32) -> Self {
        let shared = Arc::new(Shared::new(rt, platform, buckets.max(1)));
        Self { shared }
    }

    /// Claims the request and calls `dispatch`, at most once over all attempts with its key.
    ///
    /// A later attempt gets the recorded outcome. While an earlier attempt runs on this
    /// instance, a later one waits for its answer until `deadline`. If the future is dropped
    /// before the dispatch, the claim is released; if it is dropped after the dispatch, the
    /// outcome is recorded as lost.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`]; [`Refusal::run_status`] tells whether the request may have run.
    pub async fn run<F, Fut>(
        &self,
        request: &request::Request,
        deadline: time::Timestamp,
        dispatch: F,
    ) -> Answer
    where
        F: FnOnce() -> Fut,
        Fut: future::Future<Output = DispatchResult>,
    {
        match self.shared.in_flight.register(request) {
            Registration::Answered(answer) => answer,
            Registration::Running(rx) => self.wait_for_answer(&rx, deadline).await,
            Registration::New => {
                let mut attempt = Attempt::new(&self.shared, request, deadline);
                match attempt.claim().await {
                    Ok(()) => attempt.dispatch(dispatch).await,
                    Err(answer) => answer,
                }
            }
        }
    }

    async fn wait_for_answer(
        &self,
        rx: &async_channel::Receiver<Answer>,
        deadline: time::Timestamp,
    ) -> Answer {
        match runtime::timeout_at(&self.shared.rt, deadline, rx.recv()).await {
            Ok(Ok(answer)) => answer,
            _ => Err(Refusal::ClaimHeld),
        }
    }
}

/// How far an attempt has come.
enum Stage {
    /// The claim is queued; the writer's reply arrives here.
    Waiting(async_channel::Receiver<Reply>),
    /// The claim is on the platform and the request isn't dispatched yet.
    Claimed,
    /// The request may have reached an upstream.
    Dispatched,
    /// Other attempts got their answer, and the claim's release or outcome is queued.
    Ended,
}

/// An attempt that may dispatch its request. Dropping it releases its claim or records a lost
/// outcome.
struct Attempt<R: runtime::Runtime, P: platform::Platform> {
    shared: Arc<Shared<R, P>>,
    key: request::Key,
    /// Random token that marks the claim as owned by this attempt.
    token: Arc<str>,
    kind: request::AttemptKind,
    deadline: time::Timestamp,
    start: time::Timestamp,
    /// Wall-clock time of the claim; the claim expires [`bucket::RETENTION`] later.
    claimed_at: time::WallTime,
    stage: Stage,
}

impl<R: runtime::Runtime, P: platform::Platform> Attempt<R, P> {
    fn new(
        shared: &Arc<Shared<R, P>>,
        request: &request::Request,
        deadline: time::Timestamp,
    ) -> Self {
        let rt = &shared.rt;
        let token: Arc<str> = format!("{:016x}{:016x}", rt.random(), rt.random()).into();
        let (reply, rx) = async_channel::bounded(1);
        let hash = request.hash;
        let at = rt.wall();
        let change = Change::Claim { hash, at, reply };
        shared.enqueue(Job::new(&request.key, &token, change));
        Self {
            shared: Arc::clone(shared),
            key: request.key.clone(),
            token,
            kind: request.kind,
            deadline,
            start: rt.now(),
            claimed_at: at,
            stage: Stage::Waiting(rx),
        }
    }

    /// Waits for the claim. `Err` holds the answer to return without a dispatch, which may be a
    /// recorded outcome.
    async fn claim(&mut self) -> Result<(), Answer> {
        let Stage::Waiting(rx) = &self.stage else {
            return Err(Err(Refusal::OutcomeUnknown));
        };
        let time_limit = self.deadline.since(self.start) / CLAIM_DIVISOR;
        match runtime::timeout(&self.shared.rt, time_limit, rx.recv()).await {
            Ok(Ok(Reply::Done)) => {
                self.stage = Stage::Claimed;
                Ok(())
            }
            Ok(Ok(Reply::Answered(answer))) => Err(self.finish(answer, None)),
            _ => {
                self.abandon();
                Err(Err(self.no_claim_refusal()))
            }
        }
    }

    async fn dispatch<F, Fut>(&mut self, dispatch: F) -> Answer
    where
        F: FnOnce() -> Fut,
        Fut: future::Future<Output = DispatchResult>,
    {
        if !self.is_in_time() {
            let run = self.late_run_status();
            return self.finish(Err(Refusal::Late { run }), Some(Change::Release));
        }
        self.stage = Stage::Dispatched;
        let call = runtime::timeout_at(&self.shared.rt, self.deadline, dispatch());
        match call.await {
            Ok(DispatchResult::Finished(response)) => {
                let record =
                    Change::Record(RecordedOutcome::Finished(response.without_long_body()));
                self.finish(Ok(response), Some(record))
            }
            Ok(DispatchResult::NotRun) => self.finish(Err(Refusal::NotRun), Some(Change::Release)),
            Ok(DispatchResult::Lost) | Err(runtime::Elapsed) => self.finish(
                Err(Refusal::OutcomeUnknown),
                Some(Change::Record(RecordedOutcome::Lost)),
            ),
        }
    }

    /// Returns whether the deadline is still ahead on both clocks. It may have passed while the
    /// process was paused.
    fn is_in_time(&self) -> bool {
        let rt = &self.shared.rt;
        let time_limit = self.deadline.since(self.start) + CLOCK_SLACK;
        rt.now() < self.deadline && rt.wall().since(self.claimed_at) < time_limit
    }

    /// Tells whether a request that wasn't dispatched in time may have run. Once the claim has
    /// expired, another attempt may have claimed the key and run the request.
    fn late_run_status(&self) -> RunStatus {
        match self.shared.rt.wall().since(self.claimed_at) < bucket::RETENTION {
            true => RunStatus::NotRun,
            false => RunStatus::Unknown,
        }
    }

    /// Returns the refusal of an attempt that got no answer about its claim. The request is known
    /// not to have run only while the caller can't have sent it elsewhere.
    fn no_claim_refusal(&self) -> Refusal {
        let run = match self.kind {
            request::AttemptKind::First { until } if self.shared.rt.wall() < until => {
                RunStatus::NotRun
            }
            _ => RunStatus::Unknown,
        };
        Refusal::NoClaim { run }
    }

    /// Ends the attempt: answers the attempts that wait for it on this instance and queues the
    /// change of its claim.
    fn finish(&mut self, answer: Answer, change: Option<Change>) -> Answer {
        self.stage = Stage::Ended;
        let until_recorded = matches!(change, Some(Change::Record(_)));
        self.shared
            .in_flight
            .finish(&self.key, &answer, until_recorded);
        if let Some(change) = change {
            self.shared
                .enqueue(Job::new(&self.key, &self.token, change));
        }
        answer
    }

    /// Ends the attempt without an answer from an upstream, whatever its stage.
    fn abandon(&mut self) {
        let refusal = self.no_claim_refusal();
        let (refusal, change) = match &self.stage {
            Stage::Ended => return,
            Stage::Waiting(rx) => {
                rx.close();
                // A claim that is written after the channel was closed is released by the writer.
                let claimed = matches!(rx.try_recv(), Ok(Reply::Done));
                (refusal, claimed.then_some(Change::Release))
            }
            Stage::Claimed => (Refusal::NotRun, Some(Change::Release)),
            Stage::Dispatched => {
                let record = Change::Record(RecordedOutcome::Lost);
                (Refusal::OutcomeUnknown, Some(record))
            }
        };
        // The caller gets its answer from `claim` or has dropped the future.
        let _ = self.finish(Err(refusal), change);
    }
}

impl<R: runtime::Runtime, P: platform::Platform> Drop for Attempt<R, P> {
    fn drop(&mut self) {
        self.abandon();
    }
}
