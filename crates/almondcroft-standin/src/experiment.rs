//! Measures routing policies in virtual time.
//!
//! The production router runs against simulated engines, one router per VM, each with its own stale
//! view. Networks, processes, the store and crashes of VMs are not modelled.

mod capacity;
mod metrics;
mod plot;
mod setup;
mod simulation;
mod table;
mod workload;

pub use metrics::Metrics;
pub use setup::{PolicyName, Setup};
pub use table::{run_table, table_command};
pub use workload::{Arrival, Workload};

use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs one experiment and returns its metrics.
#[must_use]
pub fn measure(setup: &Setup) -> Metrics {
    simulation::Simulation::new(setup).run()
}

/// Returns the `experiment` subcommand.
#[must_use]
pub fn command() -> Command {
    Command::new("experiment")
        .about("Measures a routing policy in virtual time; the same arguments give the same output")
        .arg(
            Arg::new("workload")
                .required(true)
                .value_parser(["lunch-hour", "month-end"]),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value("almondcroft")
                .value_parser([
                    "almondcroft",
                    "round-robin",
                    "least-in-flight",
                    "two-choices",
                    "oracle",
                ]),
        )
        .arg(
            number_arg("load", "1.0")
                .value_parser(value_parser!(f64))
                .help("Offered load, relative to the engines' capacity"),
        )
        .arg(number_arg("vms", "7").value_parser(value_parser!(u32).range(1..=64)))
        .arg(number_arg("report-lag-ms", "500").value_parser(value_parser!(u64).range(0..=60_000)))
        .arg(number_arg("seed", "1").value_parser(value_parser!(u64)))
        .arg(number_arg("seconds", "600").value_parser(value_parser!(u64).range(5..=3_600)))
        .arg(
            Arg::new("options")
                .long("options")
                .value_name("JSON")
                .help("Router options that differ from the defaults"),
        )
        .arg(
            Arg::new("record")
                .long("record")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Record the routing events of the first VM"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["json", "table"])
                .default_value("table"),
        )
}

fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default)
}

/// Runs the experiment that the arguments describe.
#[must_use]
pub fn run(matches: &ArgMatches) -> ExitCode {
    let setup = match Setup::from_matches(matches) {
        Ok(setup) => setup,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::FAILURE;
        }
    };
    let metrics = measure(&setup);
    if matches.get_one::<String>("output").map(String::as_str) == Some("json") {
        println!("{}", metrics.to_json());
    } else {
        println!("{metrics}");
    }
    ExitCode::SUCCESS
}
