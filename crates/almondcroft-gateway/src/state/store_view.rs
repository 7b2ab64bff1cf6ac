//! A VM's view of the platform's store, learned in part from peers, and how long it stays valid.

use super::{Gateway, lock};
use crate::adapter::ObjectKind;
use crate::clock;
use crate::peer_view::ConfigDocument;
use almondcroft_core::gateway::{
    ChangeCursor, EntryEvent, EraCheck, RestoredTargets, StorePosition, TargetEntry,
};
use almondcroft_core::{Era, Revision, Timestamp, VmId};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of VMs that watch the store continuously for the others; more than one in case one is
/// unreachable.
const WATCHERS: usize = 3;

/// Minimum size of a large fleet, whose VMs query watchers, send digests and copy from each other; in a
/// smaller fleet, the watchers would make as many calls as all VMs make without them.
const MIN_FLEET: usize = WATCHERS * 6;

/// Minimum size of a fleet in which relays answer the queries of their availability zone; so many queries take a
/// watcher a twentieth of a small VM's processor.
const MIN_RELAY_FLEET: usize = 120;

/// Number of VMs of an availability zone for each relay.
const VMS_PER_RELAY: usize = 12;

/// Minimum number of relays of an availability zone; more than one in case one is unreachable.
const MIN_RELAYS: usize = 2;

/// Fraction of the drain time for which the last response of a watcher stays valid; the rest is for
/// a call of the VM's own.
const VALIDITY_FRACTION: f64 = 0.55;

/// Fraction of the evacuation time for which a watcher's list of evacuated zones stays valid; the rest is for a
/// call of the VM's own.
const EVACUATION_VALIDITY_FRACTION: f64 = 0.6;

/// Changes of targets up to a position, with the time at which they were complete.
pub(crate) type DirectoryUpdate = (StorePosition, Timestamp, Vec<EntryEvent>);

/// The same with a cursor for each change.
pub(crate) type ChangeList = (StorePosition, Timestamp, Vec<(ChangeCursor, EntryEvent)>);

impl Gateway {
    /// Returns the newest era of the store that is known; zero if the store states none.
    pub(crate) fn store_era(&self) -> Era {
        lock(&self.store_era).known().unwrap_or_default()
    }

    /// Records the era that a response of the store states, and returns the era of its contents.
    ///
    /// Returns `None` if the response is from an earlier era than the known one. A response without an
    /// era belongs to the known one.
    pub(crate) fn observe_store_era(&self, stated: Option<Era>) -> Option<Era> {
        let Some(era) = stated else {
            let known = self.store_era();
            if known > 0 {
                log::warn!(event = "store-era-missing", era = known; "");
            }
            return Some(known);
        };
        self.observe_era(era, "store").then_some(era)
    }

    /// Records the era that the store or a peer states; returns whether it is the newest one.
    fn observe_era(&self, era: Era, source: &str) -> bool {
        let mut known = lock(&self.store_era);
        let before = known.known().unwrap_or_default();
        let check = known.observe(era);
        drop(known);
        match check {
            EraCheck::Current => true,
            EraCheck::Outdated => {
                log::info!(event = "store-era-outdated", era = before, stated = era, source = source; "");
                false
            }
            EraCheck::Risen => {
                log::warn!(event = "store-era", era = era, from = before, source = source; "");
                let now = clock::now();
                lock(&self.config_freshness).record_restoration(now);
                self.change_targets(|directory| {
                    directory.begin_era(era, now);
                    Vec::new()
                });
                // If the channel is full, a signal is already pending.
                let _ = self.restoration_signal.0.try_send(());
                true
            }
        }
    }

    /// Compares the targets that a restored store lists with those that are known.
    pub(crate) fn compare_restored(&self, entries: &[TargetEntry]) -> RestoredTargets {
        lock(&self.directory).compare_restored(entries)
    }

    /// Records the era that a peer states; returns whether it is the newest one.
    ///
    /// A peer that has not read the store yet states zero.
    pub(crate) fn observe_peer_era(&self, era: Era) -> bool {
        match era {
            0 => self.store_era() == 0,
            era => self.observe_era(era, "vm"),
        }
    }

