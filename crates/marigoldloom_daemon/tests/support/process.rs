//! Child processes that are killed at the end of the test.

use std::env;
use std::ffi::OsStr;
use std::io::{self, BufRead};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;

use rustix::process::{self, Pid, Signal};

use super::wait_for;

/// Maximum number of output lines stored per child.
const LINE_LIMIT: usize = 10_000;

/// Number of last output lines shown when a test fails.
const TAIL_LINES: usize = 15;

type Lines = Arc<Mutex<Vec<String>>>;

/// A child process. It is killed on drop, also when the test panics.
pub(crate) struct Process {
    name: String,
    child: Child,
    lines: Lines,
}

impl Process {
    /// Starts a binary of the workspace.
    pub(crate) fn start(name: &str, binary: &str, args: &[impl AsRef<OsStr>]) -> Self {
        let mut child = Command::new(binary_path(binary))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{binary} can't be started: {e}"));
        let lines = Lines::default();
        collect_lines(child.stdout.take(), &lines);
        collect_lines(child.stderr.take(), &lines);
        Self {
            name: name.to_owned(),
            child,
            lines,
        }
    }

    /// Waits for an output line for which `parse` returns a value.
    pub(crate) fn wait_for_line<T>(&mut self, parse: impl Fn(&str) -> Option<T>) -> T {
        let what = format!("expected output of {}", self.name);
        wait_for(&what, || {
            if let Ok(Some(status)) = self.child.try_wait() {
                panic!("{} ended with {status}: {:?}", self.name, self.tail());
            }
            self.lines().iter().find_map(|line| parse(line))
        })
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        process::kill_process(Pid::from_child(&self.child), signal)
            .unwrap_or_else(|e| panic!("{} can't be signalled: {e}", self.name));
    }

    /// Suspends the process and waits until all its threads have stopped.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
        let pid = Pid::from_child(&self.child);
        let status = process::waitpid(Some(pid), process::WaitOptions::UNTRACED)
            .unwrap_or_else(|e| panic!("{} can't be waited for: {e}", self.name));
        assert!(
            status.is_some_and(|(_, status)| status.stopped()),
            "{} ended instead of stopping",
            self.name
        );
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("a child can be killed");
        self.child.wait().expect("a child can be waited for");
    }

    /// Waits until the process ends by itself, for example after a signal.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let what = format!("end of {}", self.name);
        wait_for(&what, || self.child.try_wait().expect("a child's status"))
    }

    /// Returns the last output lines.
    pub(crate) fn tail(&self) -> Vec<String> {
        let lines = self.lines();
        lines[lines.len().saturating_sub(TAIL_LINES)..].to_vec()
    }

    fn lines(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.clone()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            let tail = self.tail().join("\n  ");
            #[expect(clippy::print_stderr, reason = "shown only when a test fails")]
            {
                eprintln!("last output of {}:\n  {tail}", self.name);
            }
        }
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_lines(pipe: Option<impl io::Read + Send + 'static>, lines: &Lines) {
    let lines = Arc::clone(lines);
    let pipe = pipe.expect("the output is piped");
    // The thread ends when the child closes the pipe.
    thread::spawn(move || {
        for line in io::BufReader::new(pipe).lines().map_while(Result::ok) {
            let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
            if lines.len() < LINE_LIMIT {
                lines.push(line);
            }
        }
    });
}

/// Runs a binary of the workspace until it ends.
pub(crate) fn run(binary: &str, args: &[impl AsRef<OsStr>]) -> Output {
    let output = Command::new(binary_path(binary)).args(args).output();
    output.unwrap_or_else(|e| panic!("{binary} can't be run: {e}"))
}

/// Returns the path of a binary of the workspace.
fn binary_path(binary: &str) -> PathBuf {
    binary_directory().join(binary)
}

/// Returns the directory of the workspace's binaries after building them.
///
/// Cargo builds the daemon for this test, but other crates' binaries only with `--workspace`.
/// Without this build they might be missing or outdated.
fn binary_directory() -> &'static Path {
    static DIRECTORY: OnceLock<PathBuf> = OnceLock::new();
    DIRECTORY.get_or_init(|| {
        let daemon = Path::new(env!("CARGO_BIN_EXE_marigoldloomd"));
        let binary_directory = daemon.parent().expect("a binary is in a directory");
        build(binary_directory);
        binary_directory.to_owned()
    })
}

fn build(binary_directory: &Path) {
    let profile = match binary_directory.file_name().and_then(OsStr::to_str) {
        Some("debug") | None => "dev",
        Some(name) => name,
    };
    let target = binary_directory
        .parent()
        .expect("a profile is in a directory");
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let output = Command::new(cargo)
        .args(["build", "--workspace", "--bins", "--locked", "--profile"])
        .arg(profile)
        .arg("--target-dir")
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .expect("cargo can be run");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "cargo build failed: {errors}");
}
