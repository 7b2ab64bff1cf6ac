//! Which requests a VM that stops still takes.

use super::Need;
use std::time::Duration;

/// Time before the end of the grace period by which answers are to be whole.
const END_MARGIN: Duration = Duration::from_millis(800);

/// Time after the begin of a stop by which the balancer sends callers elsewhere.
const HAND_OVER: Duration = Duration::from_millis(2_500);

/// Time in which a call to a plain service or a first token comes, with a wide margin.
const FIRST_TIME: Duration = Duration::from_millis(800);

/// Time for a token of output on a busy engine.
const TOKEN_TIME: Duration = Duration::from_millis(14);

/// Tells whether a VM that stops can still answer a request whole.
///
/// Callers still arrive while the balancer learns of the stop, and later where most VMs of a zone
/// stop at once. A generation that outlasts the grace period would be cut, so it is refused while it
/// can still run elsewhere: by its expected length at first, by its greatest length later.
///
/// ```
/// use almondcroft_core::gateway::{Need, takes_while_stopping};
/// use std::time::Duration;
///
/// let (grace, second) = (Duration::from_secs(8), Duration::from_secs(1));
/// let long = Need { prompt: 3_000, output: 900, prefilled: false };
/// assert!(!takes_while_stopping(long, 2_200, second, grace));
/// assert!(takes_while_stopping(Need::default(), 0, second * 5, grace));
/// ```
#[must_use]
pub fn takes_while_stopping(need: Need, most: u32, passed: Duration, grace: Duration) -> bool {
    let left = grace.saturating_sub(passed + END_MARGIN);
    let tokens = if passed < HAND_OVER {
        need.output
    } else {
        most
    };
    FIRST_TIME + TOKEN_TIME * tokens <= left
}

#[cfg(test)]
mod tests;
