//! The executor and timers.

use futures_lite::future;
use smol::Executor;
use std::future::Future;
use std::time::Duration;

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs a future to completion on this thread, together with spawned tasks.
///
/// Further threads may call this function with a pending future to share the tasks.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    smol::block_on(EXECUTOR.run(future))
}

/// Spawns a future as a background task.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    EXECUTOR.spawn(future).detach();
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
