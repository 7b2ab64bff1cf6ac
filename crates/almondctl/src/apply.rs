//! Writes configurations to the store.

use almondcroft_core::Revision;
use almondcroft_core::config::Config;
use almondcroft_core::ledger::{Expected, ObjectStore, StoreError};
use almondcroft_proto::object::{
    AUDIT_PREFIX, AuditEntry, CONFIG_KEY, ConfigObject, STATUS_PREFIX, VmStatus,
};
use almondcroft_proto::sheet::{Change, diff};
use almondcroftd::http::Outbound;
use almondcroftd::{Clock, HttpStore, sleep};
use snafu::Snafu;
use std::time::Duration;

/// Maximum number of attempts to confirm a write whose response was lost.
const CONFIRM_ATTEMPTS: u32 = 20;

/// Delay before the next attempt while the store is unreachable.
const CONFIRM_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of earlier applies recorded with the configuration.
const MAX_EARLIER_APPLIES: usize = 16;

/// Number of revisions that a restored store may have lost; more than years of applies. A status that is further
/// ahead of the configuration is not one of a VM.
const MAX_LOST_REVISIONS: Revision = 1_000_000;

/// The reason why an apply failed.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The store cannot be reached; nothing was written.
    #[snafu(display("the store cannot be reached; nothing was changed"))]
    Unreachable,
    /// The store became unreachable during the write, which may have taken effect.
    #[snafu(display(
        "the store became unreachable before it confirmed the write; apply the same sheet again, \
         which changes nothing if the first apply took effect"
    ))]
    Unconfirmed,
    /// The accepted revision is not the one that the operator expected.
    #[snafu(display("the accepted revision is {found}, not {expected}"))]
    UnexpectedRevision {
        /// Revision that the operator expected.
        expected: Revision,
        /// Accepted revision.
        found: Revision,
    },
    /// Another operator's apply was accepted in the meantime.
    #[snafu(display("{who} applied revision {revision} in the meantime; nothing was changed"))]
    Conflict {
        /// The revision that was accepted instead.
        revision: Revision,
        /// Who applied it.
        who: String,
        /// Changes that this apply would make to that revision.
        changes: Vec<Change>,
    },
    /// The configuration is too large for one object.
    #[snafu(display("the configuration is larger than the store allows"))]
    TooLarge,
}

/// The result of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The accepted revision.
    pub revision: Revision,
    /// The changes; empty if there were none.
    pub changes: Vec<Change>,
}

/// Maximum size of an encoded configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 1024 * 1024;

/// Changes the configuration of a deployment on behalf of an operator.
#[derive(Debug)]
pub struct Operator {
    store: HttpStore,
    who: String,
    clock: Clock,
}

/// The configuration object in the store and the version that an update expects.
struct Head {
    expected: Expected,
    object: Option<ConfigObject>,
}

impl Head {
    fn config(&self) -> Config {
        self.object
            .as_ref()
            .map(|object| object.config.clone())
            .unwrap_or_default()
    }
}

impl Operator {
    /// Creates an operator named `who` for the store at a base URL.
    #[must_use]
    pub fn new(store: &str, who: &str) -> Self {
        Self {
            store: HttpStore::new(store, Outbound::new()),
            who: who.to_owned(),
            clock: Clock::new(),
        }
    }

    /// Returns the store.
    #[must_use]
    pub const fn store(&self) -> &HttpStore {
        &self.store
    }

    async fn read_head(&self) -> Result<Head, StoreError> {
        let Some(stored) = self.store.get(CONFIG_KEY).await? else {
            return Ok(Head {
                expected: Expected::Absent,
                object: None,
            });
        };
        let object = ConfigObject::from_bytes(&stored.bytes).map_err(|_| StoreError::Refused)?;
        Ok(Head {
            expected: Expected::Version(stored.version),
            object: Some(object),
        })
    }

    /// Returns the accepted configuration, or an empty one of revision 0 if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::Unreachable`] if the configuration cannot be read.
    pub async fn current_config(&self) -> Result<Config, ApplyError> {
        let head = self
            .read_head()
            .await
            .map_err(|_| ApplyError::Unreachable)?;
        Ok(head.config())
    }

    /// Replaces the accepted configuration as a whole, or not at all.
    ///
    /// A configuration with the same content as the accepted one changes nothing. Targets that
    /// operators have drained stay drained.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`] if the configuration was not accepted, or may not have been.
    pub async fn apply(
        &self,
        mut config: Config,
        expected_revision: Option<Revision>,
    ) -> Result<Applied, ApplyError> {
        let head = self
            .read_head()
            .await
            .map_err(|_| ApplyError::Unreachable)?;
        let target_ids: Vec<_> = config.targets.keys().cloned().collect();
        config.drained = head.config().drained;
        config.drained.retain(|target| target_ids.contains(target));
        self.replace_config(&head, config, expected_revision).await
    }

