//! Separate admission control for each service, so that a service with overloaded upstreams
//! doesn't delay requests to other services.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use marigoldloom_limits::admission;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_settings::settings;

/// Admission control of all services of one instance.
pub(crate) struct Admissions<R> {
    rt: R,
    settings: admission::Settings,
    services: Mutex<BTreeMap<Arc<str>, admission::Admission<R>>>,
}

impl<R: Runtime> Admissions<R> {
    pub(crate) fn new(rt: R, settings: &settings::Settings) -> Self {
        Self {
            rt,
            settings: admission_settings(settings),
            services: Mutex::default(),
        }
    }

    /// Returns the admission control of a service and creates it on first use. Call it only for
    /// defined services: names come from callers, and entries are never removed.
    pub(crate) fn for_service(&self, service: &Arc<str>) -> admission::Admission<R> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let create = || admission::Admission::new(self.rt.clone(), self.settings.clone());
        let entry = services.entry(Arc::clone(service)).or_insert_with(create);
        entry.clone()
    }
}

fn admission_settings(settings: &settings::Settings) -> admission::Settings {
    let weights = settings.tenants.iter();
    let bounds = admission::Bounds::default();
    let most = settings.limits.concurrency;
    admission::Settings {
        weights: weights.map(|(n, t)| (n.clone(), t.weight)).collect(),
        queue: usize::try_from(settings.limits.queue).unwrap_or(usize::MAX),
        running: admission::Bounds {
            least: bounds.least.min(most),
            initial: bounds.initial.min(most),
            most,
        },
    }
}
