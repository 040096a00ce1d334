//! The daemon `marigoldloomd`: one instance of the query tier.

use std::process::ExitCode;

fn main() -> ExitCode {
    marigoldloom_daemon::command::main()
}
