//! Cases of the review that run as scripts: `standin CASE FOLDER`. The exit code is 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod edge;
mod http;
mod json;
mod log;
mod replica;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};

/// Longest run of a case.
const LIMIT: std::time::Duration = std::time::Duration::from_secs(115);

/// Set by a signal that asks this process to end.
static STOPPED: AtomicBool = AtomicBool::new(false);

unsafe extern "C" {
    /// `signal` of the C library, which the standard library links.
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn stop(_number: i32) {
    STOPPED.store(true, Ordering::SeqCst);
}

/// Numbers of SIGHUP, SIGINT and SIGTERM.
const STOP_SIGNALS: [i32; 3] = [1, 2, 15];

fn main() -> ExitCode {
    for number in STOP_SIGNALS {
        // SAFETY: the handler only stores to an atomic.
        unsafe { signal(number, stop) };
    }
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let run = std::thread::spawn(move || cases::run(&case, &folder, trouble));
    let end = std::time::Instant::now() + LIMIT;
    while !run.is_finished() {
        if std::time::Instant::now() > end || STOPPED.load(Ordering::SeqCst) {
            eprintln!("the case took too long or was stopped");
            cases::end_all();
            return ExitCode::from(2);
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    match run.join() {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        Ok(None) | Err(_) => {
            cases::end_all();
            ExitCode::from(2)
        }
    }
}
