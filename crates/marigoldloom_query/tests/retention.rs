//! Tests which state an engine keeps of services that are gone.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use marigoldloom_query::engine;
use marigoldloom_routing::topology::Topology;
use marigoldloom_runtime::runtime::Runtime;
use marigoldloom_testkit::fake_fleet;

/// Number of services that come and go.
const SERVICES: usize = 500;

/// Time between two of them.
const GAP: Duration = Duration::from_secs(1);

/// Guards against memory that grows with each service that there ever was, and against a service whose
/// budget begins anew because it was away for a moment.
#[test]
fn state_of_services_that_are_gone_is_dropped() {
    support::run(1, |rt| async move {
        let plan = fake_fleet::Plan::default();
        let world = support::World::new(&rt, plan, engine::Settings::default());
        world.warm_up().await;
        let search: Arc<str> = Arc::from("search");
        let before = world.engine.attempt_counts(&search);
        let topology = world.engine.topology().expect("a topology");
        let empty = || Arc::new(Topology::new(Arc::from("d0"), BTreeMap::new()));
        world.engine.apply(empty());
        rt.sleep(Duration::from_secs(20)).await;
        world.engine.apply(topology);
        assert_eq!(
            world.engine.attempt_counts(&search),
            before,
            "after a short absence"
        );
        let mut most = 0;
        for number in 0..SERVICES {
            let gone: Arc<str> = Arc::from(format!("gone-{number}"));
            world.engine.set_sender_count(&gone, 2);
            world.engine.apply(empty());
            most = most.max(world.engine.service_count());
            rt.sleep(GAP).await;
        }
        assert!(most < 100, "{most} services");
    });
}
