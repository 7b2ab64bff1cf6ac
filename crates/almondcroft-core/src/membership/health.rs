//! Health of each member.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};

/// Number of consecutive timeouts after which a member is suspected.
const FAILURE_LIMIT: u32 = 2;

/// Time after which a suspicion expires, in case the member is no longer probed.
const SUSPICION_TIME: Duration = Duration::from_secs(30);

/// The health of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The member gets new work.
    Alive,
    /// The member failed to respond, and gets no new work until it responds again.
    Suspect,
    /// The member announced its departure and gets no new work.
    Leaving,
}

/// An observation about a member's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The member responded.
    Answered,
    /// The member did not respond in time.
    TimedOut,
    /// The member refused the connection, which a running process does not do.
    Refused,
    /// The member or the VM list announced its departure.
    Leaving,
    /// Another VM suspects the member.
    #[serde(rename = "rumour")]
    PeerSuspicion,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    health: Health,
    failures: u32,
    since: Timestamp,
    last_response: Timestamp,
}

/// Tracks the health of members from evidence of any kind.
///
/// A member without any evidence counts as alive. Another VM's suspicion alone makes a member
/// suspect only if it has not responded to this VM within the last second, so one VM with a broken
/// link cannot make the others stop using a healthy target.
#[derive(Debug, Default)]
pub struct HealthTable {
    records: BTreeMap<SmolStr, Record>,
}

impl HealthTable {
    /// Records evidence about a member; returns its new health if that changed.
    pub fn observe(&mut self, id: &SmolStr, evidence: Evidence, now: Timestamp) -> Option<Health> {
        let record = self.records.entry(id.clone()).or_insert(Record {
            health: Health::Alive,
            failures: 0,
            since: now,
            last_response: Timestamp::ZERO,
        });
        let before = record.health;
        record.health = next_health(record, evidence, now);
        if record.health == before {
            return None;
        }
        record.since = now;
        Some(record.health)
    }

    /// Returns the health of a member.
    #[must_use]
    pub fn health(&self, id: &str, now: Timestamp) -> Health {
        let Some(record) = self.records.get(id) else {
            return Health::Alive;
        };
        if record.health == Health::Suspect && now >= record.since + SUSPICION_TIME {
            return Health::Alive;
        }
        record.health
    }

    /// Returns whether a member may get new work.
    #[must_use]
    pub fn usable(&self, id: &str, now: Timestamp) -> bool {
        self.health(id, now) == Health::Alive
    }

    /// Removes the members for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|id, _| keep(id));
    }
}

fn next_health(record: &mut Record, evidence: Evidence, now: Timestamp) -> Health {
    match evidence {
        Evidence::Answered => {
            record.failures = 0;
            record.last_response = now;
            Health::Alive
        }
        Evidence::Leaving => Health::Leaving,
        Evidence::Refused if record.health == Health::Alive => Health::Suspect,
        Evidence::TimedOut => {
            record.failures += 1;
            let limit_reached = record.failures >= FAILURE_LIMIT;
            if limit_reached && record.health == Health::Alive {
                Health::Suspect
            } else {
                record.health
            }
        }
        Evidence::PeerSuspicion if record.health == Health::Alive => {
            let responded_recently = record.last_response + Duration::from_secs(1) > now;
            if responded_recently {
                Health::Alive
            } else {
                Health::Suspect
            }
        }
        Evidence::Refused | Evidence::PeerSuspicion => record.health,
    }
}

#[cfg(test)]
mod tests;
