//! Protection against a return to an earlier revision.

use super::Config;
use crate::Revision;
use std::sync::Arc;

/// Holds the active configuration and rejects lower revisions.
///
/// Stale reads, slow peers and restored stores can all supply an old revision, which never replaces
/// a newer one. Requests in flight keep the `Arc` that they started with.
///
/// ```
/// use almondcroft_core::config::{Config, RevisionGate};
///
/// let mut gate = RevisionGate::default();
/// assert!(gate.offer(Config { revision: 2, ..Config::default() }));
/// assert!(!gate.offer(Config { revision: 1, ..Config::default() }));
/// assert_eq!(gate.revision(), 2);
/// ```
#[derive(Debug, Default)]
pub struct RevisionGate {
    current: Arc<Config>,
}

impl RevisionGate {
    /// Activates `config` if its revision is higher than the active one; returns whether it did.
    pub fn offer(&mut self, config: Config) -> bool {
        let newer = config.revision > self.current.revision;
        if newer {
            self.current = Arc::new(config);
        }
        newer
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn current(&self) -> Arc<Config> {
        Arc::clone(&self.current)
    }

    /// Returns the active revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current.revision
    }
}

#[cfg(test)]
mod tests;
