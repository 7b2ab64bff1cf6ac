//! Differences between two configurations.

use almondcroft_core::config::Config;
use serde::Serialize;
use serde_json::Value;
use std::{collections::BTreeMap, fmt};

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the changed field: kind and id of the object, then the field names.
    pub path: String,
    /// The old value; `None` if it was added.
    pub before: Option<String>,
    /// The new value; `None` if it was removed.
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

/// Returns the differences between two configurations, ordered by path; ignores revisions.
///
/// # Panics
///
/// Never: a configuration always serializes.
#[must_use]
pub fn diff(before: &Config, after: &Config) -> Vec<Change> {
    let old = flatten(before);
    let new = flatten(after);
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

/// Returns all values of a configuration by their path, without the revision.
fn flatten(config: &Config) -> BTreeMap<String, String> {
    let value = serde_json::to_value(config).expect("a configuration serializes");
    let mut leaves = BTreeMap::new();
    collect_leaves("", &value, &mut leaves);
    leaves.remove("revision");
    leaves
}

fn collect_leaves(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    let Value::Object(map) = value else {
        leaves.insert(path.to_owned(), value.to_string());
        return;
    };
    for (key, child) in map {
        let child_path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}/{key}")
        };
        collect_leaves(&child_path, child, leaves);
    }
}
