//! A monotonic clock that includes suspensions of the VM.

use almondcroft_core::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the VM booted, including time for which it was suspended.
///
/// Deadlines must also expire while the VM is suspended; the time of day is unsuitable because it
/// may jump.
#[must_use]
pub(crate) fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the time of day since 1970, which may jump; only for what outlives a process.
#[must_use]
pub(crate) fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}
