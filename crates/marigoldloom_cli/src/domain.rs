//! Commands that take failure domains out of service and bring them back.

use std::io;

use marigoldloom_platform::object::Key;
use marigoldloom_platform::platform::Platform;
use marigoldloom_records::failure_domain::{FailureDomain, State};
use marigoldloom_records::record::{self, Kind};
use serde_json::Value;

use crate::error::Error;
use crate::output::Printer;
use crate::write;

/// Sets the state of a failure domain. Writes nothing if it already has this state.
///
/// # Errors
///
/// [`Error::NotFound`], [`Error::Invalid`] or [`Error::Conflict`], or the error of the call.
pub async fn set_state(
    platform: &impl Platform,
    printer: &mut Printer<impl io::Write>,
    name: &str,
    state: State,
) -> Result<(), Error> {
    let key = Key::new(Kind::FailureDomain.as_str(), name);
    let object = write::modify(platform, &key, |value| set_state_field(value, state)).await?;
    printer.object(&object)
}

/// Returns the value with its state set, or none if it already has this state.
///
/// Edits the JSON value instead of the decoded record, so that unknown fields are preserved.
fn set_state_field(value: &Value, state: State) -> Result<Option<Value>, Error> {
    let domain: FailureDomain = record::decode(value)?;
    if domain.state == state {
        return Ok(None);
    }
    let mut edited = value.clone();
    edited["state"] = serde_json::to_value(state)?;
    Ok(Some(edited))
}
