//! Encoded copies.

use super::{ConfigDocument, StoreCopy};
use crate::adapter::ObjectKind;
use crate::gossip::{AgeMs, TargetUpdate, age_ms};
use crate::state::Gateway;
use almondcroft_core::{Era, Revision, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The configuration of a VM.
///
/// It is encoded as a line of JSON, followed by the store's response as it is: a copy source sends the same
/// response to many VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ConfigView {
    head: ViewHead,
    body: Arc<Vec<u8>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ViewHead {
    /// Newest era of the store that the VM knows.
    #[serde(default)]
    era: Era,
    revision: Revision,
    /// Time since it was last confirmed as the newest.
    age: AgeMs,
    /// Whether the store's response is a list; `None` if the reader has the configuration already, so
    /// that the response is left out.
    list: Option<bool>,
}

impl ConfigView {
    /// Returns this VM's configuration for a peer that has the configuration of revision `after`;
    /// `None` if this VM has none as new.
    pub(super) fn of(gateway: &Gateway, after: Revision, now: Timestamp) -> Option<Self> {
        let (revision, at) = gateway.config_confirmation()?;
        let mut head = ViewHead {
            era: gateway.store_era(),
            revision,
            age: age_ms(at, now),
            list: None,
        };
        if revision <= after {
            return (revision == after).then_some(Self {
                head,
                body: Arc::default(),
            });
        }
        let document = gateway.config_document()?;
        head.list = Some(document.is_list);
        (document.revision == revision).then_some(Self {
            head,
            body: document.body,
        })
    }

    pub(super) const fn era(&self) -> Era {
        self.head.era
    }

    pub(super) const fn revision(&self) -> Revision {
        self.head.revision
    }

    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = serde_json::to_vec(&self.head).ok()?;
        bytes.push(b'\n');
        bytes.extend_from_slice(&self.body);
        Some(bytes)
    }

    pub(super) fn decode(bytes: &[u8]) -> serde_json::Result<Self> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (head, body) = bytes.split_at(end.unwrap_or(bytes.len()));
        Ok(Self {
            head: serde_json::from_slice(head)?,
            body: Arc::new(body.get(1..).unwrap_or_default().to_vec()),
        })
    }

    /// Reads the configuration; returns `None` if it is unreadable.
    pub(super) fn into_copy(self, gateway: &Gateway, now: Timestamp) -> Option<StoreCopy> {
        let (revision, age) = (self.head.revision, Duration::from_millis(self.head.age));
        let Some(is_list) = self.head.list else {
            return Some(StoreCopy::ConfigUnchanged(revision, age));
        };
        let registry = &gateway.registry;
        let batch = if is_list {
            registry.read_list(ObjectKind::Config, &self.body, now)
        } else {
            registry.read_changes(ObjectKind::Config, &self.body, now)
        };
        let document = ConfigDocument {
            revision,
            is_list,
            body: self.body,
        };
        let batch = batch.inspect_err(|reason| {
            log::warn!(event = "copy-unreadable", reason = reason.as_str(); "");
        });
        Some(StoreCopy::Config(batch.ok()?, document, age))
    }
}

/// All targets that a VM knows.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct TargetsView {
    pub(super) update: TargetUpdate,
}

impl TargetsView {
    /// Returns all targets; `None` if they are not known for certain.
    pub(super) fn of(gateway: &Gateway, now: Timestamp) -> Option<Self> {
        let (position, at, events) = gateway.all_targets(now)?;
        Some(Self {
            update: TargetUpdate::new(position, age_ms(at, now), events, now),
        })
    }
}

#[cfg(test)]
mod tests;
