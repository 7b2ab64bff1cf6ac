//! The state that results from a shard's log.

use super::{BodyHash, Claim, ClaimAnswer, Entry, KeyHash, Nonce, Outcome};
use crate::{Incarnation, Timestamp, VmId};
use std::collections::HashMap;

#[derive(Debug, Clone)]
struct Record {
    body: BodyHash,
    nonce: Nonce,
    vm: VmId,
    incarnation: Incarnation,
    at: Timestamp,
    deadline: Timestamp,
    issued_at: Option<Timestamp>,
    outcome: Option<Box<Outcome>>,
}

impl Record {
    fn claim(&self, key: KeyHash) -> Claim {
        Claim {
            key,
            body: self.body,
            nonce: self.nonce,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            at: self.at,
            issued_at: self.issued_at,
            deadline: self.deadline,
        }
    }
}

/// Maps each key to the attempt that holds it and to that attempt's outcome.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    records: HashMap<KeyHash, Record>,
}

impl ClaimTable {
    /// Applies a log entry; of several claims on a key, the first one holds.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Claim(claim) => self.apply_claim(claim),
            Entry::Outcome {
                key,
                nonce,
                outcome,
            } => {
                if let Some(record) = self.held_by(*key, *nonce) {
                    record.outcome = Some(Box::new(outcome.clone()));
                }
            }
            Entry::Release { key, nonce } => {
                let unused = self
                    .held_by(*key, *nonce)
                    .is_some_and(|record| record.outcome.is_none());
                if unused {
                    self.records.remove(key);
                }
            }
        }
    }

    fn apply_claim(&mut self, claim: &Claim) {
        self.records.entry(claim.key).or_insert_with(|| Record {
            body: claim.body,
            nonce: claim.nonce,
            vm: claim.vm.clone(),
            incarnation: claim.incarnation,
            at: claim.at,
            deadline: claim.deadline,
            issued_at: claim.issued_at,
            outcome: None,
        });
    }

    fn held_by(&mut self, key: KeyHash, nonce: Nonce) -> Option<&mut Record> {
        self.records
            .get_mut(&key)
            .filter(|record| record.nonce == nonce)
    }

    /// Answers a claim from the applied entries, or returns `None` if the key is free.
    #[must_use]
    pub fn answer_claim(&self, claim: &Claim) -> Option<ClaimAnswer> {
        let record = self.records.get(&claim.key)?;
        if record.body != claim.body {
            return Some(ClaimAnswer::Mismatch);
        }
        if let Some(outcome) = &record.outcome {
            return Some(ClaimAnswer::Done(outcome.as_ref().clone()));
        }
        if record.nonce == claim.nonce {
            return Some(ClaimAnswer::Granted);
        }
        Some(ClaimAnswer::Running {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            deadline: record.deadline,
        })
    }

    /// Returns whether `nonce` holds the key.
    #[must_use]
    pub fn holds(&self, key: KeyHash, nonce: Nonce) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| record.nonce == nonce)
    }

    /// Returns the entries of this table on keys that another one lacks.
    #[must_use]
    pub fn entries_missing_in(&self, other: &Self) -> Vec<Entry> {
        let missing = self
            .records
            .iter()
            .filter(|(key, _)| !other.records.contains_key(*key));
        let mut entries = Vec::new();
        for (key, record) in missing {
            entries.push(Entry::Claim(record.claim(*key)));
            entries.extend(record.outcome.as_ref().map(|outcome| Entry::Outcome {
                key: *key,
                nonce: record.nonce,
                outcome: outcome.as_ref().clone(),
            }));
        }
        entries
    }

    /// Removes the keys claimed before `horizon`.
    pub fn remove_before(&mut self, horizon: Timestamp) {
        self.records.retain(|_, record| record.at >= horizon);
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
