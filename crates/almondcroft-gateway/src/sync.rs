//! Follows the platform's store: lists each kind of objects once, then watches it by long polling.

mod copies;

use crate::adapter::{Batch, Item, ObjectKind};
use crate::clock;
use crate::logging::millis;
use crate::peer_view::ConfigDocument;
use crate::runtime::{sleep, spawn_forever};
use crate::state::{Gateway, lock};
use crate::store::{CALL_TIMEOUT, StoreClient, StoreError, StoreResponse};
use crate::unreadable_objects::UnreadableObjects;
use almondcroft_core::gateway::{
    EntryEvent, StoreConclusion, StoreContact, StoreFailure, StorePosition, TargetEntry,
};
use almondcroft_core::{Revision, Timestamp};
use futures_lite::future::or;
use rand::Rng;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Maximum wait of a watch of the evacuated zones, as a fraction of the evacuation time.
const EVACUATION_WAIT_FRACTION: f64 = 0.3;

/// Time between two checks whether the settings ask for evacuations.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Maximum wait of a watch at a VM that peers query, as a fraction of the drain time; the age of
/// its view shortens the time for which its responses are valid.
const WATCHER_WAIT_FRACTION: f64 = 0.2;

/// Fraction of the drain time for which a VM that is no watcher batches changes; the rest is for
/// the call itself.
const BATCH_FRACTION: f64 = 0.65;

/// Resolution of the wait of a watch.
const ROUNDING: Duration = Duration::from_millis(1);

/// Timeout of a watch that does not wait.
const PROMPT_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Back-off after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum back-off after failed calls; short compared with the time within which keys must be
/// confirmed again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Maximum back-off of a VM that queries watchers, which report when the store is available
/// again.
const MAX_QUERYING_BACKOFF: Duration = Duration::from_secs(2);

/// Number of responses with changes within the burst window after which a watcher batches changes.
///
/// Targets that start together register one by one.
const BURST_RESPONSES: usize = 6;

/// Time within which more than [`BURST_RESPONSES`] responses make a burst.
const BURST_WINDOW: Duration = Duration::from_secs(1);

/// Time for which the changes of a burst are batched.
const BURST_DELAY: Duration = Duration::from_millis(150);

/// Status of a watch whose revision the store no longer has.
const HISTORY_GONE_STATUS: u16 = 410;

/// Starts to follow the configuration and the targets.
pub(crate) fn start(gateway: &Arc<Gateway>) {
    for kind in [
        ObjectKind::Config,
        ObjectKind::Targets,
        ObjectKind::Evacuations,
    ] {
        let gateway = Arc::clone(gateway);
        spawn_forever(move || {
            let mut follower = Follower {
                gateway: Arc::clone(&gateway),
                kind,
                client: StoreClient::new(gateway.settings.store),
                backoff: INITIAL_BACKOFF,
                contact: StoreContact::default(),
                recent_changes: VecDeque::new(),
                outdated: false,
                has_unknown_change: false,
                unreadable: UnreadableObjects::default(),
                stored_config: 0,
                position: StorePosition::default(),
            };
            async move { follower.run().await }
        });
    }
}

