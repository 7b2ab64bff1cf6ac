//! Changes of targets, and what they state about themselves.

use super::{Departure, Gateway, lock};
use crate::adapter::{ResponseMeta, StatedLimit};
use crate::clock;
use almondcroft_core::gateway::{Directory, EntryRemoval, TargetChange};
use almondcroft_core::{RequestId, TargetId, Timestamp};
use almondcroft_proto::http1::ResponseHead;
use async_channel::{Receiver, bounded};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which gossip messages include a leaving target or a removed entry; long enough for many gossip rounds.
const DEPARTURE_TIME: Duration = Duration::from_secs(2);

/// Maximum number of leaving targets, and of removed entries, in a gossip message, of which a datagram holds about 200;
/// peers learn of others by their queries.
const MAX_DEPARTURES: usize = 64;

/// Status of the response of another target than the expected one.
const MISDIRECTED_STATUS: u16 = 421;

/// Status with which a target turns requests away.
const UNAVAILABLE_STATUS: u16 = 503;

impl Gateway {
    /// Applies a change to the directory, and the resulting changes to the fleet.
    pub(crate) fn change_targets(&self, change: impl FnOnce(&mut Directory) -> Vec<TargetChange>) {
        let mut directory = lock(&self.directory);
        let changes = change(&mut directory);
        let kept = directory.take_kept();
        drop(directory);
        for id in kept {
            log::info!(event = "target-kept", target_id = id.as_str(), reason = "entry-may-have-expired"; "");
        }
        for change in changes {
            self.change_target(change);
        }
    }

    pub(super) fn change_target(&self, change: TargetChange) {
        let now = clock::now();
        match change {
            TargetChange::Joined(entry) => {
                log::info!(event = "target-joined", target_id = entry.id.as_str(),
                    service = entry.service.as_str(), address:% = entry.address,
                    zone = entry.zone.as_str(); "");
                let placements = lock(&self.fleet).upsert_target(entry, now);
                self.deliver(placements);
            }
            TargetChange::Leaving(id) => {
                self.record_departure(&id, now);
                self.mark_target_leaving(&id, "store");
            }
            TargetChange::Gone(id) => {
                self.announce_removal(&id, now);
                let mut fleet = lock(&self.fleet);
                if let Some(choice) = fleet.choice_for(&id) {
                    self.pool.close_idle(choice.address);
                }
                let running = fleet.remove_target(&id, now);
                drop(fleet);
                log::info!(event = "target-gone", target_id = id.as_str(), running = running.len(); "");
                self.notify(&running);
            }
        }
    }

    /// Applies what a target stated about itself in a response, whatever the response's status.
    pub(crate) fn observe_response(
        &self,
        target: &TargetId,
        head: &ResponseHead,
        meta: &ResponseMeta,
    ) {
        // Another target responded, which has taken over the address.
        if head.status == MISDIRECTED_STATUS {
            return;
        }
        if meta.leaving {
            self.record_leaving_response(target, clock::now());
        }
        self.record_cold(target, meta);
        self.record_stated_limit(target, meta);
        self.record_refusal_limit(target, meta);
        if head.status == UNAVAILABLE_STATUS
            && let Some(time) = meta.retry_after
        {
            log::info!(event = "target-backoff", target_id = target.as_str(),
                seconds = time.as_secs_f64(); "");
            let placements = lock(&self.fleet).record_backoff(target, time, clock::now());
            self.deliver(placements);
        }
    }

    pub(super) fn record_stated_limit(&self, target: &TargetId, meta: &ResponseMeta) {
        let limit = match meta.rate_limit {
            StatedLimit::PerSecond(limit) => Some(limit),
            StatedLimit::None if meta.stamped => None,
            // Bytes that are no response of the target state nothing, and nonsense ends no limit.
            StatedLimit::None => return,
            StatedLimit::Unreadable => {
                log::debug!(event = "target-limit-unreadable", target_id = target.as_str(); "");
                return;
            }
        };
        let is_change = lock(&self.fleet).record_stated_limit(target, limit, clock::now());
        if is_change {
            log::info!(event = "target-limit", target_id = target.as_str(),
                limit = limit.map_or("-".into(), |limit| limit.to_string()).as_str(); "");
            self.request_gossip();
        }
    }

