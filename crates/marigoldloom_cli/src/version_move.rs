//! Commands that start, follow and take back version moves.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use marigoldloom_platform::object::{Change, Changes, Key, Object, Revision};
use marigoldloom_platform::platform::{self, Condition, Platform};
use marigoldloom_records::record::{self, Kind};
use marigoldloom_records::service::Service;
use marigoldloom_records::version_move::{Intent, Phase, Status, VersionMove};
use marigoldloom_runtime::runtime::{self, Runtime};
use marigoldloom_runtime::time::WallTime;
use serde_json::Value;

use crate::args::MoveStart;
use crate::error::Error;
use crate::output::Printer;
use crate::records;
use crate::table::Table;
use crate::time;
use crate::write;

/// Initial and maximum delay before a failed call is retried while a move is followed.
const RETRY_BACKOFF_BASE: Duration = Duration::from_millis(200);
const RETRY_BACKOFF_CAP: Duration = Duration::from_secs(5);

fn key(name: &str) -> Key {
    Key::new(Kind::VersionMove.as_str(), name)
}

/// Starts a move from the service's active version.
///
/// # Errors
///
/// [`Error::UnknownVersion`], [`Error::AlreadyActive`], [`Error::MoveInProgress`] or
/// [`Error::Conflict`], or the error of a call.
pub async fn start(
    rt: &impl Runtime,
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    args: &MoveStart,
) -> Result<(), Error> {
    let service = Key::new(Kind::Service.as_str(), args.service.as_str());
    let service: Service = records::decode(&write::read(platform, &service).await?)?;
    check_version(&service, &args.to)?;
    check_no_running_move(platform, &args.service).await?;
    let value = serde_json::to_value(new_record(args, service.active, rt.wall()))?;
    record::decode_any(Kind::VersionMove, &value)?;
    let key = key(&args.name);
    let object = write::put(platform, &key, &value, Condition::Absent).await?;
    print_move(rt, printer, &object)
}

fn check_version(service: &Service, version: &str) -> Result<(), Error> {
    let (service_name, version_name) = (service.name.clone(), version.to_owned());
    match () {
        () if !service.versions.contains_key(version) => Err(Error::UnknownVersion {
            service: service_name,
            version: version_name,
        }),
        () if service.active == version => Err(Error::AlreadyActive {
            service: service_name,
            version: version_name,
        }),
        () => Ok(()),
    }
}

/// Checks that no other move of the service is running: each of two concurrent moves would
/// count the other's traffic as evidence.
async fn check_no_running_move(platform: &impl Platform, service: &str) -> Result<(), Error> {
    let kind = Kind::VersionMove.as_str();
    let listing = platform.list(kind).await.map_err(Error::from_read)?;
    for object in &listing.objects {
        let other: VersionMove = records::decode(object)?;
        if other.service == service && other.status.phase == Phase::Running {
            return Err(Error::MoveInProgress {
                service: other.service,
                name: other.name,
            });
        }
    }
    Ok(())
}

fn new_record(args: &MoveStart, from: String, now: WallTime) -> VersionMove {
    VersionMove {
        schema: record::SCHEMA,
        name: args.name.clone(),
        service: args.service.clone(),
        from,
        to: args.to.clone(),
        start_ms: now,
        deadline_ms: now + args.within,
        intent: Intent::Proceed,
        status: Status::default(),
        extra: BTreeMap::new(),
    }
}

/// Prints a move's status and evidence.
///
/// # Errors
///
/// [`Error::NotFound`] or the error of the call.
pub async fn status(
    rt: &impl Runtime,
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    name: &str,
) -> Result<(), Error> {
    let object = write::read(platform, &key(name)).await?;
    print_move(rt, printer, &object)
}

fn print_move(
    rt: &impl Runtime,
    printer: &mut Printer<impl io::Write>,
    object: &Object,
) -> Result<(), Error> {
    let current = records::decode(object)?;
    printer.json_or_tables(
        object,
        &[summary_table(&current, rt.wall()), evidence_table(&current)],
    )
}

fn summary_table(current: &VersionMove, now: WallTime) -> Table {
    let intent = match current.intent {
        Intent::Proceed => "proceed",
        Intent::TakeBack => "take back",
    };
    let rows = [
        ("move", current.name.clone()),
        ("service", current.service.clone()),
        ("from", current.from.clone()),
        ("to", current.to.clone()),
        ("intent", intent.to_owned()),
        ("phase", phase_text(current.status.phase).to_owned()),
        ("reason", current.status.reason.clone()),
        ("start", time::format_time(current.start_ms)),
        ("deadline", time::format_time(current.deadline_ms)),
        (
            "time left",
            time::format_span(current.deadline_ms.since(now)),
        ),
    ];
    let mut table = Table::new(["field", "value"]);
    for (field, value) in rows {
        table.add_row([field.to_owned(), value]);
    }
    table
}

