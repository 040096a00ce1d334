//! Executes the steps of a plan and restarts instances that exit unexpectedly.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures::FutureExt;
use futures::future;
use marigoldloom_standin::users::documents::{EVACUATIONS, REPLICAS, ROLLOUTS};
use marigoldloom_standin::users::store::Mode;
use rustix::process::Signal;

use crate::balancer;
use crate::callers::Callers;
use crate::deployment::{Deployment, FETCH_SERVICE, GRACE_S, JOB_SERVICE, shards};
use crate::history::{DrainTarget, RequestKind, Scope};
use crate::plan::starts::Disturbance;
use crate::plan::{EntryKind, Link, Outage, Step, TimedStep};
use crate::process::{self, Instance};
use crate::proxy::Condition;
use crate::replicas::Stutter;

/// Time between two checks whether a process has exited.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Time from the exit of a stopped process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time after the grace period of a stop until a process that still runs is killed.
const STOP_MARGIN: Duration = Duration::from_millis(200);

/// Names of entries with random bytes. Most need escaping in the target of a list's next page.
const ODD_NAMES: [&str; 8] = ["odd", "i&x", "i+x", "i#x", "i%41", "i x", "", "i-ä"];

/// Executes the steps of one phase at their times and waits until all of them are over.
///
/// # Errors
///
/// Returns an I/O error if a process can't be signalled or a process or replica can't be started.
pub async fn execute(
    deployment: &Deployment,
    callers: &Callers,
    steps: Vec<TimedStep>,
) -> io::Result<()> {
    let steps = steps
        .into_iter()
        .map(|TimedStep { at_ms, step }| async move {
            task::sleep(Duration::from_millis(at_ms)).await;
            let begun = (deployment.history.now(), format!("{step:?}"));
            deployment.history.observations().steps.push(begun);
            execute_step(deployment, callers, step).await
        });
    future::try_join_all(steps).await?;
    Ok(())
}

