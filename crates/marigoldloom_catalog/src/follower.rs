//! Keeps a catalog up to date with the platform.
//!
//! One task per kind lists its records once and then holds a watch. While the platform is
//! away only the configuration's task tries again, because each call has its price.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::{self, Timestamp};

use crate::catalog::{Catalog, Place, Regained};
use crate::source::{Changes, Error, Kind, Listing, Revision, Source};
use crate::view::View;

/// First pause before a failed call is tried again.
const RETRY_BASE: Duration = Duration::from_millis(50);

/// Longest such pause. After an outage an instance must know the newest configuration within
/// the platform's 4 s of contact, and a call that hangs takes some of that.
const RETRY_CAP: Duration = Duration::from_millis(500);

/// Longest time for which the other kinds leave it to the configuration's task to find out
/// whether the platform is back.
const YIELD_LIMIT: Duration = Duration::from_secs(2);

/// Shortest outage in which a replica's record may lapse: less than a heartbeat interval.
const LAPSE_LEAST: Duration = Duration::from_secs(1);

/// Time in which changes of replicas are collected. A replica that leaves serves for 3 s more.
const GROUP_TIME: Duration = Duration::from_millis(300);

/// Time between two looks for replicas whose records did not come back after an outage.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

/// Follows the platform and hands each new view to `apply`. Runs until it is dropped.
pub async fn follow<R, S, F>(rt: R, source: S, place: Place, apply: F)
where
    R: Runtime,
    S: Source,
    F: Fn(View),
{
    let follower = Follower {
        rt,
        source,
        state: Mutex::new(State {
            catalog: Catalog::new(place),
            regained: Regained::default(),
            down: None,
        }),
        apply,
    };
    let kinds = Kind::ALL.map(|kind| follower.follow(kind));
    future::join(future::join_all(kinds), follower.sweep()).await;
}

struct Follower<R, S, F> {
    rt: R,
    source: S,
    state: Mutex<State>,
    apply: F,
}

struct State {
    catalog: Catalog,
    regained: Regained,
    /// Since when the platform has not answered.
    down: Option<Timestamp>,
}

impl<R: Runtime, S: Source, F: Fn(View)> Follower<R, S, F> {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow(&self, kind: Kind) {
        loop {
            let listing = self.list(kind).await;
            let mut since = listing.revision;
            self.update(|state, now| {
                let regained = state.regained;
                state.catalog.replace(kind, listing.records, now, regained);
                true
            });
            while let Some(changes) = self.watch(kind, since).await {
                since = since.max(changes.revision);
                self.change(kind, changes);
                // Replicas come and go in groups; one call then reports several.
                if kind == Kind::Replicas {
                    self.rt.sleep(GROUP_TIME).await;
                }
            }
        }
    }

    /// Lists a kind, however long it takes.
    async fn list(&self, kind: Kind) -> Listing {
        let mut attempt = 0;
        loop {
            match self.source.list(kind).await {
                Ok(listing) => {
                    self.succeeded();
                    return listing;
                }
                Err(error) => self.pause(kind, &error, &mut attempt).await,
            }
        }
    }

    /// The next changes of a kind; none if it must be listed again. A watch that was cut may
    /// have missed changes that a new one from the same revision doesn't report at once.
    async fn watch(&self, kind: Kind, since: Revision) -> Option<Changes> {
        match self.source.watch(kind, since).await {
            Ok(changes) => {
                self.succeeded();
                Some(changes)
            }
            Err(Error::Compacted) => {
                tracing::info!(%kind, "the platform forgot its history; listing again");
                None
            }
            Err(error) => {
                self.pause(kind, &error, &mut 0).await;
                None
            }
        }
    }

    fn change(&self, kind: Kind, changes: Changes) {
        self.update(|state, now| {
            let any = !changes.changes.is_empty();
            let regained = state.regained;
            for (name, record) in changes.changes {
                state.catalog.set(kind, name, record, now, regained);
            }
            any
        });
    }

    /// Changes the state and applies the new view if `change` says that there is one.
    fn update(&self, change: impl FnOnce(&mut State, Timestamp) -> bool) {
        let now = self.rt.now();
        let mut state = self.state();
        if !change(&mut state, now) {
            return;
        }
        // Applied under the lock, so that an older view never follows a newer one.
        if let Some(view) = state.catalog.view() {
            (self.apply)(view);
        }
    }

    fn succeeded(&self) {
        let mut state = self.state();
        let Some(since) = state.down.take() else {
            return;
        };
        let now = self.rt.now();
        let outage = now.since(since);
        tracing::info!(
            outage_ms = time::millis(outage),
            "the platform answers again"
        );
        if outage >= LAPSE_LEAST {
            state.regained = Regained(Some(now));
        }
    }

    fn failed(&self, kind: Kind, error: &Error) {
        let mut state = self.state();
        if state.down.is_none() {
            state.down = Some(self.rt.now());
            tracing::warn!(%kind, %error, "the platform doesn't answer; the last records stay in force");
        }
    }

    async fn pause(&self, kind: Kind, error: &Error, attempt: &mut u32) {
        self.failed(kind, error);
        let pause = runtime::backoff(&self.rt, *attempt, RETRY_BASE, RETRY_CAP);
        *attempt += 1;
        self.rt.sleep(pause.max(RETRY_BASE)).await;
        if kind != Kind::Configuration {
            self.await_platform().await;
        }
    }

    async fn await_platform(&self) {
        let start = self.rt.now();
        while self.state().down.is_some() && self.rt.now().since(start) < YIELD_LIMIT {
            self.rt.sleep(RETRY_BASE).await;
        }
    }

    async fn sweep(&self) {
        loop {
            self.rt.sleep(SWEEP_PERIOD).await;
            if self.state().catalog.has_lapsed() {
                self.update(|state, now| state.catalog.sweep(now));
            }
        }
    }
}

/// A view that is replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct Latest {
    view: Arc<Mutex<Option<Arc<View>>>>,
}

impl Latest {
    /// Replaces the view.
    pub fn set(&self, view: Arc<View>) {
        let mut latest = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        *latest = Some(view);
    }

    /// The view in force.
    pub fn get(&self) -> Option<Arc<View>> {
        let latest = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        latest.clone()
    }
}
