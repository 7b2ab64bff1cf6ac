//! What the other VMs told.

use super::{Fleet, PeerLoad, PeerNews, draw};
use crate::gateway::SendCounts;
use crate::{Timestamp, VmId};
use std::collections::HashMap;
use std::time::Duration;

/// Time after which a VM that tells no news counts as out of hearing.
const NEWS_TIME: Duration = Duration::from_secs(3);

/// Time for which a VM that is out of hearing is taken to have what it told last.
///
/// A VM that is cut off from the others goes on sending to the targets, and a cut lasts for seconds;
/// one that is gone leaves generations behind, which end within about this time.
const LOAD_TIME: Duration = Duration::from_secs(10);

impl Fleet {
    /// Takes in what another VM has at the targets.
    pub fn hear(&mut self, vm: VmId, news: PeerNews) {
        for (target, load) in &news.loads {
            let sum = self.sums.entry(target.clone()).or_default();
            *sum = sum.add(*load);
        }
        if let Some(before) = self.peers.insert(vm, news) {
            self.subtract(&before);
        }
    }

    /// Returns what this VM has at the targets, for the others.
    #[must_use]
    pub fn news(&self, now: Timestamp) -> PeerNews {
        let loads = self
            .targets
            .iter()
            .filter(|(_, state)| !state.is_idle())
            .map(|(id, state)| (id.clone(), state.own_load()));
        PeerNews {
            at: now,
            loads: loads.collect(),
            sends: HashMap::new(),
        }
    }

    /// Sums up the requests and extra sends of the other VMs that were heard of lately.
    #[must_use]
    pub fn sends_of_others(&self, service: &str, now: Timestamp) -> SendCounts {
        let counts = self
            .fresh_peers(now)
            .map(|(_, news)| news.sends.get(service).copied().unwrap_or_default());
        counts.fold(SendCounts::default(), SendCounts::add)
    }

    /// Returns the number of VMs that were heard of lately, this one included.
    #[must_use]
    pub fn vms(&self, now: Timestamp) -> usize {
        1 + self.fresh_peers(now).count()
    }

    /// Returns the first `count` VMs by a draw over those heard of lately and this one.
    ///
    /// VMs that hear of the same others draw the same ones.
    #[must_use]
    pub fn drawn(&self, count: usize, now: Timestamp) -> Vec<VmId> {
        let heard = self.fresh_peers(now).map(|(vm, _)| vm);
        let mut vms: Vec<&VmId> = heard.chain([&self.vm]).collect();
        vms.sort_by_cached_key(|vm| draw(vm));
        vms.into_iter().take(count).cloned().collect()
    }

    /// Takes what a VM had off the sums.
    fn subtract(&mut self, news: &PeerNews) {
        for (target, load) in &news.loads {
            if let Some(sum) = self.sums.get_mut(target) {
                *sum = sum.without(*load);
                if *sum == PeerLoad::default() {
                    self.sums.remove(target);
                }
            }
        }
    }

    /// Forgets VMs of which nothing was heard for long.
    pub(super) fn forget_peers(&mut self, now: Timestamp) {
        let silent: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, news)| news.at + LOAD_TIME <= now)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            if let Some(news) = self.peers.remove(&vm) {
                self.subtract(&news);
            }
        }
    }

    pub(super) fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = (&VmId, &PeerNews)> {
        self.peers
            .iter()
            .filter(move |(_, news)| news.at + NEWS_TIME > now)
    }
}
