//! Admission of requests during shutdown.

use super::{MAX_SOUND_SILENCE, Need};
use std::time::Duration;

/// Time before the end of the grace period by which responses must be complete; the process stops
/// waiting for them 0.3 s before it.
const COMPLETION_MARGIN: Duration = Duration::from_millis(400);

/// Time after the start of a shutdown by which the load balancer sends callers elsewhere.
const BALANCER_DELAY: Duration = Duration::from_millis(2_500);

/// Time for the response of a plain service or for the first token.
const RESPONSE_TIME: Duration = Duration::from_millis(400);

/// Time to prefill a token of the prompt on an engine that runs other generations.
const PREFILL_TOKEN_TIME: Duration = Duration::from_micros(143);

/// Time per output token that is assumed while none is known.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(14);

/// Decode time per token on a busy engine, as a multiple of the time on an engine that does little
/// else.
const BUSY_FACTOR: f64 = 1.3;

/// Returns whether a VM that shuts down can still complete a request, also if its target is silent for a while first.
///
/// Requests still arrive until the load balancer notices the shutdown, and later if most VMs of a zone
/// shut down at once. A generation that outlasts the grace period would be cut off, so it is refused
/// while it can still run elsewhere. The estimate uses its expected length until the load balancer has
/// switched to other VMs, and its maximum length (`max_output`, in tokens) afterwards.
/// `token_time` is the decode time per token on an engine that does little else, if it is known.
///
/// An engine may be slower than any estimate, and a stream that has started cannot be answered otherwise at the end.
/// Once the load balancer has switched, a stream is therefore admitted only if its deadline, which is `stream_left`
/// away, comes before the end. `stream_left` is `None` for other responses.
///
/// ```
/// use almondcroft_core::gateway::{Need, admits_during_shutdown};
/// use std::time::Duration;
///
/// let (grace, second) = (Duration::from_secs(8), Duration::from_secs(1));
/// let long = Need { prompt: 3_000, output: 900, prefilled: false };
/// assert!(!admits_during_shutdown(long, 2_200, None, Some(second * 39), second, grace));
/// assert!(admits_during_shutdown(Need::default(), 0, None, None, second * 5, grace));
/// ```
#[must_use]
pub fn admits_during_shutdown(
    need: Need,
    max_output: u32,
    token_time: Option<Duration>,
    stream_left: Option<Duration>,
    elapsed: Duration,
    grace: Duration,
) -> bool {
    let left = grace.saturating_sub(elapsed + COMPLETION_MARGIN);
    let has_switched = elapsed >= BALANCER_DELAY;
    if has_switched && stream_left.is_some_and(|time| time > left) {
        return false;
    }
    let tokens = if has_switched {
        max_output
    } else {
        need.output
    };
    let token_time = token_time.map_or(DEFAULT_TOKEN_TIME, |time| time.mul_f64(BUSY_FACTOR));
    let start_time = MAX_SOUND_SILENCE.max(PREFILL_TOKEN_TIME * need.prefill_tokens());
    start_time + RESPONSE_TIME + token_time * tokens <= left
}

#[cfg(test)]
mod tests;
