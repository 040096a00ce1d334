//! Maintains the platform's instance records: writes this instance's own record and removes the
//! records of members that stay down.
//!
//! The voters on dispatch leases are chosen from these records, so the record of a lost instance
//! would leave each of its voter groups one vote short.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use marigoldloom_peers::membership;
use marigoldloom_platform::object;
use marigoldloom_platform::platform::{self, Condition};
use marigoldloom_records::instance;
use marigoldloom_records::record::{self, Kind};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::Timestamp;

use crate::config;

/// Time between two comparisons of the records with the members.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Time for which a member must be down before its record is removed; longer than a restart.
const REMOVAL_DELAY: Duration = Duration::from_secs(60);

/// Initial backoff after a failed platform call.
const BACKOFF_BASE: Duration = Duration::from_millis(200);

/// Maximum backoff after failed platform calls.
const BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Maintains the instance records on behalf of one instance.
pub(crate) struct Registrar<R, P> {
    pub(crate) rt: R,
    pub(crate) platform: P,
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) peer: SocketAddr,
    pub(crate) view: Arc<Mutex<config::View>>,
}

impl<R: Runtime, P: platform::Platform> Registrar<R, P> {
    /// Maintains the records until `leaving` returns true; `members` returns the tier's members.
    pub(crate) async fn run(
        &self,
        members: impl Fn() -> Vec<membership::Member>,
        leaving: impl Fn() -> bool,
    ) {
        let mut down = BTreeMap::new();
        let mut attempt = 0;
        while !leaving() {
            let result = self.register().await;
            let members = members();
            self.update_down_members(&members, &mut down);
            if result.is_ok() && self.removes_lost_records(&members) {
                self.remove_lost_records(&down).await;
            }
            attempt = match result {
                Ok(()) => 0,
                Err(_) => attempt + 1,
            };
            let pause = match attempt {
                0 => CHECK_PERIOD,
                n => runtime::backoff(&self.rt, n, BACKOFF_BASE, BACKOFF_CAP),
            };
            self.rt.sleep(pause).await;
        }
    }

    /// Writes this instance's record unless the current configuration already contains it.
    async fn register(&self) -> Result<(), platform::Error> {
        let desired = self.record(instance::State::Live);
        let known = self.known_record(&self.name);
        if known.is_some_and(|k| is_same(&k, &desired)) {
            return Ok(());
        }
        self.write(&desired).await
    }

    /// Marks this instance's record as leaving.
    pub(crate) async fn announce_leaving(&self) -> Result<(), platform::Error> {
        self.write(&self.record(instance::State::Leaving)).await
    }

    /// Removes this instance's record.
    pub(crate) async fn deregister(&self) -> Result<(), platform::Error> {
        self.platform.delete(&key(&self.name), Condition::Any).await
    }

    async fn write(&self, desired: &instance::Instance) -> Result<(), platform::Error> {
        let key = key(&self.name);
        let current = self.platform.get(&key).await?;
        let known = current.as_ref();
        let known = known.and_then(|o| record::decode::<instance::Instance>(&o.value).ok());
        let condition = match &current {
            None => Condition::Absent,
            Some(_) if known.is_some_and(|k| is_same(&k, desired)) => return Ok(()),
            Some(object) => Condition::Version(object.version),
        };
        let value = serde_json::to_value(desired).unwrap_or_default();
        self.platform.put(&key, &value, condition).await.map(|_| ())
    }

    fn record(&self, state: instance::State) -> instance::Instance {
        instance::Instance {
            schema: record::SCHEMA,
            name: self.name.clone(),
            domain: self.domain.clone(),
            peer: self.peer,
            state,
            extra: record::Extra::new(),
        }
    }

    fn known_record(&self, name: &str) -> Option<instance::Instance> {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.instances.get(name).cloned()
    }

    fn update_down_members(
        &self,
        members: &[membership::Member],
        down: &mut BTreeMap<Arc<str>, Timestamp>,
    ) {
        let now = self.rt.now();
        let is_down = |m: &&membership::Member| m.state == membership::State::Down;
        let names: Vec<_> = members.iter().filter(is_down).collect();
        down.retain(|name, _| names.iter().any(|m| m.identity.name == *name));
        for member in names {
            down.entry(Arc::clone(&member.identity.name)).or_insert(now);
        }
    }

    /// Whether this instance removes the records of lost members. Only the live member with the
    /// smallest name does, so that not all of them call the platform.
    fn removes_lost_records(&self, members: &[membership::Member]) -> bool {
        let live = members.iter().filter(|m| m.is_live());
        live.map(|m| &*m.identity.name).min() == Some(self.name.as_str())
    }

    async fn remove_lost_records(&self, down: &BTreeMap<Arc<str>, Timestamp>) {
        let now = self.rt.now();
        for (name, since) in down {
            if now.since(*since) < REMOVAL_DELAY || self.known_record(name).is_none() {
                continue;
            }
            match self.remove_record(name).await {
                Ok(()) => tracing::info!(instance = %name, "record of a lost instance removed"),
                Err(error) => tracing::warn!(%error, instance = %name, "record not removed"),
            }
        }
    }

    async fn remove_record(&self, name: &str) -> Result<(), platform::Error> {
        let key = key(name);
        match self.platform.get(&key).await? {
            None => Ok(()),
            Some(object) => {
                let condition = Condition::Version(object.version);
                self.platform.delete(&key, condition).await
            }
        }
    }
}

fn key(name: &str) -> object::Key {
    object::Key::new(Kind::Instance.as_str(), name)
}

fn is_same(known: &instance::Instance, desired: &instance::Instance) -> bool {
    known.domain == desired.domain && known.peer == desired.peer && known.state == desired.state
}
