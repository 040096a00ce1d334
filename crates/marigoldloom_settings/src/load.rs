//! Reads and decodes a settings file.

use std::fs;
use std::path;

use crate::error::Error;
use crate::settings;

/// Reads, decodes and checks a settings file.
///
/// # Errors
///
/// Returns the first error found in the file.
pub fn load(file: &path::Path) -> Result<settings::Settings, Error> {
    let text = fs::read_to_string(file).map_err(|source| Error::Read {
        file: file.to_owned(),
        source,
    })?;
    parse(file, &text)
}

/// Decodes and checks the text of a settings file; `file` only appears in errors.
///
/// # Errors
///
/// Returns the first error found in the text.
pub fn parse(file: &path::Path, text: &str) -> Result<settings::Settings, Error> {
    let settings = decode(file, text)?;
    settings.check().map_err(|source| Error::Value {
        file: file.to_owned(),
        source,
    })?;
    Ok(settings)
}

fn decode(file: &path::Path, text: &str) -> Result<settings::Settings, Error> {
    let decode_error = |key: String, source| Error::Decode {
        file: file.to_owned(),
        key,
        source: Box::new(source),
    };
    let decoder = toml::Deserializer::parse(text).map_err(|e| decode_error(".".to_owned(), e))?;
    serde_path_to_error::deserialize(decoder)
        .map_err(|e| decode_error(e.path().to_string(), e.into_inner()))
}
