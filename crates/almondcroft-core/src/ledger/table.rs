//! The state that a shard's log amounts to.

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
    outcome: Option<Box<Outcome>>,
}

/// Remembers for each key which attempt holds it and what came of it.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    records: HashMap<KeyHash, Record>,
}

impl ClaimTable {
    /// Applies an entry of the log; the first claim of a key wins.
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
            outcome: None,
        });
    }

    fn held_by(&mut self, key: KeyHash, nonce: Nonce) -> Option<&mut Record> {
        self.records
            .get_mut(&key)
            .filter(|record| record.nonce == nonce)
    }

    /// Answers a claim from what is known, or returns `None` when the key is free.
    #[must_use]
    pub fn judge(&self, claim: &Claim) -> Option<ClaimAnswer> {
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

    /// Forgets the keys claimed before `horizon`.
    pub fn forget_before(&mut self, horizon: Timestamp) {
        self.records.retain(|_, record| record.at >= horizon);
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
