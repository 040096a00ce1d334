//! OpenTelemetry metrics, exported in the Prometheus text format.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::derive;
use marigoldloom_records::class;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider, UpDownCounter};
use opentelemetry_sdk::error;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;

use crate::event;

/// Latency bucket bounds, in seconds. They are denser around the target of 280 ms.
const LATENCY_BOUNDS: [f64; 18] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.24, 0.28, 0.35, 0.5, 1.0,
    2.5, 10.0,
];

/// Coverage bucket bounds, as fractions of a query's shards.
const COVERAGE_BOUNDS: [f64; 8] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];

/// Maximum number of tenants with series of their own. Callers choose the value of the tenant
/// header, so without a limit they could create any number of series.
const TENANT_LIMIT: usize = 256;

/// Label of all tenants beyond [`TENANT_LIMIT`].
const OTHER_TENANT: &str = "other";

/// Metrics can't be initialized or exported.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// The exporter can't be built.
    #[display("metrics exporter: {_0}")]
    Exporter(error::OTelSdkError),
    /// The metrics can't be encoded as text.
    #[display("metrics encoding: {_0}")]
    Encoding(prometheus::Error),
}

/// Labels of a caller's request.
#[derive(Clone, Copy, Debug)]
pub struct RequestLabels<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Priority class.
    pub class: class::Class,
    /// Name of the service.
    pub service: &'a str,
    /// `answered`, `forwarded`, or the kind of the refusal.
    pub outcome: &'a str,
}

