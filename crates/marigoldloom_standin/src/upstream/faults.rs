//! Faults of a stand-in upstream, which can be changed while it runs.

use derive_more::derive;
use marigoldloom_upstream::message;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Faults in force. `slow`, `fail`, `drop`, `late_ms` and `crossed` affect only queries that meet
/// all the conditions `share`, `route`, `running` and `text`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default, deny_unknown_fields)]
pub struct Faults {
    /// Probability, from 0 to 1, that a query which meets the other conditions is affected.
    pub share: f64,
    /// Condition: the query's route is this one.
    pub route: Option<String>,
    /// Condition: at least this many queries run.
    pub running: u32,
    /// Condition: the query's body contains this text.
    pub text: Option<String>,
    /// Factor on the service time, which makes the upstream a straggler.
    pub slow: f64,
    /// Answers with status 500 after the service time.
    pub fail: bool,
    /// Closes the connection after the service time, without an answer.
    pub drop: bool,
    /// Delays the answer by this many milliseconds, also beyond the deadline.
    pub late_ms: u64,
    /// Sends the previous query's answer.
    pub crossed: bool,
    /// Crashes when a query arrives whose body contains this text.
    pub crash_text: Option<String>,
    /// Reported load, in place of the true one.
    pub load: Option<u32>,
    /// Reported capacity, in place of the true one.
    pub capacity: Option<u32>,
    /// Reported state, in place of the true one.
    pub state: Option<message::State>,
    /// Version that the upstream holds, in place of the one in the settings.
    pub version: Option<String>,
    /// Shard map epoch that the upstream holds, in place of the one in the settings.
    pub epoch: Option<u64>,
    /// Shards that the upstream holds, in place of those in the settings.
    pub shards: Option<Vec<u32>>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            share: 1.0,
            route: None,
            running: 0,
            text: None,
            slow: 1.0,
            fail: false,
            drop: false,
            late_ms: 0,
            crossed: false,
            crash_text: None,
            load: None,
            capacity: None,
            state: None,
            version: None,
            epoch: None,
            shards: None,
        }
    }
}

/// A fault that happens once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The process crashes.
    Crash,
    /// The upstream becomes cold without a restart.
    Cold,
}

/// An update of [`Faults`]. Fields that it doesn't contain keep their values.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", default)]
pub struct FaultUpdate {
    /// Event to trigger after the fields are set.
    pub event: Option<Event>,
    /// Whether fields that the update doesn't contain get their default values.
    pub reset: bool,
    /// New values by the name of the field of [`Faults`].
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// The update names an unknown field or has a value of the wrong type.
#[derive(Debug)]
#[derive(derive::Display, derive::Error)]
#[display("the faults can't be set: {source}")]
pub struct InvalidUpdate {
    source: serde_json::Error,
}

impl Faults {
    /// Returns the faults with `update` applied.
    ///
    /// # Errors
    ///
    /// [`InvalidUpdate`] if a field is unknown or has a value of the wrong type.
    pub fn updated(&self, update: &FaultUpdate) -> Result<Self, InvalidUpdate> {
        let base = match update.reset {
            true => Self::default(),
            false => self.clone(),
        };
        let invalid = |source| InvalidUpdate { source };
        let mut value = serde_json::to_value(base).map_err(invalid)?;
        if let Value::Object(fields) = &mut value {
            fields.extend(update.fields.clone());
        }
        serde_json::from_value(value).map_err(invalid)
    }
}
