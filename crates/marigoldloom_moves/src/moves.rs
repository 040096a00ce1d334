//! The version moves of an instance, as the request path uses them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use marigoldloom_peers::exchange::Exchange;
use marigoldloom_platform::platform;
use marigoldloom_runtime::runtime;
use marigoldloom_telemetry::event;

use crate::recorder;
use crate::table::RoutingTable;

pub use crate::recorder::RequestOutcome;

/// Warm capacity of a version before the first call of [`Moves::set_warm_capacity`], in thousandths
/// of the service's traffic.
const DEFAULT_WARM_CAPACITY: u64 = 1_000;

/// The version moves of one instance. Clones share their state.
pub struct Moves<R, P, E> {
    pub(crate) inner: Arc<Inner<R, P, E>>,
}

pub(crate) struct Inner<R, P, E> {
    pub(crate) rt: R,
    pub(crate) platform: P,
    pub(crate) exchange: E,
    pub(crate) events: event::Events,
    /// Instance name and start time, which name this process's reports. A restarted process counts
    /// from zero and must not use the old name.
    pub(crate) writer: String,
    pub(crate) table: RwLock<Arc<RoutingTable>>,
    pub(crate) recorder: Mutex<recorder::Recorder>,
    /// Share of the traffic that warm upstreams can serve, in thousandths.
    warm_capacities: Mutex<BTreeMap<VersionKey, u64>>,
    /// Versions whose requests must run on cold upstreams.
    cold_versions: Mutex<BTreeSet<VersionKey>>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct VersionKey {
    service: String,
    version: String,
}

impl<R, P, E> Clone for Moves<R, P, E> {
    fn clone(&self) -> Self {
        let inner = Arc::clone(&self.inner);
        Self { inner }
    }
}

impl<R: runtime::Runtime, P: platform::Platform, E: Exchange> Moves<R, P, E> {
    /// Creates the moves of `instance`. [`crate::control::run`] must run to keep them up to date.
    pub fn new(rt: R, platform: P, exchange: E, events: event::Events, instance: &str) -> Self {
        let writer = format!("{instance}/{}", rt.wall().0);
        let inner = Inner {
            rt,
            platform,
            exchange,
            events,
            writer,
            table: RwLock::default(),
            recorder: Mutex::default(),
            warm_capacities: Mutex::default(),
            cold_versions: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the version that a request goes to; `None` if the service isn't known.
    ///
    /// Instances with the same records and evidence choose the same version for a request.
    pub fn choose(&self, service: &str, route: &str, request: u64) -> Option<Arc<str>> {
        let table = self.inner.table();
        table.choose(self.inner.rt.now(), service, route, request)
    }

    /// Counts a finished request. `latency` is the time until the caller's answer was complete.
    ///
    /// Must not be called for requests that the instances themselves refused.
    pub fn observe(
        &self,
        service: &str,
        route: &str,
        version: &str,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let Some(attribution) = self.inner.table().attribute(service, version) else {
            return;
        };
        let cold = attribution.side == recorder::Side::New && self.inner.is_cold(service, version);
        let observation = recorder::Observation {
            side: attribution.side,
            timed: !cold,
            step: attribution.step,
            outcome,
            latency,
        };
        self.inner
            .recorder()
            .observe(&attribution.name, route, &observation);
    }

    /// Sets the share of the service's current traffic that the version's warm upstreams can
    /// serve, in thousandths. The version's share isn't raised above it.
    pub fn set_warm_capacity(&self, service: &str, version: &str, per_mille: u64) {
        let version = VersionKey {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        self.inner.warm_capacities().insert(version, per_mille);
    }

    /// Sets whether requests must run on cold upstreams of the version. While they must, failures
    /// of a new version count as evidence against it, but slow replies don't.
    pub fn set_cold(&self, service: &str, version: &str, cold: bool) {
        let version = VersionKey {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        let mut versions = self.inner.cold_versions();
        match cold {
            true => versions.insert(version),
            false => versions.remove(&version),
        };
    }
}

impl<R, P, E> Inner<R, P, E> {
    pub(crate) fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&self.table.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_table(&self, table: RoutingTable) {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(table);
    }

    pub(crate) fn recorder(&self) -> impl std::ops::DerefMut<Target = recorder::Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn warm_capacity(&self, service: &str, version: &str) -> u64 {
        let key = VersionKey {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        let known = self.warm_capacities().get(&key).copied();
        known.unwrap_or(DEFAULT_WARM_CAPACITY)
    }

    fn is_cold(&self, service: &str, version: &str) -> bool {
        let key = VersionKey {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        self.cold_versions().contains(&key)
    }

    fn cold_versions(&self) -> impl std::ops::DerefMut<Target = BTreeSet<VersionKey>> {
        self.cold_versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn warm_capacities(&self) -> impl std::ops::DerefMut<Target = BTreeMap<VersionKey, u64>> {
        self.warm_capacities
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
