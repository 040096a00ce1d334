//! Writing of a move's final status into its record on the platform.
//!
//! Any instance may write it. The update is conditional on the object's version, so an instance
//! that was paused can't overwrite what others wrote meanwhile.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::{object, platform};
use marigoldloom_records::{record, version_move};
use marigoldloom_runtime::{runtime, time};
use serde::{Deserialize, Serialize};

use crate::config;
use crate::evidence;
use crate::moves::Inner;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Base of the backoff after failed calls.
const RETRY_BASE: Duration = Duration::from_millis(100);

/// Minimum time before each of the two reads of the record by which an instance without evidence
/// confirms that a move still runs; a random time of up to the same length is added.
const CONFIRM_DELAY: Duration = Duration::from_secs(5);

/// Stamp of every verdict. It is constant, so that no verdict replaces another for being later.
const VERDICT_STAMP: u64 = 1;

/// The final decision to take a move back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Verdict {
    /// Why, in one sentence for the operator.
    pub(crate) reason: String,
    /// When the decision was made.
    pub(crate) at_ms: time::WallTime,
}

/// Result of trying to write the status.
enum WriteResult {
    /// The status was written, or there is nothing to write.
    Settled,
    /// A call failed or the record changed meanwhile; to be tried again.
    Failed,
}

/// Returns the decision to take the move `name` back, if an instance has made it.
pub(crate) fn verdict(
    exchange: &impl Exchange,
    now: time::WallTime,
    name: &str,
) -> Option<Verdict> {
    let entries = exchange.scan(Space::Verdict, name);
    let entry = entries.into_iter().find(|entry| &*entry.name == name)?;
    let known = entry.value.and_then(|v| serde_json::from_str(&v).ok());
    // An entry that this build can't read is still a decision to take the move back.
    Some(known.unwrap_or(Verdict {
        reason: "another instance took the move back".to_owned(),
        at_ms: now,
    }))
}

/// Publishes the decision to take the move `name` back. It can't be undone.
pub(crate) fn take_back(exchange: &impl Exchange, now: time::WallTime, name: &str, reason: &str) {
    if verdict(exchange, now, name).is_some() {
        return;
    }
    let verdict = Verdict {
        reason: reason.to_owned(),
        at_ms: now,
    };
    let value = serde_json::to_string(&verdict).ok();
    exchange.publish(Entry {
        space: Space::Verdict,
        name: name.into(),
        stamp: VERDICT_STAMP,
        value: value.map(Arc::from),
        expires: None,
    });
}

/// Returns the evidence of all instances for the move `name`.
pub(crate) fn merged_evidence(exchange: &impl Exchange, name: &str) -> evidence::MergedReports {
    let prefix = format!("{name}/");
    let mut merged = evidence::MergedReports::default();
    for entry in exchange.scan(Space::Evidence, &prefix) {
        let value = entry.value.as_deref().unwrap_or_default();
        if let Ok(report) = serde_json::from_str(value) {
            merged.add(&entry.name, &report);
        }
    }
    merged
}

impl<R: runtime::Runtime, P: platform::Platform, E: Exchange> Inner<R, P, E> {
    /// Returns the decision to take the move back, if an instance has made it.
    pub(crate) fn verdict(&self, name: &str) -> Option<Verdict> {
        verdict(&self.exchange, self.rt.wall(), name)
    }

    /// Publishes the decision to take the move back. It can't be undone.
    pub(crate) fn take_back(&self, name: &str, reason: &str) {
        take_back(&self.exchange, self.rt.wall(), name, reason);
    }

    /// Returns the evidence of all instances for a move.
    pub(crate) fn merged_evidence(&self, name: &str) -> evidence::MergedReports {
        merged_evidence(&self.exchange, name)
    }

    /// Writes the move's final status after `delay`; retries until the record holds one.
    /// `cap` is the upper bound of the backoff after failed calls.
    pub(crate) async fn write_final_status(
        self: Arc<Self>,
        name: Arc<str>,
        delay: Duration,
        cap: Duration,
    ) {
        self.rt.sleep(delay).await;
        let mut failures = 0;
        while let WriteResult::Failed = self.try_write_status(&name).await {
            let wait = runtime::backoff(&self.rt, failures, RETRY_BASE, cap);
            self.rt.sleep(wait).await;
            failures += 1;
        }
    }

