//! Conditional writes: conflicts with what changed, and answers that were lost.

use marigoldloom_platform::object::{Key, Object};
use marigoldloom_platform::platform::{self, Condition, Platform};
use serde_json::Value;

use crate::difference;
use crate::error::{Base, Error};

/// Attempts of a change that only conflicts with an instance's status reports.
const ATTEMPTS: usize = 5;

/// Field of a record that instances write.
const STATUS_FIELD: &str = "status";

/// Reads an object that must exist.
///
/// # Errors
///
/// [`Error::Absent`] or the error of the read.
pub async fn read(platform: &impl Platform, key: &Key) -> Result<Object, Error> {
    let object = platform.get(key).await.map_err(Error::of_read)?;
    object.ok_or_else(|| Error::Absent { key: key.clone() })
}

/// Writes a value that the operator submitted.
///
/// # Errors
///
/// [`Error::Conflict`] with the differences between the submitted and the current value.
pub async fn put(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
    condition: Condition,
) -> Result<Object, Error> {
    let result = attempt(platform, key, value, condition).await;
    result.map_err(|error| explain(error, key, Base::Submitted, value))
}

/// Deletes an object.
///
/// # Errors
///
/// [`Error::Conflict`] without differences, or the error of the call.
pub async fn delete(
    platform: &impl Platform,
    key: &Key,
    condition: Condition,
) -> Result<(), Error> {
    let result = match platform.delete(key, condition).await {
        Err(platform::Error::OutcomeUnknown) => confirm_absence(platform, key).await,
        result => result,
    };
    result.map_err(|error| match error {
        platform::Error::Conflict { current } => Error::Conflict {
            key: key.clone(),
            base: Base::Read,
            version: current.map(|o| o.version),
            differences: Vec::new(),
        },
        error => explain(error, key, Base::Read, &Value::Null),
    })
}

/// Reads an object, edits its value and writes it back on the condition that nobody
/// else wrote meanwhile. `edit` returns none if there is nothing to change.
///
/// A status report of an instance is no conflict between operators: the edit is tried
/// again on the newer value.
///
/// # Errors
///
/// [`Error::Conflict`] with what changed since the read, or the error of `edit`.
pub async fn modify(
    platform: &impl Platform,
    key: &Key,
    edit: impl Fn(&Value) -> Result<Option<Value>, Error>,
) -> Result<Object, Error> {
    let mut base = read(platform, key).await?;
    for _ in 0..ATTEMPTS {
        let Some(value) = edit(&base.value)? else {
            return Ok(base);
        };
        let condition = Condition::Version(base.version);
        match attempt(platform, key, &value, condition).await {
            Err(platform::Error::Conflict {
                current: Some(current),
            }) if is_report(&base, &current) => base = *current,
            result => return result.map_err(|e| explain(e, key, Base::Read, &base.value)),
        }
    }
    Err(Error::Conflict {
        key: key.clone(),
        base: Base::Read,
        version: Some(base.version),
        differences: Vec::new(),
    })
}

/// Whether only the status differs.
fn is_report(base: &Object, current: &Object) -> bool {
    let differences = difference::compare(&base.value, &current.value);
    let is_status = |field: &str| field.split('.').next() == Some(STATUS_FIELD);
    differences.iter().all(|d| is_status(&d.field))
}

/// Writes; if the answer is lost, reads back whether the value is in force.
async fn attempt(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
    condition: Condition,
) -> Result<Object, platform::Error> {
    match platform.put(key, value, condition).await {
        Err(platform::Error::OutcomeUnknown) => confirm(platform, key, value).await,
        result => result,
    }
}

/// An unchanged object proves nothing: the write may still be on its way.
async fn confirm(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
) -> Result<Object, platform::Error> {
    match platform.get(key).await {
        Ok(Some(object)) if object.value == *value => Ok(object),
        _ => Err(platform::Error::OutcomeUnknown),
    }
}

async fn confirm_absence(platform: &impl Platform, key: &Key) -> Result<(), platform::Error> {
    match platform.get(key).await {
        Ok(None) => Ok(()),
        _ => Err(platform::Error::OutcomeUnknown),
    }
}

fn explain(error: platform::Error, key: &Key, base: Base, value: &Value) -> Error {
    match error {
        platform::Error::Conflict { current } => {
            let now = current.as_ref().map_or(&Value::Null, |o| &o.value);
            Error::Conflict {
                key: key.clone(),
                base,
                version: current.as_ref().map(|o| o.version),
                differences: difference::compare(value, now),
            }
        }
        platform::Error::OutcomeUnknown => Error::Unknown { key: key.clone() },
        error => Error::of_read(error),
    }
}
