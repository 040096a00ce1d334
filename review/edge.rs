//! Runs `marigoldloom-edge` as separate processes with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/marigoldloom-edge";

#[derive(Clone, Debug)]
pub struct Bounds {
    pub drain_ms: u32,
    pub contact_ms: u32,
    pub retry_slack: u32,
}

pub struct Edge {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Returns free ports, all of them different.
fn free_ports<const N: usize>(ip: &str) -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|l| l.local_addr().expect("an address").port())
}

impl Edge {
    pub fn start(
        folder: &Path,
        name: &str,
        ip: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        bounds: &Bounds,
    ) -> Self {
        let [front, ready, inner, control] = free_ports(ip);
        let table: String = zones
            .iter()
            .map(|z| format!("{z} = \"{}\"\n", region(z)))
            .collect();
        let Bounds {
            drain_ms,
            contact_ms,
            retry_slack,
        } = bounds;
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"edge\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\nIpAddress = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"{}\"\nPortRange = [{inner},{inner}]\nSeedNodes = []\nBootstrap = true\nFaultCounted = false\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nActiveContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"rollout\",\"platform\"]\n[Zones]\n{table}[BindAddresses]\nFront = \"{ip}:{front}\"\nReady = \"{ip}:{ready}\"\nControl = \"{ip}:{control}\"\n[Limits]\nCpuShare = 0.25\nCpuSpeedFactor = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 1\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = {contact_ms}\nAckMs = 6000\nSyncS = 4\nDrainMs = {drain_ms}\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 4000\nDowngradeMs = 250\nMaxStretchMs = 15000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = {retry_slack}\nExposeShare = 0.1\nExposeSlack = 50\nRollbackMs = 5000\nColdOver = 1.5\nColdSlack = 5\nEvacuationMs = 5000\nRecoveryS = 12\n[platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            region(zone)
        );
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, text).expect("the settings");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        for kept in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(kept) {
                command.env(kept, value);
            }
        }
        command.env("MARIGOLDLOOM_NODE_FILE", &file);
        let errors = log.try_clone().expect("a log file");
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("marigoldloom-edge starts");
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an IP address"), port);
        Self {
            child,
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
        }
    }

    /// Asks whether the instance is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut connection = Connection::open(self.ready, Duration::from_millis(500))?;
            connection.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")?;
            let answer = connection.read(Some(Duration::from_millis(500)))?;
            Ok(answer.map_or(0, |a| a.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn region(zone: &str) -> &str {
    zone.trim_end_matches("-a")
}

/// A folder of this run; removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("marigoldloom-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
