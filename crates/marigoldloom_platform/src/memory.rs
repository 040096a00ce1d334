//! An in-memory platform for tests, trial mode and the platform stand-in.
//!
//! [`MemoryPlatform::client`] creates a handle for another client, which can be disconnected from
//! the platform. Faults can be changed at run time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use marigoldloom_runtime::runtime::{self, Runtime};
use serde::{Deserialize, Serialize};

use crate::object::{Changes, Key, Listing, Object, Revision};
use crate::platform::{Condition, Error, Platform};
use crate::store;

/// Longest time that a watch waits for changes.
pub const WATCH_LIMIT: Duration = Duration::from_secs(30);

/// Limits on the retained changes and on the wait of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of changes retained for watches.
    pub retained_changes: usize,
    /// Maximum size of the values of the retained changes, in bytes of JSON.
    pub retained_bytes: usize,
    /// Longest time that a watch waits for changes.
    pub watch_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retained_changes: 4_096,
            retained_bytes: 32_000_000,
            watch_wait: WATCH_LIMIT,
        }
    }
}

/// Injected faults, which affect all clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Latency added to each call, in milliseconds: half before the operation is applied and
    /// half after.
    pub delay_ms: u64,
    /// Number of further successful writes whose response is lost; decremented at each.
    pub lost_answers: u64,
}

/// Number of calls that reached the platform. Calls made while the platform is down or the
/// client is disconnected are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Counters {
    /// Reads of one object.
    pub get: u64,
    /// Reads of all objects of a kind.
    pub list: u64,
    /// Writes, including refused ones.
    pub put: u64,
    /// Deletions, including refused ones.
    pub delete: u64,
    /// Watches; each counts once, however long it waits.
    pub watch: u64,
    /// Watches that are waiting for changes at present.
    pub waiting: u64,
}

impl Counters {
    /// Returns the number of calls of all operations.
    pub fn calls(&self) -> u64 {
        self.get + self.list + self.put + self.delete + self.watch
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Get,
    List,
    Put,
    Delete,
    Watch,
}

struct State {
    store: store::Store,
    limits: Limits,
    faults: Faults,
    counters: Counters,
    notifier: Notifier,
}

/// Wakes all waiting watches by closing a channel; no message is ever sent on it.
struct Notifier {
    tx: async_channel::Sender<()>,
    rx: async_channel::Receiver<()>,
}

impl Notifier {
    fn new() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self { tx, rx }
    }

    fn wake_all(&mut self) {
        self.tx.close();
        *self = Self::new();
    }
}

impl State {
    fn count(&mut self, operation: Operation) {
        let counter = match operation {
            Operation::Get => &mut self.counters.get,
            Operation::List => &mut self.counters.list,
            Operation::Put => &mut self.counters.put,
            Operation::Delete => &mut self.counters.delete,
            Operation::Watch => &mut self.counters.watch,
        };
        *counter += 1;
    }

    /// Returns whether to lose the response to a successful write, and decrements
    /// `lost_answers`.
    fn take_lost_answer(&mut self) -> bool {
        let lost = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        lost
    }
}

/// A client's handle to an in-memory platform. Clones belong to the same client.
#[derive(Clone)]
pub struct MemoryPlatform<R> {
    rt: R,
    state: Arc<Mutex<State>>,
    disconnected: Arc<AtomicBool>,
}

impl<R: Runtime> MemoryPlatform<R> {
    /// Creates an empty platform with default limits and returns a handle to it.
    pub fn new(rt: R) -> Self {
        Self::with_limits(rt, Limits::default())
    }

    /// Creates an empty platform and returns a handle to it.
    pub fn with_limits(rt: R, limits: Limits) -> Self {
        let state = State {
            store: store::Store::new(limits),
            limits,
            faults: Faults::default(),
            counters: Counters::default(),
            notifier: Notifier::new(),
        };
        Self {
            rt,
            state: Arc::new(Mutex::new(state)),
            disconnected: Arc::default(),
        }
    }

    /// Creates a handle for another client of the same platform.
    pub fn client(&self) -> Self {
        Self {
            rt: self.rt.clone(),
            state: Arc::clone(&self.state),
            disconnected: Arc::default(),
        }
    }

    /// Disconnects this client from the platform. Its calls in progress fail with
    /// [`Error::OutcomeUnknown`].
    pub fn disconnect(&self) {
        self.disconnected.store(true, Ordering::Relaxed);
        self.lock().notifier.wake_all();
    }

    /// Reverts [`MemoryPlatform::disconnect`].
    pub fn reconnect(&self) {
        self.disconnected.store(false, Ordering::Relaxed);
    }

