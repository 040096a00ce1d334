//! A connection to the platform on which writes can be delayed, for the tests.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use marigoldloom_platform::memory::Memory;
use marigoldloom_platform::object;
use marigoldloom_platform::platform::{self, Condition, Platform};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_testkit::virtual_runtime::VirtualRuntime;

/// Time after which the sender of a delayed write gets [`platform::Error::Unknown`].
const SENDER_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection on which some writes take effect after their sender gave up.
#[derive(Clone)]
pub(crate) struct Network {
    rt: VirtualRuntime,
    pub(crate) memory: Memory<VirtualRuntime>,
    max_delay: Arc<Mutex<Option<Duration>>>,
    pause_target: Arc<Mutex<Option<VirtualRuntime>>>,
}

impl Network {
    pub(crate) fn new(rt: &VirtualRuntime, memory: Memory<VirtualRuntime>) -> Self {
        Self {
            rt: rt.clone(),
            memory,
            max_delay: Arc::default(),
            pause_target: Arc::default(),
        }
    }

    /// Delays a random half of the writes by up to `limit`; `None` stops that. Their senders get
    /// [`platform::Error::Unknown`] after [`SENDER_TIMEOUT`].
    pub(crate) fn set_max_delay(&self, limit: Option<Duration>) {
        *self.max_delay.lock().unwrap() = limit;
    }

    /// Pauses `process` after the next write is acknowledged and before the process runs on.
    pub(crate) fn pause_after_write(&self, process: &VirtualRuntime) {
        *self.pause_target.lock().unwrap() = Some(process.clone());
    }

    fn random_delay(&self) -> Option<Duration> {
        let limit = (*self.max_delay.lock().unwrap())?;
        let millis = u64::try_from(limit.as_millis()).unwrap();
        let late = runtime::random_below(&self.rt, 2) == 0;
        late.then(|| Duration::from_millis(runtime::random_below(&self.rt, millis)))
    }

    async fn put_now(
        &self,
        key: &object::Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<object::Object, platform::Error> {
        let written = self.memory.put(key, value, condition).await;
        if let Some(process) = self.pause_target.lock().unwrap().take() {
            process.pause();
        }
        written
    }
}

impl Platform for Network {
    async fn get(&self, key: &object::Key) -> Result<Option<object::Object>, platform::Error> {
        self.memory.get(key).await
    }

    async fn list(&self, kind: &str) -> Result<object::Listing, platform::Error> {
        self.memory.list(kind).await
    }

    async fn put(
        &self,
        key: &object::Key,
        value: &serde_json::Value,
        condition: Condition,
    ) -> Result<object::Object, platform::Error> {
        let Some(wait) = self.random_delay() else {
            return self.put_now(key, value, condition).await;
        };
        let (network, key, value) = (self.clone(), key.clone(), value.clone());
        self.rt.spawn(async move {
            network.rt.sleep(wait).await;
            let _ = network.memory.put(&key, &value, condition).await;
        });
        self.rt.sleep(SENDER_TIMEOUT).await;
        Err(platform::Error::Unknown)
    }

    async fn delete(&self, key: &object::Key, cond: Condition) -> Result<(), platform::Error> {
        self.memory.delete(key, cond).await
    }

    async fn watch(
        &self,
        kinds: &[&str],
        since: object::Revision,
    ) -> Result<object::Changes, platform::Error> {
        self.memory.watch(kinds, since).await
    }
}
