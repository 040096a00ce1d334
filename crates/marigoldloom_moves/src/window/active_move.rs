//! One move on this instance: when its evidence is evaluated, and what is decided from it.

use std::time::Duration;

use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_runtime::time::{self, Timestamp};

use super::ALL;
use crate::evidence::{MergedReports, Report};
use crate::plan::{Exposure, Plan, Stage};
use crate::progress::Progress;
use crate::share::Step;
use crate::status;

/// Time between two evaluations of the evidence before the load test; then each tick evaluates it.
const EVALUATION_PERIOD: Duration = Duration::from_millis(500);

/// Time before the end of the window at which the move is declared done, so that requests to the
/// old version have ended when its replicas stop.
const DONE_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of the window at which a version without proof is taken back. By then an
/// instance that has switched has told the others.
const UNPROVEN_MARGIN: Duration = Duration::from_millis(300);

/// State of one move on this instance.
pub(super) struct Move {
    pub(super) order: Order,
    /// Start of the window by this instance's clock. Moved back if another instance has known the
    /// order for longer.
    pub(super) start: Timestamp,
    pub(super) plan: Plan,
    pub(super) progress: Progress,
    /// Evidence of all instances at the last evaluation.
    pub(super) merged: MergedReports,
    /// Final phase, once it is decided.
    pub(super) decided: Option<Phase>,
    /// Whether all requests go to the new version.
    pub(super) switched: bool,
    pub(super) published_at: Option<Timestamp>,
    /// Number of bad replies of the new version in the last published report.
    pub(super) published_bad: u64,
    /// When the evidence was last evaluated.
    pub(super) evaluated_at: Option<Timestamp>,
    /// Stage in the log's last line about the move.
    pub(super) logged_stage: Stage,
}

impl Move {
    pub(super) fn new(order: Order, now: Timestamp, exposure: Exposure) -> Self {
        tracing::info!(
            service = %order.service,
            version = %order.version,
            window_ms = time::millis(order.window),
            phase = ?order.phase,
            "version move ordered"
        );
        Self {
            plan: Plan::new(order.window, exposure),
            order,
            start: now,
            progress: Progress::default(),
            merged: MergedReports::default(),
            decided: None,
            switched: false,
            published_at: None,
            published_bad: 0,
            evaluated_at: None,
            logged_stage: Stage::Trial,
        }
    }

    pub(super) fn set_order(&mut self, order: &Order) {
        self.order = order.clone();
        match order.phase {
            Some(phase @ (Phase::Done | Phase::TakenBack)) if self.decided != Some(phase) => {
                self.log("version move ended", phase);
                self.decided = Some(phase);
            }
            _ => {}
        }
    }

    pub(super) fn stage(&self, now: Timestamp) -> Stage {
        self.plan.stage(now.since(self.start))
    }

    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.stage(now) == Stage::Switch
    }

    /// Returns whether the evidence must be evaluated now. An instance that sends nothing to the
    /// service needs it only to decide at the end.
    pub(super) fn take_evaluation(&mut self, own: &Report, now: Timestamp) -> bool {
        let stage = self.stage(now);
        let needed = !own.routes.is_empty() || stage >= Stage::Verdict;
        let due = self
            .evaluated_at
            .is_none_or(|at| now.since(at) >= EVALUATION_PERIOD);
        let evaluate = needed && (due || stage > Stage::Trial);
        if evaluate {
            self.evaluated_at = Some(now);
        }
        evaluate
    }

    /// Moves the start back if another instance has known the order for the time `elapsed`.
    pub(super) fn adjust_start(&mut self, now: Timestamp, elapsed: Duration) {
        let start = Timestamp::ZERO + now.since(Timestamp::ZERO + elapsed);
        self.start = self.start.min(start);
    }

    pub(super) fn note_stage(&mut self, elapsed: Duration) {
        let stage = self.plan.stage(elapsed);
        if stage == self.logged_stage {
            return;
        }
        self.logged_stage = stage;
        tracing::info!(
            service = %self.order.service,
            version = %self.order.version,
            ?stage,
            elapsed_ms = time::millis(elapsed),
            rate = self.merged.rate(),
            suspect = self.progress.suspect,
            load_test = ?self.progress.load,
            "stage of a version move"
        );
    }

    /// Returns why the version must be taken back; `None` if there is no reason yet.
    pub(super) fn fault(&self, elapsed: Duration, informed: bool) -> Option<String> {
        let stage = self.plan.stage(elapsed);
        let load = &self.progress.load;
        let unproven = elapsed + UNPROVEN_MARGIN >= self.plan.window() && !self.switched;
        match &self.progress.alarm {
            Some(alarm) => Some(alarm.to_string()),
            // The old version gets hardly any requests at full load that a common cause could show in.
            None if stage == Stage::Switch && informed && self.progress.suspect => {
                Some("the new version is worse at full load".to_owned())
            }
            None if stage == Stage::Switch
                && informed
                && !self.switched
                && load.is_conclusive() =>
            {
                Some("the load test doesn't prove the new version".to_owned())
            }
            None if unproven && informed => {
                Some("proof at full load is missing at the end of the window".to_owned())
            }
            None => None,
        }
    }

    /// Sends all requests to a version that the load test has proven here or on another instance.
    pub(super) fn switch(&mut self, elapsed: Duration) {
        let proven = !self.progress.suspect && self.progress.load.is_accepted();
        let due = self.plan.stage(elapsed) == Stage::Switch && !self.switched;
        if due && (proven || self.merged.is_done()) {
            self.switched = true;
            tracing::info!(
                service = %self.order.service,
                version = %self.order.version,
                elapsed_ms = time::millis(elapsed),
                load_test = ?self.progress.load,
                evidence = ?self.merged.summary(),
                "all requests go to the new version"
            );
        }
    }

    /// Decides at the end of the window, or when another instance has decided.
    pub(super) fn decide(&mut self, verdict: Option<&status::Verdict>, elapsed: Duration) {
        if let Some(verdict) = verdict {
            self.decided = Some(Phase::TakenBack);
            self.switched = false;
            tracing::warn!(
                service = %self.order.service,
                version = %self.order.version,
                elapsed_ms = time::millis(elapsed),
                reason = verdict.reason,
                load_test = ?self.progress.load,
                evidence = ?self.merged.summary(),
                "version move taken back"
            );
            return;
        }
        if self.switched && elapsed + DONE_MARGIN >= self.plan.window() {
            self.decided = Some(Phase::Done);
            self.log("version move complete", Phase::Done);
        }
    }

    fn log(&self, message: &str, phase: Phase) {
        tracing::info!(
            service = %self.order.service,
            version = %self.order.version,
            ?phase,
            "{message}"
        );
    }

    /// Returns the step and the share of requests that go to the new version, in thousandths.
    pub(super) fn share(&self, now: Timestamp) -> (Step, u64) {
        let stage = self.stage(now);
        match self.decided {
            Some(Phase::TakenBack) => (Step::None, 0),
            Some(Phase::Done) => (Step::Full, ALL),
            _ if self.switched => (Step::Full, ALL),
            _ if stage == Stage::LoadTest && !self.progress.suspect => (Step::Full, ALL),
            _ => (stage.step(), self.plan.trial_share()),
        }
    }

    /// Returns the order with the phase that its status must state; `None` if it states that.
    pub(super) fn due_status(&self) -> Option<Order> {
        let phase = Some(self.decided.unwrap_or(Phase::Running));
        (self.order.phase != phase).then(|| Order {
            phase,
            ..self.order.clone()
        })
    }
}
