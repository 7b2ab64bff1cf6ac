//! What targets stated about themselves, kept while their entries are missing.
//!
//! An entry can disappear and be written again while its target runs on, for example if its heartbeats
//! were lost. What the target asked for still binds then, as long as its incarnation is the same.

use super::Fleet;
use super::target_state::TargetState;
use super::target_statements::TargetStatements;
use crate::{TargetId, Timestamp};

/// The statements of a removed target, with its incarnation.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetainedStatements {
    incarnation: u64,
    statements: TargetStatements,
}

impl From<&TargetState> for RetainedStatements {
    fn from(state: &TargetState) -> Self {
        Self {
            incarnation: state.entry.incarnation,
            statements: state.statements,
        }
    }
}

impl Fleet {
    /// Removes the targets that a predicate does not keep, and retains what they stated.
    pub(super) fn retain_targets(&mut self, keep: impl Fn(&TargetState) -> bool) {
        let removed = self.targets.extract_if(.., |_, state| !keep(state));
        for (target, state) in removed {
            self.retained_statements
                .insert(target, RetainedStatements::from(&state));
        }
    }

    /// Removes one target, and retains what it stated.
    pub(super) fn remove_state(&mut self, target: &str) {
        if let Some((target, state)) = self.targets.remove_entry(target) {
            self.retained_statements
                .insert(target, RetainedStatements::from(&state));
        }
    }

    /// Returns what the present incarnation of a new target stated before its entry disappeared, if it
    /// did.
    pub(super) fn take_statements(
        &mut self,
        target: &TargetId,
        incarnation: u64,
    ) -> TargetStatements {
        let retained = self.retained_statements.remove(target);
        let retained = retained.filter(|retained| retained.incarnation == incarnation);
        retained.map_or_else(TargetStatements::default, |retained| retained.statements)
    }

    pub(super) fn expire_statements(&mut self, now: Timestamp) {
        self.retained_statements
            .retain(|_, retained| retained.statements.binds(now));
    }
}