    /// Drains a target, or ends its draining.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`] if the change was not accepted, or may not have been.
    pub async fn drain(&self, target: &str, drained: bool) -> Result<Applied, ApplyError> {
        let head = self
            .read_head()
            .await
            .map_err(|_| ApplyError::Unreachable)?;
        let mut config = head.config();
        if drained {
            config.drained.insert(target.into());
        } else {
            config.drained.remove(target);
        }
        self.replace_config(&head, config, None).await
    }

    async fn replace_config(
        &self,
        head: &Head,
        mut config: Config,
        expected_revision: Option<Revision>,
    ) -> Result<Applied, ApplyError> {
        let current = head.config();
        if let Some(expected) = expected_revision
            && expected != current.revision
        {
            let found = current.revision;
            return Err(ApplyError::UnexpectedRevision { expected, found });
        }
        let changes = diff(&current, &config);
        if config.same_content(&current) && head.object.is_some() {
            let revision = current.revision;
            return Ok(Applied { revision, changes });
        }
        let limit = current.revision.saturating_add(MAX_LOST_REVISIONS);
        config.revision = current
            .revision
            .max(self.highest_confirmed_revision(limit).await)
            .saturating_add(1);
        let object = self.create_object(head, config);
        let revision = object.config.revision;
        let bytes = object.to_bytes();
        if bytes.len() > MAX_CONFIG_BYTES {
            return Err(ApplyError::TooLarge);
        }
        self.write_object(head, &object, bytes).await?;
        self.write_audit_entry(&object, &changes).await;
        Ok(Applied { revision, changes })
    }

    fn create_object(&self, head: &Head, config: Config) -> ConfigObject {
        let mut earlier = Vec::new();
        if let Some(object) = &head.object {
            earlier.push((object.config.revision, object.apply_id.clone()));
            earlier.extend(object.earlier.iter().cloned());
            earlier.truncate(MAX_EARLIER_APPLIES);
        }
        ConfigObject {
            config,
            apply_id: uuid::Uuid::new_v4().to_string(),
            who: self.who.clone(),
            at_ms: self.clock.now_ms(),
            earlier,
        }
    }

    /// Returns the highest revision up to a limit that a VM has confirmed.
    ///
    /// A restored store may hold a lower one; VMs do not apply a revision lower than their own.
    async fn highest_confirmed_revision(&self, limit: Revision) -> Revision {
        let keys = self.store.list(STATUS_PREFIX).await;
        let keys = keys.map(|listed| listed.keys).unwrap_or_default();
        let mut highest = 0;
        for key in keys {
            let stored = self.store.get(&key).await.ok().flatten();
            let status =
                stored.and_then(|stored| serde_json::from_slice::<VmStatus>(&stored.bytes).ok());
            let confirmed = status.map_or(0, |status| status.revision);
            if confirmed > limit {
                eprintln!("warning: {key} states the revision {confirmed}, which is ignored");
                continue;
            }
            highest = highest.max(confirmed);
        }
        highest
    }

    /// Writes the object and determines whether it took effect, even if the response is lost.
    async fn write_object(
        &self,
        head: &Head,
        object: &ConfigObject,
        bytes: Vec<u8>,
    ) -> Result<(), ApplyError> {
        let mut result = self
            .store
            .put(CONFIG_KEY, bytes.clone(), head.expected)
            .await;
        for _ in 0..CONFIRM_ATTEMPTS {
            match result {
                Ok(_) => return Ok(()),
                Err(StoreError::Refused) => return Err(ApplyError::Unreachable),
                Err(StoreError::Conflict | StoreError::Unknown) => {}
            }
            let Ok(latest) = self.read_head().await else {
                sleep(CONFIRM_DELAY).await;
                continue;
            };
            if latest.expected == head.expected {
                result = self
                    .store
                    .put(CONFIG_KEY, bytes.clone(), head.expected)
                    .await;
                continue;
            }
            return check_applied(&latest, object);
        }
        Err(ApplyError::Unconfirmed)
    }

    async fn write_audit_entry(&self, object: &ConfigObject, changes: &[Change]) {
        let entry = AuditEntry {
            revision: object.config.revision,
            who: object.who.clone(),
            at_ms: object.at_ms,
            changes: changes.iter().map(ToString::to_string).collect(),
            apply_id: object.apply_id.clone(),
        };
        let key = format!("{AUDIT_PREFIX}{:012}", entry.revision);
        let bytes = serde_json::to_vec(&entry).expect("an audit entry serializes");
        if self.store.put_unconditional(&key, bytes).await.is_err() {
            eprintln!(
                "warning: the configuration was accepted, but its audit entry could not be written"
            );
        }
    }
}

/// Checks whether an apply took effect, given the object that is now in the store.
fn check_applied(latest: &Head, object: &ConfigObject) -> Result<(), ApplyError> {
    let Some(found) = &latest.object else {
        return Err(ApplyError::Unconfirmed);
    };
    let own_apply = (object.config.revision, object.apply_id.clone());
    if found.apply_id == object.apply_id || found.earlier.contains(&own_apply) {
        return Ok(());
    }
    Err(ApplyError::Conflict {
        revision: found.config.revision,
        who: found.who.clone(),
        changes: diff(&found.config, &object.config),
    })
}
