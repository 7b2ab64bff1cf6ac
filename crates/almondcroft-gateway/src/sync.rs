//! Follows the platform's store: one list, then one waiting watch for each kind of objects.

use crate::adapter::{Batch, Item, Kind};
use crate::clock;
use crate::runtime::{sleep, spawn};
use crate::state::{Gateway, lock};
use crate::store::{StoreClient, StoreError};
use almondcroft_core::gateway::EntryEvent;
use almondcroft_core::{Revision, Timestamp};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a watch of the configuration; what it vouches for is at most this old, and a VM
/// that loses the store should go on serving for a while.
const CONFIG_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of any other watch; a connection that fell silent is found out after it.
const OTHER_WAIT: Duration = Duration::from_secs(3);

/// VMs that follow the targets without a pause, in case one of them is cut off.
const SCOUTS: usize = 3;

/// Part of the time after which a target that leaves must get no work, for which the other VMs let
/// changes gather; the rest is for the way of a call.
const PAUSE_PART: f64 = 0.65;

/// Time beyond its wait after which an answer of a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Time for any other call.
const CALL_TIME: Duration = Duration::from_millis(1_500);

/// Pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls; short against the time in which keys must be checked again.
const LAST_PAUSE: Duration = Duration::from_millis(800);

/// Status of a watch whose history is gone.
const HISTORY_GONE: u16 = 410;

/// Starts to follow the configuration and the targets.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    for kind in [Kind::Config, Kind::Targets] {
        let mut follower = Follower {
            gateway: Arc::clone(gateway),
            kind,
            client: StoreClient::new(gateway.settings.store),
            pause: FIRST_PAUSE,
            lost: false,
            outdated: false,
        };
        spawn(async move { follower.run().await });
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    kind: Kind,
    client: StoreClient,
    pause: Duration,
    lost: bool,
    /// Whether the newest configuration could not be read, so that the one in force is outdated.
    outdated: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let mut revision = match self.list().await {
                Ok(revision) => revision,
                Err(error) => {
                    self.failed(&error).await;
                    continue;
                }
            };
            loop {
                match self.watch(revision).await {
                    Ok(next) => revision = next,
                    Err(StoreError::Status(HISTORY_GONE)) => {
                        log::info!(event = "history-gone", kind = self.kind.as_str(), revision = revision; "");
                        break;
                    }
                    Err(error @ StoreError::Unreadable(_)) => {
                        self.failed(&error).await;
                        break;
                    }
                    Err(error) => self.failed(&error).await,
                }
            }
        }
    }

    /// Reads all objects of the kind.
    async fn list(&mut self) -> Result<Revision, StoreError> {
        let sent = clock::now();
        let mut items = Vec::new();
        let mut after = None;
        let mut first = None;
        loop {
            let call = self.gateway.registry.list(self.kind, after.as_deref());
            let body = self.client.call(&call, CALL_TIME).await?;
            let batch = self
                .gateway
                .registry
                .read_list(self.kind, &body, clock::now())
                .map_err(StoreError::Unreadable)?;
            // What changes while pages are read comes again with the watch from the first page on.
            first.get_or_insert(batch.revision);
            items.extend(batch.items);
            after = batch.next;
            if after.is_none() {
                break;
            }
        }
        self.answered();
        self.take_list(items, sent);
        Ok(first.unwrap_or_default())
    }

    /// Waits for changes; returns the revision from which to go on.
    async fn watch(&mut self, since: Revision) -> Result<Revision, StoreError> {
        let sent = clock::now();
        let wait = match self.kind {
            Kind::Config => CONFIG_WAIT,
            Kind::Targets | Kind::Vms => OTHER_WAIT,
        };
        let call = self.gateway.registry.watch(self.kind, since, wait);
        let body = self.client.call(&call, wait + WATCH_SLACK).await?;
        let batch = self
            .gateway
            .registry
            .read_changes(self.kind, &body, clock::now())
            .map_err(StoreError::Unreadable)?;
        self.answered();
        let waited = clock::now().saturating_sub(sent) >= wait;
        let vouched = if batch.items.is_empty() && waited {
            sent + wait
        } else {
            sent
        };
        let Batch {
            items, revision, ..
        } = batch;
        let changed = !items.is_empty();
        self.take_changes(items, vouched);
        if changed && self.kind == Kind::Targets && !self.is_scout() {
            sleep(self.gateway.bounds().drain().mul_f64(PAUSE_PART)).await;
        }
        Ok(revision.max(since))
    }

    /// Returns whether this VM is one of those that see targets change at once and tell the others.
    fn is_scout(&self) -> bool {
        lock(&self.gateway.fleet).is_drawn(SCOUTS, clock::now())
    }

    fn take_list(&mut self, items: Vec<Item>, vouched: Timestamp) {
        if self.kind == Kind::Targets {
            let present = items.into_iter().filter_map(|item| match item {
                Item::Target(EntryEvent::Present(entry)) => Some(entry),
                item => {
                    self.skip(&item);
                    None
                }
            });
            let entries = present.collect();
            let now = clock::now();
            self.gateway
                .change_targets(|directory| directory.replace(entries, now));
            self.gateway.note_listed();
        } else {
            self.take_changes(items, vouched);
        }
    }

    fn take_changes(&mut self, items: Vec<Item>, vouched: Timestamp) {
        let now = clock::now();
        for item in items {
            match item {
                Item::Config(config) => {
                    let revision = config.revision;
                    self.outdated = false;
                    if self.gateway.offer_config(*config) {
                        log::info!(event = "config", revision = revision; "");
                        let shown = i64::try_from(revision).unwrap_or(i64::MAX);
                        self.gateway.metrics.revision.set(shown);
                    }
                }
                Item::Target(event) => self
                    .gateway
                    .change_targets(|directory| directory.apply(event, now)),
                item => {
                    self.outdated |= matches!(item, Item::Unreadable(..));
                    self.skip(&item);
                }
            }
        }
        let known = self.gateway.config().is_some() && !self.outdated;
        if self.kind == Kind::Config && known {
            self.gateway.confirm_config(vouched);
        }
    }

    fn skip(&self, item: &Item) {
        if let Item::Unreadable(name, reason) = item {
            log::warn!(event = "unreadable", kind = self.kind.as_str(), name = name.as_str(),
                reason = reason.as_str(); "");
        }
    }

    fn answered(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.lost) {
            log::info!(event = "store-regained", kind = self.kind.as_str(); "");
        }
        if self.kind == Kind::Targets {
            let now = clock::now();
            self.gateway.change_targets(|directory| {
                directory.store_back(now);
                Vec::new()
            });
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        if !std::mem::replace(&mut self.lost, true) {
            log::warn!(event = "store-lost", kind = self.kind.as_str(), error:% = error; "");
        }
        if self.kind == Kind::Targets {
            self.gateway.change_targets(|directory| {
                directory.store_lost();
                Vec::new()
            });
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LAST_PAUSE);
    }
}