    pub(super) fn record_refusal_limit(&self, target: &TargetId, meta: &ResponseMeta) {
        let limit = match meta.refusal_limit {
            StatedLimit::PerSecond(limit) if limit > 0.0 => Some(limit),
            StatedLimit::None if meta.stamped || meta.not_run => None,
            StatedLimit::None | StatedLimit::PerSecond(_) | StatedLimit::Unreadable => return,
        };
        let is_change = lock(&self.fleet).record_refusal_limit(target, limit, clock::now());
        if is_change {
            log::info!(event = "target-refusal-limit", target_id = target.as_str(),
                limit = limit.map_or("-".into(), |limit| limit.to_string()).as_str(); "");
        }
    }

    pub(super) fn record_leaving_response(&self, target: &TargetId, now: Timestamp) {
        let Some(incarnation) = lock(&self.fleet).incarnation(target) else {
            return;
        };
        let changes = lock(&self.directory).record_leaving(target, incarnation);
        if !changes.is_empty() {
            self.announce_departure((target.clone(), incarnation), now);
            self.mark_target_leaving(target, "answer");
        }
    }

    /// Marks a target as leaving, and notifies the requests that run there.
    pub(crate) fn mark_target_leaving(&self, target: &TargetId, source: &str) {
        let mut fleet = lock(&self.fleet);
        if fleet.is_leaving(target) {
            return;
        }
        let running = fleet.mark_leaving(target, clock::now());
        drop(fleet);
        log::info!(event = "target-leaving", target_id = target.as_str(), source = source,
            running = running.len(); "");
        self.notify(&running);
    }

    /// Marks a target as leaving on the report of a peer, unless the target has restarted since.
    pub(crate) fn apply_departure(&self, (target, incarnation): &Departure, vm: &str) {
        if lock(&self.fleet).incarnation(target) == Some(*incarnation) {
            lock(&self.directory).record_leaving(target, *incarnation);
            self.mark_target_leaving(target, vm);
        }
    }

    pub(super) fn record_departure(&self, target: &TargetId, now: Timestamp) {
        // Changes learned from a watcher are not forwarded.
        if self.queried_watchers(now).is_some() {
            return;
        }
        let incarnation = lock(&self.fleet).incarnation(target);
        if let Some(incarnation) = incarnation {
            self.announce_departure((target.clone(), incarnation), now);
        }
    }

    pub(super) fn announce_departure(&self, departure: Departure, now: Timestamp) {
        lock(&self.departures).push_back((now, departure));
        self.request_gossip();
    }

    /// Announces that the entry of a target disappeared, unless a watcher said so.
    fn announce_removal(&self, target: &TargetId, now: Timestamp) {
        if self.queried_watchers(now).is_some() {
            return;
        }
        let incarnation = lock(&self.fleet).incarnation(target);
        if let Some(incarnation) = incarnation {
            let removal = EntryRemoval {
                target: target.clone(),
                incarnation,
                position: self.targets_position(),
            };
            lock(&self.removals).push_back((now, removal));
            self.request_gossip();
        }
    }

    /// Applies that a peer saw the entry of a target disappear.
    pub(crate) fn apply_removal(&self, removal: &EntryRemoval, now: Timestamp) {
        self.change_targets(|directory| directory.record_removal(removal, now));
    }

    /// Lists the targets that this VM recently saw leaving.
    pub(crate) fn departures(&self, now: Timestamp) -> Vec<Departure> {
        recent(&mut lock(&self.departures), now)
    }

    /// Lists the entries that this VM recently saw disappear.
    pub(crate) fn removals(&self, now: Timestamp) -> Vec<EntryRemoval> {
        recent(&mut lock(&self.removals), now)
    }

    /// Notifies requests that their target is leaving.
    pub(super) fn notify(&self, requests: &[RequestId]) {
        let leave_notices = lock(&self.leave_notices);
        for request in requests {
            if let Some(sender) = leave_notices.get(request) {
                // If the channel is full, a notice is already pending.
                let _ = sender.try_send(());
            }
        }
    }

    /// Returns a channel that signals when the request's target is leaving.
    pub(crate) fn subscribe_leave_notice(&self, request: &RequestId) -> Receiver<()> {
        let (sender, receiver) = bounded(1);
        lock(&self.leave_notices).insert(request.clone(), sender);
        receiver
    }
}

/// Drops what was announced for long enough, and returns the newest of the rest.
fn recent<T: Clone>(announced: &mut VecDeque<(Timestamp, T)>, now: Timestamp) -> Vec<T> {
    while announced
        .front()
        .is_some_and(|(at, _)| *at + DEPARTURE_TIME < now)
    {
        announced.pop_front();
    }
    let newest = announced.iter().rev().take(MAX_DEPARTURES).rev();
    newest.map(|(_, item)| item.clone()).collect()
}
