//! Bringing a configuration into the store.

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

/// Attempts to learn what became of a write whose answer was lost.
const SETTLE_ATTEMPTS: u32 = 20;

/// Time between two such attempts.
const SETTLE_DELAY: Duration = Duration::from_millis(250);

/// Earlier applies that are remembered with the configuration.
const MAX_EARLIER: usize = 16;

/// Tells why a configuration was not accepted.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The store cannot be reached; nothing was written.
    #[snafu(display("the store cannot be reached; nothing was changed"))]
    Unreachable,
    /// The store went away in the middle; whether the write took effect is not known.
    #[snafu(display(
        "the store went away before it confirmed; apply the same sheet again, which changes \
         nothing if it was accepted"
    ))]
    Unsettled,
    /// The configuration in force is another than the operator expected.
    #[snafu(display("revision {found} is in force, not {expected}"))]
    Unexpected {
        /// Revision that the operator expected.
        expected: Revision,
        /// Revision in force.
        found: Revision,
    },
    /// Another operator's apply was accepted in between.
    #[snafu(display("{who} applied revision {revision} in the meantime; nothing was changed"))]
    Conflict {
        /// The revision that won.
        revision: Revision,
        /// Who applied it.
        who: String,
        /// What this apply would change now.
        changes: Vec<Change>,
    },
    /// The configuration is too large for one object.
    #[snafu(display("the configuration is larger than the store allows"))]
    TooLarge,
}

/// Tells what an apply did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The revision in force.
    pub revision: Revision,
    /// What changed; empty where nothing did.
    pub changes: Vec<Change>,
}

/// Largest configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 1024 * 1024;

/// Acts on a deployment's store in the name of a person.
#[derive(Debug)]
pub struct Operator {
    store: HttpStore,
    who: String,
    clock: Clock,
}

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
    /// Creates an operator for the store at a base URL.
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

    async fn head(&self) -> Result<Head, StoreError> {
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

    /// Returns the accepted configuration; revision 0 where there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::Unreachable`] if the store does not answer.
    pub async fn current(&self) -> Result<Config, ApplyError> {
        let head = self.head().await.map_err(|_| ApplyError::Unreachable)?;
        Ok(head.config())
    }

    /// Makes a configuration the accepted one, as a whole or not at all.
    ///
    /// A configuration that states the same as the accepted one changes nothing. Targets that
    /// operators drain stay drained.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`] if the configuration was not accepted or that is not known.
    pub async fn apply(
        &self,
        mut config: Config,
        expect: Option<Revision>,
    ) -> Result<Applied, ApplyError> {
        let head = self.head().await.map_err(|_| ApplyError::Unreachable)?;
        let known: Vec<_> = config.targets.keys().cloned().collect();
        config.drained = head.config().drained;
        config.drained.retain(|target| known.contains(target));
        self.replace(&head, config, expect).await
    }

    /// Drains a target or takes it back.
    ///
    /// # Errors
    ///
    /// Returns an [`ApplyError`] if the change was not accepted or that is not known.
    pub async fn drain(&self, target: &str, drained: bool) -> Result<Applied, ApplyError> {
        let head = self.head().await.map_err(|_| ApplyError::Unreachable)?;
        let mut config = head.config();
        if drained {
            config.drained.insert(target.into());
        } else {
            config.drained.remove(target);
        }
        self.replace(&head, config, None).await
    }

    async fn replace(
        &self,
        head: &Head,
        mut config: Config,
        expect: Option<Revision>,
    ) -> Result<Applied, ApplyError> {
        let before = head.config();
        if let Some(expected) = expect
            && expected != before.revision
        {
            let found = before.revision;
            return Err(ApplyError::Unexpected { expected, found });
        }
        let changes = diff(&before, &config);
        if config.same_content(&before) && head.object.is_some() {
            let revision = before.revision;
            return Ok(Applied { revision, changes });
        }
        config.revision = before.revision.max(self.highest_in_force().await) + 1;
        let object = self.object(head, config);
        let revision = object.config.revision;
        let bytes = object.to_bytes();
        if bytes.len() > MAX_CONFIG_BYTES {
            return Err(ApplyError::TooLarge);
        }
        self.write(head, &object, bytes).await?;
        self.audit(&object, &changes).await;
        Ok(Applied { revision, changes })
    }

    fn object(&self, head: &Head, config: Config) -> ConfigObject {
        let mut earlier = Vec::new();
        if let Some(object) = &head.object {
            earlier.push((object.config.revision, object.apply_id.clone()));
            earlier.extend(object.earlier.iter().cloned());
            earlier.truncate(MAX_EARLIER);
        }
        ConfigObject {
            config,
            apply_id: uuid::Uuid::new_v4().to_string(),
            who: self.who.clone(),
            at_ms: self.clock.now_ms(),
            earlier,
        }
    }

    /// Returns the highest revision that a VM confirmed.
    ///
    /// A restored store can hold a lower one, which the VMs would not take.
    async fn highest_in_force(&self) -> Revision {
        let keys = self.store.list(STATUS_PREFIX).await.unwrap_or_default();
        let mut highest = 0;
        for key in keys {
            let stored = self.store.get(&key).await.ok().flatten();
            let status =
                stored.and_then(|stored| serde_json::from_slice::<VmStatus>(&stored.bytes).ok());
            highest = highest.max(status.map_or(0, |status| status.revision));
        }
        highest
    }

    /// Writes the object and finds out whether it took effect, even if the answer is lost.
    async fn write(
        &self,
        head: &Head,
        object: &ConfigObject,
        bytes: Vec<u8>,
    ) -> Result<(), ApplyError> {
        let mut written = self
            .store
            .put(CONFIG_KEY, bytes.clone(), head.expected)
            .await;
        for _ in 0..SETTLE_ATTEMPTS {
            match written {
                Ok(_) => return Ok(()),
                Err(StoreError::Refused) => return Err(ApplyError::Unreachable),
                Err(StoreError::Conflict | StoreError::Unknown) => {}
            }
            let Ok(now) = self.head().await else {
                sleep(SETTLE_DELAY).await;
                continue;
            };
            if now.expected == head.expected {
                written = self
                    .store
                    .put(CONFIG_KEY, bytes.clone(), head.expected)
                    .await;
                continue;
            }
            return settle(&now, object);
        }
        Err(ApplyError::Unsettled)
    }

    async fn audit(&self, object: &ConfigObject, changes: &[Change]) {
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
            eprintln!("note: the audit entry could not be written; the configuration is accepted");
        }
    }
}

/// Tells from the object now in the store whether an apply took effect.
fn settle(now: &Head, object: &ConfigObject) -> Result<(), ApplyError> {
    let Some(found) = &now.object else {
        return Err(ApplyError::Unsettled);
    };
    let mine = (object.config.revision, object.apply_id.clone());
    if found.apply_id == object.apply_id || found.earlier.contains(&mine) {
        return Ok(());
    }
    Err(ApplyError::Conflict {
        revision: found.config.revision,
        who: found.who.clone(),
        changes: diff(&found.config, &object.config),
    })
}
