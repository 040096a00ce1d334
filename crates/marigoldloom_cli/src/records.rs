//! Commands that read, write and watch records.

use std::io;

use marigoldloom_platform::object::{Key, Object, Revision};
use marigoldloom_platform::platform::{Condition, Platform};
use marigoldloom_records::record;

use crate::args::{Precondition, Put, Target, Watch};
use crate::error::Error;
use crate::file;
use crate::output::Printer;
use crate::write;

/// Returns the platform key of a record.
pub fn key(target: &Target) -> Key {
    Key::new(target.kind.as_str(), target.name.as_str())
}

/// Prints a record.
///
/// # Errors
///
/// [`Error::NotFound`] or the error of the call.
pub async fn get(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    target: &Target,
) -> Result<(), Error> {
    let object = write::read(platform, &key(target)).await?;
    printer.object(&object)
}

/// Prints all records of a kind.
///
/// # Errors
///
/// The error of the call.
pub async fn list(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    kind: record::Kind,
) -> Result<(), Error> {
    let listing = platform
        .list(kind.as_str())
        .await
        .map_err(Error::from_read)?;
    printer.objects(&listing.objects)
}

/// Writes a record after the same validation as in the daemon.
///
/// # Errors
///
/// [`Error::Invalid`] or [`Error::Conflict`], or the error of the file or the call.
pub async fn put(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    put: &Put,
) -> Result<(), Error> {
    let content = file::read(&put.file)?;
    let record = record::decode_any(put.kind, &content.value)?;
    let key = Key::new(put.kind.as_str(), record_name(&record));
    let condition = match (put.precondition, content.version) {
        (Precondition::Force, _) => Condition::Any,
        (Precondition::Version(version), _) | (Precondition::Unspecified, Some(version)) => {
            Condition::Version(version)
        }
        (Precondition::Unspecified, None) => Condition::Absent,
    };
    let object = write::put(platform, &key, &content.value, condition).await?;
    printer.object(&object)
}

/// Deletes a record.
///
/// # Errors
///
/// [`Error::Conflict`] or the error of the call.
pub async fn delete(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    target: &Target,
    precondition: Precondition,
) -> Result<(), Error> {
    let key = key(target);
    let condition = match precondition {
        Precondition::Version(version) => Condition::Version(version),
        Precondition::Force | Precondition::Unspecified => Condition::Any,
    };
    write::delete(platform, &key, condition).await?;
    printer.line(&key, &format!("{key} is deleted"))
}

/// Prints writes as they happen.
///
/// # Errors
///
/// [`Error::Compacted`] or the error of the call.
pub async fn watch(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    watch: &Watch,
) -> Result<(), Error> {
    let kinds: Vec<&str> = watch.kinds.iter().map(|k| k.as_str()).collect();
    let mut since = match watch.since {
        Some(since) => since,
        None => current_revision(platform, kinds[0]).await?,
    };
    let mut remaining = watch.count.unwrap_or(u64::MAX);
    while remaining > 0 {
        let result = platform.watch(&kinds, since).await;
        let changes = result.map_err(Error::from_read)?;
        for change in changes
            .changes
            .iter()
            .take(usize::try_from(remaining).unwrap_or(usize::MAX))
        {
            printer.change(change)?;
            remaining -= 1;
        }
        since = changes.revision;
    }
    Ok(())
}

async fn current_revision(platform: &impl Platform, kind: &str) -> Result<Revision, Error> {
    let listing = platform.list(kind).await.map_err(Error::from_read)?;
    Ok(listing.revision)
}

fn record_name(record: &record::AnyRecord) -> &str {
    match record {
        record::AnyRecord::Service(r) => &r.name,
        record::AnyRecord::FailureDomain(r) => &r.name,
        record::AnyRecord::Upstream(r) => &r.name,
        record::AnyRecord::Instance(r) => &r.name,
        record::AnyRecord::VersionMove(r) => &r.name,
    }
}

/// Decodes and validates a record read from the platform.
///
/// # Errors
///
/// [`Error::Invalid`].
pub fn decode<R: record::Record>(object: &Object) -> Result<R, Error> {
    Ok(record::decode(&object.value)?)
}
