//! Objects that operators and replicas write to the store, and an instance's settings file.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

/// Kind of the configuration, of which there is one object.
pub const CONFIGURATION: &str = "config";

/// Name of the configuration object.
pub const CONFIGURATION_NAME: &str = "main";

/// Kind of the objects by which replicas announce themselves.
pub const REPLICAS: &str = "servers";

/// Kind of the objects by which an operator stops requests to a failure domain.
pub const EVACUATIONS: &str = "evacuations";

/// Kind of the objects by which an operator moves a service's traffic to a version.
pub const ROLLOUTS: &str = "rollouts";

/// Version of a replica's software in [`announcement`].
pub const VERSION: &str = "v1";

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Backend {
    /// A replica of this service.
    Single(String),
    /// A replica of one of these services, which get equal shares of the requests.
    Split(Vec<String>),
    /// A replica of each of these services.
    Shards {
        /// Services, one for each shard.
        services: Vec<String>,
        /// Number of records in a merged answer.
        top_k: usize,
        /// Smallest ratio of the services that must answer, from 0 to 1.
        min_ratio: f64,
    },
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Prefix of its paths; begins and ends with a slash.
    pub prefix: String,
    /// Destination of its requests.
    pub backend: Backend,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Time limit for an answer in milliseconds.
    pub timeout_ms: u64,
    /// Target latency in milliseconds; a later answer is worth less to its caller.
    pub objective_ms: u64,
    /// Greatest number of replicas of a service that one request is sent to.
    pub attempts: u32,
}

impl Route {
    /// Returns the route as the store holds it, for requests to `host`.
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
            Backend::Split(services) => {
                let shares = services.iter();
                let shares = shares.map(|s| json!({"Service": s, "Weight": 1}));
                route["WeightedSplit"] = shares.collect();
            }
            Backend::Shards {
                services,
                top_k,
                min_ratio,
            } => {
                route["FanoutServices"] = json!(services);
                route["TopK"] = json!(top_k);
                route["MinShardRatio"] = json!(min_ratio);
            }
        }
        route
    }
}

/// Returns a configuration with `routes` and `services`. Each replica accepts `connections`
/// connections.
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

/// Returns the announcement of an available replica that runs `slots` requests at a time.
pub fn announcement(service: &str, domain: &str, address: SocketAddr, slots: u32) -> Value {
    json!({
        "Service": service, "Address": address.to_string(), "Zone": domain,
        "ConfigVersion": VERSION, "Slots": slots, "State": "available", "WarmupLeftMs": 0,
        "Sequence": 1,
    })
}

/// Sets how long a replica stays cold in its announcement.
pub fn with_warmup(mut announcement: Value, left: Duration) -> Value {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    announcement["WarmupLeftMs"] = json!(millis);
    announcement
}

/// Changes an announcement to that of a replica whose software has another version.
pub fn with_version(mut announcement: Value, version: &str) -> Value {
    announcement["ConfigVersion"] = json!(version);
    announcement
}

/// Sets the start time of the process in a replica's announcement, in wall-clock milliseconds.
pub fn with_born(mut announcement: Value, born: u64) -> Value {
    announcement["born"] = json!(born);
    announcement
}

/// Returns an order to move a service's traffic to `version` within `seconds`.
pub fn rollout(service: &str, version: &str, seconds: u64) -> Value {
    json!({"Service": service, "TargetVersion": version, "RampS": seconds})
}

/// Changes an announcement to that of a draining replica.
pub fn draining(mut announcement: Value) -> Value {
    announcement["State"] = json!("draining");
    announcement
}

/// Settings of one instance's process.
#[derive(Clone, Debug)]
pub struct Node {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Region of each failure domain.
    pub regions: Vec<(String, String)>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for other instances; metrics use its IP address.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: u64,
}

impl Node {
    /// Returns the text of the settings file, as TOML.
    pub fn settings_text(&self) -> String {
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
ExposeShare = 0.1
ExposeSlack = 20
BudgetWindowS = 10
[platform]
Address = "{store}"
"#
        )
    }
}
