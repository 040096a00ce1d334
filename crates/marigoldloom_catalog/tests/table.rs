//! Tests the choice of a route by host and longest path prefix, and the quorum of shards.

use std::sync::Arc;
use std::time::Duration;

use marigoldloom_catalog::configuration::{Backend, Route, Scatter};
use marigoldloom_catalog::table::Table;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        backend: Backend::Single(Arc::from("index")),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        regions: Vec::new(),
    }
}

/// Guards against requests that get the route of a shorter prefix, or no route although one
/// matches.
#[test]
fn longest_prefix_of_the_host_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let routes = [
        route("root", "a.example", "/"),
        route("search", "a.example", "/search/"),
        route("deep", "a.example", "/search/deep/"),
        route("other", "b.example", "/search/"),
    ];
    let table = Table::new(&routes);
    let cases = [
        Case {
            host: "a.example",
            path: "/search/deep/1",
            route: Some("deep"),
        },
        Case {
            host: "a.example",
            path: "/search/deep",
            route: Some("search"),
        },
        Case {
            host: "a.example",
            path: "/search/deeper/1",
            route: Some("search"),
        },
        Case {
            host: "a.example",
            path: "/searching",
            route: Some("root"),
        },
        Case {
            host: "A.Example:8080",
            path: "/search/1",
            route: Some("search"),
        },
        Case {
            host: "b.example",
            path: "/search/1",
            route: Some("other"),
        },
        Case {
            host: "b.example",
            path: "/",
            route: None,
        },
        Case {
            host: "c.example",
            path: "/search/1",
            route: None,
        },
        Case {
            host: "a.example",
            path: "*",
            route: None,
        },
    ];
    for case in cases {
        let found = table.find(case.host, case.path).map(|r| &*r.name);
        assert_eq!(found, case.route, "{} {}", case.host, case.path);
    }
}

/// Guards against floating-point errors that round the least number of shards in the wrong
/// direction.
#[test]
fn quorum_is_the_least_share_of_the_shards() {
    struct Case {
        shards: usize,
        least: f64,
        quorum: usize,
    }
    let cases = [
        Case {
            shards: 20,
            least: 0.75,
            quorum: 15,
        },
        Case {
            shards: 20,
            least: 0.89,
            quorum: 18,
        },
        Case {
            shards: 90,
            least: 0.95,
            quorum: 86,
        },
        Case {
            shards: 10,
            least: 0.7,
            quorum: 7,
        },
        Case {
            shards: 3,
            least: 0.0,
            quorum: 1,
        },
        Case {
            shards: 3,
            least: 1.0,
            quorum: 3,
        },
    ];
    for case in cases {
        let scatter = Scatter {
            shards: vec![Arc::from("s"); case.shards],
            top: 10,
            least: case.least,
        };
        assert_eq!(
            scatter.quorum(),
            case.quorum,
            "{} of {}",
            case.least,
            case.shards
        );
    }
}
