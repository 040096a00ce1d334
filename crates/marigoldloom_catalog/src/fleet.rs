//! Registration of the tier's instances, and the list of all registered ones.
//!
//! Limits of upstreams are divided by the number of instances. Each instance registers on the
//! platform and lists the registered instances periodically. Nothing removes an instance that
//! no longer runs: a count that is too large keeps the sum over all instances within the limits,
//! one that is too small would not. The platform may lose the latest registrations when it comes back
//! from an older copy. Instances that it no longer lists still count for a while, in which they register
//! again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_routing::home;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::supervisor;
use marigoldloom_runtime::time::Timestamp;

use crate::relay::Roster;
use crate::source::{Error, Source};

/// Shortest and longest pause before a failed call is retried. Both are shorter than
/// [`FIRST_COUNT_DELAY`], so that instances that wait for the platform to come back are all
/// registered before the first one counts.
const RETRY_BASE: Duration = Duration::from_millis(500);
const RETRY_CAP: Duration = Duration::from_secs(2);

/// Time from an instance's registration to its first count: all instances of a deployment start
/// within 0.3 s of each other, and the platform may answer a count from a copy that is 2 s old.
const FIRST_COUNT_DELAY: Duration = Duration::from_millis(2_500);

/// Time between two counts.
const COUNT_PERIOD: Duration = Duration::from_secs(15);

/// Time for which an instance counts that the platform no longer lists: some counts of its own and the
/// time until its registration is seen by the others.
const MISSING_TIME: Duration = Duration::from_secs(60);

/// Instances with less than this fraction of the greatest capacity in their failure domain serve
/// other instances only if no stronger instance is available.
const MIN_CAPACITY_RATIO: f64 = 0.5;

/// A registered instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and failure domain of the instance.
    pub candidate: home::Candidate,
    /// Address that other instances forward queries to.
    pub address: SocketAddr,
    /// CPU time that it may use, in cores.
    pub capacity: f64,
}

/// Splits instances into those with a large capacity relative to their failure domain's largest,
/// and the others.
pub fn split_by_capacity<'a>(
    members: impl Iterator<Item = &'a Member> + Clone,
) -> (Vec<&'a Member>, Vec<&'a Member>) {
    let mut greatest: BTreeMap<&str, f64> = BTreeMap::new();
    for member in members.clone() {
        let capacity = greatest.entry(&member.candidate.domain).or_default();
        *capacity = capacity.max(member.capacity);
    }
    members.partition(|m| m.capacity >= greatest[&*m.candidate.domain] * MIN_CAPACITY_RATIO)
}

/// Registers the instance `own` unless an earlier process of it did, then passes each changed list
/// of instances to `roster` and `apply`. Runs until it is dropped.
pub async fn follow<R, S, F>(rt: R, source: S, own: Member, roster: Arc<Roster>, apply: F)
where
    R: Runtime,
    S: Source,
    F: Fn(Vec<Member>),
{
    let start = || follow_once(&rt, &source, &own, &roster, &apply);
    supervisor::supervise(&rt, "instances", start).await;
}

async fn follow_once(
    rt: &impl Runtime,
    source: &impl Source,
    own: &Member,
    roster: &Roster,
    apply: impl Fn(Vec<Member>),
) {
    let mut attempt = 0;
    let registered = loop {
        match source.members().await {
            Ok(members) => break members.contains(own),
            Err(error) => back_off(rt, "list of instances", &error, &mut attempt).await,
        }
    };
    if !registered {
        roster.expect_members();
        let mut attempt = 0;
        while let Err(error) = source.register(own).await {
            back_off(rt, "registration", &error, &mut attempt).await;
        }
        rt.sleep(FIRST_COUNT_DELAY).await;
    }
    let mut known = Vec::new();
    let mut listed = Listed::default();
    let mut attempt = 0;
    loop {
        match source.members().await {
            Ok(members) => {
                attempt = 0;
                let is_own = |member: &Member| member.candidate.name == own.candidate.name;
                if !members.iter().any(is_own) {
                    tracing::warn!("the platform has lost the registration of this instance");
                    if let Err(error) = source.register(own).await {
                        back_off(rt, "registration", &error, &mut attempt).await;
                    }
                }
                let members = listed.update(members, rt.now());
                if members != known {
                    tracing::info!(instances = members.len(), "instances counted");
                    known.clone_from(&members);
                    roster.set_members(&members);
                    apply(members);
                }
                rt.sleep(COUNT_PERIOD).await;
            }
            Err(error) => back_off(rt, "list of instances", &error, &mut attempt).await,
        }
    }
}

/// The instances that count, by name, and since when each one that counts is missing on the platform.
#[derive(Debug, Default)]
struct Listed(BTreeMap<Arc<str>, (Member, Option<Timestamp>)>);

impl Listed {
    /// Adds a list that was read at `now`. Returns the instances that count.
    fn update(&mut self, members: Vec<Member>, now: Timestamp) -> Vec<Member> {
        for (_, missing) in self.0.values_mut() {
            missing.get_or_insert(now);
        }
        for member in members {
            let name = Arc::clone(&member.candidate.name);
            self.0.insert(name, (member, None));
        }
        let counts =
            |missing: Option<Timestamp>| missing.is_none_or(|at| now.since(at) < MISSING_TIME);
        self.0.retain(|_, (_, missing)| counts(*missing));
        self.0.values().map(|(member, _)| member.clone()).collect()
    }
}

/// Logs the failed call and waits before the next attempt.
async fn back_off(rt: &impl Runtime, call: &str, error: &Error, attempt: &mut u32) {
    tracing::debug!(call, %error, "the platform doesn't answer");
    let delay = runtime::backoff(rt, *attempt, RETRY_BASE, RETRY_CAP);
    *attempt += 1;
    rt.sleep(delay.max(RETRY_BASE)).await;
}
