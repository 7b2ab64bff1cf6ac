//! Command line of the entry daemon.

use almondcroftd::{Settings, run_until_signal};
use clap::{Arg, ArgAction, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

fn command() -> Command {
    Command::new("almondcroftd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests from callers to targets")
        .after_help(
            "Exit codes: 0 stopped after all requests finished; 1 could not start; 2 invalid \
             settings; 3 stopped and aborted requests in flight",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Record routing events, one JSON object per line, without prompts"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    let mut settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    if let Some(record) = matches.get_one::<PathBuf>("record") {
        settings.record = Some(record.clone());
    }
    run_until_signal(settings)
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Settings::from_json(&bytes).map_err(|error| error.to_string())
}
