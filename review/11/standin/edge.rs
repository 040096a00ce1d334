//! Starts instances of marigoldloom-edge as the deploy file says.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Environment variables that a program gets from its caller.
const VARIABLES: [&str; 4] = ["PATH", "HOME", "JAVA_HOME", "LANG"];

/// A running instance. Dropping it kills it.
pub struct Edge {
    pub name: String,
    child: Child,
    command: Vec<String>,
    folder: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// First port for traffic between instances.
    pub peers: SocketAddr,
}

/// Where an instance runs.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub region: &'a str,
    pub number: u16,
    /// Processor time that it may use, in cores.
    pub cores: f64,
}

/// Zones of the deployment and their regions: those of the users' smaller site.
pub const ZONES: [(&str, &str); 3] = [("nord-a", "nord"), ("centre-a", "centre"), ("sud-a", "sud")];

/// Reads the command of the only role from the deploy file.
fn run_command(root: &Path) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = "));
    let words = line.unwrap_or_default().trim().trim_matches('"').split(' ');
    Ok(words.map(str::to_owned).collect())
}

impl Edge {
    /// Starts an instance with settings like those on the users' pages.
    pub fn start(
        root: &Path,
        folder: &Path,
        machine: &Machine<'_>,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let block = (std::process::id() % 200) as u8 + 20;
        let [high, low] = (machine.number + 1).to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, block, high, low));
        // All are bound at once, so that they are different ones.
        let bound = [0; 4].map(|port: u16| TcpListener::bind((ip, port)));
        let mut addresses = Vec::new();
        for listener in &bound {
            match listener {
                Ok(listener) => addresses.push(listener.local_addr()?),
                Err(error) => return Err(io::Error::new(error.kind(), error.to_string())),
            }
        }
        drop(bound);
        let [front, ready, control, peers] = addresses[..] else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let folder = folder.join(machine.name);
        fs::create_dir_all(&folder)?;
        let zones: String = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .collect();
        let settings = format!(
            "NodeName = \"{name}\"\nRole = \"edge\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\n\
             IpAddress = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\n\
             PortRange = [{peers},{last}]\nSeedNodes = []\nBootstrap = true\nFaultCounted = false\n\
             Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n\
             ActiveContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"rollout\",\"platform\"]\n\
             [Zones]\n{zones}\
             [BindAddresses]\nFront = \"{front}\"\nReady = \"{ready}\"\nControl = \"{control}\"\n\
             [Limits]\nCpuShare = {cores}\nCpuSpeedFactor = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n\
             [FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 1\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 5000\nAckMs = 6000\nSyncS = 4\nDrainMs = 4000\n\
             GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 4000\nDowngradeMs = 250\nMaxStretchMs = 15000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 56\nExposeShare = 0.1\nExposeSlack = 50\n\
             RollbackMs = 5000\nColdOver = 1.5\nColdSlack = 5\nEvacuationMs = 5000\nRecoveryS = 12\n\
             [platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n",
            name = machine.name,
            zone = machine.zone,
            region = machine.region,
            peers = peers.port(),
            last = peers.port().saturating_add(1),
            cores = machine.cores,
        );
        fs::write(folder.join("settings.toml"), settings)?;
        let mut command = run_command(root)?;
        command[0] = root.join(&command[0]).to_string_lossy().into_owned();
        let child = launch(root, &command, &folder)?;
        Ok(Self {
            name: machine.name.to_owned(),
            child,
            command,
            folder,
            front,
            ready,
            peers,
        })
    }

    /// Whether the instance answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::send(self.ready, request, Duration::from_secs(1)).status() == 200
    }

    /// Waits until the instance is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by its name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        drop(Command::new("kill").args(["-s", name, &id]).status());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again after it was killed.
    pub fn start_again(&mut self, root: &Path) -> io::Result<()> {
        self.child = launch(root, &self.command, &self.folder)?;
        Ok(())
    }

    /// Processor time that the process has used, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat =
            fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |at: usize| {
            fields
                .get(at)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        (ticks(11) + ticks(12)) / 100.0
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

fn launch(root: &Path, command: &[String], folder: &Path) -> io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log.txt"))?;
    let mut launched = Command::new(&command[0]);
    launched.args(&command[1..]).current_dir(root).env_clear();
    for name in VARIABLES {
        if let Some(value) = std::env::var_os(name) {
            launched.env(name, value);
        }
    }
    launched.env("MARIGOLDLOOM_NODE_FILE", folder.join("settings.toml"));
    launched
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