async fn execute_step(deployment: &Deployment, callers: &Callers, step: Step) -> io::Result<()> {
    match step {
        Step::Kill { instances, down_ms } => {
            let down = Duration::from_millis(down_ms);
            let kills = instances.into_iter().map(|i| kill(deployment, i, down));
            future::try_join_all(kills).await?;
            Ok(())
        }
        Step::Stop(instance) => stop(deployment, instance).await,
        Step::Pause { instance, time_ms } => pause(deployment, instance, time_ms).await,
        Step::HangUp(instance) => deployment.members[instance].instance().signal(Signal::HUP),
        Step::Link {
            link,
            condition,
            time_ms,
        } => {
            disrupt_link(deployment, link, condition, time_ms).await;
            Ok(())
        }
        Step::Reset(link) => {
            disrupt_link_briefly(deployment, link, || deployment.proxy(link).reset());
            Ok(())
        }
        Step::Mute(link) => {
            disrupt_link_briefly(deployment, link, || deployment.proxy(link).mute());
            Ok(())
        }
        Step::Outage { outage, time_ms } => {
            fail_store(deployment, outage, time_ms).await;
            Ok(())
        }
        Step::Forget => {
            let disruption = deployment.history.begin_disruption(Scope::Store);
            deployment.store.compact();
            deployment.history.end_disruption(disruption);
            Ok(())
        }
        Step::Restore {
            away_ms,
            age_ms,
            again_ms,
            kill,
        } => {
            let [away, age, again] = [away_ms, age_ms, again_ms].map(Duration::from_millis);
            let restored = restore_store(deployment, away, age, again);
            match kill {
                true => {
                    let all = (0..deployment.members.len()).map(|i| kill_briefly(deployment, i));
                    future::try_join(future::try_join_all(all), restored.map(Ok)).await?;
                }
                false => restored.await,
            }
            Ok(())
        }
        Step::Crash { replicas, down_ms } => {
            let down = Duration::from_millis(down_ms);
            let crashes = replicas
                .into_iter()
                .map(|r| deployment.replicas.crash(r, down));
            future::try_join_all(crashes).await?;
            Ok(())
        }
        Step::Behave {
            replicas,
            behaviour,
            time_ms,
        } => {
            let time = Duration::from_millis(time_ms);
            let faults = replicas.into_iter();
            let faults = faults.map(|r| deployment.replicas.misbehave(r, behaviour, time));
            future::join_all(faults).await;
            Ok(())
        }
        Step::Move {
            shard,
            fault,
            window_s,
        } => {
            let service = match shard {
                true => shards(0).swap_remove(0),
                false => FETCH_SERVICE.to_owned(),
            };
            let window = Duration::from_secs(window_s);
            let replicas = &deployment.replicas;
            replicas.move_version(&service, fault, window).await
        }
        Step::CrashReplicas {
            query,
            count,
            gap_ms,
        } => {
            let gap = Duration::from_millis(gap_ms);
            let (kind, name) = match query {
                true => (RequestKind::Query, "true"),
                false => (RequestKind::Fetch, "false"),
            };
            callers.crash_replicas(kind, name, count, gap).await;
            Ok(())
        }
        Step::CrashSplit { count, gap_ms } => {
            let gap = Duration::from_millis(gap_ms);
            callers
                .crash_replicas(RequestKind::Split, "split", count, gap)
                .await;
            Ok(())
        }
        Step::Stutter {
            replicas,
            copy,
            echo,
            time_ms,
        } => {
            let time = Duration::from_millis(time_ms);
            let stutter = Stutter { copy, echo };
            let faults = replicas.into_iter();
            let faults = faults.map(|r| deployment.replicas.stutter(r, stutter, time));
            future::join_all(faults).await;
            Ok(())
        }
        Step::LeaveLoaded {
            job,
            slow,
            entry_ms,
            requests,
            gap_ms,
        } => {
            let (kind, service) = loaded(job);
            let gap = Duration::from_millis(gap_ms);
            let burst = callers.burst(kind, "l", requests, gap);
            let entry = Duration::from_millis(entry_ms);
            let leave = deployment.replicas.leave(service, slow, entry);
            future::join(burst, leave).await.1
        }
        Step::Decline {
            job,
            replicas,
            pause_s,
            requests,
            gap_ms,
            time_ms,
        } => {
            let (kind, service) = loaded(job);
            let gap = Duration::from_millis(gap_ms);
            let burst = callers.burst(kind, "d", requests, gap);
            let (pause, time) = (Duration::from_secs(pause_s), Duration::from_millis(time_ms));
            let decline = deployment.replicas.decline(service, replicas, pause, time);
            future::join(burst, decline).await;
            Ok(())
        }
        Step::Chill { domain, time_ms } => {
            let time = Duration::from_millis(time_ms);
            deployment.replicas.chill(domain, time).await;
            Ok(())
        }
        Step::OddEntry {
            kind,
            field,
            bytes,
            time_ms,
        } => {
            write_odd_entry(deployment, kind, field, &bytes, time_ms).await;
            Ok(())
        }
        Step::Leave(replica) => deployment.replicas.replace(replica).await,
        Step::Evacuate { domain, time_ms } => {
            evacuate_domain(deployment, domain, time_ms).await;
            Ok(())
        }
        Step::Disturb {
            instance,
            disturbance,
            restart,
            time_us,
        } => {
            let time = Duration::from_micros(time_us);
            disturb(deployment, instance, disturbance, restart, time).await
        }
        Step::BreakEntry {
            kind,
            name,
            content,
            time_ms,
        } => {
            deployment.store.put_raw(kind, name, content);
            if let Some(time_ms) = time_ms {
                task::sleep(Duration::from_millis(time_ms)).await;
                deployment.store.remove(kind, name);
            }
            Ok(())
        }
        Step::Configure {
            count,
            gap_ms,
            reshard,
        } => {
            for number in 0..count {
                deployment.configure(reshard && number == 0);
                task::sleep(Duration::from_millis(gap_ms)).await;
            }
            Ok(())
        }
    }
}

/// Kind of the requests that load the job service or the fetch service, and the service.
const fn loaded(job: bool) -> (RequestKind, &'static str) {
    match job {
        true => (RequestKind::Job, JOB_SERVICE),
        false => (RequestKind::Fetch, FETCH_SERVICE),
    }
}

