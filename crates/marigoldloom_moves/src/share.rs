//! The new version's share of the traffic.
//!
//! The share follows from the move's record, the wall clock, the merged evidence and the warm
//! capacity, so instances agree without a leader.

use std::collections::BTreeMap;
use std::time::Duration;

use marigoldloom_records::version_move;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::evidence;
use crate::sequential;

/// Minimum number of requests to the new version that count as evidence on a route.
pub const MIN_EVIDENCE_REQUESTS: u64 = 20;

/// Minimum number of requests to both versions from which a route needs proof.
pub const MIN_ROUTE_REQUESTS: u64 = 100;

/// Minimum time between completion and deadline. Every instance must learn of the completion before
/// it would take the move back for missing proof.
pub const DECISION_MARGIN: Duration = Duration::from_secs(5);

/// Part of the move's time that must have passed before the move can be complete, in per cent.
const DONE_PERCENT: u64 = 80;

/// A step of a move: the new version's share of the traffic. Evidence is counted by step, because a
/// fault can depend on the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The new version gets no traffic.
    #[default]
    None,
    /// At most 1%, while there is no evidence.
    One,
    /// At most 5%, until the new version is proven.
    Five,
    /// 25%, the first step after the proof.
    Quarter,
    /// 50%, the second step after the proof.
    Half,
    /// 98%; the rest is a control group.
    ///
    /// The control group shows whether the old version is slow or failing as well.
    Full,
}

impl Step {
    /// Every step, smallest first.
    pub const ALL: [Self; 6] = [
        Self::None,
        Self::One,
        Self::Five,
        Self::Quarter,
        Self::Half,
        Self::Full,
    ];

    /// Returns the new version's share in thousandths.
    ///
    /// The first two steps stay below 1% and 5%, because the number of requests that are chosen
    /// by their hash varies around its mean.
    pub const fn per_mille(self) -> u64 {
        match self {
            Self::None => 0,
            Self::One => 8,
            Self::Five => 40,
            Self::Quarter => 250,
            Self::Half => 500,
            Self::Full => 980,
        }
    }

    /// Returns the part of the move's time that must have passed before the step, in per cent.
    const fn min_elapsed_percent(self) -> u64 {
        match self {
            Self::None | Self::One | Self::Five => 0,
            Self::Quarter => 20,
            Self::Half => 40,
            Self::Full => 60,
        }
    }

    /// Returns the step whose proof uses evidence from this step. The steps up to 5% share a proof.
    fn proof_step(self) -> Self {
        self.max(Self::Five)
    }

    /// Returns the next greater step.
    pub fn next(self) -> Option<Self> {
        Self::ALL.into_iter().find(|step| *step > self)
    }
}

/// Proofs of the new version on one route.
#[derive(Clone, Debug, Default)]
pub struct RouteProofs {
    /// Proof from the evidence of all steps.
    overall: sequential::Proof,
    steps: BTreeMap<Step, sequential::Proof>,
}

/// Proofs of the new version by route, for the routes with evidence.
pub type Proofs = BTreeMap<String, RouteProofs>;

/// What the share depends on, apart from the proofs.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The record of the move.
    pub record: &'a version_move::VersionMove,
    /// The current wall-clock time.
    pub now: time::WallTime,
    /// Evidence of all instances.
    pub evidence: &'a evidence::MergedReports,
    /// Share of the service's traffic that the new version's warm upstreams can serve, in
    /// thousandths.
    pub warm_capacity: u64,
}

impl RouteProofs {
    /// Adds the requests since the last update. `baseline` must already include them.
    pub fn add(
        &mut self,
        increase: &BTreeMap<Step, evidence::CounterPair>,
        baseline: &sequential::Baseline,
    ) {
        let mut total = evidence::CounterPair::default();
        for (step, pair) in increase {
            let proof = self.steps.entry(step.proof_step()).or_default();
            proof.add(pair, baseline);
            total = total + *pair;
        }
        self.overall.add(&total, baseline);
    }

