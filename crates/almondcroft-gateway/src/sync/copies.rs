//! Copies and lists from peers, in place of calls to the store.

use super::Follower;
use crate::adapter::{Item, ObjectKind};
use crate::clock;
use crate::peer_view::{self, StoreCopy};
use crate::runtime::sleep;
use almondcroft_core::gateway::StorePosition;
use rand::Rng;
use std::time::Duration;

/// Maximum age of a copy, as a fraction of the time for which it stays valid; the rest leaves time to
/// read the next one.
const MAX_COPY_AGE: f64 = 0.75;

/// Minimum delay after a restoration of the store before a VM that queries watchers reads again; copies
/// are available once targets have had time to register.
const RESTORED_READ_DELAY: Duration = Duration::from_millis(2_200);

/// Maximum random addition to [`RESTORED_READ_DELAY`], so that a large fleet does not read all at once.
const RESTORED_READ_SPREAD: Duration = Duration::from_secs(1);

/// Time for which a VM that starts waits for the evacuated zones from a watcher; short compared with the
/// evacuation time.
const EVACUATIONS_TIME: Duration = Duration::from_secs(2);

/// The same time while the whole fleet starts and selects its watchers.
const BOOTSTRAP_EVACUATIONS_TIME: Duration = Duration::from_secs(4);

/// Time between two checks whether a watcher has sent the evacuated zones.
const EVACUATIONS_POLL: Duration = Duration::from_millis(100);

impl Follower {
    /// Waits for the evacuated zones from a watcher; returns `None` if the store must be called.
    pub(super) async fn await_evacuations(&self) -> Option<StorePosition> {
        let gateway = &self.gateway;
        let time = if gateway.settings.bootstrap && !gateway.has_read(self.kind) {
            BOOTSTRAP_EVACUATIONS_TIME
        } else {
            EVACUATIONS_TIME
        };
        let end = clock::now() + time;
        loop {
            let now = clock::now();
            if gateway.remaining_validity(self.kind, now).is_some() {
                let position = gateway.evacuations_position();
                return (position.era >= gateway.store_era()).then_some(position);
            }
            let is_small = gateway.are_peers_listed()
                && !gateway.is_large_fleet()
                && !gateway.settings.bootstrap;
            if now >= end || is_small || gateway.is_queried(now) {
                return None;
            }
            sleep(EVACUATIONS_POLL).await;
        }
    }

    /// Reads all objects of the kind from a peer; returns `None` if the store must be called.
    pub(super) async fn copy(&mut self) -> Option<StorePosition> {
        if self.kind == ObjectKind::Evacuations {
            return self.await_evacuations().await;
        }
        let (copy, sent_at) = peer_view::read(&self.gateway, self.kind).await?;
        let now = clock::now();
        let age = copy.age();
        if age + now.saturating_sub(sent_at) > self.gateway.validity().mul_f64(MAX_COPY_AGE) {
            return None;
        }
        let confirmed_at = sent_at.checked_sub(age)?;
        self.record_response();
        match copy {
            StoreCopy::Config(batch, document, _) => {
                let position = StorePosition {
                    era: self.gateway.store_era(),
                    revision: batch.revision,
                };
                self.gateway.set_config_document(document);
                self.apply_changes(batch.items, position, confirmed_at);
                Some(position)
            }
            StoreCopy::ConfigUnchanged(revision, _) => {
                let held = self.gateway.config()?.revision;
                if held == revision && !self.outdated {
                    self.stored_config = held;
                    self.gateway.confirm_config(confirmed_at);
                }
                // The store's revision of the copy is unknown, so a watch starts with a list.
                let era = self.gateway.store_era();
                let start = StorePosition { era, revision: 0 };
                Some(self.position.max(start))
            }
            StoreCopy::Targets(update) => {
                let position = update.position();
                let items = update.into_events(now).into_iter().map(Item::Target);
                self.apply_list(items.collect(), position, confirmed_at);
                Some(position)
            }
        }
    }

    /// Waits until peers have copies of the restored objects, if this VM reads from them.
    pub(super) async fn await_restored_copies(&self) {
        if self.gateway.queried_watchers(clock::now()).is_some() {
            let spread = rand::rng().random_range(0.0..1.0);
            sleep(RESTORED_READ_DELAY + RESTORED_READ_SPREAD.mul_f64(spread)).await;
        }
    }
}
