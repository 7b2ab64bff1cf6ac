//! Runs the daemon as a process until it receives a signal.

use crate::{Daemon, Settings, block_on, init_threads, logging};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;

/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 1;
/// Exit code for a stop that aborted requests.
const EXIT_ABORTED: u8 = 3;

/// Runs the daemon until SIGTERM or SIGINT; a second signal aborts the requests in flight.
///
/// SIGHUP changes nothing, as the configuration is read from the store whenever it changes there.
///
/// Prints the address that it listens at. Returns 0 if all requests in flight finished, 1 if the
/// daemon could not start, and 3 if requests were aborted.
#[must_use]
pub fn run_until_signal(settings: Settings) -> ExitCode {
    logging::init();
    init_threads(settings.threads);
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot install signal handlers: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let (sender, receiver) = async_channel::unbounded();
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                log::info!(event = "sighup"; "the store's configuration is applied without a signal");
                continue;
            }
            if sender.send_blocking(signal).is_err() {
                return;
            }
        }
    });
    block_on(async move {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(EXIT_START);
            }
        };
        println!("listening at http://{}", daemon.address());
        let _ = receiver.recv().await;
        let second = async {
            let _ = receiver.recv().await;
            daemon.abort_requests().await;
            false
        };
        if futures_lite::future::or(daemon.stop(), second).await {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_ABORTED)
        }
    })
}
