//! Failure detection: probes members and contacts instances that may have come back.
//!
//! A member becomes suspect when a direct probe fails and other instances can't reach it
//! either. It is declared down when all probes during the suspicion timeout fail and it
//! hasn't refuted the suspicion.

use std::collections::BTreeSet;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use marigoldloom_runtime::runtime;
use marigoldloom_runtime::time;

use crate::dissemination::Dissemination;
use crate::generated::peer;
use crate::membership::{Member, State};
use crate::store::{Source, Store};
use crate::transport::Transport;
use crate::wire;

/// Interval between two checks of the same target.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Timeout of a direct probe; round trips between regions take 20 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a probe through another instance.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of instances that are asked to confirm a failed probe.
const HELPERS: usize = 3;

/// Time that a suspect has to refute. Together with the wait for the next check (up to 1 s),
/// the probe timeouts (0.65 s) and the dissemination (0.3 s), all instances know of a crash
/// within 3 s.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause between two probe rounds of a suspect.
const SUSPECT_PROBE_PAUSE: Duration = Duration::from_millis(200);

/// A probe round that took longer than this says nothing about the target, because this
/// process was paused or starved meanwhile. Sum of the direct and the indirect probe timeout,
/// the pause before the round and a tolerance of 250 ms.
const STALL_THRESHOLD: Duration = Duration::from_millis(250 + 400 + 200 + 250);

/// If no helper answers, this instance may itself be cut off. It then draws no conclusion about
/// others until it has had no contact with any instance for this time.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which one of the instances that aren't known to be in service is contacted, so
/// that the tier merges again after a partition.
const CONTACT_PERIOD: Duration = Duration::from_secs(2);

/// Result of a probe round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Reachable,
    Unreachable,
    /// This process was paused, or no helper answered.
    Inconclusive,
}

/// Failure detector of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Detector<R, T> {
    rt: R,
    transport: T,
    store: Store<R>,
    dissemination: Dissemination<R, T>,
    /// Names of the members that are being checked.
    running_checks: Arc<Mutex<BTreeSet<Arc<str>>>>,
    /// When this instance last received a request or a reply of a probe.
    last_contact: Arc<Mutex<time::Timestamp>>,
}

impl<R: runtime::Runtime, T: Transport> Detector<R, T> {
    pub(crate) fn new(
        rt: R,
        transport: T,
        store: Store<R>,
        dissemination: Dissemination<R, T>,
    ) -> Self {
        let last_contact = Arc::new(Mutex::new(rt.now()));
        Self {
            rt,
            transport,
            store,
            dissemination,
            running_checks: Arc::default(),
            last_contact,
        }
    }

    pub(crate) fn start(&self, seeds: Vec<net::SocketAddr>) {
        self.rt.spawn(self.clone().probe_members());
        self.rt.spawn(self.clone().probe_contacts(seeds));
    }

    async fn probe_members(self) {
        // A random phase, so that instances started together don't probe a member together.
        let phase = runtime::random_below(&self.rt, PROBE_PERIOD.as_micros() as u64);
        self.rt.sleep(Duration::from_micros(phase)).await;
        loop {
            let targets = self.store.probe_targets();
            let count = u32::try_from(targets.len()).unwrap_or(1).max(1);
            for target in targets {
                self.rt.spawn(self.clone().check(target));
                self.rt.sleep(PROBE_PERIOD / count).await;
            }
            if count == 1 {
                self.rt.sleep(PROBE_PERIOD / 4).await;
            }
        }
    }

    async fn probe_contacts(self, seeds: Vec<net::SocketAddr>) {
        loop {
            let addresses = self.store.contact_addresses(&seeds);
            let index = runtime::random_below(&self.rt, addresses.len() as u64);
            if let Some(address) = addresses.get(usize::try_from(index).unwrap_or(0)) {
                self.probe(*address, 0).await;
            }
            self.rt.sleep(CONTACT_PERIOD).await;
        }
    }

    /// Probes a member until it is reached, refutes the suspicion or is declared down.
    /// Returns at once if a check of the member is already running.
    async fn check(self, target: Member) {
        let name = Arc::clone(&target.identity.name);
        if !self.lock_running_checks().insert(Arc::clone(&name)) {
            return;
        }
        self.check_until_resolved(&target).await;
        self.lock_running_checks().remove(&name);
    }

    async fn check_until_resolved(&self, target: &Member) {
        if self.probe_round(target).await != ProbeOutcome::Unreachable {
            return;
        }
        self.store.declare(target, State::Suspect);
        let suspected_at = self.rt.now();
        while self.rt.now().since(suspected_at) < SUSPICION_TIMEOUT {
            self.rt.sleep(SUSPECT_PROBE_PAUSE).await;
            match self.probe_round(target).await {
                ProbeOutcome::Unreachable if !self.is_refuted(target) => {}
                _ => return,
            }
        }
        match self.rt.now().since(suspected_at) {
            elapsed if elapsed > SUSPICION_TIMEOUT + STALL_THRESHOLD => warn_stalled(elapsed),
            _ => self.store.declare(target, State::Down),
        }
    }

