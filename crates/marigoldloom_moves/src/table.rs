//! The routing table by which the request path chooses a version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_runtime::time;

use crate::recorder::Side;
use crate::share::{self, Step};

/// Age above which a table sends no requests to the new version: the instance was paused and may
/// have missed that the move was taken back.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The versions of all services. Rebuilt at each tick of [`crate::control::run`].
#[derive(Default)]
pub(crate) struct RoutingTable {
    pub(crate) built_at: time::Timestamp,
    pub(crate) services: BTreeMap<String, ServiceEntry>,
}

/// The versions of one service.
pub(crate) struct ServiceEntry {
    /// The version that gets all traffic except the share of the running move.
    pub(crate) base: Arc<str>,
    pub(crate) running: Option<RunningMove>,
}

/// A move that has started and hasn't ended.
pub(crate) struct RunningMove {
    pub(crate) name: Arc<str>,
    pub(crate) to: Arc<str>,
    pub(crate) step: Step,
    /// Steps of the routes with evidence, at most `step`; other routes get at most 1%.
    pub(crate) routes: BTreeMap<String, Step>,
}

/// The move, version and step that a finished request counts for.
pub(crate) struct Attribution {
    pub(crate) name: Arc<str>,
    pub(crate) side: Side,
    pub(crate) step: Step,
}

impl RoutingTable {
    /// Returns the version that a request goes to; `None` if the service isn't known.
    pub(crate) fn choose(
        &self,
        now: time::Timestamp,
        service: &str,
        route: &str,
        request: u64,
    ) -> Option<Arc<str>> {
        let service = self.services.get(service)?;
        let fresh = now.since(self.built_at) <= MAX_AGE;
        let chosen = service.running.as_ref().filter(|running| {
            fresh && share::uses_new_version(&running.name, request, running.step(route))
        });
        Some(Arc::clone(chosen.map_or(&service.base, |r| &r.to)))
    }

    /// Returns what a request to `version` counts for; `None` if no move of that version runs.
    pub(crate) fn attribute(&self, service: &str, version: &str) -> Option<Attribution> {
        let service = self.services.get(service)?;
        let running = service.running.as_ref()?;
        let side = match version {
            v if v == &*running.to => Side::New,
            v if v == &*service.base => Side::Old,
            _ => return None,
        };
        Some(Attribution {
            name: Arc::clone(&running.name),
            side,
            step: running.step,
        })
    }
}

impl RunningMove {
    fn step(&self, route: &str) -> Step {
        let known = self.routes.get(route).copied();
        known.unwrap_or_else(|| self.step.min(Step::One))
    }
}
