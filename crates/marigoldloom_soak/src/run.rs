//! One run: starts a deployment and its callers, executes a plan, and checks the guarantees
//! throughout.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use futures::future::{Either, select};
use serde::Serialize;
use signal_hook::consts::signal;
use signal_hook::flag;

use crate::balancer::{self, Balancer};
use crate::callers::Callers;
use crate::checks;
use crate::deployment::{self, DOMAINS, Deployment};
use crate::guarantees::Violation;
use crate::history::{Observations, Outcome};
use crate::plan::{self, SETTLE_TIME, Sizes};
use crate::{replicas, steps};

/// Time between two evaluations of the checks.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Time after the last step in which late answers and executions are still observed.
const LATE_EXECUTION_WAIT: Duration = Duration::from_secs(6);

/// Time after the last request in which pending requests may end.
const FINAL_ANSWER_WAIT: Duration = Duration::from_secs(4);

/// Text in the log lines of warnings.
const WARNING: &str = "\"WARN\"";

/// Number of log lines of warnings in a trace, for each instance.
const WARNING_LINES: usize = 3;

/// Longest time of a run from its first step: several times what a plan takes.
const RUN_TIMEOUT: Duration = Duration::from_secs(300);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the `marigoldloom-edge` program.
    pub program: PathBuf,
    /// Directory to which a run with violations saves its report and the instances' files. `None`
    /// saves nothing.
    pub logs: Option<PathBuf>,
    /// Number of instances of the query tier.
    pub instances: usize,
    /// Length of the fault phase.
    pub fault_phase: Duration,
    /// Mean requests per second of the callers.
    pub rate: f64,
}

impl Settings {
    /// Sizes for which the plan is drawn.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            instances: self.instances,
            replicas: replicas::count(),
            domains: DOMAINS.len(),
            fault_phase: self.fault_phase,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Violations that the first failing check found. Empty if all guarantees held.
    pub violations: Vec<Violation>,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Number of executions on replicas.
    #[serde(rename = "runs")]
    pub executions: usize,
    /// Disruptions, and the observations and log lines of the request that shows the first
    /// violation. Empty without violations.
    pub trace: Vec<String>,
}

/// Executes the run with `seed`. Stops at the first evaluation that finds violations.
///
/// # Errors
///
/// Returns an I/O error if the deployment can't be set up, a process can't be restarted, or the
/// report can't be saved, and `TimedOut` if the run takes longer than `RUN_TIMEOUT`.
pub async fn execute(settings: &Settings, seed: u64) -> io::Result<Report> {
    let directory = TemporaryDirectory(deployment::run_directory(seed));
    fs::create_dir_all(&directory.0)?;
    let report = execute_in(settings, seed, &directory.0).await?;
    if let Some(logs) = settings
        .logs
        .as_ref()
        .filter(|_| !report.violations.is_empty())
    {
        let target = logs.join(format!("seed-{seed}"));
        fs::create_dir_all(&target)?;
        for entry in fs::read_dir(&directory.0)? {
            let entry = entry?;
            fs::copy(entry.path(), target.join(entry.file_name()))?;
        }
        fs::write(
            target.join("report.json"),
            serde_json::to_vec_pretty(&report)?,
        )?;
    }
    Ok(report)
}

