//! Signals that the process handles.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// Stop within the grace period.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Handlers of SIGTERM, SIGINT and SIGHUP, to be installed before anything else is done.
///
/// A signal that arrives while the program starts is kept until it is up.
#[derive(Debug)]
pub struct SignalHandlers {
    signals: Signals,
}

impl SignalHandlers {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn install() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Self { signals })
    }

    /// Waits for the next signal; a failure to receive signals counts as a request to stop.
    pub(crate) async fn next(&mut self) -> SignalRequest {
        match self.signals.next().await {
            Some(Ok(Signal::Hup)) => SignalRequest::Reload,
            _ => SignalRequest::Stop,
        }
    }
}
