//! An instance as a process, and its signals.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use marigoldloom_standin::users::documents::Node;
use rustix::process::{Pid, Signal, kill_process};

/// An instance: where it is, and its process while it has one.
#[derive(Debug)]
pub struct Instance {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Processes started so far.
    started: u32,
    /// Whether the process was told to stop.
    stopping: bool,
    /// Whether no other process is to be started.
    closed: bool,
}

impl Instance {
    /// An instance of `program` without a process. Its settings and its log are in `directory`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the settings can't be written.
    pub fn new(program: &Path, directory: &Path, node: &Node) -> io::Result<Self> {
        let settings = directory.join(format!("{}.toml", node.name));
        fs::write(&settings, node.settings_text())?;
        Ok(Self {
            program: program.to_owned(),
            settings,
            log: directory.join(format!("{}.log", node.name)),
            child: None,
            started: 0,
            stopping: false,
            closed: false,
        })
    }

    /// Number of the process that runs or ran last, counted from 1.
    pub const fn process(&self) -> u32 {
        self.started
    }

    /// Whether its process was told to stop.
    pub const fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether it has a process.
    pub const fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Starts a process, unless one runs or the instance is closed.
    ///
    /// # Errors
    ///
    /// The error of the operating system if it can't be started.
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
        self.started += 1;
        self.stopping = false;
        Ok(())
    }

    /// Sends a signal to the process, if there is one.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.stopping |= signal == Signal::TERM;
        let id = self.child.as_ref().map(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        pid.map_or(Ok(()), |pid| Ok(kill_process(pid, signal)?))
    }

    /// How the process ended, if it has. The instance has no process after that.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        };
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process, if there is one, and waits until it is gone.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Kills the process, if there is one, for good.
    pub fn close(&mut self) {
        self.closed = true;
        // The process may have ended by itself.
        let _ = self.kill();
    }

    /// The lines of its log that name `text`.
    ///
    /// # Errors
    ///
    /// The error of the operating system if the log can't be read.
    pub fn lines(&self, text: &str) -> io::Result<Vec<String>> {
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