/// Directory for the files of a run. Removed on drop, so also if the run fails or is interrupted.
struct TemporaryDirectory(PathBuf);

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        // On failure the files stay below the system's directory for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Kills the instances on drop, so also if the run fails or is interrupted. Dropping the deployment
/// itself isn't enough, because tasks of callers may hold references to it for some time longer.
struct CloseOnDrop(Arc<Deployment>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

async fn execute_in(settings: &Settings, seed: u64, directory: &Path) -> io::Result<Report> {
    let sizes = settings.sizes();
    let plan = plan::generate(seed, &sizes);
    // A handled signal has its default action in new processes; an ignored one would stay ignored.
    flag::register(signal::SIGHUP, Arc::default())?;
    let deployment = Deployment::start(&settings.program, directory, plan.hang_ups).await?;
    let deployment = Arc::new(deployment);
    let _guard = CloseOnDrop(Arc::clone(&deployment));
    let restarts = task::spawn(steps::restart_exited(Arc::clone(&deployment)));
    for member in &deployment.members {
        balancer::wait_until_ready(member).await;
    }
    let balancer = Balancer::default();
    let callers = Callers::new(Arc::clone(&deployment), balancer.clone());
    let background = [
        task::spawn(balancer.probe(Arc::clone(&deployment))),
        task::spawn(callers.clone().run(seed, settings.rate)),
        task::spawn(deployment.history.clone().record_stalls()),
    ];
    let steps = async {
        steps::execute(&deployment, &callers, plan.fault_steps).await?;
        let returned_at = deployment.history.now() + plan::RETURN_TIME;
        deployment.history.observations().returned_at = Some(returned_at);
        steps::execute(&deployment, &callers, vec![plan.return_step]).await?;
        task::sleep(SETTLE_TIME).await;
        let now = deployment.history.now();
        deployment.history.observations().maintenance_start = Some(now);
        steps::execute(&deployment, &callers, plan.maintenance_steps).await?;
        task::sleep(LATE_EXECUTION_WAIT).await;
        Ok::<_, io::Error>(())
    };
    let found = {
        let steps = future::timeout(RUN_TIMEOUT, steps);
        let first = wait_for_violations(&deployment);
        match select(pin::pin!(steps), pin::pin!(first)).await {
            Either::Left((ended, _)) => {
                ended.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
                None
            }
            Either::Right((found, _)) => Some(found),
        }
    };
    for work in background {
        work.cancel().await;
    }
    if found.is_none() {
        task::sleep(FINAL_ANSWER_WAIT).await;
    }
    restarts.cancel().await;
    let observations = deployment.history.observations().clone();
    let violations = found.unwrap_or_else(|| checks::violations(&observations));
    let trace = match violations.first() {
        Some(first) => trace(&deployment, &observations, first)?,
        None => Vec::new(),
    };
    let ended = observations
        .requests
        .values()
        .filter_map(|r| r.end.as_ref());
    let served = ended.filter(|(_, outcome)| {
        matches!(outcome, Outcome::Answered { response, .. } if response.status() == 200)
    });
    Ok(Report {
        seed,
        requests: observations.requests.len(),
        served: served.count(),
        executions: observations.executions.len(),
        violations,
        trace,
    })
}

/// Evaluates the checks periodically and returns the first violations found.
async fn wait_for_violations(deployment: &Deployment) -> Vec<Violation> {
    loop {
        task::sleep(CHECK_PERIOD).await;
        let observations = deployment.history.observations().clone();
        let found = checks::violations(&observations);
        if !found.is_empty() {
            return found;
        }
    }
}

/// Collects the disruptions, the stalls, the steps, the latest warnings, and the observations and log
/// lines of the request that shows `violation`.
fn trace(
    deployment: &Deployment,
    observations: &Observations,
    violation: &Violation,
) -> io::Result<Vec<String>> {
    let mut trace = vec![
        format!("disruptions: {:?}", observations.disruptions),
        format!("stalls of the soak: {:?}", observations.stalls),
    ];
    let steps = observations.steps.iter();
    trace.extend(steps.map(|(at, step)| format!("step at {at:?}: {step}")));
    for member in &deployment.members {
        let warnings = member.instance().log_lines(WARNING)?;
        trace.extend(warnings.into_iter().rev().take(WARNING_LINES));
    }
    let Some(id) = &violation.request else {
        return Ok(trace);
    };
    trace.push(format!("request: {:?}", observations.requests.get(id)));
    let executions = observations.executions.iter().filter(|r| r.id == *id);
    trace.extend(executions.map(|execution| format!("execution: {execution:?}")));
    for member in &deployment.members {
        trace.extend(member.instance().log_lines(id)?);
    }
    Ok(trace)
}