    fn is_refuted(&self, target: &Member) -> bool {
        let held = self.store.member(&target.identity.name);
        held.is_none_or(|held| held.incarnation != target.incarnation)
    }

    /// Probes the target directly and, if that fails, through other instances.
    async fn probe_round(&self, target: &Member) -> ProbeOutcome {
        let held = self.store.member(&target.identity.name);
        let held = held.map_or(0, |member| member.stamp());
        let start = self.rt.now();
        if self.probe(target.identity.address, held).await {
            return ProbeOutcome::Reachable;
        }
        let outcome = self.probe_indirectly(target, held).await;
        let elapsed = self.rt.now().since(start);
        match outcome {
            ProbeOutcome::Unreachable if elapsed > STALL_THRESHOLD => {
                warn_stalled(elapsed);
                ProbeOutcome::Inconclusive
            }
            outcome => outcome,
        }
    }

    async fn probe_indirectly(&self, target: &Member, held: u64) -> ProbeOutcome {
        let helpers = self.store.sample(HELPERS, &target.identity.name);
        if helpers.is_empty() {
            return ProbeOutcome::Unreachable;
        }
        let ask = |address| self.ask_helper(address, target, held);
        let mut answers: stream::FuturesUnordered<_> =
            helpers.iter().map(|h| ask(h.address)).collect();
        let mut outcome = ProbeOutcome::Inconclusive;
        while let Some(answer) = answers.next().await {
            match answer {
                Some(true) => return ProbeOutcome::Reachable,
                Some(false) => outcome = ProbeOutcome::Unreachable,
                None => {}
            }
        }
        match outcome {
            ProbeOutcome::Inconclusive if self.is_isolated_for_long() => ProbeOutcome::Unreachable,
            outcome => outcome,
        }
    }

    async fn ask_helper(
        &self,
        helper: net::SocketAddr,
        target: &Member,
        held: u64,
    ) -> Option<bool> {
        let request = peer::ProbeViaRequest {
            name: target.identity.name.to_string(),
            address: target.identity.address.to_string(),
            held,
        };
        let call = self.transport.probe_via(helper, request);
        let reply = runtime::timeout(&self.rt, INDIRECT_PROBE_TIMEOUT, call)
            .await
            .ok()?
            .ok()?;
        self.record_contact();
        self.store
            .merge(wire::decode(reply.entries), Source::Update);
        Some(reply.reached)
    }

    /// Sends a probe and returns whether the instance answered. `held` is the stamp of the local
    /// entry of that instance; 0 if there is none.
    async fn probe(&self, to: net::SocketAddr, held: u64) -> bool {
        let own = self.store.own();
        let request = peer::ProbeRequest {
            sender: own.identity.name.to_string(),
            stamp: own.stamp(),
            held,
            hashes: self.store.hashes(),
        };
        let call = self.transport.probe(to, request);
        match runtime::timeout(&self.rt, PROBE_TIMEOUT, call).await {
            Ok(Ok(reply)) => {
                self.record_contact();
                self.store
                    .merge(wire::decode(reply.entries), Source::Update);
                self.dissemination
                    .reconcile(to, &reply.hashes, reply.configured);
                true
            }
            _ => false,
        }
    }

    /// Answers a probe with the entries that the sender doesn't have.
    pub(crate) fn on_probe(&self, request: &peer::ProbeRequest) -> peer::ProbeReply {
        self.record_contact();
        let entries = self.own_entry_unless(request.held);
        let sender = self.store.member_entry(&request.sender);
        let newer = sender.filter(|held| held.stamp > request.stamp);
        let newer = newer.as_ref().map(wire::encode);
        peer::ProbeReply {
            entries: entries.into_iter().chain(newer).collect(),
            hashes: self.store.hashes(),
            configured: self.store.is_configured(),
        }
    }

    /// Probes a third instance on behalf of the sender.
    pub(crate) async fn on_probe_via(&self, request: peer::ProbeViaRequest) -> peer::ProbeViaReply {
        let Ok(address) = request.address.parse() else {
            return peer::ProbeViaReply::default();
        };
        let reached = self.probe(address, request.held).await;
        let entry = self.store.member_entry(&request.name);
        let newer = entry.filter(|entry| reached && entry.stamp > request.held);
        peer::ProbeViaReply {
            reached,
            entries: newer.iter().map(wire::encode).collect(),
        }
    }

    /// The own member entry if its stamp differs from `held`, the stamp that the other instance
    /// has of it. Refutes a suspicion first.
    fn own_entry_unless(&self, held: u64) -> Option<peer::Entry> {
        self.store.refute(held);
        let own = self.store.own();
        (own.stamp() != held).then(|| wire::encode(&own.entry(self.rt.wall())))
    }

    fn record_contact(&self) {
        *self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = self.rt.now();
    }

    fn is_isolated_for_long(&self) -> bool {
        let last_contact = *self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.rt.now().since(last_contact) > ISOLATION_TIMEOUT
    }

    fn lock_running_checks(&self) -> MutexGuard<'_, BTreeSet<Arc<str>>> {
        self.running_checks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn warn_stalled(elapsed: Duration) {
    tracing::warn!(
        ?elapsed,
        "this process was stalled; probe results are discarded"
    );
}
