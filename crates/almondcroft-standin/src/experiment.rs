//! Measures routing policies in virtual time.

use clap::{ArgMatches, Command};
use std::process::ExitCode;

/// Returns the arguments.
#[must_use]
pub fn command() -> Command {
    Command::new("experiment").about("Measures a routing policy in virtual time")
}

/// Runs an experiment.
#[must_use]
pub fn run(_matches: &ArgMatches) -> ExitCode {
    ExitCode::FAILURE
}
