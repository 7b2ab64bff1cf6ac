//! Stand-ins that follow the users' pages, for the scripts of the third review.

pub mod client;
pub mod gateway;
pub mod http;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod store;

use std::time::Duration;

/// Sleeps for a number of milliseconds.
pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
