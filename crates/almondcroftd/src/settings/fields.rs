//! Reads the fields of a JSON object and collects errors.

use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Longest duration, in milliseconds.
const MAX_MILLIS: u64 = 30 * 24 * 3_600_000;

/// Typed access to the fields of one object; each error names the path of its field.
pub(super) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    faults: &'a mut Vec<String>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(path: &str, value: &Value, faults: &'a mut Vec<String>) -> Self {
        let map = value.as_object().cloned().unwrap_or_else(|| {
            faults.push(format!("{}: must be an object", display_path(path)));
            Map::new()
        });
        Self {
            path: path.to_owned(),
            map,
            faults,
        }
    }

    fn fault(&mut self, field: &str, message: &str) {
        let path = join(&self.path, field);
        self.faults.push(format!("{path}: {message}"));
    }

    pub(super) fn optional_text(&mut self, field: &str) -> Option<SmolStr> {
        match self.map.remove(field)? {
            Value::String(text) if !text.is_empty() => Some(text.into()),
            _ => {
                self.fault(field, "must be a non-empty string");
                None
            }
        }
    }

    pub(super) fn text(&mut self, field: &str) -> SmolStr {
        if !self.map.contains_key(field) {
            self.fault(field, "is missing");
        }
        self.optional_text(field).unwrap_or_default()
    }

    pub(super) fn secret(&mut self, field: &str) -> SmolStr {
        let text = self.text(field);
        if !text.is_empty() && text.len() < MIN_SECRET_BYTES {
            self.fault(field, "must have at least 16 bytes");
        }
        text
    }

    pub(super) fn optional_url(&mut self, field: &str) -> Option<SmolStr> {
        let text = self.optional_text(field)?;
        if !(text.starts_with("http://") || text.starts_with("https://")) {
            self.fault(field, "must start with http:// or https://");
        }
        Some(text)
    }

    pub(super) fn url(&mut self, field: &str) -> SmolStr {
        if !self.map.contains_key(field) {
            self.fault(field, "is missing");
        }
        self.optional_url(field).unwrap_or_default()
    }

    pub(super) fn address(&mut self, field: &str) -> SocketAddr {
        let text = self.text(field);
        let parsed = text.parse();
        if parsed.is_err() && !text.is_empty() {
            self.fault(field, "must be an IP address and a port");
        }
        parsed.unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(super) fn size(&mut self, field: &str, default: usize, min: usize, max: usize) -> usize {
        let Some(value) = self.map.remove(field) else {
            return default;
        };
        let number = value
            .as_u64()
            .and_then(|number| usize::try_from(number).ok());
        let valid = number.filter(|number| (min..=max).contains(number));
        valid.unwrap_or_else(|| {
            self.fault(
                field,
                &format!("must be a whole number from {min} to {max}"),
            );
            default
        })
    }

    pub(super) fn millis(&mut self, field: &str, default: u64, min: u64) -> Duration {
        let Some(value) = self.map.remove(field) else {
            return Duration::from_millis(default);
        };
        let valid = value
            .as_u64()
            .filter(|number| (min..=MAX_MILLIS).contains(number));
        let number = valid.unwrap_or_else(|| {
            self.fault(
                field,
                &format!("must be a whole number of milliseconds from {min} to {MAX_MILLIS}"),
            );
            default
        });
        Duration::from_millis(number)
    }

    pub(super) fn fraction(&mut self, field: &str, default: f64) -> f64 {
        let Some(value) = self.map.remove(field) else {
            return default;
        };
        let valid = value.as_f64().filter(|number| (0.0..=1.0).contains(number));
        valid.unwrap_or_else(|| {
            self.fault(field, "must be a number from 0 to 1");
            default
        })
    }

    /// Reads a nested object; a missing one counts as empty.
    pub(super) fn section<T>(&mut self, field: &str, read: impl Fn(&mut Fields<'_>) -> T) -> T {
        let empty = Value::Object(Map::new());
        let value = self.map.remove(field).unwrap_or(empty);
        let path = join(&self.path, field);
        let mut inner = Fields::new(&path, &value, self.faults);
        let result = read(&mut inner);
        inner.reject_unknown();
        result
    }

    /// Reads a nested object if it is present.
    pub(super) fn optional_section<T>(
        &mut self,
        field: &str,
        read: impl Fn(&mut Fields<'_>) -> T,
    ) -> Option<T> {
        self.map
            .contains_key(field)
            .then(|| self.section(field, read))
    }

    /// Adds an error for each field that was not read.
    pub(super) fn reject_unknown(&mut self) {
        let unknown: Vec<String> = self.map.keys().cloned().collect();
        for field in unknown {
            self.fault(&field, "is not a known field");
        }
    }
}

fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

fn display_path(path: &str) -> &str {
    if path.is_empty() { "." } else { path }
}
