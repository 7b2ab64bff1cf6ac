//! The entry daemon's program.

use almondcroftd::{Daemon, Settings, block_on, init_threads, logging};
use clap::{Arg, ArgAction, Command, value_parser};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for settings that are at fault.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 1;
/// Exit code for a stop that cut requests.
const EXIT_CUT: u8 = 3;

fn command() -> Command {
    Command::new("almondcroftd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands between callers and targets")
        .after_help(
            "Exit codes: 0 stopped with everything finished; 1 could not start; 2 settings at \
             fault; 3 stopped and cut requests in flight",
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
                .help("Only check the settings"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Record routing events, one JSON object a line, without prompts"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    let mut settings = match read(path) {
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
    logging::init();
    init_threads(settings.threads);
    run(settings)
}

fn read(path: &PathBuf) -> Result<Settings, String> {
    let bytes = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Settings::from_json(&bytes).map_err(|error| error.to_string())
}

fn run(settings: Settings) -> ExitCode {
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("cannot take signals: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let (sender, receiver) = async_channel::unbounded();
    std::thread::spawn(move || {
        for signal in signals.forever() {
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
            daemon.cut().await;
            false
        };
        if futures_lite::future::or(daemon.stop(), second).await {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(EXIT_CUT)
        }
    })
}