    /// Waits until the store was restored from an older copy.
    pub(crate) async fn store_restored(&self) {
        if self.restoration_signal.1.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the revision of the active configuration and when it was last confirmed as the
    /// newest.
    pub(crate) fn config_confirmation(&self) -> Option<(Revision, Timestamp)> {
        let revision = self.config()?.revision;
        Some((revision, lock(&self.config_freshness).confirmed_at()?))
    }

    /// Returns the store's response that contains the active configuration.
    pub(crate) fn config_document(&self) -> Option<ConfigDocument> {
        lock(&self.config_document).clone()
    }

    /// Keeps the store's response that contains a configuration, for peers.
    pub(crate) fn set_config_document(&self, document: ConfigDocument) {
        *lock(&self.config_document) = Some(document);
    }

    /// Returns whether a peer announced a newer configuration than the active one.
    pub(crate) fn is_config_announced(&self) -> bool {
        let held = self.config().map_or(0, |config| config.revision);
        held < self.newest_revision()
    }

    /// Returns whether peers will soon have newer objects of a kind than this VM.
    pub(crate) fn is_newer_expected(&self, kind: ObjectKind) -> bool {
        match kind {
            ObjectKind::Config => self.is_config_announced(),
            ObjectKind::Targets => self.targets_position().era < self.store_era(),
            ObjectKind::Evacuations | ObjectKind::Vms => false,
        }
    }

    /// Returns whether the objects of a kind were read once.
    pub(crate) fn has_read(&self, kind: ObjectKind) -> bool {
        match kind {
            ObjectKind::Config => self.config().is_some(),
            ObjectKind::Targets => self.targets_listed.load(Ordering::Relaxed),
            ObjectKind::Evacuations => lock(&self.evacuations).checkpoint().is_some(),
            ObjectKind::Vms => self.are_peers_listed(),
        }
    }

    /// Returns the newest revision of the configuration that a peer announced.
    pub(crate) fn newest_revision(&self) -> Revision {
        self.newest_revision.load(Ordering::Relaxed)
    }

    /// Records that a peer confirmed a revision of the configuration as the newest at a time.
    pub(crate) fn record_peer_confirmation(&self, revision: Revision, at: Timestamp) {
        self.record_config_revision(revision);
        if self.config().is_some_and(|held| held.revision == revision) {
            self.confirm_config(at);
        }
    }

    /// Records the revision of a peer's configuration; a newer one is fetched at once.
    pub(crate) fn record_config_revision(&self, revision: Revision) {
        let previous = self.newest_revision.fetch_max(revision, Ordering::Relaxed);
        if previous < revision {
            // If the channel is full, a signal is already pending.
            let _ = self.config_signal.0.try_send(());
        }
    }

    /// Waits until a peer announces a newer configuration.
    pub(crate) async fn config_announced(&self) {
        if self.config_signal.1.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the fleet is large, as far as its VMs are known.
    pub(crate) fn is_large_fleet(&self) -> bool {
        lock(&self.peers).len() + 1 >= MIN_FLEET
    }

    /// Returns the watchers that this VM queries; `None` if it watches the store itself.
    pub(crate) fn queried_watchers(&self, now: Timestamp) -> Option<Vec<VmId>> {
        let fleet = lock(&self.fleet);
        if fleet.vm_count(now) < MIN_FLEET {
            return None;
        }
        let watchers = fleet.select_vms(WATCHERS, now);
        (!watchers.contains(&self.settings.vm)).then_some(watchers)
    }

    /// Returns the VMs that this VM queries: the watchers, or the relays of its availability zone in a fleet of
    /// hundreds; `None` if it watches the store itself.
    pub(crate) fn query_sources(&self, now: Timestamp) -> Option<Vec<VmId>> {
        let watchers = self.queried_watchers(now)?;
        match self.relays(now) {
            Some(relays) if !relays.contains(&self.settings.vm) => Some(relays),
            _ => Some(watchers),
        }
    }

    /// Returns whether this VM answers the queries of its availability zone, and is no watcher.
    pub(crate) fn is_relay(&self, now: Timestamp) -> bool {
        let relays = self.relays(now);
        relays.is_some_and(|relays| relays.contains(&self.settings.vm))
            && self.queried_watchers(now).is_some()
    }

    /// Selects the relays of this VM's availability zone; `None` in a smaller fleet.
    fn relays(&self, now: Timestamp) -> Option<Vec<VmId>> {
        let fleet = lock(&self.fleet);
        if fleet.vm_count(now) < MIN_RELAY_FLEET {
            return None;
        }
        let count = fleet.zone_vm_count(now) / VMS_PER_RELAY;
        Some(fleet.select_relays(count.max(MIN_RELAYS), now))
    }

    /// Returns whether this VM is selected as a watcher, whatever the size of the fleet.
    pub(crate) fn is_selected_watcher(&self, now: Timestamp) -> bool {
        let selected = lock(&self.fleet).select_vms(WATCHERS, now);
        selected.contains(&self.settings.vm)
    }

    /// Returns whether peers query this VM instead of watching the store.
    pub(crate) fn is_queried(&self, now: Timestamp) -> bool {
        lock(&self.fleet).vm_count(now) >= MIN_FLEET && self.is_selected_watcher(now)
    }

    /// Returns how long data from watchers stays valid; `None` if this VM has to call the store
    /// itself.
    pub(crate) fn remaining_validity(&self, kind: ObjectKind, now: Timestamp) -> Option<Duration> {
        self.queried_watchers(now)?;
        let at = match kind {
            ObjectKind::Config => {
                let (revision, at) = self.config_confirmation()?;
                let newest = self.newest_revision() <= revision;
                newest.then_some(at)
            }
            ObjectKind::Targets => lock(&self.directory).complete_at(),
            ObjectKind::Evacuations => lock(&self.evacuations).checkpoint().map(|(_, at)| at),
            ObjectKind::Vms => None,
        };
        let validity = match kind {
            ObjectKind::Evacuations => {
                let bound = self.bounds().evacuation()?;
                bound.mul_f64(EVACUATION_VALIDITY_FRACTION)
            }
            ObjectKind::Config | ObjectKind::Targets | ObjectKind::Vms => self.validity(),
        };
        let mut remaining = (at? + validity).saturating_sub(now);
        if kind == ObjectKind::Targets
            && let Some(at) = self.needs_targets_at()
        {
            remaining = remaining.min(at.saturating_sub(now));
        }
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns how long data from peers stays valid.
    pub(crate) fn validity(&self) -> Duration {
        self.bounds().drain().mul_f64(VALIDITY_FRACTION)
    }

    /// Returns all targets, with the revision up to which they are known and the time at which they
    /// were complete; `None` if they are not known for certain.
    pub(crate) fn all_targets(&self, now: Timestamp) -> Option<DirectoryUpdate> {
        let directory = lock(&self.directory);
        let entries = directory.entries(now)?;
        let events = entries.into_iter().map(EntryEvent::Present).collect();
        Some((directory.position()?, directory.complete_at()?, events))
    }

    /// Returns the position up to which the targets are known.
    pub(crate) fn targets_position(&self) -> StorePosition {
        lock(&self.directory).position().unwrap_or_default()
    }

    /// Returns when a view of the targets is needed that shows which have not registered again after an outage.
    pub(crate) fn needs_targets_at(&self) -> Option<Timestamp> {
        lock(&self.directory).needs_view_at()
    }

    /// Returns whether entries of running targets may be missing.
    pub(crate) fn may_miss_entries(&self, now: Timestamp) -> bool {
        lock(&self.directory).is_uncertain(now)
    }

    /// Returns the latest time at which the targets are known to have been complete.
    pub(crate) fn targets_complete_at(&self) -> Option<Timestamp> {
        lock(&self.directory).complete_at()
    }

    /// Returns the position up to which the evacuated zones are known.
    pub(crate) fn evacuations_position(&self) -> StorePosition {
        let checkpoint = lock(&self.evacuations).checkpoint();
        checkpoint.map_or_else(StorePosition::default, |(position, _)| position)
    }

    /// Returns the changes of targets since a position, and whether the store is or recently was
    /// unavailable.
    pub(crate) fn target_updates_since(
        &self,
        since: StorePosition,
        after: Option<&ChangeCursor>,
        now: Timestamp,
    ) -> (Option<ChangeList>, bool) {
        let directory = lock(&self.directory);
        let update = directory
            .changes_after(since, after, now)
            .and_then(|changes| {
                let position = directory.position()?;
                Some((position, directory.complete_at()?, changes))
            });
        (update, directory.is_uncertain(now))
    }
}