/// Follows one kind of objects in the store.
struct Follower {
    gateway: Arc<Gateway>,
    kind: ObjectKind,
    client: StoreClient,
    backoff: Duration,
    contact: StoreContact,
    /// Times of the latest responses with changes.
    recent_changes: VecDeque<Timestamp>,
    /// Whether the newest configuration is unreadable, so that the active one is outdated.
    outdated: bool,
    /// Whether an object without a readable name has changed, so that it is not known which one.
    has_unknown_change: bool,
    unreadable: UnreadableObjects,
    /// Newest configuration that the store is known to hold in its current era.
    stored_config: Revision,
    /// Position of the store up to which the objects are known.
    position: StorePosition,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            self.wait_until_needed().await;
            let read = match self.copy().await {
                Some(position) => Ok(position),
                None => self.list().await,
            };
            match read {
                Ok(position) => {
                    self.position = position;
                    self.follow().await;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Waits until the settings ask for objects of the kind.
    async fn wait_until_needed(&self) {
        while self.kind == ObjectKind::Evacuations && self.gateway.bounds().evacuation().is_none() {
            sleep(SETTINGS_POLL).await;
        }
    }

    /// Follows the changes until the objects must be read again as a whole.
    async fn follow(&mut self) {
        loop {
            if self.wait_while_valid().await {
                match self.kind {
                    ObjectKind::Targets => {
                        self.position = self.position.max(self.gateway.targets_position());
                    }
                    ObjectKind::Evacuations => {
                        self.position = self.position.max(self.gateway.evacuations_position());
                    }
                    ObjectKind::Config | ObjectKind::Vms => return,
                }
            }
            if self.is_restored() {
                self.await_restored_copies().await;
                return;
            }
            match self.watch(self.position).await {
                Ok(next) => {
                    self.position = next;
                    if std::mem::take(&mut self.has_unknown_change) {
                        sleep(MAX_BACKOFF).await;
                        return;
                    }
                }
                Err(StoreError::Restored) => {}
                Err(StoreError::Status(HISTORY_GONE_STATUS)) => {
                    log::info!(event = "history-gone", kind = self.kind.as_str(),
                        era = self.position.era, revision = self.position.revision; "");
                    return;
                }
                // A list names each object once, while the changes since a position only grow.
                Err(error @ (StoreError::Unreadable(_) | StoreError::TooLarge)) => {
                    self.back_off(&error).await;
                    return;
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Returns whether the store was restored since the objects were read, so that they must be read
    /// again as a whole.
    fn is_restored(&self) -> bool {
        self.position.era < self.gateway.store_era()
    }

    /// Waits while data from watchers is valid; returns whether it had to wait.
    async fn wait_while_valid(&self) -> bool {
        let mut waited = false;
        while !self.is_restored()
            && let Some(remaining) = self.gateway.remaining_validity(self.kind, clock::now())
        {
            waited = true;
            match self.kind {
                ObjectKind::Config => or(sleep(remaining), self.gateway.config_announced()).await,
                ObjectKind::Targets | ObjectKind::Evacuations | ObjectKind::Vms => {
                    sleep(remaining).await;
                }
            }
        }
        waited
    }

    /// Returns the maximum wait of a watch; shorter if peers query this VM, and zero after a call that failed, so that the
    /// response shows at once whether the store is available.
    fn watch_wait(&self) -> Duration {
        if self.contact.is_in_doubt() {
            return Duration::ZERO;
        }
        let now = clock::now();
        let bounds = self.gateway.bounds();
        let mut wait = bounds.store_timing().max_wait();
        if self.kind == ObjectKind::Evacuations {
            let bound = bounds.evacuation().unwrap_or_default();
            return wait.min(bound.mul_f64(EVACUATION_WAIT_FRACTION));
        }
        if self.gateway.is_queried(now) {
            wait = wait.min(bounds.drain().mul_f64(WATCHER_WAIT_FRACTION));
        }
        match self.gateway.needs_targets_at() {
            Some(at) if self.kind == ObjectKind::Targets => {
                wait.min(at.saturating_sub(now) + ROUNDING)
            }
            _ => wait,
        }
    }

    /// Lists all objects of the kind.
    async fn list(&mut self) -> Result<StorePosition, StoreError> {
        let sent_at = clock::now();
        let mut items = Vec::new();
        let mut after = None;
        let mut first_position = None;
        loop {
            let call = self.gateway.registry.list(self.kind, after.as_deref());
            let call = self.client.call(&self.gateway, &call, CALL_TIMEOUT);
            let StoreResponse { body, era, made_at } = call.await?;
            self.record_evidence(made_at);
            let batch = self
                .gateway
                .registry
                .read_list(self.kind, &body, clock::now())
                .map_err(StoreError::Unreadable)?;
            self.keep_document(&batch, true, body);
            // The watch starts at the revision of the first page, so it repeats changes made while
            // listing.
            let position = StorePosition {
                era,
                revision: batch.revision,
            };
            let first = *first_position.get_or_insert(position);
            if first.era < era {
                return Err(StoreError::Restored);
            }
            items.extend(batch.items);
            if batch.next.is_some() && batch.next == after {
                let reason = "a page leads to itself".to_owned();
                return Err(StoreError::Unreadable(reason));
            }
            after = batch.next;
            if after.is_none() {
                break;
            }
        }
        self.record_response();
        let position = first_position.unwrap_or_default();
        self.apply_list(items, position, sent_at);
        Ok(position)
    }

    /// Waits for changes; returns the position for the next watch.
    ///
    /// Changes since a revision of an earlier era are no continuation, even if the store has that
    /// revision again.
    async fn watch(&mut self, since: StorePosition) -> Result<StorePosition, StoreError> {
        let sent_at = clock::now();
        let wait = self.watch_wait();
        let call = self.gateway.registry.watch(self.kind, since.revision, wait);
        let response = if wait.is_zero() {
            let call = self.client.call(&self.gateway, &call, PROMPT_WATCH_TIMEOUT);
            call.await
        } else {
            self.client.watch(&self.gateway, &call, wait).await
        };
        let StoreResponse { body, era, made_at } = response?;
        self.record_evidence(made_at);
        if era > since.era {
            return Err(StoreError::Restored);
        }
        let batch = self
            .gateway
            .registry
            .read_changes(self.kind, &body, clock::now())
            .map_err(StoreError::Unreadable)?;
        self.keep_document(&batch, false, body);
        self.record_response();
        let wait_elapsed = clock::now().saturating_sub(sent_at) >= wait;
        let confirmed_at = if batch.items.is_empty() && wait_elapsed {
            sent_at + wait
        } else {
            sent_at
        };
        let Batch {
            items, revision, ..
        } = batch;
        // Changes are newer than the position, and without any the response takes the whole wait. Else it is a late
        // second response to an earlier call, which confirms nothing.
        let is_repeated = if items.is_empty() {
            !wait_elapsed && revision <= since.revision
        } else {
            revision <= since.revision
        };
        if is_repeated {
            log::info!(event = "store-response-repeated", kind = self.kind.as_str(), revision = revision; "");
            self.client.disconnect();
            return Ok(since);
        }
        let changed = !items.is_empty();
        let position = StorePosition { era, revision };
        let is_unknown = |item: &Item| matches!(item, Item::Unreadable(name, _) if name.is_empty());
        self.has_unknown_change = items.iter().any(is_unknown);
        self.apply_changes(items, position, confirmed_at);
        if changed && self.kind == ObjectKind::Targets {
            self.batch_changes().await;
        }
        Ok(position.max(since))
    }

    /// Keeps a response that contains the configuration, for peers.
    fn keep_document(&self, batch: &Batch, is_list: bool, body: Vec<u8>) {
        let configs = batch.items.iter().filter_map(|item| match item {
            Item::Config(config) => Some(config.revision),
            _ => None,
        });
        if let Some(revision) = configs.max() {
            let body = Arc::new(body);
            self.gateway.set_config_document(ConfigDocument {
                revision,
                is_list,
                body,
            });
        }
    }

    /// Waits after a change, so that the next watch returns several changes at once.
    async fn batch_changes(&mut self) {
        let now = clock::now();
        if self.gateway.may_miss_entries(now) {
            // A target that registers again must be known before it counts as gone.
            sleep(BURST_DELAY).await;
            return;
        }
        if !self.gateway.is_selected_watcher(now) {
            sleep(self.gateway.bounds().drain().mul_f64(BATCH_FRACTION)).await;
            return;
        }
        self.recent_changes.push_back(now);
        if self.recent_changes.len() > BURST_RESPONSES
            && let Some(first) = self.recent_changes.pop_front()
            && now.saturating_sub(first) < BURST_WINDOW
        {
            sleep(BURST_DELAY).await;
        }
    }

    fn apply_list(&mut self, items: Vec<Item>, position: StorePosition, confirmed_at: Timestamp) {
        self.unreadable.log(self.kind, &items);
        if self.kind == ObjectKind::Targets {
            let present = items.into_iter().filter_map(|item| match item {
                Item::Target(EntryEvent::Present(entry)) => Some(entry),
                _ => None,
            });
            let entries: Vec<TargetEntry> = present.collect();
            self.log_restored_targets(&entries, position);
            let now = clock::now();
            let at = (position, confirmed_at);
            self.gateway
                .change_targets(|directory| directory.apply_list(entries, at, now));
            self.gateway.mark_targets_listed();
        } else if self.kind == ObjectKind::Evacuations {
            let zones = items.into_iter().filter_map(|item| match item {
                Item::Evacuation(zone, true) => Some(zone),
                _ => None,
            });
            let zones = zones.collect();
            self.gateway.change_evacuations("store", |evacuations| {
                evacuations.apply_list(zones, position, confirmed_at)
            });
        } else {
            self.stored_config = 0;
            self.apply_changes(items, position, confirmed_at);
            self.log_restored_config(position);
        }
    }

    fn log_restored_targets(&self, entries: &[TargetEntry], position: StorePosition) {
        let known = self.gateway.targets_position();
        if known.revision > 0 && known.era < position.era {
            let restored = self.gateway.compare_restored(entries);
            log::warn!(event = "store-restored", kind = self.kind.as_str(), era = position.era,
                revision = position.revision, revision_before = known.revision, lost = restored.lost,
                outdated = restored.outdated; "");
        }
    }

    fn log_restored_config(&self, position: StorePosition) {
        let held = self.gateway.config().map_or(0, |config| config.revision);
        if self.stored_config < held {
            log::warn!(event = "store-restored", kind = self.kind.as_str(), era = position.era,
                revision = position.revision, stored = self.stored_config, held = held; "");
        }
    }

    fn apply_changes(
        &mut self,
        items: Vec<Item>,
        position: StorePosition,
        confirmed_at: Timestamp,
    ) {
        self.unreadable.log(self.kind, &items);
        let now = clock::now();
        let mut events = Vec::new();
        let mut evacuated = Vec::new();
        for item in items {
            match item {
                Item::Config(config) => {
                    let revision = config.revision;
                    self.outdated = false;
                    self.stored_config = self.stored_config.max(revision);
                    if self.gateway.offer_config(*config) {
                        log::info!(event = "config", revision = revision; "");
                        let gauge = i64::try_from(revision).unwrap_or(i64::MAX);
                        self.gateway.metrics.revision.set(gauge);
                    }
                }
                Item::Target(event) => events.push(event),
                Item::Evacuation(zone, is_evacuated) => evacuated.push((zone, is_evacuated)),
                // Which object has no name is known only after a list.
                Item::Unreadable(name, _) if !name.is_empty() => {
                    self.outdated = true;
                    // What has replaced the entry of a target names none.
                    events.push(EntryEvent::Absent(name));
                }
                Item::Unreadable(..) | Item::Vm(..) => {}
            }
        }
        if self.kind == ObjectKind::Targets {
            let at = (position, confirmed_at);
            self.gateway
                .change_targets(|directory| directory.apply_changes(events, at, now));
        }
        if self.kind == ObjectKind::Evacuations {
            self.gateway.change_evacuations("store", |evacuations| {
                evacuations.apply_changes(evacuated, position, confirmed_at)
            });
        }
        let held = self.gateway.config().map(|config| config.revision);
        let up_to_date =
            held == Some(self.stored_config) && !self.outdated && !self.has_unknown_change;
        if self.kind == ObjectKind::Config && up_to_date {
            self.gateway.confirm_config(confirmed_at);
        }
    }

    /// Records that the store was available; reads that may be stale do not show that.
    fn record_evidence(&self, made_at: Timestamp) {
        lock(&self.gateway.store_evidence).record_response(made_at, clock::now());
    }

    fn record_response(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        let now = clock::now();
        let may_miss_entries = self.conclude(now);
        if self.kind == ObjectKind::Targets {
            self.gateway.change_targets(|directory| {
                if may_miss_entries {
                    directory.mark_store_unavailable();
                }
                directory.mark_store_available(now);
                Vec::new()
            });
        }
    }

    /// Concludes from a response why calls failed before, if any did; returns whether entries may have expired.
    fn conclude(&mut self, now: Timestamp) -> bool {
        let known_at = self.gateway.targets_complete_at().unwrap_or_default();
        let evidence = lock(&self.gateway.store_evidence);
        let (gap, interval) = (evidence.gap_since(known_at), evidence.interval());
        drop(evidence);
        let was_lost = self.contact.is_lost();
        let Some((conclusion, failed)) = self.contact.record_response(gap) else {
            return false;
        };
        let unseen = match conclusion {
            StoreConclusion::Unseen(gap) => gap.length(),
            StoreConclusion::CallsFailed | StoreConclusion::Outage => interval,
        };
        log::info!(event = "store-conclusion", kind = self.kind.as_str(), conclusion = conclusion.as_str(),
            first_failure = failed.first.as_str(), failed_ms_ago = millis(now.saturating_sub(failed.since)),
            unseen_ms = millis(unseen); "");
        if was_lost {
            log::info!(event = "store-regained", kind = self.kind.as_str(),
                era = self.gateway.store_era(); "");
        }
        conclusion.may_miss_entries()
    }

    async fn back_off(&mut self, error: &StoreError) {
        let now = clock::now();
        let (was_in_doubt, was_lost) = (self.contact.is_in_doubt(), self.contact.is_lost());
        let is_lost = self.contact.record_failure(error.failure(), now);
        let response_age = lock(&self.gateway.store_evidence).age(now);
        let response_age = response_age.map_or("-".into(), |age| millis(age).to_string());
        if !is_lost {
            log::info!(event = "store-call-failed", kind = self.kind.as_str(), error:% = error,
                last_response_ms_ago = response_age.as_str(); "");
        } else if !was_lost {
            log::warn!(event = "store-lost", kind = self.kind.as_str(), error:% = error,
                last_response_ms_ago = response_age.as_str(), era = self.gateway.store_era(); "");
        }
        if is_lost && self.kind == ObjectKind::Targets {
            self.gateway.change_targets(|directory| {
                directory.mark_store_unavailable();
                Vec::new()
            });
        }
        if !was_in_doubt && error.failure() == StoreFailure::SilentConnection {
            // What a new connection shows now is needed before entries can have expired.
            return;
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.backoff.mul_f64(jitter)).await;
        let max = match self.gateway.queried_watchers(clock::now()) {
            Some(_) => MAX_QUERYING_BACKOFF,
            None => MAX_BACKOFF,
        };
        self.backoff = (self.backoff * 2).min(max);
    }
}
