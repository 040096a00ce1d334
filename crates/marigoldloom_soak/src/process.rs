//! Starts, signals and kills the process of an instance.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use marigoldloom_standin::users::documents::Node;
use rustix::process::{Pid, Signal, kill_process};

/// An instance with its files, and its process while one runs.
#[derive(Debug)]
pub struct Instance {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of processes started so far.
    start_count: u32,
    /// Whether SIGTERM was sent since the last start.
    stopping: bool,
    /// Whether no more processes may be started.
    closed: bool,
}

impl Instance {
    /// Creates an instance without a process and writes its settings. The settings and the log are
    /// in `directory`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the settings can't be written.
    pub fn new(program: &Path, directory: &Path, node: &Node) -> io::Result<Self> {
        let settings = directory.join(format!("{}.toml", node.name));
        fs::write(&settings, node.settings_text())?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            log: directory.join(format!("{}.log", node.name)),
            child: None,
            start_count: 0,
            stopping: false,
            closed: false,
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
        self.start_count += 1;
        self.stopping = false;
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.stopping |= signal == Signal::TERM;
        let id = self.child.as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        pid.map_or(Ok(()), |pid| Ok(kill_process(pid, signal)?))
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