/// Writes an entry with `bytes` as a string, as one of its fields or as all of it, and removes it.
async fn write_odd_entry(
    deployment: &Deployment,
    kind: EntryKind,
    field: bool,
    bytes: &[u8],
    time_ms: u64,
) {
    let kind = match kind {
        EntryKind::Replica => REPLICAS,
        EntryKind::Evacuation => EVACUATIONS,
        EntryKind::Rollout => ROLLOUTS,
    };
    let (before, after) = match field {
        true => ("{\"Service\":\"", "\"}"),
        false => ("\"", "\""),
    };
    let content = [before.as_bytes(), bytes, after.as_bytes()].concat();
    let index = bytes.first().map_or(0, |byte| usize::from(*byte));
    let name = ODD_NAMES[index % ODD_NAMES.len()];
    deployment.store.put_raw(kind, name, content);
    task::sleep(Duration::from_millis(time_ms)).await;
    deployment.store.remove(kind, name);
}

async fn kill(deployment: &Deployment, instance: usize, down: Duration) -> io::Result<()> {
    let disruption = deployment
        .history
        .begin_disruption(Scope::Instance(instance));
    deployment.members[instance].instance().kill()?;
    task::sleep(down).await;
    start(deployment, instance, disruption).await
}

/// Kills an instance and starts it again at once.
async fn kill_briefly(deployment: &Deployment, instance: usize) -> io::Result<()> {
    kill(deployment, instance, RESTART_DELAY).await
}

/// Starts an instance, waits until it is ready and ends its disruption.
async fn start(deployment: &Deployment, instance: usize, disruption: usize) -> io::Result<()> {
    deployment.members[instance].instance().start()?;
    balancer::wait_until_ready(&deployment.members[instance]).await;
    deployment.history.end_disruption(disruption);
    Ok(())
}

/// Disturbs an instance and sends it SIGHUP in the middle of `time`.
async fn disturb(
    deployment: &Deployment,
    instance: usize,
    disturbance: Disturbance,
    restart: bool,
    time: Duration,
) -> io::Result<()> {
    let (history, member) = (&deployment.history, &deployment.members[instance]);
    let disruption = restart.then(|| history.begin_disruption(Scope::Instance(instance)));
    let listener = {
        let mut instance = member.instance();
        if restart {
            instance.kill()?;
        }
        instance.write_settings(Some(disturbance))?;
        let listener = match disturbance {
            Disturbance::AddressInUse(index) => Some(TcpListener::bind(member.addresses[index])?),
            _ => None,
        };
        if restart {
            instance.start()?;
        }
        listener
    };
    let started = member.instance().pid().filter(|_| restart);
    if let Some(pid) = started {
        task::spawn_blocking(move || process::wait_for_program(pid)).await;
    }
    task::sleep(time / 2).await;
    member.instance().signal(Signal::HUP)?;
    task::sleep(time / 2).await;
    drop(listener);
    match disturbance {
        Disturbance::Stop => stop(deployment, instance).await?,
        _ => member.instance().write_settings(None)?,
    }
    match disruption {
        Some(disruption) => start(deployment, instance, disruption).await,
        None => Ok(()),
    }
}

/// Stops an instance with SIGTERM, kills it if it exceeds its grace period, and restarts it.
async fn stop(deployment: &Deployment, instance: usize) -> io::Result<()> {
    let member = &deployment.members[instance];
    let disruption = deployment
        .history
        .begin_disruption(Scope::Instance(instance));
    let process = member.instance().process_number();
    member.instance().signal(Signal::TERM)?;
    let deadline = Instant::now() + Duration::from_secs(GRACE_S) + STOP_MARGIN;
    let failure = loop {
        let exited = poll_stop(&mut member.instance(), process, deadline)?;
        match exited {
            Some(failure) => break failure,
            None => task::sleep(EXIT_POLL_PERIOD).await,
        }
    };
    if let Some(failure) = failure {
        record_exit(deployment, instance, &format!("{failure}, after a stop"));
    }
    task::sleep(RESTART_DELAY).await;
    start(deployment, instance, disruption).await
}

