//! A tier for tests: platform, upstreams and instances as separate processes, with their records.

use std::cell::RefCell;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Output;
use std::sync::atomic::{AtomicU64, Ordering};

use marigoldloom_standin::upstream::{Counters, Settings};
use serde_json::{Value, json};

use super::load::Load;
use super::process::{self as child, Process};
use super::{wait_for, wait_for_or_report, web};

/// Failure domains. Each has one instance and one replica of each shard.
pub(crate) const DOMAINS: [&str; 2] = ["riga", "kurzeme"];

/// Number of shards of the service.
pub(crate) const SHARDS: u64 = 2;

/// Full answers in a row that each instance must give before a scenario starts: enough to warm up
/// every upstream.
const WARM_ANSWERS: usize = 60;

/// One stand-in upstream.
pub(crate) struct Upstream {
    /// The process.
    pub(crate) process: Process,
    /// Name of its record.
    pub(crate) name: String,
    /// Failure domain.
    pub(crate) domain: &'static str,
    /// Address of the upstream protocol.
    pub(crate) address: SocketAddr,
    admin: SocketAddr,
}

impl Upstream {
    /// Returns the counters of the upstream's work so far.
    pub(crate) fn counters(&self) -> Counters {
        let answer = web::get(self.admin, "/counters").expect("an upstream's counters");
        serde_json::from_value(answer.body).expect("counters")
    }
}

/// One instance.
pub(crate) struct Instance {
    /// The process.
    pub(crate) process: Process,
    /// Callers' address.
    pub(crate) caller: SocketAddr,
    /// Operators' address.
    pub(crate) admin: SocketAddr,
    peer: SocketAddr,
}

impl Instance {
    /// Reads a path of the operators' interface.
    pub(crate) fn read(&self, path: &str) -> Value {
        let answer = web::get(self.admin, path).expect("the instance's admin answer");
        answer.body
    }

    /// Returns the state of each member that the instance knows.
    pub(crate) fn states(&self) -> Vec<String> {
        let members = self.read("/admin/members");
        let members = members.as_array().cloned().unwrap_or_default();
        let state = |m: &Value| m["state"].as_str().unwrap_or_default().to_owned();
        members.iter().map(state).collect()
    }
}

/// A complete tier. Dropping it kills its processes and removes its files.
pub(crate) struct Fleet {
    /// Stand-in platform.
    pub(crate) platform: Process,
    /// Stand-in upstreams: each shard in each failure domain.
    pub(crate) upstreams: Vec<Upstream>,
    /// One instance in each failure domain.
    pub(crate) instances: Vec<Instance>,
    platform_address: SocketAddr,
    directory: Directory,
}

impl Fleet {
    /// Starts all processes, writes the records and waits until each instance answers with full
    /// coverage.
    pub(crate) fn start() -> Self {
        let mut platform = Process::start(
            "platform",
            "marigoldloom-platform",
            &["--listen", "127.0.0.1:0"],
        );
        let platform_address =
            platform.wait_for_line(|l| l.strip_prefix("listening on ")?.parse().ok());
        let mut fleet = Self {
            platform,
            upstreams: Vec::new(),
            instances: Vec::new(),
            platform_address,
            directory: Directory::create(),
        };
        fleet.start_upstreams();
        fleet.write_records();
        for domain in DOMAINS {
            fleet.start_instance(domain);
        }
        fleet.wait_until_ready();
        fleet
    }

    /// Starts load on every instance and waits until all upstreams are warm and answers are full.
    pub(crate) fn load(&self) -> Load {
        let targets: Vec<_> = self.instances.iter().map(|i| i.caller).collect();
        let load = Load::start(&targets);
        let state = || {
            let results = load.results();
            let failed = results.iter().rev().filter(|r| !r.is_full());
            let failed: Vec<_> = failed.take(3).collect();
            let count = results.len();
            format!("{count} requests; the last ones without a full answer: {failed:?}")
        };
        wait_for_or_report("steady full answers", state, || {
            let results = load.results();
            let warm = |t: &SocketAddr| {
                let own = results.iter().rev().filter(|r| r.target == *t);
                own.take_while(|r| r.is_full()).count() >= WARM_ANSWERS
            };
            (targets.iter().all(warm) && self.is_warm()).then_some(())
        });
        load
    }

    /// Runs the command-line tool, expects success and returns its output.
    pub(crate) fn run_cli(&self, args: &[&str]) -> String {
        let output = self.try_run_cli(args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "marigoldloom {args:?}: {errors}");
        String::from_utf8(output.stdout).expect("output in UTF-8")
    }

    /// Runs the command-line tool.
    pub(crate) fn try_run_cli(&self, args: &[&str]) -> Output {
        let platform = self.platform_address.to_string();
        let mut all = vec!["--platform", &platform];
        all.extend(args);
        child::run("marigoldloom", &all)
    }

