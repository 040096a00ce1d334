//! Single-threaded executor with a virtual clock and seeded scheduling.
//!
//! The clock advances only while every task waits, so sleeping takes no real time. The next task is
//! picked at random among the runnable ones: the same seed gives the same run, and different seeds
//! give different interleavings. Code under test must not iterate over `HashMap`, whose order
//! doesn't depend on the seed.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time::{Timestamp, WallTime};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Wall-clock time at the start of each virtual run.
const WALL_START: WallTime = WallTime(1_700_000_000_000);

/// Number of task handles in a group from which finished ones are dropped.
const CLEANUP_LEN: usize = 256;

/// Time at which a timer is due, and a number that makes the key unique.
type TimerKey = (Timestamp, u64);

/// Tasks spawned through one handle.
#[derive(Default)]
struct Group {
    paused: bool,
    /// Runnable tasks that wait until the group is resumed.
    deferred: Vec<async_task::Runnable>,
    tasks: Vec<async_task::Task<()>>,
}

struct State {
    now: Timestamp,
    /// Last number that was given to a group or a timer.
    last_id: u64,
    /// Runnable tasks and their groups.
    ready: Vec<(u64, async_task::Runnable)>,
    timers: BTreeMap<TimerKey, Waker>,
    groups: BTreeMap<u64, Group>,
    killed: BTreeSet<u64>,
    rng: ChaCha8Rng,
}

