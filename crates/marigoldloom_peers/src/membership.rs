//! Members of the tier and their states, as read from the shared map.

use std::collections::BTreeMap;
use std::net;
use std::ops;
use std::sync::Arc;
use std::time::Duration;

use derive_more::derive;
use marigoldloom_runtime::time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::exchange::{Entry, Space};

/// Number of members of its own failure domain that an instance probes.
pub const SAME_DOMAIN_PROBES: usize = 3;

/// Number of members of other failure domains that an instance probes.
pub const OTHER_DOMAIN_PROBES: usize = 2;

/// Number of suspects that an instance probes in addition; bounds the cost of a partition.
const SUSPECT_PROBES: usize = 8;

/// Least time for which the entry of a member that is down is kept. With [`expiry`]'s rounding
/// it is removed after two to three hours, so that it outlasts a partition of an hour.
const DOWN_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// Number of states. A stamp is `incarnation * STATE_COUNT + state`.
const STATE_COUNT: u64 = 4;

/// State of a member. Within one incarnation, a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service; takes new work.
    #[display("alive")]
    Alive,
    /// Probes failed. The member can refute this with a greater incarnation.
    #[display("suspect")]
    Suspect,
    /// Draining; takes no new work.
    #[display("leaving")]
    Leaving,
    /// Considered crashed or stopped, because it answered no probe.
    #[display("down")]
    Down,
}

impl State {
    const fn from_index(index: u64) -> Self {
        match index {
            0 => Self::Alive,
            1 => Self::Suspect,
            2 => Self::Leaving,
            _ => Self::Down,
        }
    }
}

/// Name, failure domain and address of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the tier.
    pub name: Arc<str>,
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Address on which the instance serves the peer protocol.
    pub address: net::SocketAddr,
}

/// A member of the tier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, failure domain and address of the member.
    pub identity: Identity,
    /// Number that only the member itself raises, at a restart or to refute a suspicion.
    pub incarnation: u64,
    /// State in this incarnation.
    pub state: State,
}

/// Value of a member's entry in the shared map; encoded as JSON.
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
struct EntryValue {
    domain: Arc<str>,
    address: net::SocketAddr,
}

impl Member {
    /// Stamp of the member's entry in the shared map.
    pub const fn stamp(&self) -> u64 {
        self.incarnation
            .saturating_mul(STATE_COUNT)
            .saturating_add(self.state as u64)
    }

    /// Whether the member takes new work.
    pub const fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    /// The member's entry in the shared map.
    pub fn entry(&self, now: time::WallTime) -> Entry {
        let value = EntryValue {
            domain: Arc::clone(&self.identity.domain),
            address: self.identity.address,
        };
        Entry {
            space: Space::Member,
            name: Arc::clone(&self.identity.name),
            stamp: self.stamp(),
            value: serde_json::to_string(&value).ok().map(Arc::from),
            expires: (self.state == State::Down).then(|| expiry(now, DOWN_RETENTION)),
        }
    }

    /// Decodes a member from its entry; `None` if the value is missing or malformed.
    pub fn from_entry(entry: &Entry) -> Option<Self> {
        let value: EntryValue = serde_json::from_str(entry.value.as_deref()?).ok()?;
        Some(Self {
            identity: Identity {
                name: Arc::clone(&entry.name),
                domain: value.domain,
                address: value.address,
            },
            incarnation: entry.stamp / STATE_COUNT,
            state: State::from_index(entry.stamp % STATE_COUNT),
        })
    }
}

/// The smallest incarnation that refutes an entry with this stamp.
pub(crate) const fn refuting_incarnation(stamp: u64) -> u64 {
    stamp / STATE_COUNT + 1
}

/// Expiry time of an entry: `now + retention`, rounded up to a full hour.
///
/// The rounding lets several instances that record the same fact write equal entries.
pub(crate) fn expiry(now: time::WallTime, retention: Duration) -> time::WallTime {
    const HOUR_MS: u64 = 3_600_000;
    let end = now + retention;
    time::WallTime(end.0.div_ceil(HOUR_MS) * HOUR_MS)
}

/// The members other than this instance. All that aren't down are also placed on a hash ring.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    members: BTreeMap<Arc<str>, Member>,
    ring: BTreeMap<u64, Arc<str>>,
}

impl Table {
    pub(crate) fn insert(&mut self, member: Member) -> Option<Member> {
        let name = Arc::clone(&member.identity.name);
        match member.state {
            State::Down => self.ring.remove(&ring_position(&name)),
            _ => self.ring.insert(ring_position(&name), Arc::clone(&name)),
        };
        self.members.insert(name, member)
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.ring.remove(&ring_position(name));
        self.members.remove(name);
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The members that `own` probes: its next successors on the ring, counted separately for
    /// its own and for other failure domains, and the suspects between them. Suspects aren't
    /// counted, so that probing moves on along the ring when a whole failure domain is lost,
    /// without waiting for each suspicion to end.
    pub(crate) fn probe_targets(&self, own: &Identity) -> Vec<Member> {
        let (mut same_domain, mut other_domains, mut suspects) = (0, 0, 0);
        let mut targets = Vec::new();
        for member in self.successors(&own.name) {
            let (count, limit) = match member {
                m if m.state == State::Suspect => (&mut suspects, SUSPECT_PROBES),
                m if m.identity.domain == own.domain => (&mut same_domain, SAME_DOMAIN_PROBES),
                _ => (&mut other_domains, OTHER_DOMAIN_PROBES),
            };
            if *count < limit {
                *count += 1;
                targets.push(member.clone());
            }
            if same_domain == SAME_DOMAIN_PROBES && other_domains == OTHER_DOMAIN_PROBES {
                break;
            }
        }
        targets
    }

    fn successors(&self, name: &str) -> impl Iterator<Item = &Member> {
        let start = ring_position(name);
        let after = (ops::Bound::Excluded(start), ops::Bound::Unbounded);
        let names = self.ring.range(after).chain(self.ring.range(..start));
        names.filter_map(|(_, name)| self.members.get(name))
    }
}

fn ring_position(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Rendezvous weight of the instance `name` for `subject`; the greatest weight ranks first.
pub(crate) fn weight(subject: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(subject.as_bytes()))
}