    /// Takes back a move that this instance has no evidence for, after two reads of its record
    /// that say that it still runs. Instances with evidence would have written the status by then.
    pub(crate) async fn take_back_without_evidence(self: Arc<Self>, name: Arc<str>) {
        let mut confirmations = 0;
        while confirmations < 2 {
            let spread = runtime::backoff(&self.rt, 0, CONFIRM_DELAY, CONFIRM_DELAY);
            self.rt.sleep(CONFIRM_DELAY + spread).await;
            match self.read(&name).await {
                Ok(Some((_, record))) if record.status.phase == version_move::Phase::Running => {
                    confirmations += 1;
                }
                Ok(_) => return,
                Err(_) => {}
            }
        }
        self.take_back(&name, "no evidence exists at the deadline");
    }

    /// Writes the final status once, unless the record holds it already.
    async fn try_write_status(&self, name: &str) -> WriteResult {
        if self.is_written(name) {
            return WriteResult::Settled;
        }
        let (object, mut record) = match self.read(name).await {
            Ok(Some(found)) => found,
            Ok(None) => return WriteResult::Settled,
            Err(_) => return WriteResult::Failed,
        };
        if record.intent == version_move::Intent::TakeBack && !is_final(&record) {
            self.take_back(name, "the operator asked for it");
        }
        let Some(status) = self.final_status(name, &record) else {
            return WriteResult::Settled;
        };
        record.status = status;
        let Ok(value) = serde_json::to_value(&record) else {
            return WriteResult::Settled;
        };
        let condition = platform::Condition::Version(object.version);
        let call = self.platform.put(&object.key, &value, condition);
        match runtime::timeout(&self.rt, CALL_TIMEOUT, call).await {
            Ok(Ok(_)) => WriteResult::Settled,
            _ => WriteResult::Failed,
        }
    }

    /// Returns the status to write; `None` if there is none or the record holds it already.
    fn final_status(
        &self,
        name: &str,
        record: &version_move::VersionMove,
    ) -> Option<version_move::Status> {
        let merged = self.merged_evidence(name);
        let evidence = merged.summary();
        match (record.status.phase, self.verdict(name)) {
            (version_move::Phase::TakenBack, _) | (version_move::Phase::Done, None) => None,
            (_, Some(verdict)) => Some(version_move::Status {
                phase: version_move::Phase::TakenBack,
                reason: verdict.reason,
                at_ms: verdict.at_ms,
                evidence,
            }),
            (version_move::Phase::Running, None) if merged.is_done() => {
                Some(version_move::Status {
                    phase: version_move::Phase::Done,
                    reason: "the new version proved itself at every step".to_owned(),
                    at_ms: self.rt.wall(),
                    evidence,
                })
            }
            (version_move::Phase::Running, None) => None,
        }
    }

    /// Returns whether the record in the shared map already holds the final status.
    fn is_written(&self, name: &str) -> bool {
        let entry = config::move_entry_name(name);
        let entries = self.exchange.scan(Space::Config, &entry);
        let found = entries.iter().find(|e| *e.name == *entry);
        let record = found.and_then(config::decode::<version_move::VersionMove>);
        match record.map(|record| record.status.phase) {
            Some(version_move::Phase::TakenBack) => true,
            Some(version_move::Phase::Done) => self.verdict(name).is_none(),
            _ => false,
        }
    }

    async fn read(
        &self,
        name: &str,
    ) -> Result<Option<(object::Object, version_move::VersionMove)>, platform::Error> {
        let key = object::Key::new(record::Kind::VersionMove.as_str(), name);
        let call = self.platform.get(&key);
        let object = match runtime::timeout(&self.rt, CALL_TIMEOUT, call).await {
            Ok(answer) => answer?,
            Err(runtime::Elapsed) => return Err(platform::Error::OutcomeUnknown),
        };
        let found = object.and_then(|object| {
            let record = record::decode(&object.value).ok()?;
            Some((object, record))
        });
        Ok(found)
    }
}

fn is_final(record: &version_move::VersionMove) -> bool {
    record.status.phase != version_move::Phase::Running
}
