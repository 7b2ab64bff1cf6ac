//! A VM's share of what the fleet may spend in a window, whatever else it sends.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a borrowed extra send may be used.
pub const LOAN_TIME: Duration = Duration::from_secs(4);

/// Age of the last list of VMs up to which the number of VMs counts as known.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Staleness of a list of VMs when it is read.
const LIST_DELAY: Duration = Duration::from_secs(3);

/// Factor by which the fleet may have grown while a VM could not read the list of VMs.
const UNKNOWN_GROWTH: f64 = 2.0;

/// Determines which fraction of a number that all VMs share this VM may spend.
///
/// Each VM has an equal part. VMs need not agree on the moment at which their parts change: a part shrinks as soon
/// as another VM is known, and grows only after a window in which none was. A VM has no part in the time in which
/// one that it replaces, or the other VMs, may still spend it:
///
/// - A VM whose name was registered before may follow a process that has spent its part, or lent it. It waits for the
///   window and the time of a loan.
/// - A new VM waits until the others know it, unless the fleet is not larger than was `assumed` by all from
///   the start.
///
/// A VM that cannot read the list of VMs does not know how many have joined, and spends half.
///
/// ```
/// use almondcroft_core::gateway::BudgetShare;
/// use std::time::Duration;
///
/// let (start, window) = (Duration::from_secs(60), Duration::from_secs(10));
/// let mut share = BudgetShare::new(2, start);
/// share.record_list(4, start);
/// share.record_registration(false, start);
/// assert_eq!(share.fraction(window, start), 0.0);
/// share.record_list(4, start + window);
/// assert_eq!(share.fraction(window, start + window * 3 / 2), 0.25);
/// ```
#[derive(Debug)]
pub struct BudgetShare {
    assumed: u32,
    started_at: Timestamp,
    registration: Option<(bool, Timestamp)>,
    listed_at: Option<Timestamp>,
    /// Numbers of VMs that were known, and the last time of each; higher ones come first.
    known: VecDeque<(u32, Timestamp)>,
    is_given_up: bool,
}

impl BudgetShare {
    /// Creates the share of a VM that starts now; `assumed` VMs share while fewer are known.
    #[must_use]
    pub const fn new(assumed: u32, started_at: Timestamp) -> Self {
        Self {
            assumed,
            started_at,
            registration: None,
            listed_at: None,
            known: VecDeque::new(),
            is_given_up: false,
        }
    }

    /// Changes the number of VMs that is assumed while fewer are known.
    pub const fn set_assumed(&mut self, assumed: u32) {
        self.assumed = assumed;
    }

    /// Records that the list of VMs, asked for at a time, has so many, this one included.
    pub fn record_list(&mut self, vms: u32, asked_at: Timestamp) {
        self.listed_at = self.listed_at.max(Some(asked_at));
        self.record_vms(vms, asked_at);
    }

    /// Records that so many VMs are known, this one included.
    pub fn record_vms(&mut self, vms: u32, now: Timestamp) {
        while self.known.back().is_some_and(|(count, _)| *count <= vms) {
            self.known.pop_back();
        }
        self.known.push_back((vms, now));
    }

    /// Records that this VM is registered, and whether no VM of its name was before.
    ///
    /// A VM that has no peers counts as new. Later registrations of the same process change nothing.
    pub fn record_registration(&mut self, is_new: bool, now: Timestamp) {
        self.registration.get_or_insert((is_new, now));
    }

    /// Spends nothing any more, so that a process that follows need not wait.
    pub const fn give_up(&mut self) {
        self.is_given_up = true;
    }

    /// Returns the fraction, from 0 to 1.
    #[must_use]
    pub fn fraction(&self, window: Duration, now: Timestamp) -> f64 {
        let Some((is_new, registered_at)) = self.registration else {
            return 0.0;
        };
        let recent = self.known.iter();
        let recent = recent.filter(|(_, at)| *at + window + LOAN_TIME >= now);
        let latest = self.known.back().into_iter().chain(recent);
        let known = latest.map(|(count, _)| *count).max().unwrap_or(1);
        let from = if !is_new {
            self.started_at + window + LOAN_TIME
        } else if known > self.assumed {
            registered_at + window.max(MAX_LIST_AGE) + LIST_DELAY
        } else {
            registered_at
        };
        if self.is_given_up || now < from {
            return 0.0;
        }
        let is_known = known <= 1
            || self
                .listed_at
                .is_some_and(|listed_at| listed_at + MAX_LIST_AGE >= now);
        let growth = if is_known { 1.0 } else { UNKNOWN_GROWTH };
        1.0 / (f64::from(known.max(self.assumed).max(1)) * growth)
    }
}

#[cfg(test)]
mod tests;
