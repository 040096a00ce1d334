//! Runs a command against the platform or an instance.

use std::io;
use std::time::Duration;

use marigoldloom_platform::http;
use marigoldloom_runtime::runtime::Runtime;

use crate::admin::AdminClient;
use crate::args::{self, Action, Invocation, Options};
use crate::error::Error;
use crate::output::Printer;
use crate::{domain, records, version_move};

/// Time that a watch asks the platform to wait for changes.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Runs a command and prints its results.
///
/// # Errors
///
/// The error that the command failed with.
pub async fn run(
    rt: &impl Runtime,
    invocation: &Invocation,
    printer: &mut Printer<impl io::Write>,
) -> Result<(), Error> {
    let Options {
        platform: address,
        admin,
        timeout,
        ..
    } = invocation.options;
    let timeouts = http::Timeouts {
        call: timeout,
        watch_wait: WATCH_WAIT,
    };
    let admin = AdminClient {
        address: admin,
        timeout,
    };
    let platform = http::HttpPlatform::new(address, timeouts);
    match &invocation.action {
        Action::Help => printer.text(args::USAGE),
        Action::Version => printer.text(concat!("marigoldloom ", env!("CARGO_PKG_VERSION"), "\n")),
        Action::Get(target) => records::get(&platform, printer, target).await,
        Action::List(kind) => records::list(&platform, printer, *kind).await,
        Action::Put(put) => records::put(&platform, printer, put).await,
        Action::Delete(target, demand) => {
            records::delete(&platform, printer, target, *demand).await
        }
        Action::Watch(watch) => records::watch(&platform, printer, watch).await,
        Action::Domain { name, state } => domain::set_state(&platform, printer, name, *state).await,
        Action::MoveStart(args) => version_move::start(rt, &platform, printer, args).await,
        Action::MoveStatus(name) => version_move::status(rt, &platform, printer, name).await,
        Action::MoveFollow(name) => version_move::follow(rt, &platform, printer, name).await,
        Action::MoveTakeBack(name) => version_move::take_back(rt, &platform, printer, name).await,
        Action::Events { after } => admin.events(printer, *after).await,
        Action::Members => admin.members(printer).await,
        Action::Explain { request } => admin.explain(printer, request).await,
    }
}
