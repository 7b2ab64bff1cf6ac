//! Era of the platform's store, which rises when the store is restored from an older copy.

use crate::{Era, Timestamp};

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
/// use std::time::Duration;
///
/// let mut era = StoreEra::default();
/// let now = Duration::from_secs(1);
/// assert_eq!(era.observe(3, now), EraCheck::Current);
/// assert_eq!(era.observe(4, now), EraCheck::Risen);
/// assert_eq!(era.observe(3, now), EraCheck::Outdated);
/// assert_eq!(era.known(), Some(4));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreEra {
    known: Option<Era>,
    risen_at: Option<Timestamp>,
}

impl StoreEra {
    /// Records the era that a response states.
    pub fn observe(&mut self, era: Era, now: Timestamp) -> EraCheck {
        match self.known {
            Some(known) if era < known => EraCheck::Outdated,
            Some(known) if era > known => {
                self.known = Some(era);
                self.risen_at = Some(now);
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

    /// Returns the time at which the era was seen to rise.
    #[must_use]
    pub const fn risen_at(&self) -> Option<Timestamp> {
        self.risen_at
    }
}
