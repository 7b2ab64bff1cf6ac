//! Questions to other VMs, whose answers say how old they are.

use crate::Timestamp;
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Questions that may be open at once; older ones count as lost.
const MAX_OPEN: usize = 4;

/// Remembers when each question was sent, and dates what the answers say.
///
/// An answer can lie unread for any time, in a queue or while a VM is suspended. What it says was
/// true its own age before it was written, and it was written after its question was sent; so it is
/// dated back from there, on the clock of the VM that asked.
///
/// ```
/// use almondcroft_core::gateway::Asks;
/// use std::time::Duration;
///
/// let second = Duration::from_secs(1);
/// let mut asks = Asks::default();
/// let nonce = asks.ask(second * 10, &mut rand::rng());
/// let asked = asks.answered(nonce).unwrap();
/// assert_eq!(asked.date(second * 2), second * 8);
/// assert!(asks.answered(nonce).is_none(), "an answer counts once");
/// ```
#[derive(Debug, Default)]
pub struct Asks {
    open: VecDeque<(u64, Timestamp)>,
}

impl Asks {
    /// Opens a question; returns the number that its answer must carry.
    pub fn ask(&mut self, now: Timestamp, random: &mut impl Rng) -> u64 {
        let nonce = random.random();
        self.open.push_back((nonce, now));
        while self.open.len() > MAX_OPEN {
            self.open.pop_front();
        }
        nonce
    }

    /// Closes the question of an answer, if it is open.
    pub fn answered(&mut self, nonce: u64) -> Option<Asked> {
        let at = self.open.iter().position(|(open, _)| *open == nonce)?;
        let (_, sent) = self.open.remove(at)?;
        Some(Asked { sent })
    }
}

/// Dates what the answer to one question says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asked {
    sent: Timestamp,
}

impl Asked {
    /// Returns a time at which what had this age in the answer was true.
    #[must_use]
    pub const fn date(self, age: Duration) -> Timestamp {
        self.sent.saturating_sub(age)
    }
}

#[cfg(test)]
mod tests;
