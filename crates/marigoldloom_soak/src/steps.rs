//! Carries out the steps of a plan.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures::future;
use marigoldloom_standin::users::documents::EVACUATIONS;
use marigoldloom_standin::users::store::Mode;
use rustix::process::Signal;
use serde_json::json;

use crate::history::{Closed, Scope};
use crate::plan::{Outage, Place, Step, Timed};
use crate::process::Instance;
use crate::proxy::Condition;
use crate::rotation;
use crate::world::{DOMAINS, GRACE_S, World};

/// Time between two looks whether a process has ended.
const POLL: Duration = Duration::from_millis(20);

/// Pause before a process that has ended starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// Time after the deadline of a stop by which the process must be gone.
const STOP_MARGIN: Duration = Duration::from_millis(200);

/// Carries out the steps of one part of a run and waits until all of them are over.
///
/// # Errors
///
/// The error of the operating system if a process or a replica can't be started.
pub async fn carry_out(world: &World, steps: Vec<Timed>) -> io::Result<()> {
    let steps = steps.into_iter().map(|Timed { at_ms, step }| async move {
        task::sleep(Duration::from_millis(at_ms)).await;
        apply(world, step).await
    });
    future::try_join_all(steps).await?;
    Ok(())
}

async fn apply(world: &World, step: Step) -> io::Result<()> {
    match step {
        Step::Kill { instances, down_ms } => {
            let down = Duration::from_millis(down_ms);
            let kills = instances.into_iter().map(|i| kill(world, i, down));
            future::try_join_all(kills).await?;
            Ok(())
        }
        Step::Stop(instance) => stop(world, instance).await,
        Step::Pause { instance, time_ms } => pause(world, instance, time_ms).await,
        Step::HangUp(instance) => world.members[instance].instance().signal(Signal::HUP),
        Step::Link {
            place,
            condition,
            time_ms,
        } => {
            harm(world, place, condition, time_ms).await;
            Ok(())
        }
        Step::Reset(place) => {
            touch(world, place, || world.proxy(place).reset());
            Ok(())
        }
        Step::Mute(place) => {
            touch(world, place, || world.proxy(place).mute());
            Ok(())
        }
        Step::Outage { outage, time_ms } => {
            outage_of_store(world, outage, time_ms).await;
            Ok(())
        }
        Step::Forget => {
            let disturbance = world.history.disturb(Scope::Store);
            world.store.compact();
            world.history.settle(disturbance);
            Ok(())
        }
        Step::Crash { replicas, down_ms } => {
            let down = Duration::from_millis(down_ms);
            let crashes = replicas.into_iter().map(|r| world.sites.crash(r, down));
            future::try_join_all(crashes).await?;
            Ok(())
        }
        Step::Behave {
            replicas,
            behaviour,
            time_ms,
        } => {
            let time = Duration::from_millis(time_ms);
            let spells = replicas.into_iter();
            let spells = spells.map(|r| world.sites.misbehave(r, behaviour, time));
            future::join_all(spells).await;
            Ok(())
        }
        Step::Leave(replica) => world.sites.leave(replica).await,
        Step::Evacuate { domain, time_ms } => {
            evacuate(world, domain, time_ms).await;
            Ok(())
        }
        Step::Configure {
            count,
            gap_ms,
            reshard,
        } => {
            for number in 0..count {
                world.configure(reshard && number == 0);
                task::sleep(Duration::from_millis(gap_ms)).await;
            }
            Ok(())
        }
    }
}

async fn kill(world: &World, instance: usize, down: Duration) -> io::Result<()> {
    let disturbance = world.history.disturb(Scope::Instance(instance));
    world.members[instance].instance().kill()?;
    task::sleep(down).await;
    start(world, instance, disturbance).await
}

/// Starts an instance and waits until it is ready, so that its disturbance ends.
async fn start(world: &World, instance: usize, disturbance: usize) -> io::Result<()> {
    world.members[instance].instance().start()?;
    rotation::until_ready(&world.members[instance]).await;
    world.history.settle(disturbance);
    Ok(())
}

