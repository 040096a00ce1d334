//! Getting records from other instances, and deciding when to ask the platform instead.

use std::pin;
use std::time::Duration;

use futures::future::{self, Either};
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_runtime::time::Timestamp;

use super::{Doubt, Follower};
use crate::fleet::Member;
use crate::relay::{self, POLL_WAIT, Peers, Role};
use crate::source::{Kind, Source};
use crate::view::View;

/// Shortest time between two checks whether the platform answers although polled peers say that it
/// doesn't. In an outage, each instance makes them.
const DOUBT_PERIOD: Duration = Duration::from_secs(3);

/// Pause before a peer that is disconnected from the platform is polled again.
const DISCONNECTED_PAUSE: Duration = Duration::from_millis(200);

/// Time between two checks whether a watching instance can poll peers instead.
const ROLE_PERIOD: Duration = Duration::from_secs(1);

impl<R: Runtime, S: Source, P: Peers, F: Fn(View)> Follower<R, S, P, F> {
    /// Completes once both peers that this instance can poll have answered twice. Applies what they know.
    /// A peer that is about to lose its own contact to the platform answers at once but doesn't hold a
    /// poll.
    pub(super) async fn until_peers_ready(&self) {
        loop {
            if let Role::Follower(peers) = self.sources.roster.role(self.rt.now())
                && self.try_peers(&peers, Duration::ZERO).await
                && self.try_peers(&peers, POLL_WAIT).await
            {
                return;
            }
            self.rt.sleep(ROLE_PERIOD).await;
        }
    }

    /// Asks `peers` for changes, which they may wait for. Returns whether all of them answered.
    async fn try_peers(&self, peers: &[Member], wait: Duration) -> bool {
        let asked = peers.iter().map(|peer| self.try_peer(peer, wait));
        let answers = future::join_all(asked).await;
        answers.into_iter().all(|answered| answered)
    }

    /// Asks a peer for changes and applies them. Returns whether it answered. A peer that is disconnected
    /// from the platform may have begun to watch it.
    async fn try_peer(&self, peer: &Member, wait: Duration) -> bool {
        let start = self.rt.now();
        loop {
            let known = self.state().known.clone();
            match self.sources.peers.poll(peer, &known, wait).await {
                Ok(update) => {
                    self.sources.roster.record_success(peer);
                    self.apply_update(update);
                    return true;
                }
                Err(relay::Error::Disconnected)
                    if self.rt.now().since(start) < relay::DISCONNECTED_LIMIT =>
                {
                    self.rt.sleep(DISCONNECTED_PAUSE).await;
                }
                Err(error) => {
                    let roster = &self.sources.roster;
                    roster.record_failure(self.rt.now(), peer, error);
                    return false;
                }
            }
        }
    }

    /// Polls `peers` until all of them fail or the instance's role changes. Returns whether the platform
    /// must be asked next.
    pub(super) async fn follow_peers(&self, peers: &[Member]) -> bool {
        let names: Vec<_> = peers.iter().map(|p| &*p.candidate.name).collect();
        tracing::info!(instances = names.join(", "), "following other instances");
        Kind::ALL
            .into_iter()
            .for_each(|kind| self.clear_failure(kind));
        let polls = future::join_all(peers.iter().map(|peer| self.poll(peer)));
        let role_changed = async {
            while !self.is_role_changed(peers).await {
                if self.rt.now().since(self.state().last_update) > relay::STALE_AFTER {
                    self.sources.feed.set_disconnected();
                }
                self.rt.sleep(DISCONNECTED_PAUSE).await;
            }
        };
        match future::select(pin::pin!(polls), pin::pin!(role_changed)).await {
            Either::Left((errors, _)) => {
                self.sources.feed.set_disconnected();
                self.must_ask_platform(&errors)
            }
            Either::Right(_) => false,
        }
    }

    /// Returns whether this instance has another role than polling `peers`. A peer that doesn't answer
    /// replaces none of them.
    async fn is_role_changed(&self, peers: &[Member]) -> bool {
        match self.sources.roster.role(self.rt.now()) {
            Role::Follower(proposed) => {
                let (mut same, mut new) = (0, Vec::new());
                for peer in proposed {
                    match peers.contains(&peer) {
                        true => same += 1,
                        false => new.push(peer),
                    }
                }
                same < peers.len() && self.try_peers(&new, Duration::ZERO).await
            }
            Role::Watcher | Role::Unknown => true,
        }
    }

    /// Returns whether the platform must be asked after all polled peers have failed with `errors`: the
    /// next ones may be lost as well. Peers that have lost the platform are left for it only if it answered
    /// this instance and they haven't found it again since: after an outage, all instances would call it.
    fn must_ask_platform(&self, errors: &[relay::Error]) -> bool {
        let doubt = self.state().doubt;
        let recent = |doubt: Doubt| self.rt.now().since(doubt.at) < DOUBT_PERIOD;
        errors.contains(&relay::Error::Unreachable)
            || doubt.is_some_and(|doubt| doubt.answered && recent(doubt))
    }

    /// Checks whether the platform answers this instance, unless it has done so lately.
    async fn doubt_peers(&self) {
        let now = self.rt.now();
        let recent = |doubt: Doubt| now.since(doubt.at) < DOUBT_PERIOD;
        if self.state().doubt.is_some_and(recent) {
            return;
        }
        let doubt = |answered| Some(Doubt { at: now, answered });
        self.state().doubt = doubt(false);
        let answer = self.probe_kind(Kind::Evacuations, Duration::ZERO).await;
        self.state().doubt = doubt(answer.is_ok());
    }

    /// Polls one peer repeatedly until it fails. Returns why.
    async fn poll(&self, peer: &Member) -> relay::Error {
        let mut disconnected = None;
        loop {
            let known = self.state().known.clone();
            let error = match self.sources.peers.poll(peer, &known, POLL_WAIT).await {
                Ok(update) => {
                    disconnected = None;
                    self.sources.roster.record_success(peer);
                    self.apply_update(update);
                    self.publish_peer_records(self.rt.now());
                    continue;
                }
                Err(error) => error,
            };
            let now = self.rt.now();
            if error == relay::Error::Disconnected
                && now.since(*disconnected.get_or_insert(now)) < relay::DISCONNECTED_LIMIT
            {
                let pause = self.rt.sleep(DISCONNECTED_PAUSE);
                future::join(pause, self.doubt_peers()).await;
                continue;
            }
            self.sources.roster.record_failure(now, peer, error);
            // The peer knows of an outage of the platform, so that failed calls to the platform
            // are retried after the longest pause from the start.
            if error == relay::Error::Disconnected {
                self.state().down_since.get_or_insert(now);
            }
            return error;
        }
    }

    /// Serves the records that peers returned at `now` to other instances. Peers return all kinds that
    /// they know at once.
    pub(super) fn publish_peer_records(&self, now: Timestamp) {
        let mut state = self.state();
        state.last_update = now;
        match state.known.contains_key(&Kind::Configuration) {
            true => self.sources.feed.set_connected(now),
            false => self.sources.feed.set_disconnected(),
        }
    }
}
