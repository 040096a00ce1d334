//! The task that keeps an instance's version moves up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_peers::exchange::{Entry, Exchange, Space};
use marigoldloom_platform::platform;
use marigoldloom_records::service;
use marigoldloom_records::version_move::{Intent, Phase, VersionMove};
use marigoldloom_runtime::{runtime, time};
use marigoldloom_telemetry::event;

use crate::config;
use crate::evidence;
use crate::moves::{Inner, Moves};
use crate::progress::Progress;
use crate::share::{self, Inputs, Step};
use crate::table::{RoutingTable, RunningMove, ServiceEntry};

/// Time between two reads of the records and verdicts.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of ticks between two evaluations and publications of evidence.
const EVIDENCE_TICKS: u64 = 4;

/// Time since the last tick from which the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);

/// Time after a pause in which the new version gets no requests, so that verdicts from the time of
/// the pause arrive first.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// Time after the start in which an instance doesn't take a move back for missing proof, because it
/// may not have received the evidence yet.
const STARTUP_GRACE: Duration = Duration::from_secs(30);

/// Time after the deadline for which evidence is kept.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum random delay before an instance with evidence writes the status. It is spread so that
/// most instances find the status written.
const WRITE_SPREAD: Duration = Duration::from_secs(2);

/// Minimum delay before an instance without evidence writes the status, and upper bound of its
/// backoff.
///
/// Nearly all instances can be without evidence. If each retried about every second during an
/// outage, they would make more calls than the platform supports when it returns.
const FALLBACK_DELAY: Duration = Duration::from_secs(30);

/// Upper bound of the backoff after failed writes of an instance with evidence.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// State of the task.
struct Controller<R, P, E> {
    inner: Arc<Inner<R, P, E>>,
    records: config::Records,
    move_progress: BTreeMap<String, Progress>,
    start: time::Timestamp,
    last_tick: time::Timestamp,
    /// Until when the new version gets no requests after a pause.
    hold_until: time::Timestamp,
    ticks: u64,
}

/// Keeps an instance's moves up to date; never returns.
pub async fn run<R, P, E>(moves: Moves<R, P, E>)
where
    R: runtime::Runtime,
    P: platform::Platform,
    E: Exchange,
{
    let mut controller = Controller::new(Arc::clone(&moves.inner));
    loop {
        controller.tick();
        moves.inner.rt.sleep(TICK_INTERVAL).await;
    }
}

impl<R: runtime::Runtime, P: platform::Platform, E: Exchange> Controller<R, P, E> {
    fn new(inner: Arc<Inner<R, P, E>>) -> Self {
        let now = inner.rt.now();
        // A random first tick keeps the instances from publishing at the same time.
        let ticks = runtime::random_below(&inner.rt, EVIDENCE_TICKS);
        Self {
            inner,
            records: config::Records::default(),
            move_progress: BTreeMap::new(),
            start: now,
            last_tick: now,
            hold_until: now,
            ticks,
        }
    }

    fn tick(&mut self) {
        let now = self.inner.rt.now();
        if now.since(self.last_tick) >= PAUSE_THRESHOLD {
            self.hold_until = now + HOLD_TIME;
        }
        self.last_tick = now;
        self.ticks += 1;
        self.records.refresh(&self.inner.exchange);
        let names = &self.records.moves;
        self.move_progress
            .retain(|name, _| names.contains_key(name));
        let moves: Vec<_> = self.records.moves.values().cloned().collect();
        for record in moves {
            self.update_move(&record);
        }
        self.inner.set_table(self.build_table(now));
        self.drop_ended_moves();
    }

    /// Updates one move from its record, the clock and the evidence.
    fn update_move(&mut self, record: &VersionMove) {
        let mut progress = self.move_progress.remove(&record.name).unwrap_or_default();
        if record.status.phase == Phase::Running {
            if self.ticks.is_multiple_of(EVIDENCE_TICKS) {
                self.update_evidence(record, &mut progress);
            }
            self.take_back_if_due(record, &progress);
        }
        self.record_decision(record, &mut progress);
        self.move_progress.insert(record.name.clone(), progress);
    }

