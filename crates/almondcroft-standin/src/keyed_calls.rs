//! Load test of calls that may not be repeated, with real processes that are killed and paused.

mod deployment;
mod load;

pub use deployment::ProcessDeployment;
pub use load::{KeyedCallReport, KeyedCallSetup};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::process::ExitCode;

/// Returns the `keyed-calls` subcommand.
#[must_use]
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("keyed-calls")
        .about(
            "Sends calls that may not be repeated through real daemons and checks their executions",
        )
        .arg(number("vms", "3", "Number of entry VMs"))
        .arg(number("calls", "10000", "Number of keyed calls"))
        .arg(number("workers", "64", "Number of concurrent callers"))
        .arg(number(
            "interval-ms",
            "25",
            "Shortest time between two writes of a claim shard, in milliseconds",
        ))
        .arg(number("shards", "8", "Number of claim shards"))
        .arg(number(
            "seed",
            "1",
            "Random seed of the faults and of the callers' choices of a VM",
        ))
        .arg(
            Arg::new("faults")
                .long("faults")
                .action(ArgAction::SetTrue)
                .help("Kill and pause daemons and lose responses of the store during the run"),
        )
}

/// Runs the calls and prints the report in JSON.
pub async fn run(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let setup = KeyedCallSetup {
        vms: number("vms"),
        calls: number("calls"),
        workers: number("workers"),
        interval_ms: number("interval-ms"),
        shards: number("shards"),
        targets: 1,
        seed: number("seed"),
        faults: matches.get_flag("faults"),
    };
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    match load::run(&setup, &program).await {
        Ok(report) => {
            println!("{}", report.to_json());
            if report.is_sound() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the calls with processes that run `program`.
///
/// # Errors
///
/// Returns a message if the processes do not start or cannot be controlled.
pub async fn measure(
    setup: &KeyedCallSetup,
    program: &std::path::Path,
) -> Result<KeyedCallReport, String> {
    load::run(setup, program).await
}
