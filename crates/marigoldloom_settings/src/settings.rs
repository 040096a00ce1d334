//! Settings of one instance, their defaults and their validation.

use std::collections::BTreeMap;
use std::net;

use derive_more::derive;
use marigoldloom_records::record;
use serde::{Deserialize, Serialize};

use crate::error::{Invalid, Problem};

/// Upper bound of every time limit in the settings, in milliseconds.
pub const TIME_LIMIT_MS: u64 = 600_000;

/// Upper bound of the requests that one instance runs at a time, and of those it queues.
pub const REQUEST_LIMIT: u64 = 1_000_000;

/// Upper bound of the request body size, in bytes.
pub const BODY_LIMIT_BYTES: u64 = 64_000_000;

/// Upper bound of a tenant's weight.
pub const WEIGHT_LIMIT: u64 = 1_000;

/// What an instance needs before it can connect to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Settings {
    /// Identity of the instance.
    pub instance: Instance,
    /// Listening addresses.
    #[serde(default)]
    pub listen: Listen,
    /// Connection to the platform.
    #[serde(default)]
    pub platform: Platform,
    /// Discovery of the other instances.
    #[serde(default)]
    pub peers: Peers,
    /// Load limits and shutdown times.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of tenants by name; a tenant that isn't listed has the defaults.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// Log format and level.
    #[serde(default)]
    pub log: Log,
}

/// Identity of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Instance {
    /// Name, unique among the instances of the tier.
    pub name: String,
    /// Failure domain that the instance runs in.
    pub domain: String,
}

/// Listening addresses of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP address for callers.
    pub caller: net::SocketAddr,
    /// gRPC address for other instances. They connect to this address, so it must be that of one
    /// interface.
    pub peer: net::SocketAddr,
    /// HTTP address for operators.
    pub admin: net::SocketAddr,
}

/// Connection to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Platform {
    /// Address of the platform's HTTP API.
    pub address: net::SocketAddr,
    /// Timeout of one call, in milliseconds. Watch calls may take longer.
    pub timeout_ms: u64,
}

/// Discovery of the other instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Peers {
    /// Peer addresses of instances to contact at the start. The instance's own may be among them.
    pub seeds: Vec<net::SocketAddr>,
}

/// Load limits and shutdown times of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests that run at a time.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time that running requests get to finish during a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Time for which the instance still accepts requests after it announced a graceful
    /// shutdown, in milliseconds, because the balancer and the peers learn of it with a delay.
    pub linger_ms: u64,
}

/// Settings of one tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Tenant {
    /// Weight of the tenant's share of the instance, relative to the other tenants.
    pub weight: u32,
}

/// Log format and level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Log {
    /// Format of log lines.
    pub format: Format,
    /// Least severe level that is logged.
    pub level: Level,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for reading at a terminal.
    Human,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Deserialize, Serialize, derive::Display)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// An operation failed.
    #[display("error")]
    Error,
    /// A condition that may lead to a failure.
    #[display("warn")]
    Warn,
    /// Starts, stops and decisions of the instance.
    #[default]
    #[display("info")]
    Info,
    /// Additionally, every request.
    #[display("debug")]
    Debug,
    /// Additionally, every message.
    #[display("trace")]
    Trace,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            caller: loopback(8080),
            peer: loopback(8081),
            admin: loopback(8082),
        }
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: loopback(7070),
            timeout_ms: 2_000,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            concurrency: 1_024,
            queue: 1_024,
            body_bytes: 1_048_576,
            drain_ms: 10_000,
            linger_ms: 3_000,
        }
    }
}

impl Default for Tenant {
    fn default() -> Self {
        Self { weight: 1 }
    }
}

fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}

impl Settings {
    /// Returns the weight of a tenant; tenants that aren't listed have the default weight.
    pub fn weight(&self, tenant: &str) -> u32 {
        let tenant_settings = self.tenants.get(tenant).cloned();
        tenant_settings.unwrap_or_default().weight
    }

    /// Checks ranges, names and addresses.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value.
    pub fn check(&self) -> Result<(), Invalid> {
        check_name("instance.name", &self.instance.name)?;
        check_name("instance.domain", &self.instance.domain)?;
        self.listen.check()?;
        check_range(
            "platform.timeout_ms",
            self.platform.timeout_ms,
            1,
            TIME_LIMIT_MS,
        )?;
        check_reachable("platform.address", self.platform.address)?;
        for seed in &self.peers.seeds {
            check_reachable("peers.seeds", *seed)?;
        }
        self.limits.check()?;
        self.tenants.iter().try_for_each(check_tenant)
    }
}

impl Listen {
    fn check(&self) -> Result<(), Invalid> {
        check_reachable("listen.peer", self.peer)?;
        check_distinct("listen.peer", self.peer, "listen.caller", self.caller)?;
        check_distinct("listen.admin", self.admin, "listen.caller", self.caller)?;
        check_distinct("listen.admin", self.admin, "listen.peer", self.peer)
    }
}

impl Limits {
    fn check(&self) -> Result<(), Invalid> {
        let concurrency = u64::from(self.concurrency);
        check_range("limits.concurrency", concurrency, 1, REQUEST_LIMIT)?;
        check_range("limits.queue", u64::from(self.queue), 0, REQUEST_LIMIT)?;
        check_range("limits.body_bytes", self.body_bytes, 1, BODY_LIMIT_BYTES)?;
        check_range("limits.linger_ms", self.linger_ms, 0, TIME_LIMIT_MS)?;
        check_range("limits.drain_ms", self.drain_ms, 0, TIME_LIMIT_MS)
    }
}

fn check_tenant((name, tenant): (&String, &Tenant)) -> Result<(), Invalid> {
    check_name("tenants", name)?;
    let key = format!("tenants.{name}.weight");
    check_range(&key, u64::from(tenant.weight), 1, WEIGHT_LIMIT)
}

fn invalid(key: &str, problem: Problem) -> Invalid {
    Invalid {
        key: key.to_owned(),
        problem,
    }
}

fn check_range(key: &str, value: u64, min: u64, max: u64) -> Result<(), Invalid> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => Err(invalid(key, Problem::Range { value, min, max })),
    }
}

fn check_name(key: &str, name: &str) -> Result<(), Invalid> {
    let name = name.to_owned();
    match record::is_name(&name) {
        true => Ok(()),
        false => Err(invalid(key, Problem::Name { name })),
    }
}

fn check_reachable(key: &str, address: net::SocketAddr) -> Result<(), Invalid> {
    match address.ip().is_unspecified() {
        false => Ok(()),
        true => Err(invalid(key, Problem::Unspecified { address })),
    }
}

/// Rejects equal addresses. Port 0 means any free port, so it never conflicts.
fn check_distinct(
    key: &str,
    address: net::SocketAddr,
    other: &'static str,
    other_address: net::SocketAddr,
) -> Result<(), Invalid> {
    match address == other_address && address.port() != 0 {
        false => Ok(()),
        true => Err(invalid(key, Problem::Duplicate { address, other })),
    }
}
