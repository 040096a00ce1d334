//! Conditional writes, with the differences on a conflict and a read-back if the response is
//! lost.

use marigoldloom_platform::object::{Key, Object};
use marigoldloom_platform::platform::{self, Condition, Platform};
use serde_json::Value;

use crate::difference;
use crate::error::{Baseline, Error};

/// Maximum number of attempts to modify an object whose status instances update meanwhile.
const MODIFY_ATTEMPTS: usize = 5;

/// Name of the record field that instances write.
const STATUS_FIELD: &str = "status";

/// Reads an object that must exist.
///
/// # Errors
///
/// [`Error::NotFound`] if it does not exist, or the error of the read.
pub async fn read(platform: &impl Platform, key: &Key) -> Result<Object, Error> {
    let object = platform.get(key).await.map_err(Error::from_read)?;
    object.ok_or_else(|| Error::NotFound { key: key.clone() })
}

/// Writes a value that the operator submitted.
///
/// # Errors
///
/// [`Error::Conflict`] with the differences between the submitted and the current value, or
/// the error of the call.
pub async fn put(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
    condition: Condition,
) -> Result<Object, Error> {
    let result = put_confirmed(platform, key, value, condition).await;
    result.map_err(|error| into_error(error, key, Baseline::Submitted, value))
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
        Err(platform::Error::OutcomeUnknown) => confirm_delete(platform, key).await,
        result => result,
    };
    result.map_err(|error| match error {
        platform::Error::Conflict { current } => Error::Conflict {
            key: key.clone(),
            base: Baseline::Read,
            version: current.map(|o| o.version),
            differences: Vec::new(),
        },
        error => into_error(error, key, Baseline::Read, &Value::Null),
    })
}

/// Reads an object, edits its value and writes it back on the condition that its version is
/// unchanged. `edit` returns none if there is nothing to change.
///
/// If an instance updated only the status meanwhile, that is not a conflict between
/// operators, and the edit is retried on the newer value.
///
/// # Errors
///
/// [`Error::Conflict`] with the differences since the read, or the error of `edit` or of a
/// call.
pub async fn modify(
    platform: &impl Platform,
    key: &Key,
    edit: impl Fn(&Value) -> Result<Option<Value>, Error>,
) -> Result<Object, Error> {
    let mut base = read(platform, key).await?;
    for _ in 0..MODIFY_ATTEMPTS {
        let Some(value) = edit(&base.value)? else {
            return Ok(base);
        };
        let condition = Condition::Version(base.version);
        match put_confirmed(platform, key, &value, condition).await {
            Err(platform::Error::Conflict {
                current: Some(current),
            }) if is_status_update(&base, &current) => base = *current,
            result => return result.map_err(|e| into_error(e, key, Baseline::Read, &base.value)),
        }
    }
    Err(Error::Conflict {
        key: key.clone(),
        base: Baseline::Read,
        version: Some(base.version),
        differences: Vec::new(),
    })
}

/// Whether the two objects differ only in their status.
fn is_status_update(base: &Object, current: &Object) -> bool {
    let differences = difference::compare(&base.value, &current.value);
    let is_status = |field: &str| field.split('.').next() == Some(STATUS_FIELD);
    differences.iter().all(|d| is_status(&d.field))
}

/// Writes an object. If the response is lost, reads it back to confirm the write.
async fn put_confirmed(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
    condition: Condition,
) -> Result<Object, platform::Error> {
    match platform.put(key, value, condition).await {
        Err(platform::Error::OutcomeUnknown) => confirm_put(platform, key, value).await,
        result => result,
    }
}

/// Confirms a write whose response was lost. If the object does not have the written value,
/// the outcome remains unknown, because the write may still be in transit.
async fn confirm_put(
    platform: &impl Platform,
    key: &Key,
    value: &Value,
) -> Result<Object, platform::Error> {
    match platform.get(key).await {
        Ok(Some(object)) if object.value == *value => Ok(object),
        _ => Err(platform::Error::OutcomeUnknown),
    }
}

async fn confirm_delete(platform: &impl Platform, key: &Key) -> Result<(), platform::Error> {
    match platform.get(key).await {
        Ok(None) => Ok(()),
        _ => Err(platform::Error::OutcomeUnknown),
    }
}

fn into_error(error: platform::Error, key: &Key, base: Baseline, value: &Value) -> Error {
    match error {
        platform::Error::Conflict { current } => {
            let current_value = current.as_ref().map_or(&Value::Null, |o| &o.value);
            Error::Conflict {
                key: key.clone(),
                base,
                version: current.as_ref().map(|o| o.version),
                differences: difference::compare(value, current_value),
            }
        }
        platform::Error::OutcomeUnknown => Error::OutcomeUnknown { key: key.clone() },
        error => Error::from_read(error),
    }
}