/// Metrics of an instance. Clones share the instruments.
#[derive(Clone, Debug)]
pub struct Metrics {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    registry: prometheus::Registry,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    subqueries: Counter<u64>,
    decisions: Counter<u64>,
    platform_calls: Counter<u64>,
    kind_calls: Counter<u64>,
    platform_returns: Counter<u64>,
    anonymous_responses: Counter<u64>,
    unmatched_responses: Counter<u64>,
    control_bytes: Counter<u64>,
    running: UpDownCounter<i64>,
    tenants: Mutex<BTreeSet<String>>,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// If the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("marigoldloom");
        let inner = Inner {
            latency: meter
                .f64_histogram("marigoldloom_request_seconds")
                .with_description("Time from a request's arrival to its answer or refusal")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            coverage: meter
                .f64_histogram("marigoldloom_coverage_ratio")
                .with_description("Shards answered as a fraction of a query's shards")
                .with_boundaries(COVERAGE_BOUNDS.to_vec())
                .build(),
            subqueries: meter
                .u64_counter("marigoldloom_subqueries")
                .with_description("Subqueries sent to upstreams")
                .build(),
            decisions: meter
                .u64_counter("marigoldloom_decisions")
                .with_description("Decisions, such as changes of an upstream's availability")
                .build(),
            platform_calls: meter
                .u64_counter("marigoldloom_platform_calls")
                .with_description("Calls to the platform")
                .build(),
            kind_calls: meter
                .u64_counter("marigoldloom_record_calls")
                .with_description("Calls to the platform for the records of one kind")
                .build(),
            platform_returns: meter
                .u64_counter("marigoldloom_platform_returns")
                .with_description("Returns of the platform from an older copy")
                .build(),
            anonymous_responses: meter
                .u64_counter("marigoldloom_anonymous_responses")
                .with_description("Responses of upstreams without the id of a request")
                .build(),
            unmatched_responses: meter
                .u64_counter("marigoldloom_unmatched_responses")
                .with_description("Responses of upstreams that may answer another request")
                .build(),
            control_bytes: meter
                .u64_counter("marigoldloom_control_bytes")
                .with_description("Bytes of control messages between instances")
                .build(),
            running: meter
                .i64_up_down_counter("marigoldloom_running_requests")
                .with_description("Requests that run now")
                .build(),
            tenants: Mutex::default(),
            registry,
            provider,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Records the latency of a finished request.
    pub fn record_request(&self, labels: &RequestLabels<'_>, latency: Duration) {
        let labels = [
            self.tenant_label(labels.tenant),
            KeyValue::new("class", labels.class.as_str()),
            KeyValue::new("service", labels.service.to_owned()),
            KeyValue::new("outcome", labels.outcome.to_owned()),
        ];
        self.inner.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Records the coverage of an answer: `answered` of `total` shards.
    pub fn record_coverage(
        &self,
        tenant: &str,
        class: class::Class,
        answered: usize,
        total: usize,
    ) {
        let labels = [
            self.tenant_label(tenant),
            KeyValue::new("class", class.as_str()),
        ];
        let ratio = answered as f64 / total.max(1) as f64;
        self.inner.coverage.record(ratio, &labels);
    }

    /// Counts a finished subquery; `reason` is `first`, `hedge` or `retry`.
    pub fn record_subquery(&self, service: &str, reason: &'static str, ok: bool) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason),
            KeyValue::new("ok", ok),
        ];
        self.inner.subqueries.add(1, &labels);
    }

    /// Counts a decision.
    pub fn record_decision(&self, kind: event::Kind) {
        let labels = [KeyValue::new("kind", kind.to_string())];
        self.inner.decisions.add(1, &labels);
    }

    /// Counts a finished call to the platform.
    pub fn record_platform_call(&self, purpose: &'static str, ok: bool) {
        let labels = [KeyValue::new("purpose", purpose), KeyValue::new("ok", ok)];
        self.inner.platform_calls.add(1, &labels);
    }

    /// Counts a return of the platform from an older copy.
    pub fn record_platform_return(&self) {
        self.inner.platform_returns.add(1, &[]);
    }

    /// Counts a finished call to the platform for the records of `kind`.
    pub fn record_kind_call(&self, purpose: &'static str, kind: &'static str, ok: bool) {
        let labels = [
            KeyValue::new("purpose", purpose),
            KeyValue::new("kind", kind),
            KeyValue::new("ok", ok),
        ];
        self.inner.kind_calls.add(1, &labels);
    }

    /// Reports as a gauge whether the process is ready to serve requests, as `is_ready` tells.
    pub fn observe_readiness(&self, is_ready: impl Fn() -> bool + Send + Sync + 'static) {
        let meter = self.inner.provider.meter("marigoldloom");
        meter
            .u64_observable_gauge("marigoldloom_ready")
            .with_description("Whether requests are served")
            .with_callback(move |gauge| gauge.observe(u64::from(is_ready()), &[]))
            .build();
    }

    /// Counts a response of an upstream without the id of a request.
    pub fn record_anonymous_response(&self) {
        self.inner.anonymous_responses.add(1, &[]);
    }

    /// Counts a rejected response of an upstream that may answer another request.
    pub fn record_unmatched_response(&self) {
        self.inner.unmatched_responses.add(1, &[]);
    }

    /// Counts bytes of control messages; `direction` is `sent` or `received`.
    pub fn add_control_bytes(&self, direction: &'static str, bytes: u64) {
        let labels = [KeyValue::new("direction", direction)];
        self.inner.control_bytes.add(bytes, &labels);
    }

    /// Adds `change` to the number of running requests.
    pub fn add_running_requests(&self, class: class::Class, change: i64) {
        let labels = [KeyValue::new("class", class.as_str())];
        self.inner.running.add(change, &labels);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// If the metrics can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut buf = Vec::new();
        let families = self.inner.registry.gather();
        prometheus::TextEncoder::new().encode(&families, &mut buf)?;
        Ok(buf)
    }

    fn tenant_label(&self, name: &str) -> KeyValue {
        let mut tenants = self
            .inner
            .tenants
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = tenants.contains(name);
        if !known && tenants.len() < TENANT_LIMIT {
            tenants.insert(name.to_owned());
        }
        let label = match known || tenants.contains(name) {
            true => name.to_owned(),
            false => OTHER_TENANT.to_owned(),
        };
        KeyValue::new("tenant", label)
    }
}
