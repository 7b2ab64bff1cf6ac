//! Position in the history of the platform's store.

use crate::{Era, Revision};

/// Orders the states of the store.
///
/// A store that is restored from an older copy begins a new era, in which revisions that were already
/// used are given out again. A lower revision of a later era is therefore newer.
///
/// ```
/// use almondcroft_core::gateway::StorePosition;
///
/// let before = StorePosition { era: 1, revision: 530 };
/// let restored = StorePosition { era: 2, revision: 500 };
/// assert!(restored > before);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct StorePosition {
    /// The era.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}
