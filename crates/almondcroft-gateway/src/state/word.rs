//! What a VM knows of the platform's store by the word of others, and whether that suffices.

use super::{Gateway, lock};
use crate::adapter::Kind;
use almondcroft_core::gateway::EntryEvent;
use almondcroft_core::{Revision, Timestamp, VmId};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// VMs that watch the store without a pause and tell the others, in case one of them is cut off.
const SCOUTS: usize = 3;

/// VMs from which on the others rely on scouts; in smaller fleets, scouts would make as many calls as
/// all VMs do otherwise.
const MIN_FLEET: usize = SCOUTS * 6;

/// Part of the time after which a target that leaves must get no work, for which a VM relies on what
/// scouts told last; the rest is for a call of its own.
const RELY_PART: f64 = 0.55;

/// Tells what changed of the targets up to a revision, and when that was all.
pub(crate) type Told = (Revision, Timestamp, Vec<EntryEvent>);

impl Gateway {
    /// Returns the revision of the configuration in force and when it was known to be the newest.
    pub(crate) fn config_known(&self) -> Option<(Revision, Timestamp)> {
        let revision = self.config()?.revision;
        Some((revision, lock(&self.vouch).confirmed_at()?))
    }

    /// Takes another VM's word that a configuration was the newest at a time.
    pub(crate) fn hear_config(&self, revision: Revision, at: Timestamp) {
        self.note_newer(revision);
        if self.config().is_some_and(|held| held.revision >= revision) {
            self.confirm_config(at);
        }
    }

    /// Notes that another VM holds a configuration, so that a later one is looked for at once.
    pub(crate) fn note_newer(&self, revision: Revision) {
        let known = self.newer.fetch_max(revision, Ordering::Relaxed);
        if known < revision {
            // A full channel says the same.
            let _ = self.news_of_config.0.try_send(());
        }
    }

    /// Ends when another VM told of a configuration.
    pub(crate) async fn newer_config(&self) {
        if self.news_of_config.1.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the VMs on whose word this one relies; `None` if it looks itself.
    pub(crate) fn scouts(&self, now: Timestamp) -> Option<Vec<VmId>> {
        let fleet = lock(&self.fleet);
        if fleet.vm_count(now) < MIN_FLEET {
            return None;
        }
        let scouts = fleet.select_vms(SCOUTS, now);
        (!scouts.contains(&self.settings.vm)).then_some(scouts)
    }

    /// Returns whether this VM sees changes at once and tells the others.
    pub(crate) fn is_drawn(&self, now: Timestamp) -> bool {
        let drawn = lock(&self.fleet).select_vms(SCOUTS, now);
        drawn.contains(&self.settings.vm)
    }

    /// Returns whether other VMs rely on this one.
    pub(crate) fn is_scout(&self, now: Timestamp) -> bool {
        lock(&self.fleet).vm_count(now) >= MIN_FLEET && self.is_drawn(now)
    }

    /// Returns for how long the word of others holds yet; `None` if this VM has to look itself.
    pub(crate) fn told_for(&self, kind: Kind, now: Timestamp) -> Option<Duration> {
        self.scouts(now)?;
        let at = match kind {
            Kind::Config => {
                let (revision, at) = self.config_known()?;
                let newest = self.newer.load(Ordering::Relaxed) <= revision;
                newest.then_some(at)
            }
            Kind::Targets => lock(&self.directory).complete_at(),
            Kind::Vms => None,
        };
        let left = (at? + self.bounds().drain().mul_f64(RELY_PART)).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the revision up to which the targets are known.
    pub(crate) fn targets_revision(&self) -> Revision {
        lock(&self.directory).revision().unwrap_or_default()
    }

    /// Returns what changed of the targets after a revision, with the revision up to which it did and
    /// the time at which that was all; and whether the store is or was away.
    pub(crate) fn targets_since(&self, since: Revision, now: Timestamp) -> (Option<Told>, bool) {
        let directory = lock(&self.directory);
        let told = directory.changes_since(since, now).and_then(|events| {
            let revision = directory.revision()?;
            Some((revision, directory.complete_at()?, events))
        });
        (told, directory.is_in_grace(now))
    }
}
