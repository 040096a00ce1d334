//! Progress of one move, as this instance evaluates it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use marigoldloom_records::version_move;
use marigoldloom_runtime::time;

use crate::evidence::{CounterPair, MergedReports};
use crate::sequential::{Baseline, Cusum, Fault, LoadProof, LogRatios};
use crate::share::{self, Inputs, Step};

/// Minimum time at a step above 1%, so that a fault that depends on load can show.
const DWELL_TIME: Duration = Duration::from_secs(10);

/// Maximum step of a suspect version.
///
/// With a small control group it takes too long to tell whether the old version has become worse,
/// too; at half of the traffic each, a second is enough.
const SUSPECT_STEP: Step = Step::Half;

/// A fault that the evidence shows in the new version.
#[derive(Clone, Debug)]
pub(crate) struct Alarm {
    /// The route that shows the fault; `None` if only all routes together do.
    pub(crate) route: Option<String>,
    pub(crate) fault: Fault,
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            Some(route) => write!(f, "{} on route {route:?}", self.fault),
            None => write!(f, "{} over all routes", self.fault),
        }
    }
}

/// Progress of one move.
#[derive(Default)]
pub(crate) struct Progress {
    /// The greatest step reached so far.
    reached: Step,
    /// Whether the new version is worse than the old one was recently, whatever the cause.
    pub(crate) suspect: bool,
    /// Whether this or another instance found the move complete.
    pub(crate) done: bool,
    /// Whether evidence was evaluated at least once.
    pub(crate) evaluated: bool,
    /// The first alarm.
    pub(crate) alarm: Option<Alarm>,
    /// The phase that the last started task writes. `Running` stands for the task that ends an
    /// overdue move without evidence.
    pub(crate) recording: Option<version_move::Phase>,
    /// Whether the decision to take the move back is known here.
    pub(crate) taken_back: bool,
    /// When the step in `reached` was reached.
    entered_at: time::Timestamp,
    routes: BTreeMap<String, RouteProgress>,
    pub(crate) proofs: share::Proofs,
    /// Evidence of the time in which the new version gets all requests.
    pub(crate) load: LoadProof,
    /// Evidence summed over all routes, each compared with its own baseline.
    pooled: Cusum,
}

#[derive(Default)]
struct RouteProgress {
    baseline: Baseline,
    cusum: Cusum,
    /// Counters at the last update.
    totals: BTreeMap<Step, CounterPair>,
    /// The greatest step of this route so far.
    step: Step,
}

impl Progress {
    /// Evaluates the evidence. Returns whether the step has changed.
    pub(crate) fn update(&mut self, inputs: &Inputs<'_>, now: time::Timestamp) -> bool {
        let before = self.step();
        self.evaluated = true;
        self.add_evidence(inputs.evidence);
        if !self.suspect {
            self.advance(inputs.allowed_step(&self.proofs), now);
        }
        for (route, progress) in &mut self.routes {
            let step = share::route_step(self.reached, inputs.evidence, &self.proofs, route);
            progress.step = progress.step.max(step);
        }
        let complete = !self.suspect && inputs.is_complete(self.reached, &self.proofs);
        self.done |= inputs.evidence.is_done() || complete;
        self.step() != before
    }

    /// Returns the current step.
    pub(crate) fn step(&self) -> Step {
        self.limit_suspect(self.reached)
    }

    /// Returns the steps of the routes with evidence.
    pub(crate) fn route_steps(&self) -> BTreeMap<String, Step> {
        let routes = self.routes.iter();
        routes
            .map(|(route, progress)| (route.clone(), self.limit_suspect(progress.step)))
            .collect()
    }

    fn limit_suspect(&self, step: Step) -> Step {
        match self.suspect {
            true => step.min(SUSPECT_STEP),
            false => step,
        }
    }

    /// Adds what was counted since the last update.
    pub(crate) fn add_evidence(&mut self, evidence: &MergedReports) {
        let mut pooled = LogRatios::default();
        let mut increase = BTreeMap::new();
        self.load.clear_pending();
        for route in evidence.routes() {
            let progress = self.routes.entry(route.to_owned()).or_default();
            let update = progress.add_totals(evidence.totals_by_step(route));
            let proofs = self.proofs.entry(route.to_owned()).or_default();
            proofs.add(&update.increase, &progress.baseline);
            if let Some(pair) = update.increase.get(&Step::Full) {
                self.load.add(&pair.new, &progress.baseline);
            }
            let total = evidence.total(route, &Step::ALL);
            self.load.add_pending(&total.new, &progress.baseline);
            pooled = pooled + update.ratios;
            add_pairs(&mut increase, &update.increase);
            let fault = progress.cusum.alarm();
            self.raise_alarm(Some(route), fault);
        }
        self.pooled.add(pooled, &increase);
        let fault = self.pooled.alarm();
        self.raise_alarm(None, fault);
        let mut routes = self.routes.values();
        self.suspect =
            self.pooled.is_suspect() || routes.any(|progress| progress.cusum.is_suspect());
    }

    /// Keeps the first alarm.
    fn raise_alarm(&mut self, route: Option<&str>, fault: Option<Fault>) {
        if let (None, Some(fault)) = (&self.alarm, fault) {
            let route = route.map(str::to_owned);
            self.alarm = Some(Alarm { route, fault });
        }
    }

    /// Goes one step up if that is allowed and the current step was held for [`DWELL_TIME`].
    fn advance(&mut self, allowed: Step, now: time::Timestamp) {
        let may_advance = self.reached <= Step::One || now.since(self.entered_at) >= DWELL_TIME;
        match self.reached.next() {
            Some(next) if next <= allowed && may_advance => {
                self.reached = next;
                self.entered_at = now;
            }
            _ => {}
        }
    }
}

/// What one update adds to a route.
struct Update {
    ratios: LogRatios,
    increase: BTreeMap<Step, CounterPair>,
}

impl RouteProgress {
    fn add_totals(&mut self, totals: BTreeMap<Step, CounterPair>) -> Update {
        let earlier = |step| self.totals.get(step).copied().unwrap_or_default();
        let increases = totals
            .iter()
            .map(|(s, pair)| (*s, pair.increase_since(earlier(s))));
        let increase: BTreeMap<_, _> = increases.collect();
        self.totals = totals;
        let total = increase
            .values()
            .fold(CounterPair::default(), |sum, c| sum + *c);
        self.baseline.update(&total.old);
        let ratios = self.baseline.compare(&total.new);
        self.cusum.add(ratios, &increase);
        Update { ratios, increase }
    }
}

fn add_pairs(sums: &mut BTreeMap<Step, CounterPair>, pairs: &BTreeMap<Step, CounterPair>) {
    for (&step, &pair) in pairs {
        let sum = sums.entry(step).or_default();
        *sum = *sum + pair;
    }
}