    /// Returns the faults in effect.
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        state.faults = faults;
        state.notifier.wake_all();
    }

    /// Returns the number of calls since the platform was created.
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_unreachable(&self) -> bool {
        self.disconnected.load(Ordering::Relaxed) || self.lock().faults.down
    }

    /// Counts the call, or fails if the platform can't be reached.
    fn begin_call(&self, operation: Operation) -> Result<(), Error> {
        if self.is_unreachable() {
            return Err(Error::Unreachable);
        }
        self.lock().count(operation);
        Ok(())
    }

    /// Waits for half of the injected latency, then fails if the connection was lost meanwhile.
    async fn simulate_latency(&self) -> Result<(), Error> {
        let delay = Duration::from_millis(self.lock().faults.delay_ms) / 2;
        if !delay.is_zero() {
            self.rt.sleep(delay).await;
        }
        self.check_connection()
    }

    fn check_connection(&self) -> Result<(), Error> {
        match self.is_unreachable() {
            true => Err(Error::OutcomeUnknown),
            false => Ok(()),
        }
    }

    async fn read<T>(
        &self,
        operation: Operation,
        query: impl FnOnce(&store::Store) -> T,
    ) -> Result<T, Error> {
        self.begin_call(operation)?;
        self.simulate_latency().await?;
        let value = query(&self.lock().store);
        self.simulate_latency().await?;
        Ok(value)
    }

    async fn write<T>(
        &self,
        operation: Operation,
        update: impl FnOnce(&mut store::Store) -> Result<T, Error>,
    ) -> Result<T, Error> {
        self.begin_call(operation)?;
        self.simulate_latency().await?;
        let (result, lost) = self.apply(update);
        self.simulate_latency().await?;
        match lost {
            true => Err(Error::OutcomeUnknown),
            false => result,
        }
    }

    fn apply<T>(
        &self,
        update: impl FnOnce(&mut store::Store) -> Result<T, Error>,
    ) -> (Result<T, Error>, bool) {
        let mut state = self.lock();
        let result = update(&mut state.store);
        let lost = result.is_ok() && state.take_lost_answer();
        state.notifier.wake_all();
        (result, lost)
    }

    /// Like [`Platform::watch`], but waits at most for `limit`.
    ///
    /// # Errors
    ///
    /// The same as [`Platform::watch`].
    pub async fn watch_for(
        &self,
        kinds: &[&str],
        since: Revision,
        limit: Duration,
    ) -> Result<Changes, Error> {
        self.begin_call(Operation::Watch)?;
        self.simulate_latency().await?;
        let changes = self.wait(kinds, since, limit).await?;
        self.simulate_latency().await?;
        Ok(changes)
    }

    async fn wait(
        &self,
        kinds: &[&str],
        since: Revision,
        limit: Duration,
    ) -> Result<Changes, Error> {
        let _guard = WaitingGuard::new(&self.state);
        let deadline = self.rt.now() + limit.min(self.lock().limits.watch_wait);
        let mut since = since;
        loop {
            let (changes, notified) = self.changes_since(kinds, since)?;
            if !changes.changes.is_empty() {
                return Ok(changes);
            }
            // Advance past writes of other kinds, which may be compacted while this watch waits.
            since = changes.revision;
            match runtime::timeout_at(&self.rt, deadline, notified.recv()).await {
                Err(runtime::Elapsed) => return Ok(changes),
                Ok(_) => self.check_connection()?,
            }
        }
    }

    fn changes_since(
        &self,
        kinds: &[&str],
        since: Revision,
    ) -> Result<(Changes, async_channel::Receiver<()>), Error> {
        let state = self.lock();
        let changes = state.store.changes(kinds, since)?;
        Ok((changes, state.notifier.rx.clone()))
    }
}

impl<R: Runtime> Platform for MemoryPlatform<R> {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.read(Operation::Get, |store| store.get(key)).await
    }

    async fn list(&self, kind: &str) -> Result<Listing, Error> {
        self.read(Operation::List, |store| store.list(kind)).await
    }

    async fn put(
        &self,
        key: &Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<Object, Error> {
        let update = |store: &mut store::Store| store.put(key, value, condition);
        self.write(Operation::Put, update).await
    }

    async fn delete(&self, key: &Key, condition: Condition) -> Result<(), Error> {
        let update = |store: &mut store::Store| store.delete(key, condition);
        self.write(Operation::Delete, update).await
    }

    async fn watch(&self, kinds: &[&str], since: Revision) -> Result<Changes, Error> {
        self.watch_for(kinds, since, WATCH_LIMIT).await
    }
}

/// Counts a waiting watch until dropped, so that a cancelled watch is no longer counted.
struct WaitingGuard {
    state: Arc<Mutex<State>>,
}

impl WaitingGuard {
    fn new(state: &Arc<Mutex<State>>) -> Self {
        let mut locked = state.lock().unwrap_or_else(PoisonError::into_inner);
        locked.counters.waiting += 1;
        drop(locked);
        Self {
            state: Arc::clone(state),
        }
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.counters.waiting -= 1;
    }
}
