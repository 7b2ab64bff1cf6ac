//! Era of the platform's store, which rises when the store is restored from an older copy.

use crate::Era;

/// How the era that a response states compares with the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraCheck {
    /// It is the known era, or the first one.
    Current,
    /// It is a later one: the store was restored since the known one.
    Risen,
    /// It is an earlier one: the response is from before the restoration.
    Outdated,
}

/// Tracks the newest era that is known; no response lowers it.
///
/// ```
/// use almondcroft_core::gateway::{EraCheck, StoreEra};
///
/// let mut era = StoreEra::default();
/// assert_eq!(era.observe(3), EraCheck::Current);
/// assert_eq!(era.observe(4), EraCheck::Risen);
/// assert_eq!(era.observe(3), EraCheck::Outdated);
/// assert_eq!(era.known(), Some(4));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreEra {
    known: Option<Era>,
}

impl StoreEra {
    /// Records the era that a response states.
    pub fn observe(&mut self, era: Era) -> EraCheck {
        match self.known {
            Some(known) if era < known => EraCheck::Outdated,
            Some(known) if era > known => {
                self.known = Some(era);
                EraCheck::Risen
            }
            _ => {
                self.known = Some(era);
                EraCheck::Current
            }
        }
    }

    /// Returns the newest era that is known.
    #[must_use]
    pub const fn known(&self) -> Option<Era> {
        self.known
    }
}
