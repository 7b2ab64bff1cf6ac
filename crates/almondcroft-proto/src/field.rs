//! JSON decoding with errors that name the invalid field.

use serde::de::DeserializeOwned;
use snafu::Snafu;

/// An invalid field of a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{path}: {message}"))]
pub struct FieldError {
    /// Path of the field, or `.` for the whole message.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

/// Decodes JSON, naming the invalid field on failure.
///
/// # Errors
///
/// Returns a [`FieldError`] if the bytes are not JSON or do not fit the type.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FieldError> {
    let mut decoder = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut decoder).map_err(|error| FieldError {
        path: error.path().to_string(),
        message: error.inner().to_string(),
    })?;
    decoder.end().map_err(|error| FieldError {
        path: ".".into(),
        message: error.to_string(),
    })?;
    Ok(value)
}
