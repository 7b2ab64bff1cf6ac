//! Follows the platform's store: one list, then one waiting watch for each kind of objects.

use crate::adapter::{Batch, Item, Kind};
use crate::clock;
use crate::runtime::{sleep, spawn};
use crate::state::Gateway;
use crate::store::{CALL_TIME, StoreClient, StoreError};
use almondcroft_core::gateway::EntryEvent;
use almondcroft_core::{Revision, Timestamp};
use futures_lite::future::or;
use rand::Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a watch of the configuration; what it vouches for is at most this old, and a VM
/// that loses the store should go on serving for a while.
const CONFIG_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of any other watch; a connection that fell silent is found out after it.
const OTHER_WAIT: Duration = Duration::from_secs(3);

/// Part of the time after which a target that leaves must get no work, for which a scout's watch
/// waits: the others take its word for no longer than it is old.
const SCOUT_PART: f64 = 0.2;

/// Part of the time after which a target that leaves must get no work, for which the other VMs let
/// changes gather; the rest is for the way of a call.
const PAUSE_PART: f64 = 0.65;

/// Time beyond its wait after which an answer of a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// Pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls; short against the time in which keys must be checked again.
const LAST_PAUSE: Duration = Duration::from_millis(800);

/// The same where scouts call the store for this VM and tell it when they can reach it again.
const RELYING_PAUSE: Duration = Duration::from_secs(2);

/// Answers with changes in a short time from which on a scout lets changes gather: a fleet of
/// targets that starts registers one by one.
const BURST: usize = 6;

/// Time in which so many answers make a burst.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Time for which they gather.
const BURST_PAUSE: Duration = Duration::from_millis(150);

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
            changed: VecDeque::new(),
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
    /// Times of the latest answers with changes.
    changed: VecDeque<Timestamp>,
    /// Whether the newest configuration could not be read, so that the one in force is outdated.
    outdated: bool,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            match self.list().await {
                Ok(revision) => self.follow(revision).await,
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Follows the changes since a revision until a list is needed.
    async fn follow(&mut self, mut revision: Revision) {
        loop {
            if self.rely().await {
                match self.kind {
                    Kind::Targets => revision = revision.max(self.gateway.targets_revision()),
                    Kind::Config | Kind::Vms => return,
                }
            }
            match self.watch(revision).await {
                Ok(next) => revision = next,
                Err(StoreError::Status(HISTORY_GONE)) => {
                    log::info!(event = "history-gone", kind = self.kind.as_str(), revision = revision; "");
                    return;
                }
                Err(error @ StoreError::Unreadable(_)) => {
                    self.failed(&error).await;
                    return;
                }
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Waits while scouts keep this VM up to date; returns whether they did.
    async fn rely(&self) -> bool {
        let mut relied = false;
        while let Some(left) = self.gateway.told_for(self.kind, clock::now()) {
            relied = true;
            match self.kind {
                Kind::Config => or(sleep(left), self.gateway.newer_config()).await,
                Kind::Targets | Kind::Vms => sleep(left).await,
            }
        }
        relied
    }

    /// Returns the longest wait of a watch: short where other VMs rely on this one.
    fn wait(&self) -> Duration {
        let wait = match self.kind {
            Kind::Config => CONFIG_WAIT,
            Kind::Targets | Kind::Vms => OTHER_WAIT,
        };
        if self.gateway.is_scout(clock::now()) {
            wait.min(self.gateway.bounds().drain().mul_f64(SCOUT_PART))
        } else {
            wait
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
        let revision = first.unwrap_or_default();
        self.take_list(items, revision, sent);
        Ok(revision)
    }

    /// Waits for changes; returns the revision from which to go on.
    async fn watch(&mut self, since: Revision) -> Result<Revision, StoreError> {
        let sent = clock::now();
        let wait = self.wait();
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
        self.take_changes(items, revision, vouched);
        if changed && self.kind == Kind::Targets {
            self.gather().await;
        }
        Ok(revision.max(since))
    }

    /// Lets changes gather after some came.
    async fn gather(&mut self) {
        let now = clock::now();
        if !self.gateway.is_drawn(now) {
            sleep(self.gateway.bounds().drain().mul_f64(PAUSE_PART)).await;
            return;
        }
        self.changed.push_back(now);
        if self.changed.len() > BURST
            && let Some(first) = self.changed.pop_front()
            && now.saturating_sub(first) < BURST_TIME
        {
            sleep(BURST_PAUSE).await;
        }
    }

    fn take_list(&mut self, items: Vec<Item>, revision: Revision, vouched: Timestamp) {
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
            let at = (revision, vouched);
            self.gateway
                .change_targets(|directory| directory.apply_list(entries, at, now));
            self.gateway.note_listed();
        } else {
            self.take_changes(items, revision, vouched);
        }
    }

    fn take_changes(&mut self, items: Vec<Item>, revision: Revision, vouched: Timestamp) {
        let now = clock::now();
        let mut events = Vec::new();
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
                Item::Target(event) => events.push(event),
                item => {
                    self.outdated |= matches!(item, Item::Unreadable(..));
                    self.skip(&item);
                }
            }
        }
        if self.kind == Kind::Targets {
            let at = (revision, vouched);
            self.gateway
                .change_targets(|directory| directory.apply_changes(events, at, now));
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
                directory.mark_store_available(now);
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
                directory.mark_store_unavailable();
                Vec::new()
            });
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.pause.mul_f64(jitter)).await;
        let last = match self.gateway.scouts(clock::now()) {
            Some(_) => RELYING_PAUSE,
            None => LAST_PAUSE,
        };
        self.pause = (self.pause * 2).min(last);
    }
}
