//! Reading of record files in JSON or TOML.

use std::fs;
use std::path;

use marigoldloom_platform::object;

use crate::error::Error;

/// Content of a record file.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    /// The record, not yet validated.
    pub value: serde_json::Value,
    /// Version of the object, if the file holds the output of `get --output json`.
    pub version: Option<object::Version>,
}

/// Reads a file that holds either a record or an object as printed by `get --output json`.
///
/// # Errors
///
/// [`Error::UnknownExtension`], [`Error::ReadFile`], [`Error::Json`] or [`Error::Toml`].
pub fn read(file: &path::Path) -> Result<Content, Error> {
    let extension = file.extension().and_then(|e| e.to_str());
    let value = match extension {
        Some("json") => decode_json(file, &read_text(file)?)?,
        Some("toml") => decode_toml(file, &read_text(file)?)?,
        _ => {
            return Err(Error::UnknownExtension {
                file: file.to_owned(),
            });
        }
    };
    Ok(unwrap_object(value))
}

fn read_text(file: &path::Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|source| Error::ReadFile {
        file: file.to_owned(),
        source,
    })
}

fn decode_json(file: &path::Path, text: &str) -> Result<serde_json::Value, Error> {
    serde_json::from_str(text).map_err(|source| Error::Json {
        file: file.to_owned(),
        source,
    })
}

fn decode_toml(file: &path::Path, text: &str) -> Result<serde_json::Value, Error> {
    toml::from_str(text).map_err(|source| Error::Toml {
        file: file.to_owned(),
        source: Box::new(source),
    })
}

fn unwrap_object(value: serde_json::Value) -> Content {
    match serde_json::from_value::<object::Object>(value.clone()) {
        Ok(object) => Content {
            value: object.value,
            version: Some(object.version),
        },
        Err(_) => Content {
            value,
            version: None,
        },
    }
}