/// Sends a stop signal, kills the process if it goes on for too long, and starts another one.
async fn stop(world: &World, instance: usize) -> io::Result<()> {
    let member = &world.members[instance];
    let disturbance = world.history.disturb(Scope::Instance(instance));
    let process = member.instance().process();
    member.instance().signal(Signal::TERM)?;
    let deadline = Instant::now() + Duration::from_secs(GRACE_S) + STOP_MARGIN;
    let code = loop {
        let stopped = stopped(&mut member.instance(), process, deadline)?;
        match stopped {
            Some(code) => break code,
            None => task::sleep(POLL).await,
        }
    };
    if code.is_some_and(|code| code != 0) {
        note_end(world, instance, &format!("exit code {code:?} after a stop"));
    }
    task::sleep(RESTART_PAUSE).await;
    start(world, instance, disturbance).await
}

/// The exit code of a process that was told to stop; none if it still runs. The code is none if it
/// did not end by itself.
fn stopped(
    instance: &mut Instance,
    process: u32,
    deadline: Instant,
) -> io::Result<Option<Option<i32>>> {
    // Another step may have killed it and started the next one.
    if instance.process() != process || !instance.runs() {
        return Ok(Some(None));
    }
    if let Some(status) = instance.ended()? {
        return Ok(Some(status.code()));
    }
    if Instant::now() < deadline {
        return Ok(None);
    }
    instance.kill()?;
    Ok(Some(None))
}

async fn pause(world: &World, instance: usize, time_ms: u64) -> io::Result<()> {
    let disturbance = world.history.disturb(Scope::Instance(instance));
    world.members[instance].instance().signal(Signal::STOP)?;
    task::sleep(Duration::from_millis(time_ms)).await;
    world.members[instance].instance().signal(Signal::CONT)?;
    world.history.settle(disturbance);
    Ok(())
}

/// What a fault on a link affects.
const fn scope(place: Place) -> Scope {
    match place {
        Place::Store(instance) | Place::Peer(instance) | Place::Callers(instance) => {
            Scope::Instance(instance)
        }
        Place::Replica(replica) => Scope::Replica(replica),
    }
}

async fn harm(world: &World, place: Place, condition: Condition, time_ms: u64) {
    let disturbance = world.history.disturb(scope(place));
    let proxy = world.proxy(place);
    proxy.set(condition);
    task::sleep(Duration::from_millis(time_ms)).await;
    proxy.set(Condition::Open);
    world.history.settle(disturbance);
}

/// Does something to a link that is over at once.
fn touch(world: &World, place: Place, harm: impl FnOnce()) {
    let disturbance = world.history.disturb(scope(place));
    harm();
    world.history.settle(disturbance);
}

async fn outage_of_store(world: &World, outage: Outage, time_ms: u64) {
    let disturbance = world.history.disturb(Scope::Store);
    world.store.set_mode(match outage {
        Outage::Busy => Mode::Unavailable,
        Outage::Away => Mode::Disconnect,
    });
    task::sleep(Duration::from_millis(time_ms)).await;
    world.store.set_mode(Mode::Normal);
    world.history.settle(disturbance);
}

async fn evacuate(world: &World, domain: usize, time_ms: u64) {
    let name = DOMAINS[domain];
    world.store.put(EVACUATIONS, name, json!({}));
    let closure = world.history.close(Closed::Domain(domain));
    task::sleep(Duration::from_millis(time_ms)).await;
    world.history.open(closure);
    world.store.remove(EVACUATIONS, name);
}

/// Notes that an instance ended although nothing made it end.
pub(crate) fn note_end(world: &World, instance: usize, how: &str) {
    let at = world.history.now();
    world
        .history
        .record()
        .ended
        .push((instance, at, how.to_owned()));
}

/// Notes instances that end by themselves and starts them again. Runs until it is dropped.
///
/// # Errors
///
/// The error of the operating system if a process can't be looked at or started.
pub async fn watch(world: Arc<World>) -> io::Result<()> {
    loop {
        task::sleep(POLL).await;
        for (number, member) in world.members.iter().enumerate() {
            let mut instance = member.instance();
            if instance.is_stopping() {
                continue;
            }
            if let Some(status) = instance.ended()? {
                note_end(&world, number, &status.to_string());
                instance.start()?;
            }
        }
    }
}
