//! Exported metric series, limits on their number, and the event ring.

use std::time::Duration;

use marigoldloom_records::class;
use marigoldloom_runtime::time;
use marigoldloom_telemetry::{event, metrics};

fn labels(tenant: &str) -> metrics::RequestLabels<'_> {
    metrics::RequestLabels {
        tenant,
        class: class::Class::Interactive,
        service: "search",
        outcome: "answered",
    }
}

/// Guards against latency that isn't recorded per tenant and class.
#[test]
fn latency_has_a_series_per_tenant_and_class() {
    let metrics = metrics::Metrics::new().unwrap();
    metrics.record_request(&labels("club"), Duration::from_millis(30));
    metrics.record_coverage("club", class::Class::Interactive, 19, 20);
    let text = String::from_utf8(metrics.encode().unwrap()).unwrap();
    let expected = [
        r#"marigoldloom_request_seconds_count{class="interactive",outcome="answered",service="search",tenant="club",otel_scope_name="marigoldloom"} 1"#,
        r#"marigoldloom_coverage_ratio_sum{class="interactive",tenant="club",otel_scope_name="marigoldloom"} 0.95"#,
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
}

/// Guards against an unbounded number of series when callers send ever new tenant names.
#[test]
fn tenants_beyond_the_limit_share_a_series() {
    let metrics = metrics::Metrics::new().unwrap();
    for i in 0..1_000 {
        metrics.record_request(&labels(&format!("tenant-{i}")), Duration::from_millis(1));
    }
    let text = String::from_utf8(metrics.encode().unwrap()).unwrap();
    let series = text
        .lines()
        .filter(|l| l.starts_with("marigoldloom_request_seconds_count"));
    assert_eq!(series.count(), 257);
}

/// Guards against unbounded memory for events when a fault repeats.
#[test]
fn event_ring_is_bounded_and_keeps_the_newest() {
    let events = event::Events::new();
    for i in 0..event::RING_LEN + 10 {
        let evidence = serde_json::json!({ "i": i });
        events.record(
            time::WallTime(1),
            event::Kind::Refused,
            "r",
            "overload",
            evidence,
        );
    }
    let remaining = events.after(0);
    assert_eq!(remaining.len(), event::RING_LEN);
    assert_eq!(remaining.last().unwrap().evidence["i"], event::RING_LEN + 9);
    assert_eq!(events.after(remaining.last().unwrap().number), []);
}
