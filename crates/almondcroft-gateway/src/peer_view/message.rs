//! Encoded copies.

use super::{ConfigDocument, StoreCopy};
use crate::adapter::ObjectKind;
use crate::gossip::{AgeMs, TargetUpdate, age_ms};
use crate::state::Gateway;
use almondcroft_core::{Revision, Timestamp};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The configuration of a VM.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ConfigView {
    pub(super) revision: Revision,
    /// Time since it was last confirmed as the newest.
    age: AgeMs,
    /// The store's response that contains it; `None` if the reader has it already.
    document: Option<Document>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Document {
    is_list: bool,
    body: String,
}

impl ConfigView {
    /// Returns this VM's configuration for a peer that has the configuration of revision `after`;
    /// `None` if this VM has none as new.
    pub(super) fn of(gateway: &Gateway, after: Revision, now: Timestamp) -> Option<Self> {
        let (revision, at) = gateway.config_confirmation()?;
        let age = age_ms(at, now);
        if revision < after {
            return None;
        }
        if revision == after {
            return Some(Self {
                revision,
                age,
                document: None,
            });
        }
        let document = gateway.config_document()?;
        let body = String::from_utf8(document.body.to_vec()).ok()?;
        (document.revision == revision).then_some(Self {
            revision,
            age,
            document: Some(Document {
                is_list: document.is_list,
                body,
            }),
        })
    }

    /// Decodes the configuration; returns `None` if it is unreadable.
    pub(super) fn into_copy(self, gateway: &Gateway, now: Timestamp) -> Option<StoreCopy> {
        let age = Duration::from_millis(self.age);
        let Some(document) = self.document else {
            return Some(StoreCopy::ConfigUnchanged(self.revision, age));
        };
        let body = document.body.into_bytes();
        let registry = &gateway.registry;
        let batch = if document.is_list {
            registry.read_list(ObjectKind::Config, &body, now)
        } else {
            registry.read_changes(ObjectKind::Config, &body, now)
        };
        let document = ConfigDocument {
            revision: self.revision,
            is_list: document.is_list,
            body: Arc::new(body),
        };
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
        let (revision, at, events) = gateway.all_targets(now)?;
        Some(Self {
            update: TargetUpdate::new(revision, age_ms(at, now), events, now),
        })
    }
}
