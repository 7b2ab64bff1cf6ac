//! Objects of the store that cannot be read, each of which is logged once.
//!
//! Other writers may write theirs again and again, and each list shows all of them.

use crate::adapter::{Item, ObjectKind};
use almondcroft_core::gateway::EntryEvent;
use smol_str::SmolStr;
use std::collections::HashSet;

/// Maximum number of objects that are remembered; further ones are not logged.
const MAX_NAMES: usize = 1_000;

/// Maximum length of a logged text, in bytes; reasons quote values, which have up to a megabyte.
const MAX_TEXT_BYTES: usize = 200;

/// Remembers the names of unreadable objects of one kind.
#[derive(Debug, Default)]
pub(crate) struct UnreadableObjects {
    names: HashSet<SmolStr>,
}

impl UnreadableObjects {
    /// Logs the unreadable ones among some objects, unless they were so before.
    pub(crate) fn log(&mut self, kind: ObjectKind, items: &[Item]) {
        for (name, reason) in self.record(items) {
            log::warn!(event = "unreadable", kind = kind.as_str(), name = name, reason = reason; "");
        }
    }

    /// Records objects; returns the names of those that are newly unreadable, with the reasons.
    fn record<'a>(&mut self, items: &'a [Item]) -> Vec<(&'a str, &'a str)> {
        let mut new = Vec::new();
        for item in items {
            match item {
                Item::Unreadable(name, reason) => {
                    if self.names.len() < MAX_NAMES && self.names.insert(name.clone()) {
                        new.push((shorten(name), shorten(reason)));
                    }
                }
                // There is only one.
                Item::Config(_) => self.names.retain(SmolStr::is_empty),
                Item::Target(EntryEvent::Present(entry)) => {
                    self.names.remove(&entry.id);
                }
                Item::Target(EntryEvent::Absent(name))
                | Item::Evacuation(name, _)
                | Item::Vm(name, _) => {
                    self.names.remove(name);
                }
            }
        }
        new
    }
}

fn shorten(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

#[cfg(test)]
mod tests;
