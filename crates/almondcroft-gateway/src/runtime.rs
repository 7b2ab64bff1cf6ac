//! The executor and timers.

use futures_lite::{FutureExt, future};
use smol::Executor;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

/// Delay before a task that ended unexpectedly is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs a future to completion on this thread, together with spawned tasks.
///
/// Further threads may call this function with a pending future to share the tasks.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(EXECUTOR.run(future))
}

/// Spawns a future as a background task.
///
/// A panic ends this task only, as the executor would let it do without a log line.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    let guarded = async move {
        if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
            let text = panic.downcast_ref::<&str>().copied();
            let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
            log::error!(event = "task-panicked", reason = text.unwrap_or("-"); "");
        }
    };
    EXECUTOR.spawn(guarded).detach();
}

/// Runs a task that must not end, and starts it again after a delay if it panics.
pub(crate) fn spawn_forever<F: Future<Output = ()> + Send + 'static>(
    start: impl Fn() -> F + Send + Sync + 'static,
) {
    spawn(async move {
        loop {
            let ended = AssertUnwindSafe(start()).catch_unwind().await;
            log::error!(event = "task-restarted", panicked = ended.is_err(); "");
            sleep(RESTART_DELAY).await;
        }
    });
}

/// Waits for a duration.
pub(crate) async fn sleep(time: Duration) {
    smol::Timer::after(time).await;
}

/// Returns the output of a future, or `None` if it takes longer than `limit`.
pub(crate) async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    // Polls once first: for a future that is ready at once, the timer would cost more than the
    // poll.
    if let Some(output) = future::poll_once(&mut future).await {
        return Some(output);
    }
    let output = async { Some(future.await) };
    let timeout = async {
        sleep(limit).await;
        None
    };
    future::or(output, timeout).await
}