impl State {
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// A handle to the executor. Tasks spawned through one handle form a group, which simulates a
/// process: it can be paused, resumed and killed.
#[derive(Clone)]
pub struct VirtualRuntime {
    state: Arc<Mutex<State>>,
    group: u64,
}

/// Runs the future that `main` returns to completion on a new executor.
///
/// # Panics
///
/// If every task waits, no timer is set and the main future isn't complete.
pub fn block_on<T, F>(seed: u64, main: impl FnOnce(VirtualRuntime) -> F) -> T
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let rt = VirtualRuntime::new(seed);
    let output = Arc::new(Mutex::new(None));
    let task_output = Arc::clone(&output);
    let future = main(rt.clone());
    runtime::Runtime::spawn(&rt, async move {
        let value = future.await;
        *lock(&task_output) = Some(value);
    });
    loop {
        while let Some(runnable) = rt.next_runnable() {
            runnable.run();
            if lock(&output).is_some() {
                break;
            }
        }
        let value = lock(&output).take();
        match value {
            Some(value) => {
                rt.shut_down();
                return value;
            }
            None => assert!(
                rt.advance_clock(),
                "seed {seed}: every task waits and no timer is set"
            ),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl VirtualRuntime {
    fn new(seed: u64) -> Self {
        let state = State {
            now: Timestamp::ZERO,
            last_id: 0,
            ready: Vec::new(),
            timers: BTreeMap::new(),
            groups: BTreeMap::from([(0, Group::default())]),
            killed: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            group: 0,
        }
    }

    /// Creates a handle to the same executor whose tasks form a new group.
    pub fn fork(&self) -> Self {
        let mut state = lock(&self.state);
        let group = state.new_id();
        state.groups.insert(group, Group::default());
        drop(state);
        Self {
            state: Arc::clone(&self.state),
            group,
        }
    }

    /// Stops running this group's tasks, as SIGSTOP does to a process; the clock still advances.
    pub fn pause(&self) {
        if let Some(group) = lock(&self.state).groups.get_mut(&self.group) {
            group.paused = true;
        }
    }

    /// Runs the tasks of a paused group again, as SIGCONT does.
    pub fn resume(&self) {
        let mut state = lock(&self.state);
        let deferred = match state.groups.get_mut(&self.group) {
            Some(group) => {
                group.paused = false;
                mem::take(&mut group.deferred)
            }
            None => Vec::new(),
        };
        let group = self.group;
        state.ready.extend(deferred.into_iter().map(|r| (group, r)));
    }

    /// Drops every task of this group, as SIGKILL does to a process.
    ///
    /// Later spawns through this handle are ignored. A task must not kill its own group.
    pub fn kill(&self) {
        let mut state = lock(&self.state);
        state.killed.insert(self.group);
        let group = state.groups.remove(&self.group);
        drop(state);
        if let Some(group) = group {
            drop(group.tasks);
            for runnable in group.deferred {
                runnable.run();
            }
        }
    }

    /// Removes a random runnable task whose group isn't paused; `None` if there is none.
    fn next_runnable(&self) -> Option<async_task::Runnable> {
        let mut state = lock(&self.state);
        loop {
            let len = state.ready.len();
            if len == 0 {
                return None;
            }
            let index = usize::try_from(state.rng.next_u64() % len as u64).unwrap_or(0);
            let (id, runnable) = state.ready.swap_remove(index);
            match state.groups.get_mut(&id) {
                Some(group) if group.paused => group.deferred.push(runnable),
                _ => return Some(runnable),
            }
        }
    }

    /// Advances the clock to the earliest timer and wakes the tasks that wait for it. Returns false
    /// if no timer is set.
    fn advance_clock(&self) -> bool {
        let mut state = lock(&self.state);
        let Some((&(at, _), _)) = state.timers.first_key_value() else {
            return false;
        };
        state.now = state.now.max(at);
        let mut due = Vec::new();
        while let Some(entry) = state.timers.first_entry() {
            if entry.key().0 > at {
                break;
            }
            due.push(entry.remove());
        }
        drop(state);
        due.into_iter().for_each(Waker::wake);
        true
    }

    /// Drops every remaining task. The lock isn't held meanwhile, because destructors take it.
    fn shut_down(&self) {
        let mut state = lock(&self.state);
        let groups = mem::take(&mut state.groups);
        drop(state);
        drop(groups);
        loop {
            let mut state = lock(&self.state);
            let ready = mem::take(&mut state.ready);
            let timers = mem::take(&mut state.timers);
            drop(state);
            if ready.is_empty() && timers.is_empty() {
                return;
            }
            drop(timers);
            for (_, runnable) in ready {
                runnable.run();
            }
        }
    }
}

impl runtime::Runtime for VirtualRuntime {
    fn now(&self) -> Timestamp {
        lock(&self.state).now
    }

    fn wall(&self) -> WallTime {
        WALL_START + self.now().since(Timestamp::ZERO)
    }

    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> + Send + 'static {
        let mut state = lock(&self.state);
        let key = (state.now + duration, state.new_id());
        drop(state);
        Sleep {
            state: Arc::clone(&self.state),
            key,
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if lock(&self.state).killed.contains(&self.group) {
            return;
        }
        let (state, id) = (Arc::downgrade(&self.state), self.group);
        let schedule = move |runnable| {
            if let Some(state) = state.upgrade() {
                lock(&state).ready.push((id, runnable));
            }
        };
        let (runnable, handle) = async_task::spawn(task, schedule);
        runnable.schedule();
        let mut state = lock(&self.state);
        let mut finished = Vec::new();
        if let Some(group) = state.groups.get_mut(&id) {
            if group.tasks.len() >= CLEANUP_LEN && group.tasks.len().is_power_of_two() {
                let (done, live) = mem::take(&mut group.tasks)
                    .into_iter()
                    .partition(async_task::Task::is_finished);
                (finished, group.tasks) = (done, live);
            }
            group.tasks.push(handle);
        }
        drop(state);
        drop(finished);
    }

    fn random(&self) -> u64 {
        lock(&self.state).rng.next_u64()
    }
}

struct Sleep {
    state: Arc<Mutex<State>>,
    key: TimerKey,
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.now >= self.key.0 {
            return Poll::Ready(());
        }
        let replaced = state.timers.insert(self.key, cx.waker().clone());
        drop(state);
        drop(replaced);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let waker = lock(&self.state).timers.remove(&self.key);
        drop(waker);
    }
}