    /// Evaluates the evidence of all instances, records what changed and publishes the own report.
    fn update_evidence(&self, record: &VersionMove, progress: &mut Progress) {
        let mut merged = self.inner.merged_evidence(&record.name);
        if let Some(report) = self.report(record, progress) {
            merged.add(&self.entry_name(record), &report);
        }
        let inputs = Inputs {
            record,
            now: self.inner.rt.wall(),
            evidence: &merged,
            warm_capacity: self.inner.warm_capacity(&record.service, &record.to),
        };
        let was_done = progress.done;
        let changed = progress.update(&inputs, self.inner.rt.now());
        if changed && !progress.taken_back {
            let cause = format!(
                "{:?} gets {} in 1,000 requests",
                record.to,
                progress.step().per_mille()
            );
            self.record_event(event::Kind::ShareChanged, record, &cause, &merged);
        }
        if progress.done && !was_done && !progress.taken_back {
            let cause = "the new version proved itself at every step";
            self.record_event(event::Kind::MoveDone, record, cause, &merged);
        }
        self.publish(record, progress);
    }

    /// Returns this instance's report; `None` before it has served a request of the move.
    fn report(&self, record: &VersionMove, progress: &Progress) -> Option<evidence::Report> {
        let report = self.inner.recorder().report(&record.name);
        report.map(|report| evidence::Report {
            done: progress.done,
            ..report
        })
    }

    fn entry_name(&self, record: &VersionMove) -> String {
        format!("{}/{}", record.name, self.inner.writer)
    }

    fn publish(&self, record: &VersionMove, progress: &Progress) {
        let Some(report) = self.report(record, progress) else {
            return;
        };
        let value = serde_json::to_string(&report).ok();
        self.inner.exchange.publish(Entry {
            space: Space::Evidence,
            name: self.entry_name(record).into(),
            stamp: self.ticks,
            value: value.map(Arc::from),
            expires: Some(record.deadline_ms + EVIDENCE_RETENTION),
        });
    }

    /// Takes the move back if the operator asks for it, the new version is worse, or proof is
    /// missing at the deadline.
    fn take_back_if_due(&self, record: &VersionMove, progress: &Progress) {
        let overdue = self.inner.rt.wall() >= record.deadline_ms;
        let is_past_grace = self.inner.rt.now().since(self.start) >= STARTUP_GRACE;
        let reason = match &progress.alarm {
            _ if progress.taken_back => return,
            _ if record.intent == Intent::TakeBack => "the operator asked for it".to_owned(),
            Some(alarm) => alarm.to_string(),
            None if overdue && is_past_grace && !progress.done && progress.evaluated => {
                match self.has_no_evidence(record) {
                    true => return,
                    false => missing_proof_reason(progress),
                }
            }
            None => return,
        };
        self.inner.take_back(&record.name, &reason);
    }

    /// Records the event of a decision to take the move back, and starts writing a final phase
    /// into the move's record.
    fn record_decision(&self, record: &VersionMove, progress: &mut Progress) {
        let verdict = self.inner.verdict(&record.name);
        let ended = record.status.phase == Phase::TakenBack || verdict.is_some();
        if ended && !progress.taken_back {
            progress.taken_back = true;
            let reason = verdict.map_or(record.status.reason.clone(), |v| v.reason);
            let merged = self.inner.merged_evidence(&record.name);
            self.record_event(event::Kind::TakenBack, record, &reason, &merged);
        }
        let phase = match record.status.phase {
            Phase::TakenBack => return,
            _ if progress.taken_back => Phase::TakenBack,
            Phase::Done => return,
            Phase::Running if progress.done => Phase::Done,
            Phase::Running => return self.end_without_evidence(record, progress),
        };
        if progress.recording != Some(phase) {
            progress.recording = Some(phase);
            let name = record.name.as_str().into();
            let inner = Arc::clone(&self.inner);
            let task =
                inner.write_final_status(name, self.write_delay(record), self.retry_cap(record));
            self.inner.rt.spawn(task);
        }
    }

