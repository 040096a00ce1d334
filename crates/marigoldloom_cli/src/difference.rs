//! Comparison of two JSON values, field by field.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value;

/// A field whose values differ.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Difference {
    /// Path of the field, its segments separated by dots.
    pub field: String,
    /// Value of the field in the first value; none if it is missing there.
    pub before: Option<Value>,
    /// Value of the field in the second value; none if it is missing there.
    pub after: Option<Value>,
}

/// Returns the fields that differ, ordered by path.
pub fn compare(before: &Value, after: &Value) -> Vec<Difference> {
    let (before, after) = (flatten(before), flatten(after));
    let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let differing = fields
        .into_iter()
        .filter(|f| before.get(*f) != after.get(*f));
    let difference = |field: &String| Difference {
        field: field.clone(),
        before: before.get(field).copied().cloned(),
        after: after.get(field).copied().cloned(),
    };
    differing.map(difference).collect()
}

/// Returns the value's leaves by path. Arrays and empty objects count as leaves.
pub fn flatten(value: &Value) -> BTreeMap<String, &Value> {
    let mut leaves = BTreeMap::new();
    collect_leaves(String::new(), value, &mut leaves);
    leaves
}

fn collect_leaves<'a>(path: String, value: &'a Value, leaves: &mut BTreeMap<String, &'a Value>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                let path = match path.as_str() {
                    "" => name.clone(),
                    parent => format!("{parent}.{name}"),
                };
                collect_leaves(path, field, leaves);
            }
        }
        leaf => {
            leaves.insert(path, leaf);
        }
    }
}
