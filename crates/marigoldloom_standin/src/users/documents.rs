//! What operators and replicas write to the store.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Kind of the configuration, which is one object.
pub const CONFIGURATION: &str = "config";

/// Name of the configuration.
pub const CONFIGURATION_NAME: &str = "main";

/// Kind of the entries of replicas.
pub const REPLICAS: &str = "servers";

/// Kind of the orders to send nothing to a failure domain.
pub const EVACUATIONS: &str = "evacuations";

/// What a route sends its requests to.
#[derive(Clone, Debug, PartialEq)]
pub enum Backend {
    /// One service.
    Single(String),
    /// A replica of each of these services.
    Shards {
        /// The services.
        services: Vec<String>,
        /// Records in an answer.
        top: usize,
        /// Least share of the services that an answer needs.
        least: f64,
    },
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Prefix of its paths, which begins and ends with a slash.
    pub prefix: String,
    /// Where its requests go.
    pub backend: Backend,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Longest time to an answer in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Most replicas of a service that one request is sent to.
    pub attempts: u32,
}

impl Route {
    /// The route as the store holds it, for requests to `host`.
    pub fn document(&self, host: &str) -> Value {
        let kind = match self.idempotent {
            true => "idempotent",
            false => "non_idempotent",
        };
        let mut route = json!({
            "Name": format!("r{}", self.prefix), "Host": host, "PathPrefix": self.prefix,
            "Kind": kind, "TimeoutMs": self.timeout_ms, "TargetLatencyMs": self.objective_ms,
            "Priority": 1, "MaxAttempts": self.attempts,
        });
        match &self.backend {
            Backend::Single(service) => route["Service"] = json!(service),
            Backend::Shards {
                services,
                top,
                least,
            } => {
                route["FanoutServices"] = json!(services);
                route["TopK"] = json!(top);
                route["MinShardRatio"] = json!(least);
            }
        }
        route
    }
}

/// A configuration of `routes` and of `services`, whose replicas accept so many `connections`.
pub fn configuration(
    version: u64,
    routes: &[Value],
    services: &[impl AsRef<str>],
    connections: u32,
) -> Value {
    let service =
        |name: &str| json!({"Name": name, "HealthPath": "/health", "MaxConnections": connections});
    let services: Vec<_> = services.iter().map(|s| service(s.as_ref())).collect();
    json!({
        "ConfigVersion": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1024,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })
}

/// What a replica with so many `slots` says of itself.
pub fn announcement(service: &str, domain: &str, address: SocketAddr, slots: u32) -> Value {
    json!({
        "Service": service, "Address": address.to_string(), "Zone": domain,
        "ConfigVersion": "v1", "Slots": slots, "State": "available", "WarmupLeftMs": 0,
        "Sequence": 1,
    })
}

/// An announcement of a replica that is about to leave.
pub fn draining(mut announcement: Value) -> Value {
    announcement["State"] = json!("draining");
    announcement
}

/// Settings of an instance's process.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: Vec<(String, String)>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where other instances connect; its address is also that of metrics.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Time between the stop signal and the kill, in seconds.
    pub grace_s: u64,
}

impl Node {
    /// The settings file.
    pub fn file(&self) -> String {
        let regions = self.regions.iter().map(|(d, r)| format!("{d} = \"{r}\"\n"));
        let regions: String = regions.collect();
        let Self {
            name,
            domain,
            callers,
            readiness,
            peers,
            store,
            grace_s,
            ..
        } = self;
        let (ip, port) = (peers.ip(), peers.port());
        format!(
            r#"
NodeName = "{name}"
IpAddress = "{ip}"
Zone = "{domain}"
PortRange = [{port}, {port}]
[Zones]
{regions}
[BindAddresses]
Front = "{callers}"
Ready = "{readiness}"
[Limits]
CpuShare = 0.25
[Bounds]
GraceS = {grace_s}
RetryBudgetRatio = 0.2
RetrySlack = 54
BudgetWindowS = 10
[platform]
Address = "{store}"
"#
        )
    }
}
