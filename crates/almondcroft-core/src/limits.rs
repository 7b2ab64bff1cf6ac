//! Limits on concurrent requests of customers and on retries.

mod concurrency;
mod retry;

pub use concurrency::ConcurrencyLimiter;
pub use retry::RetryBudget;