    /// Starts ending an overdue move that this instance has no evidence about.
    fn end_without_evidence(&self, record: &VersionMove, progress: &mut Progress) {
        let overdue = self.inner.rt.wall() >= record.deadline_ms;
        if overdue && progress.recording.is_none() && self.has_no_evidence(record) {
            progress.recording = Some(Phase::Running);
            let name = record.name.as_str().into();
            let task = Arc::clone(&self.inner).take_back_without_evidence(name);
            self.inner.rt.spawn(task);
        }
    }

    fn has_no_evidence(&self, record: &VersionMove) -> bool {
        self.inner.merged_evidence(&record.name).routes().is_empty()
    }

    fn write_delay(&self, record: &VersionMove) -> Duration {
        let rt = &self.inner.rt;
        match self.has_no_evidence(record) {
            true => FALLBACK_DELAY + runtime::backoff(rt, 0, FALLBACK_DELAY, FALLBACK_DELAY),
            false => runtime::backoff(rt, 0, WRITE_SPREAD, WRITE_SPREAD),
        }
    }

    fn retry_cap(&self, record: &VersionMove) -> Duration {
        match self.has_no_evidence(record) {
            true => FALLBACK_DELAY,
            false => RETRY_CAP,
        }
    }

    fn record_event(
        &self,
        kind: event::Kind,
        record: &VersionMove,
        cause: &str,
        merged: &evidence::MergedReports,
    ) {
        let evidence = serde_json::to_value(merged.summary()).unwrap_or_default();
        let at = self.inner.rt.wall();
        self.inner
            .events
            .record(at, kind, &record.name, cause, evidence);
    }

    fn build_table(&self, now: time::Timestamp) -> RoutingTable {
        let services = self.records.services.values();
        let services = services.map(|s| (s.name.clone(), self.build_service(s, now)));
        RoutingTable {
            built_at: now,
            services: services.collect(),
        }
    }

    /// Applies the moves of a service in the order of their start. At most one runs at a time.
    fn build_service(&self, service: &service::Service, now: time::Timestamp) -> ServiceEntry {
        let mut base = service.active.as_str();
        let mut running = None;
        for record in self.records.moves_of(&service.name) {
            let Some(progress) = self.move_progress.get(&record.name) else {
                continue;
            };
            let done = progress.done || record.status.phase == Phase::Done;
            match record.from == base && !progress.taken_back && running.is_none() {
                true if done => base = &record.to,
                true if self.has_started(record) => running = Some((record, progress)),
                _ => {}
            }
        }
        ServiceEntry {
            base: base.into(),
            running: running.map(|(record, progress)| self.running_move(record, progress, now)),
        }
    }

    fn has_started(&self, record: &VersionMove) -> bool {
        record.status.phase == Phase::Running && record.start_ms <= self.inner.rt.wall()
    }

    fn running_move(
        &self,
        record: &VersionMove,
        progress: &Progress,
        now: time::Timestamp,
    ) -> RunningMove {
        let held = now < self.hold_until;
        RunningMove {
            name: record.name.as_str().into(),
            to: record.to.as_str().into(),
            step: if held { Step::None } else { progress.step() },
            routes: if held {
                BTreeMap::new()
            } else {
                progress.route_steps()
            },
        }
    }

    /// Drops the counters of moves that have ended.
    fn drop_ended_moves(&self) {
        let running = self.records.moves.values();
        let running = running.filter(|m| m.status.phase == Phase::Running);
        let names: BTreeSet<Arc<str>> = running.map(|m| m.name.as_str().into()).collect();
        self.inner.recorder().retain(&names);
    }
}

/// The reason for taking back a move that isn't complete at the deadline.
fn missing_proof_reason(progress: &Progress) -> String {
    match share::unproven_route(&progress.proofs) {
        // If no route is proven, the move was too short, rather than this route too rare.
        Some(route) if share::has_proven_route(&progress.proofs) => {
            format!("proof is missing at the deadline on route {route:?}")
        }
        _ => "the move wasn't complete at the deadline".to_owned(),
    }
}
