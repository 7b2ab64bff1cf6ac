//! Executor and timers.

use async_global_executor::GlobalExecutorConfig;
use std::{future::Future, time::Duration};

/// Starts the executor with a fixed number of threads; later calls have no effect.
pub fn init_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}

/// Runs a future to completion on the calling thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_global_executor::block_on(future)
}

/// Runs a future to completion in the background.
pub fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(future).detach();
}

/// Waits for a duration.
pub async fn sleep(time: Duration) {
    smol::Timer::after(time).await;
}

/// Returns the output of a future, or `None` if it takes longer than `limit`.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let mut future = std::pin::pin!(future);
    // Polling first avoids the cost of a timer for futures that are ready at once.
    if let Some(output) = futures_lite::future::poll_once(&mut future).await {
        return Some(output);
    }
    let output = async { Some(future.await) };
    let timeout = async {
        sleep(limit).await;
        None
    };
    futures_lite::future::or(output, timeout).await
}