    /// Writes a file into the fleet's directory.
    pub(crate) fn file(&self, name: &str, contents: &str) -> String {
        self.directory.file(name, contents)
    }

    /// Checks that no cold upstream got more load than its cold slots allow.
    pub(crate) fn check_cold_load(&self) {
        for upstream in &self.upstreams {
            if let Ok(answer) = web::get(upstream.admin, "/counters") {
                assert_eq!(answer.body["cold_excess"], 0, "{}", upstream.name);
            }
        }
    }

    fn start_upstreams(&mut self) {
        for domain in DOMAINS {
            for shard in 0..SHARDS {
                let name = format!("search-{shard}-{domain}");
                let shards = format!("[{shard}]");
                let args = ["--name", &name, "--shards", &shards, "--cold", "true"];
                let mut process = Process::start(&name, "marigoldloom-upstream", &args);
                let bound: Settings = process.wait_for_line(|l| serde_json::from_str(l).ok());
                self.upstreams.push(Upstream {
                    process,
                    name,
                    domain,
                    address: bound.listen,
                    admin: bound.admin,
                });
            }
        }
    }

    fn write_records(&self) {
        for domain in DOMAINS {
            let record = json!({"schema": 1, "name": domain, "region": "lv", "state": "active"});
            self.put("domain", domain, &record);
        }
        let service = json!({
            "schema": 1, "name": "search", "active": "v1",
            "versions": {"v1": {"shards": SHARDS, "epoch": 1}},
            "routes": {"search": {"idempotent": true}, "book": {"idempotent": false}},
            "deadline_ms": 3_000,
        });
        self.put("service", "search", &service);
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let record = json!({
                "schema": 1, "name": upstream.name, "service": "search", "version": "v1",
                "epoch": 1, "shards": [index as u64 % SHARDS], "domain": upstream.domain,
                "address": upstream.address, "slots": 3, "cold_slots": 2, "connections": 30,
                "state": "live",
            });
            self.put("upstream", &upstream.name, &record);
        }
    }

    fn put(&self, kind: &str, name: &str, record: &Value) {
        let file = self.file(&format!("{kind}-{name}.json"), &record.to_string());
        self.run_cli(&["put", kind, &file]);
    }

    fn start_instance(&mut self, domain: &str) {
        let seeds: Vec<_> = self.instances.iter().map(|i| i.peer.to_string()).collect();
        let settings = format!(
            r#"
            instance = {{ name = "{domain}-1", domain = "{domain}" }}
            listen = {{ caller = "127.0.0.1:0", peer = "127.0.0.1:0", admin = "127.0.0.1:0" }}
            platform = {{ address = "{}" }}
            peers = {{ seeds = {seeds:?} }}
            "#,
            self.platform_address,
        );
        let name = format!("{domain}-1");
        let file = self.file(&format!("{name}.toml"), &settings);
        let mut process = Process::start(&name, "marigoldloomd", &["--settings", &file]);
        let [caller, peer, admin] = process.wait_for_line(parse_serving);
        self.instances.push(Instance {
            process,
            caller,
            admin,
            peer,
        });
    }

    /// Waits until each instance knows all members and answers with full coverage.
    fn wait_until_ready(&self) {
        for instance in &self.instances {
            wait_for("all members alive", || {
                let states = instance.states();
                let alive = states.iter().all(|s| s == "alive");
                (alive && states.len() == DOMAINS.len()).then_some(())
            });
            let last = RefCell::new(String::new());
            let state = || last.borrow().clone();
            wait_for_or_report("a full answer", state, || {
                let answer = web::send_once(instance.caller, web::query("search", "settle", &[]));
                last.replace(format!("{answer:?}"));
                answer.ok().filter(|a| a.is_full(SHARDS))
            });
        }
    }

    /// Whether each upstream has completed enough subqueries to become warm.
    fn is_warm(&self) -> bool {
        let limit = u64::from(Settings::default().warm_after);
        let completed = |u: &Upstream| u.counters().completed;
        self.upstreams.iter().all(|u| completed(u) > limit)
    }
}

/// Parses the addresses of callers, peers and operators from the log line `serving`.
fn parse_serving(line: &str) -> Option<[SocketAddr; 3]> {
    let line: Value = serde_json::from_str(line).ok()?;
    let address = |field: &str| line[field].as_str()?.parse().ok();
    match line["message"].as_str() {
        Some("serving") => Some([
            address("callers")?,
            address("peers")?,
            address("operators")?,
        ]),
        _ => None,
    }
}

/// A temporary directory that is removed on drop.
pub(crate) struct Directory(PathBuf);

impl Directory {
    /// Creates a directory with a unique name.
    pub(crate) fn create() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("marigoldloom-processes-{}-{count}", process::id());
        let path = env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary directory");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub(crate) fn file(&self, name: &str, contents: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, contents).expect("a file in the temporary directory");
        path.to_str().expect("a path in UTF-8").to_owned()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // A directory that can't be removed is left to the system's cleanup of temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}