    /// Returns the proof at a step; `None` if the route had too little traffic there to need one.
    fn proof_with_traffic(&self, step: Step) -> Option<&sequential::Proof> {
        let proof = self.steps.get(&step);
        proof.filter(|proof| proof.requests() >= MIN_ROUTE_REQUESTS)
    }
}

/// Returns a route with enough traffic to need proof on which the new version isn't proven.
pub fn unproven_route(proofs: &Proofs) -> Option<&str> {
    let mut routes = proofs.iter();
    let is_unproven =
        |p: &RouteProofs| p.overall.requests() >= MIN_ROUTE_REQUESTS && !p.overall.is_accepted();
    let found = routes.find(|(_, proofs)| is_unproven(proofs));
    found.map(|(route, _)| route.as_str())
}

/// Returns whether the new version is proven on any route.
pub fn has_proven_route(proofs: &Proofs) -> bool {
    proofs.values().any(|proofs| proofs.overall.is_accepted())
}

/// Returns whether a route needs proof at `step` and all routes that do are proven there.
fn is_proven_at(proofs: &Proofs, step: Step) -> bool {
    let mut with_traffic = proofs
        .values()
        .filter_map(|p| p.proof_with_traffic(step))
        .peekable();
    with_traffic.peek().is_some() && with_traffic.all(sequential::Proof::is_accepted)
}

impl Inputs<'_> {
    /// Returns the greatest step that clock, evidence and capacity allow.
    pub fn allowed_step(&self, proofs: &Proofs) -> Step {
        let steps = Step::ALL.into_iter().skip(1);
        let allowed = steps.take_while(|&step| self.is_allowed(step, proofs));
        allowed.last().unwrap_or_default()
    }

    /// Returns whether a move that has reached `step` is complete: in time and proven at every
    /// step.
    pub fn is_complete(&self, step: Step, proofs: &Proofs) -> bool {
        step == Step::Full
            && self.has_elapsed(DONE_PERCENT)
            && self.now + DECISION_MARGIN < self.record.deadline_ms
            && is_proven_at(proofs, Step::Full)
            && unproven_route(proofs).is_none()
    }

    fn is_allowed(&self, step: Step, proofs: &Proofs) -> bool {
        let capacity = step.per_mille() <= self.warm_capacity;
        let evidence = match step {
            Step::None | Step::One => true,
            Step::Five => self.has_evidence(),
            Step::Quarter => is_proven_at(proofs, Step::Five),
            Step::Half => is_proven_at(proofs, Step::Quarter),
            Step::Full => is_proven_at(proofs, Step::Half),
        };
        capacity && evidence && self.has_elapsed(step.min_elapsed_percent())
    }

    fn has_elapsed(&self, percent: u64) -> bool {
        let record = self.record;
        let window = record.deadline_ms.0.saturating_sub(record.start_ms.0);
        self.now.0 >= record.start_ms.0 + window / 100 * percent
    }

    fn has_evidence(&self) -> bool {
        let mut routes = self.evidence.routes().into_iter();
        routes.any(|route| has_route_evidence(self.evidence, route))
    }
}

/// Returns the step of one route: at most 1% without evidence and 5% without proof on this route.
pub fn route_step(
    step: Step,
    evidence: &evidence::MergedReports,
    proofs: &Proofs,
    route: &str,
) -> Step {
    let proven = proofs.get(route).is_some_and(|p| p.overall.is_accepted());
    match () {
        () if !has_route_evidence(evidence, route) => step.min(Step::One),
        () if !proven => step.min(Step::Five),
        () => step,
    }
}

fn has_route_evidence(evidence: &evidence::MergedReports, route: &str) -> bool {
    evidence.total(route, &Step::ALL).new.requests >= MIN_EVIDENCE_REQUESTS
}

/// Returns whether a request goes to the new version at `step`.
///
/// If it does, it also does at every greater step. All instances decide alike.
pub fn uses_new_version(name: &str, request: u64, step: Step) -> bool {
    hash(name, request) % 1_000 < step.per_mille()
}

/// Hash by which the move `name` chooses the version of a request.
pub(crate) fn hash(name: &str, request: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), request)
}
