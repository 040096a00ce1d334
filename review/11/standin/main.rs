//! The cases of the third review that are scripts.
//!
//! `review-3 CASE FOLDER` plays a case and writes `record.txt` into its folder. The working directory is
//! the root of the repository. With `TROUBLE=0` the disruption is left out. Exits with 1 if the rule
//! was broken, with 0 if it held, and with 2 if the case couldn't run.

use std::path::Path;
use std::process::ExitCode;
use std::{env, fs, io};

mod case_cold;
mod case_endless;
mod case_frozen;
mod case_replaced;
mod case_restore;
mod dark;
mod edge;
mod http;
mod json;
mod record;
mod replica;
mod store;

use record::Record;

/// What all cases need.
pub struct Setup<'a> {
    pub root: &'a Path,
    /// A folder for the files of the instances; removed at the end.
    pub temporary: &'a Path,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    match play(case, Path::new(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case can't run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case. Returns whether the rule held.
fn play(case: &str, folder: &Path) -> io::Result<bool> {
    let root = env::current_dir()?;
    let temporary = env::temp_dir().join(format!("marigoldloom-review-{}", std::process::id()));
    fs::create_dir_all(&temporary)?;
    let setup = Setup {
        root: &root,
        temporary: &temporary,
        record: Record::create(&folder.join("record.txt"))?,
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    setup.record.say(format!(
        "disruption: {}",
        if setup.trouble { "yes" } else { "no" }
    ));
    let held = match case {
        "cold" => case_cold::play(&setup),
        "endless" => case_endless::play(&setup),
        "frozen" => case_frozen::play(&setup),
        "replaced" => case_replaced::play(&setup),
        "restore" => case_restore::play(&setup),
        _ => Err(io::Error::new(io::ErrorKind::InvalidInput, "unknown case")),
    };
    if env::var_os("KEEP").is_none() {
        drop(fs::remove_dir_all(&temporary));
    }
    held
}
