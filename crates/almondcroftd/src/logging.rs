//! Logging, one line of `key=value` pairs per event.

use logforth::append::Stderr;
use logforth::layout::LogfmtLayout;

/// Installs a logger that writes to standard error; later calls have no effect.
pub fn init() {
    let installed = logforth::core::builder()
        .dispatch(|dispatch| {
            dispatch.append(Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(installed))).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}
