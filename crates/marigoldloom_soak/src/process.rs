//! Starts, signals and kills the process of an instance.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use marigoldloom_standin::users::documents::Node;
use rustix::process::{Pid, PidfdFlags, Signal, kill_process, pidfd_open, pidfd_send_signal};

use crate::plan::starts::{Disturbance, HangUps};

/// Number of log lines in the description of an exit.
const LAST_LINES: usize = 5;

/// Time between two checks whether a process runs its program.
const PROGRAM_POLL_PERIOD: Duration = Duration::from_micros(100);

/// Longest time to wait for that.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(1);

/// Age from which a process runs its program for sure.
const START_TIME: Duration = Duration::from_millis(500);

/// Processor time that the program gets before its first signal.
const PROGRAM_CPU_TIME: Duration = Duration::from_micros(300);

/// Longest time to wait for that. A program that sleeps has had its time before.
const CPU_TIMEOUT: Duration = Duration::from_millis(100);

/// Waits until a process that was just started has run its program for [`PROGRAM_CPU_TIME`]. Before, any
/// signal ends it, whatever the program does. The runtime of Rust handles signals from just before
/// `main`. On a busy machine a process may get no processor for longer than the delay of a signal.
pub fn wait_for_program(pid: Pid) {
    let start = Instant::now();
    let directory = format!("/proc/{}", pid.as_raw_nonzero());
    let handles_signals = || {
        let status = fs::read_to_string(format!("{directory}/status")).unwrap_or_default();
        let mut masks = status.lines().filter_map(|l| l.strip_prefix("SigCgt:"));
        masks.any(|mask| mask.trim().bytes().any(|digit| digit != b'0'))
    };
    while !handles_signals() && start.elapsed() < PROGRAM_TIMEOUT {
        thread::sleep(PROGRAM_POLL_PERIOD);
    }
    let cpu_time = || {
        let stat = fs::read_to_string(format!("{directory}/schedstat")).unwrap_or_default();
        let nanos = stat.split_whitespace().next().and_then(|n| n.parse().ok());
        Duration::from_nanos(nanos.unwrap_or_default())
    };
    let (end, running) = (cpu_time() + PROGRAM_CPU_TIME, Instant::now());
    while cpu_time() < end && running.elapsed() < CPU_TIMEOUT {
        thread::sleep(PROGRAM_POLL_PERIOD);
    }
}

/// An instance with its files, and its process while one runs.
#[derive(Debug)]
pub struct Instance {
    program: PathBuf,
    settings: PathBuf,
    settings_text: String,
    /// SIGHUPs at the starts of the process.
    hang_ups: HangUps,
    log: PathBuf,
    child: Option<Child>,
    /// Number of processes started so far.
    start_count: u32,
    /// Whether SIGTERM was sent since the last start.
    stopping: bool,
    /// Whether no more processes may be started.
    closed: bool,
    started_at: Instant,
    /// Signals to the latest process, with their times from its start. Those of `hang_ups` are listed
    /// at once, with their times from the beginning of the program.
    signals: Vec<(Duration, Signal)>,
}

impl Instance {
    /// Creates an instance without a process and writes its settings. The settings and the log are
    /// in `directory`. Its processes get `hang_ups` at their starts.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the settings can't be written.
    pub fn new(
        program: &Path,
        directory: &Path,
        node: &Node,
        hang_ups: HangUps,
    ) -> io::Result<Self> {
        let settings = directory.join(format!("{}.toml", node.name));
        let settings_text = node.settings_text();
        fs::write(&settings, &settings_text)?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            settings_text,
            hang_ups,
            log: directory.join(format!("{}.log", node.name)),
            child: None,
            start_count: 0,
            stopping: false,
            closed: false,
            started_at: Instant::now(),
            signals: Vec::new(),
        })
    }

    /// Number of the current or latest process, counted from 1. 0 if none was started.
    pub const fn process_number(&self) -> u32 {
        self.start_count
    }

    /// Whether SIGTERM was sent since the last start.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether the instance has a process whose exit hasn't been collected.
    pub const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Starts a process, unless one runs or the instance is closed.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the log can't be opened or the process can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() || self.closed {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env("MARIGOLDLOOM_NODE_FILE", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        self.stopping = false;
        self.started_at = Instant::now();
        self.signals.clear();
        let hang_ups = self.hang_ups.iter().cycle().nth(self.start_count as usize);
        for delay in hang_ups.into_iter().flatten() {
            let delay = Duration::from_micros(*delay);
            self.signals.push((delay, Signal::HUP));
            let Some(pid) = self.pid() else { continue };
            let process = pidfd_open(pid, PidfdFlags::empty())?;
            thread::spawn(move || {
                wait_for_program(pid);
                thread::sleep(delay);
                // Fails if the process has ended.
                let _ = pidfd_send_signal(process, Signal::HUP);
            });
        }
        self.start_count += 1;
        Ok(())
    }

    /// Id of the process, if there is one.
    pub fn pid(&self) -> Option<Pid> {
        let id = self.child.as_ref().map(Child::id);
        id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?))
    }

    /// Writes the settings file as a disturbance wants it, or else as it was at first.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the file can't be written, renamed or removed.
    pub fn write_settings(&self, disturbance: Option<Disturbance>) -> io::Result<()> {
        let (path, text) = (&self.settings, self.settings_text.as_bytes());
        match disturbance {
            Some(Disturbance::TruncatedSettings(percent)) => {
                fs::write(path, &text[..text.len() * percent / 100])
            }
            Some(Disturbance::InvalidSettings) => fs::write(path, "NodeName = ["),
            // Another step may have removed it.
            Some(Disturbance::NoSettings) if !path.exists() => Ok(()),
            Some(Disturbance::NoSettings) => fs::remove_file(path),
            _ => {
                let new = path.with_extension("new");
                fs::write(&new, text)?;
                fs::rename(new, path)
            }
        }
    }

    /// Describes the exit of the latest process, with the signals to it and the end of its log.
    pub fn describe_exit(&self, status: ExitStatus) -> String {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines: Vec<_> = log.lines().rev().take(LAST_LINES).collect();
        let signals = &self.signals;
        format!("{status}, signals from its start: {signals:?}, log, latest first: {lines:?}")
    }

    /// Sends a signal to the process, if there is one, once it runs its program.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.stopping |= signal == Signal::TERM;
        let Some(pid) = self.pid() else { return Ok(()) };
        if self.started_at.elapsed() < START_TIME {
            wait_for_program(pid);
        }
        self.signals.push((self.started_at.elapsed(), signal));
        Ok(kill_process(pid, signal)?)
    }

    /// Returns the exit status of the process and forgets the process if it has exited. Returns
    /// `None` if it still runs or there is none.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the status can't be read.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        };
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process, if there is one, and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the process can't be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Kills the process, if there is one, and prevents restarts.
    pub fn close(&mut self) {
        self.closed = true;
        // Fails if the process has already exited.
        let _ = self.kill();
    }

    /// Returns the lines of the log that contain `text`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the log can't be read.
    pub fn log_lines(&self, text: &str) -> io::Result<Vec<String>> {
        let log = fs::read_to_string(&self.log)?;
        let lines = log.lines().filter(|l| l.contains(text));
        Ok(lines.map(str::to_owned).collect())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.close();
    }
}
