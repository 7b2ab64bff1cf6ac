//! Which VMs are told news, and when.

use super::number::whole;
use crate::Timestamp;
use std::time::Duration;

/// Time in which every VM is told once although nothing changed; a third of the time after which a
/// VM counts as out of hearing.
const REFRESH_TIME: Duration = Duration::from_secs(1);

/// Datagrams that a VM may send in a second because something changed: about 15 us of processor
/// time each, here and at the VM told.
const CHANGE_RATE: f64 = 400.0;

/// Seconds for which unused datagrams are kept.
const CHANGE_SAVED: f64 = 0.5;

/// Spreads news over the VMs of the fleet.
///
/// The load that it answers: every VM places requests by what it believes the others have at the
/// targets, and two that believe the same choose the same target. So each tells all others at once
/// what it began or ended, as far as a rate allows, and repeats it to a few in each round for those
/// that missed it.
///
/// ```
/// use almondcroft_core::gateway::TellPlan;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut plan = TellPlan::default();
/// assert_eq!(plan.take(76, second), 76);
/// assert_eq!(plan.refresh(20, second / 10), [0, 1]);
/// assert_eq!(plan.refresh(20, second / 10), [2, 3]);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TellPlan {
    turn: usize,
    saved: f64,
    at: Option<Timestamp>,
}

impl Default for TellPlan {
    fn default() -> Self {
        Self {
            turn: 0,
            saved: CHANGE_RATE * CHANGE_SAVED,
            at: None,
        }
    }
}

impl TellPlan {
    /// Returns how many of the VMs may be told of a change now.
    pub fn take(&mut self, wanted: usize, now: Timestamp) -> usize {
        let passed = now.saturating_sub(self.at.replace(now).unwrap_or(now));
        let most = CHANGE_RATE * CHANGE_SAVED;
        self.saved = (self.saved + passed.as_secs_f64() * CHANGE_RATE).min(most);
        let taken = wanted.min(whole(self.saved));
        self.saved -= f64::from(u32::try_from(taken).unwrap_or(u32::MAX));
        taken
    }

    /// Returns the places of the VMs that are told in a round whatever changed, out of so many.
    pub fn refresh(&mut self, vms: usize, round: Duration) -> Vec<usize> {
        if vms == 0 {
            return Vec::new();
        }
        let part = round.as_secs_f64() / REFRESH_TIME.as_secs_f64();
        let count = whole((f64::from(u32::try_from(vms).unwrap_or(u32::MAX)) * part).ceil());
        let first = self.turn % vms;
        let count = count.clamp(1, vms);
        self.turn = first + count;
        (first..first + count).map(|place| place % vms).collect()
    }
}

#[cfg(test)]
mod tests;
