//! What a sheet changes.

use almondcroft_core::config::Config;
use serde::Serialize;
use serde_json::Value;
use std::{collections::BTreeMap, fmt};

/// States one difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Kind and id of what changes, and the field where it is not the whole.
    pub path: String,
    /// The value before; absent where it is added.
    pub before: Option<String>,
    /// The value after; absent where it is removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {} {after}", self.path),
            (Some(before), None) => write!(f, "- {} {before}", self.path),
            (Some(before), Some(after)) => write!(f, "~ {} {before} -> {after}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists the differences between two configurations, ordered by path; revisions are left out.
///
/// # Panics
///
/// Never: a configuration always serializes.
#[must_use]
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let old = leaves(before);
    let new = leaves(after);
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Change {
            path: path.clone(),
            before: old.get(path).cloned(),
            after: new.get(path).cloned(),
        })
        .collect()
}

fn leaves(config: &Config) -> BTreeMap<String, String> {
    let value = serde_json::to_value(config).expect("a configuration serializes");
    let mut found = BTreeMap::new();
    collect("", &value, &mut found);
    found.remove("revision");
    found
}

fn collect(path: &str, value: &Value, found: &mut BTreeMap<String, String>) {
    let Value::Object(map) = value else {
        found.insert(path.to_owned(), value.to_string());
        return;
    };
    for (key, child) in map {
        let below = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}/{key}")
        };
        collect(&below, child, found);
    }
}
