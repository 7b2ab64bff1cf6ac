//! The operators' command line.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    almondcroftd::block_on(commands::run(&matches))
}
