//! Connects the version moves of an instance to the platform and to the choice of replicas.

use std::sync::Arc;

use marigoldloom_catalog::feed::Feed;
use marigoldloom_catalog::follower::LatestView;
use marigoldloom_catalog::source::{self, Source};
use marigoldloom_moves::phases;
use marigoldloom_moves::window::WindowedMoves;
use marigoldloom_query::hooks;
use marigoldloom_records::service;
use marigoldloom_records::version_move::{Order, Phase};
use marigoldloom_routing::topology;
use marigoldloom_runtime::runtime::Runtime;

use crate::exchange::PeerExchange;

/// The moves of an instance of the front end.
pub(crate) type Moves<R> = WindowedMoves<R, PeerExchange<R>>;

/// Chooses replicas by the moves of their services.
pub(crate) struct Versions<R>(pub(crate) Moves<R>);

impl<R: Runtime> hooks::Versions for Versions<R> {
    fn choose(&self, service: &service::Service, _route: &str, _hash: u64) -> String {
        service.active.clone()
    }

    fn filter(&self, service: &str, hash: u64, first: bool) -> topology::VersionFilter {
        self.0.filter(service, hash, first)
    }
}

/// The orders of the view in force.
#[derive(Clone)]
pub(crate) struct ViewOrders<R, S> {
    pub(crate) rt: R,
    pub(crate) source: S,
    pub(crate) latest: LatestView,
    pub(crate) feed: Arc<Feed>,
}

impl<R: Runtime, S: Source> phases::Orders for ViewOrders<R, S> {
    type Error = source::Error;

    fn current(&self) -> Vec<Order> {
        let view = self.latest.get();
        view.map_or_else(Vec::new, |view| view.moves.to_vec())
    }

    fn is_connected(&self) -> bool {
        self.feed.is_live(self.rt.now())
    }

    async fn set_phase(&self, order: &Order, phase: Phase) -> Result<(), source::Error> {
        self.source.set_phase(order, phase).await
    }
}
