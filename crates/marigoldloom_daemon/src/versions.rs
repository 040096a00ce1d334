//! Chooses the version that a request reads: the one that a version move assigns, or else the
//! service's active version.

use marigoldloom_moves::moves;
use marigoldloom_peers::exchange::Exchange;
use marigoldloom_platform::platform;
use marigoldloom_query::hooks;
use marigoldloom_records::service;
use marigoldloom_runtime::runtime::Runtime;

/// Chooses versions by the running version moves.
#[derive(Clone)]
pub(crate) struct Versions<M>(pub(crate) M);

impl<R: Runtime, P: platform::Platform, E: Exchange> hooks::Versions
    for Versions<moves::Moves<R, P, E>>
{
    fn choose(&self, service: &service::Service, route: &str, hash: u64) -> String {
        let chosen = self.0.choose(&service.name, route, hash);
        chosen.map_or_else(|| service.active.clone(), |v| v.to_string())
    }
}
