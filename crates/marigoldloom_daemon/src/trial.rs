//! Trial mode: an in-memory platform, stand-in upstreams and one instance as tasks of one process.
//! It stores nothing and is not meant for production.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use derive_more::derive;
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_platform::{memory, object};
use marigoldloom_records::record::{self, Record};
use marigoldloom_records::{failure_domain, instance as instance_record, service, upstream};
use marigoldloom_runtime::async_std_runtime::AsyncStd;
use marigoldloom_settings::settings;
use marigoldloom_standin::upstream as standin;

use crate::instance;

/// Failure domains of the trial. The instance runs in the first one.
const DOMAINS: [&str; 2] = ["riga", "kurzeme"];

/// Shards of the trial's search service.
const SHARDS: u32 = 4;

/// Version of all services that the stand-in upstreams serve.
const VERSION: &str = "v1";

/// Number of slots of each stand-in upstream.
const SLOTS: u32 = 3;

/// Maximum number of connections that each stand-in upstream accepts.
const CONNECTIONS: u32 = 30;

/// Addresses that the trial listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP address for callers.
    pub caller: SocketAddr,
    /// HTTP address for operators.
    pub admin: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let listen = settings::Listen::default();
        Self {
            caller: listen.caller,
            admin: listen.admin,
        }
    }
}

/// The trial can't start.
#[derive(Debug)]
#[derive(derive::Display, derive::Error, derive::From)]
pub enum Error {
    /// A stand-in upstream can't listen.
    #[display("stand-in: {_0}")]
    Standin(io::Error),
    /// A record can't be written to the platform.
    #[display("record: {_0}")]
    Record(marigoldloom_platform::platform::Error),
}

/// Runs the trial until SIGTERM or SIGINT.
///
/// # Errors
///
/// If an address can't be bound, a record can't be written or the signal handlers can't be
/// installed.
pub async fn run(addresses: Addresses) -> Result<(), instance::Error> {
    let rt = AsyncStd::new();
    let platform = memory::MemoryPlatform::new(rt);
    let started = start_fleet(&platform.client()).await;
    let _fleet = started.map_err(|source| instance::Error::Trial { source })?;
    let settings = trial_settings(addresses);
    let instance = instance::Instance::start(rt, platform.client(), &settings);
    let instance = instance.await?;
    tracing::warn!("TRIAL MODE: everything runs in this process and nothing is kept");
    log_commands(instance.caller_address());
    instance.run_until_signal().await
}

/// Logs example commands for a shell.
fn log_commands(callers: SocketAddr) {
    let services =
        format!("curl -i -H 'x-tenant: club' -d 'corner kick' http://{callers}/v1/services");
    tracing::info!("a query: {services}/search/query");
    tracing::info!("a booking: {services}/booking/book -H 'idempotency-key: b1'");
}

fn trial_settings(addresses: Addresses) -> settings::Settings {
    settings::Settings {
        instance: settings::Instance {
            name: "trial-0".to_owned(),
            domain: DOMAINS[0].to_owned(),
        },
        listen: settings::Listen {
            caller: addresses.caller,
            peer: any_port(),
            admin: addresses.admin,
        },
        platform: settings::Platform::default(),
        peers: settings::Peers::default(),
        limits: settings::Limits::default(),
        tenants: BTreeMap::new(),
        log: settings::Log::default(),
    }
}

/// Starts the stand-in upstreams and writes their records.
async fn start_fleet(platform: &impl Platform) -> Result<Vec<standin::Upstream>, Error> {
    let mut fleet = Vec::new();
    for domain in DOMAINS {
        write_record(platform, &domain_record(domain)).await?;
    }
    write_record(platform, &service_record("search", SHARDS, true)).await?;
    write_record(platform, &service_record("booking", 1, false)).await?;
    for domain in DOMAINS {
        for (service, shards) in [("search", SHARDS), ("booking", 1)] {
            for shard in 0..shards {
                let name = format!("{service}-{shard}-{domain}");
                let upstream = standin::start(standin_settings(&name, shard)).await?;
                let record = upstream_record(&name, service, shard, domain, upstream.address());
                write_record(platform, &record).await?;
                fleet.push(upstream);
            }
        }
    }
    Ok(fleet)
}

async fn write_record<R: Record>(platform: &impl Platform, record: &R) -> Result<(), Error> {
    let key = object::Key::new(R::KIND.as_str(), record.name());
    let value = serde_json::to_value(record).unwrap_or_default();
    platform.put(&key, &value, Condition::Any).await?;
    Ok(())
}

fn standin_settings(name: &str, shard: u32) -> standin::Settings {
    standin::Settings {
        name: name.to_owned(),
        version: VERSION.to_owned(),
        shards: vec![shard],
        slots: SLOTS,
        connections: usize::try_from(CONNECTIONS).unwrap_or(usize::MAX),
        ..standin::Settings::default()
    }
}

fn domain_record(name: &str) -> failure_domain::FailureDomain {
    failure_domain::FailureDomain {
        schema: record::SCHEMA,
        name: name.to_owned(),
        region: name.to_owned(),
        state: failure_domain::State::Active,
        extra: record::Extra::new(),
    }
}

fn service_record(name: &str, shards: u32, idempotent: bool) -> service::Service {
    let version = service::Version { shards, epoch: 1 };
    let route = match idempotent {
        true => "query",
        false => "book",
    };
    service::Service {
        schema: record::SCHEMA,
        name: name.to_owned(),
        active: VERSION.to_owned(),
        versions: BTreeMap::from([(VERSION.to_owned(), version)]),
        routes: BTreeMap::from([(route.to_owned(), service::Route { idempotent })]),
        deadline_ms: 280,
        extra: record::Extra::new(),
    }
}

fn upstream_record(
    name: &str,
    service: &str,
    shard: u32,
    domain: &str,
    address: SocketAddr,
) -> upstream::Upstream {
    upstream::Upstream {
        schema: record::SCHEMA,
        name: name.to_owned(),
        service: service.to_owned(),
        version: VERSION.to_owned(),
        epoch: 1,
        shards: vec![shard],
        domain: domain.to_owned(),
        address,
        slots: SLOTS,
        cold_slots: 1,
        connections: CONNECTIONS,
        state: instance_record::State::Live,
        extra: record::Extra::new(),
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
