//! Command line of the test doubles, the demo and the experiments.

use almondcroft_standin::{
    demo, engine, experiment, keyed_calls, object_api, read_settings, service, vm_list,
    weight_store,
};
use almondcroftd::{Settings, block_on, init_threads, logging, run_until_signal};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::de::DeserializeOwned;
use std::path::PathBuf;
use std::process::ExitCode;

/// Number of executor threads.
const THREADS: usize = 4;

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in JSON");
    let process = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(settings.clone())
    };
    Command::new("almondcroft-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs test doubles of the systems around almondcroft")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(process("object-api", "Runs an object API"))
        .subcommand(process("engine", "Runs a model engine"))
        .subcommand(process("service", "Runs a plain service"))
        .subcommand(process("vm-list", "Runs a VM list"))
        .subcommand(process("weight-store", "Runs a weight store"))
        .subcommand(
            Command::new("demo")
                .about("Runs a whole deployment in one process and checks it")
                .arg(
                    Arg::new("keep")
                        .long("keep")
                        .action(ArgAction::SetTrue)
                        .help("Keep running afterwards and print URLs for curl"),
                ),
        )
        .subcommand(process("entry", "Runs an entry daemon"))
        .subcommand(experiment::command())
        .subcommand(experiment::table_command())
        .subcommand(keyed_calls::command())
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    if let Some(("experiment", matches)) = matches.subcommand() {
        return experiment::run(matches);
    }
    if let Some(("experiment-table", matches)) = matches.subcommand() {
        return experiment::run_table(matches);
    }
    if let Some(("entry", matches)) = matches.subcommand() {
        return entry(matches);
    }
    init_threads(THREADS);
    match matches.subcommand() {
        Some(("keyed-calls", matches)) => block_on(keyed_calls::run(matches)),
        Some(("demo", matches)) => block_on(demo::run(matches.get_flag("keep"))),
        Some((name, matches)) => {
            logging::init();
            serve(name, matches)
        }
        None => ExitCode::FAILURE,
    }
}

fn serve(name: &str, matches: &ArgMatches) -> ExitCode {
    let started = match name {
        "object-api" => settings(matches).and_then(|settings| {
            let (server, _) = object_api::start(settings).map_err(|error| error.to_string())?;
            Ok(server.url())
        }),
        "engine" => settings(matches).and_then(|settings| {
            let server = engine::start(settings).map_err(|error| error.to_string())?;
            Ok(server.url())
        }),
        "service" => settings(matches).and_then(|settings| {
            let (server, _) = service::start(settings).map_err(|error| error.to_string())?;
            Ok(server.url())
        }),
        "vm-list" => settings(matches).and_then(|settings| {
            let (server, _) = vm_list::start(&settings).map_err(|error| error.to_string())?;
            Ok(server.url())
        }),
        _ => settings(matches).and_then(|settings| {
            let server = weight_store::start(&settings).map_err(|error| error.to_string())?;
            Ok(server.url())
        }),
    };
    match started {
        Ok(url) => {
            println!("listening at {url}");
            block_on(std::future::pending())
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn entry(matches: &ArgMatches) -> ExitCode {
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    let bytes = std::fs::read(path).map_err(|error| error.to_string());
    let settings =
        bytes.and_then(|bytes| Settings::from_json(&bytes).map_err(|error| error.to_string()));
    match settings {
        Ok(settings) => run_until_signal(settings),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn settings<T: DeserializeOwned>(matches: &ArgMatches) -> Result<T, String> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .expect("the argument is required");
    read_settings(path)
}