/// Returns `None` while the process with the number `process` runs, and kills it at `deadline`.
/// The inner value describes its exit, unless it has exited with code 0 or was killed by the soak.
fn poll_stop(
    instance: &mut Instance,
    process: u32,
    deadline: Instant,
) -> io::Result<Option<Option<String>>> {
    // Another step may have killed the process and started a new one.
    if instance.process_number() != process || !instance.is_running() {
        return Ok(Some(None));
    }
    if let Some(status) = instance.try_wait()? {
        return Ok(Some(match status.code() {
            Some(0) => None,
            _ => Some(instance.describe_exit(status)),
        }));
    }
    if Instant::now() < deadline {
        return Ok(None);
    }
    instance.kill()?;
    Ok(Some(None))
}

async fn pause(deployment: &Deployment, instance: usize, time_ms: u64) -> io::Result<()> {
    let disruption = deployment
        .history
        .begin_disruption(Scope::Instance(instance));
    deployment.members[instance]
        .instance()
        .signal(Signal::STOP)?;
    task::sleep(Duration::from_millis(time_ms)).await;
    deployment.members[instance]
        .instance()
        .signal(Signal::CONT)?;
    deployment.history.end_disruption(disruption);
    Ok(())
}

/// What a disruption of a link affects.
const fn scope(link: Link) -> Scope {
    match link {
        Link::Store(instance) | Link::Peer(instance) | Link::Callers(instance) => {
            Scope::Instance(instance)
        }
        Link::Replica(replica) => Scope::Replica(replica),
    }
}

async fn disrupt_link(deployment: &Deployment, link: Link, condition: Condition, time_ms: u64) {
    let disruption = deployment.history.begin_disruption(scope(link));
    let proxy = deployment.proxy(link);
    proxy.set_condition(condition);
    task::sleep(Duration::from_millis(time_ms)).await;
    proxy.set_condition(Condition::Open);
    deployment.history.end_disruption(disruption);
}

/// Applies an action that disrupts a link only for a moment.
fn disrupt_link_briefly(deployment: &Deployment, link: Link, action: impl FnOnce()) {
    let disruption = deployment.history.begin_disruption(scope(link));
    action();
    deployment.history.end_disruption(disruption);
}

async fn fail_store(deployment: &Deployment, outage: Outage, time_ms: u64) {
    let disruption = deployment.history.begin_disruption(Scope::Store);
    deployment.store.set_mode(match outage {
        Outage::Busy => Mode::Unavailable,
        Outage::Away => Mode::Disconnect,
    });
    task::sleep(Duration::from_millis(time_ms)).await;
    deployment.store.set_mode(Mode::Normal);
    deployment.history.end_disruption(disruption);
}

/// Takes the store away and lets it come back from a copy. What others than instances wrote since is
/// written again after `again`.
async fn restore_store(deployment: &Deployment, away: Duration, age: Duration, again: Duration) {
    let disruption = deployment.history.begin_disruption(Scope::Store);
    deployment.store.set_mode(Mode::Disconnect);
    task::sleep(away).await;
    let lost = deployment.store.restore(age + away);
    deployment.store.set_mode(Mode::Normal);
    task::sleep(again).await;
    deployment.store.write_again(lost);
    deployment.history.end_disruption(disruption);
}

async fn evacuate_domain(deployment: &Deployment, domain: usize, time_ms: u64) {
    deployment.evacuate_domain(domain);
    let drain = deployment.history.begin_drain(DrainTarget::Domain(domain));
    task::sleep(Duration::from_millis(time_ms)).await;
    deployment.history.end_drain(drain);
    deployment.return_domain(domain);
}

/// Records an unexpected exit of an instance; `how` describes its exit status.
pub(crate) fn record_exit(deployment: &Deployment, instance: usize, how: &str) {
    let at = deployment.history.now();
    deployment
        .history
        .observations()
        .unexpected_exits
        .push((instance, at, how.to_owned()));
}

/// Records unexpected exits of instances and restarts them. Runs until dropped.
///
/// # Errors
///
/// Returns an I/O error if the state of a process can't be read or a process can't be started.
pub async fn restart_exited(deployment: Arc<Deployment>) -> io::Result<()> {
    loop {
        task::sleep(EXIT_POLL_PERIOD).await;
        for (number, member) in deployment.members.iter().enumerate() {
            let mut instance = member.instance();
            if instance.is_stopping() {
                continue;
            }
            if let Some(status) = instance.try_wait()? {
                record_exit(&deployment, number, &instance.describe_exit(status));
                instance.start()?;
            }
        }
    }
}
