//! Settings files of the test doubles.

use almondcroft_proto::from_json;
use serde::de::DeserializeOwned;
use std::path::Path;

/// Reads settings from a JSON file.
///
/// # Errors
///
/// Returns a message that names the file and the invalid field.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    from_json(&bytes).map_err(|error| format!("{}: {error}", path.display()))
}
