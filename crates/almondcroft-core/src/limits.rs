//! Bounds on what customers send and on what attempts are repeated.

mod concurrency;
mod retry;

pub use concurrency::Concurrency;
pub use retry::RetryBudget;
