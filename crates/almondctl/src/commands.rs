//! Runs the commands.

mod logs;
mod output;
mod sheet;

use crate::cli::{EXIT_DIFFERS, EXIT_FAILED, command};
use almondcroft_core::config::hash_token;
use almondctl::{Operator, replay, status};
use clap::ArgMatches;
use clap_complete::{Shell, generate};
use output::Output;
use std::fs::File;
use std::io::{BufReader, Read};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs the command given by the arguments.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    let output = Output::from(matches);
    match matches.subcommand() {
        Some(("sheet", matches)) => sheet::run(matches, output).await,
        Some(("get", matches)) => print_config(matches).await,
        Some(("status", matches)) => show_status(matches, output).await,
        Some(("drain", matches)) => drain_target(matches, output).await,
        Some(("replay", matches)) => run_replay(matches, output),
        Some(("explain", matches)) => logs::run_explain(matches, output),
        Some(("summary", matches)) => logs::run_summary(matches, output),
        Some(("losses", matches)) => logs::run_losses(matches, output),
        Some(("token-hash", _)) => print_token_hash(),
        Some(("completions", matches)) => print_completions(matches),
        _ => {
            println!("almondctl {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

fn create_operator(matches: &ArgMatches, who: &str) -> Operator {
    let store = matches
        .get_one::<String>("store")
        .expect("the argument has a default");
    Operator::new(store, who)
}

fn file_path(matches: &ArgMatches) -> &PathBuf {
    matches
        .get_one::<PathBuf>("file")
        .expect("the argument is required")
}

fn fail(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_FAILED)
}

async fn print_config(matches: &ArgMatches) -> ExitCode {
    match create_operator(matches, "").current_config().await {
        Ok(config) => {
            let text = serde_json::to_string_pretty(&config);
            println!("{}", text.expect("a configuration serializes"));
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

async fn show_status(matches: &ArgMatches, output: Output) -> ExitCode {
    let status = status(create_operator(matches, "").store()).await;
    output.print(
        &status,
        &["vm", "revision", "age_s", "in_flight", "current"],
        |status| {
            status
                .vms
                .iter()
                .map(|row| {
                    vec![
                        row.vm.clone(),
                        row.revision.to_string(),
                        row.age_s.to_string(),
                        row.in_flight
                            .map_or_else(|| "no response".into(), |count| count.to_string()),
                        row.current.to_string(),
                    ]
                })
                .collect()
        },
    );
    if !status.store {
        eprintln!("the store does not respond");
    }
    if status.is_converged() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DIFFERS)
    }
}

async fn drain_target(matches: &ArgMatches, output: Output) -> ExitCode {
    let target = matches
        .get_one::<String>("target")
        .expect("the argument is required");
    let drained = !matches.get_flag("undo");
    match create_operator(matches, "operator")
        .drain(target, drained)
        .await
    {
        Ok(applied) => {
            output.print_changes(applied.revision, &applied.changes);
            ExitCode::SUCCESS
        }
        Err(error) => fail(&error),
    }
}

fn run_replay(matches: &ArgMatches, output: Output) -> ExitCode {
    let path = file_path(matches);
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) => return fail(&format!("{}: {error}", path.display())),
    };
    let report = match replay(BufReader::new(file)) {
        Ok(report) => report,
        Err(error) => return fail(&error),
    };
    let summary = serde_json::json!({
        "events": report.events,
        "decisions": report.decisions,
        "differences": report.differences.len(),
    });
    output.print(&summary, &["events", "decisions", "differences"], |_| {
        vec![vec![
            report.events.to_string(),
            report.decisions.to_string(),
            report.differences.len().to_string(),
        ]]
    });
    for difference in &report.differences {
        eprintln!(
            "line {}: recorded {:?}, replayed {:?}",
            difference.line, difference.recorded, difference.replayed
        );
    }
    if report.differences.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DIFFERS)
    }
}

fn print_token_hash() -> ExitCode {
    let mut text = String::new();
    if let Err(error) = std::io::stdin().read_to_string(&mut text) {
        return fail(&error);
    }
    println!("{}", hash_token(text.trim_end_matches(['\r', '\n'])));
    ExitCode::SUCCESS
}

fn print_completions(matches: &ArgMatches) -> ExitCode {
    let shell = matches
        .get_one::<Shell>("shell")
        .expect("the argument is required");
    generate(*shell, &mut command(), "almondctl", &mut std::io::stdout());
    ExitCode::SUCCESS
}
