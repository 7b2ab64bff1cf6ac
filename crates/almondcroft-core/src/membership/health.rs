//! What is known of each member's health.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::{collections::BTreeMap, time::Duration};

/// Consecutive failures after which a member is suspected.
const FAILURE_LIMIT: u32 = 2;

/// Time after which a suspicion that nothing confirms is dropped, in case the probes stopped.
const SUSPICION_TIME: Duration = Duration::from_secs(30);

/// Tells how one member is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The member gets work.
    Alive,
    /// The member failed to answer and gets no new work until it answers again.
    Suspect,
    /// The member announced that it leaves and gets no new work.
    Leaving,
}

/// Tells what was seen of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// It answered.
    Answered,
    /// It did not answer in time.
    TimedOut,
    /// It refused the connection, which a running process does not do.
    Refused,
    /// It, or the list, says that it is leaving.
    Leaving,
    /// Another VM suspects it.
    Rumour,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    health: Health,
    failures: u32,
    since: Timestamp,
    answered: Timestamp,
}

/// Judges the health of members from evidence of any kind.
///
/// A member that nothing is known about counts as alive. A rumour alone suspects only a member that
/// has not answered this VM after the rumour began, so one VM with a broken link cannot take a
/// healthy target from the others.
#[derive(Debug, Default)]
pub struct HealthTable {
    records: BTreeMap<SmolStr, Record>,
}

impl HealthTable {
    /// Takes in evidence; returns the new health when it changed.
    pub fn observe(&mut self, id: &SmolStr, evidence: Evidence, now: Timestamp) -> Option<Health> {
        let record = self.records.entry(id.clone()).or_insert(Record {
            health: Health::Alive,
            failures: 0,
            since: now,
            answered: Timestamp::ZERO,
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

    /// Forgets members that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|id, _| keep(id));
    }
}

fn next_health(record: &mut Record, evidence: Evidence, now: Timestamp) -> Health {
    match evidence {
        Evidence::Answered => {
            record.failures = 0;
            record.answered = now;
            Health::Alive
        }
        Evidence::Leaving => Health::Leaving,
        Evidence::Refused if record.health == Health::Alive => Health::Suspect,
        Evidence::TimedOut => {
            record.failures += 1;
            let limit = record.failures >= FAILURE_LIMIT;
            if limit && record.health == Health::Alive {
                Health::Suspect
            } else {
                record.health
            }
        }
        Evidence::Rumour if record.health == Health::Alive => {
            let fresh = record.answered + Duration::from_secs(1) > now;
            if fresh {
                Health::Alive
            } else {
                Health::Suspect
            }
        }
        Evidence::Refused | Evidence::Rumour => record.health,
    }
}

#[cfg(test)]
mod tests;
