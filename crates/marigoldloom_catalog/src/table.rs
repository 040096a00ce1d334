//! Lookup of a request's route by host and longest path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::configuration::Route;

/// Routes of one configuration, indexed by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
}

impl Table {
    /// Indexes `routes`. A later route replaces an earlier one with the same host and prefix.
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a Route>) -> Self {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        Self { hosts }
    }

    /// Returns the route of a request to `path`. `host` may include a port, which is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let ends = path.match_indices('/').map(|(i, _)| i + 1);
        let mut ends: Vec<_> = ends.collect();
        ends.reverse();
        ends.into_iter().find_map(|end| prefixes.get(&path[..end]))
    }
}