/// Returns a table with the request counts of both versions on each route.
fn evidence_table(current: &VersionMove) -> Table {
    let mut table = Table::new(["route", "version", "requests", "failures", "slow"]);
    let row = |route: &str, version: &str, counts: [u64; 3]| {
        let names = [route.to_owned(), version.to_owned()].into_iter();
        names.chain(counts.map(|count| count.to_string()))
    };
    for (route, e) in &current.status.evidence {
        let (new, old) = (
            [e.requests, e.failures, e.slow],
            [e.old_requests, e.old_failures, e.old_slow],
        );
        table.add_row(row(route, &current.to, new));
        table.add_row(row(route, &current.from, old));
    }
    table
}

const fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Done => "done",
        Phase::TakenBack => "taken back",
    }
}

/// Requests that a move is taken back. Writes nothing if this was already requested.
///
/// # Errors
///
/// [`Error::NotFound`], [`Error::MoveEnded`] or [`Error::Conflict`], or the error of the call.
pub async fn take_back(
    rt: &impl Runtime,
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    name: &str,
) -> Result<(), Error> {
    let object = write::modify(platform, &key(name), request_take_back).await?;
    print_move(rt, printer, &object)
}

fn request_take_back(value: &Value) -> Result<Option<Value>, Error> {
    let version_move: VersionMove = record::decode(value)?;
    match (version_move.status.phase, version_move.intent) {
        (Phase::Done, _) => Err(Error::MoveEnded {
            name: version_move.name,
            phase: Phase::Done,
        }),
        (Phase::TakenBack, _) | (Phase::Running, Intent::TakeBack) => Ok(None),
        (Phase::Running, Intent::Proceed) => {
            let mut edited = value.clone();
            edited["intent"] = serde_json::to_value(Intent::TakeBack)?;
            Ok(Some(edited))
        }
    }
}

/// Prints a move's status each time it changes, until the move ends. Once the move was found,
/// calls that fail because of a platform outage are retried.
///
/// # Errors
///
/// [`Error::TakenBack`] if the move was taken back, [`Error::NotFound`] if it does not exist or
/// is deleted, or the error of the first call.
pub async fn follow(
    rt: &impl Runtime,
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    name: &str,
) -> Result<(), Error> {
    let (mut since, object) = find_move(platform, name).await.map_err(Error::from_read)?;
    let mut object = object.ok_or_else(|| Error::NotFound { key: key(name) })?;
    let mut shown = None;
    loop {
        let current: VersionMove = records::decode(&object)?;
        if shown.as_ref() != Some(&current.status) {
            printer.line(&current.status, &status_text(&current))?;
        }
        match current.status.phase {
            Phase::Running => shown = Some(current.status),
            Phase::Done => return Ok(()),
            Phase::TakenBack => {
                return Err(Error::TakenBack {
                    name: current.name,
                    reason: current.status.reason,
                });
            }
        }
        (since, object) = next_write(rt, platform, name, since, object).await?;
    }
}

/// Waits for the next changes to moves and returns their revision with the move's current
/// object.
async fn next_write(
    rt: &impl Runtime,
    platform: &impl Platform,
    name: &str,
    since: Revision,
    object: Object,
) -> Result<(Revision, Object), Error> {
    let mut attempt = 0;
    let (revision, found) = loop {
        let result = match platform.watch(&[Kind::VersionMove.as_str()], since).await {
            Ok(changes) => Ok(apply_changes(changes, &object)),
            Err(platform::Error::Compacted) => find_move(platform, name).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(found) => break found,
            Err(error @ platform::Error::Refused { .. }) => return Err(Error::from_read(error)),
            Err(_) => {
                let pause = runtime::backoff(rt, attempt, RETRY_BACKOFF_BASE, RETRY_BACKOFF_CAP);
                rt.sleep(pause).await;
                attempt += 1;
            }
        }
    };
    let object = found.ok_or_else(|| Error::NotFound { key: key(name) })?;
    Ok((revision, object))
}

/// Returns the revision of the changes and the move's object after them; no object if it was
/// deleted.
fn apply_changes(changes: Changes, object: &Object) -> (Revision, Option<Object>) {
    let same_key = |c: &Change| c.key == object.key;
    let last = changes.changes.into_iter().rfind(same_key);
    let latest = last.map_or_else(|| Some(object.clone()), |c| c.object);
    (changes.revision, latest)
}

async fn find_move(
    platform: &impl Platform,
    name: &str,
) -> Result<(Revision, Option<Object>), platform::Error> {
    let listing = platform.list(Kind::VersionMove.as_str()).await?;
    let mut objects = listing.objects.into_iter();
    Ok((listing.revision, objects.find(|o| o.key.name == name)))
}

fn status_text(current: &VersionMove) -> String {
    let status = &current.status;
    let heading = format!(
        "{}: {}  {}",
        current.name,
        phase_text(status.phase),
        status.reason
    );
    match status.evidence.is_empty() {
        true => heading.trim_end().to_owned(),
        false => format!("{}\n{}", heading.trim_end(), evidence_table(current)),
    }
}
