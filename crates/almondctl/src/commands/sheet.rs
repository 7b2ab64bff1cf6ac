//! Commands that check, compare and apply sheets.

use super::output::Output;
use super::{create_operator, fail, file_path};
use crate::cli::{EXIT_CONFLICT, EXIT_DIFFERS, EXIT_INVALID_SHEET};
use almondcroft_core::config::Config;
use almondcroft_proto::sheet::{diff, parse};
use almondctl::ApplyError;
use clap::ArgMatches;
use std::path::Path;
use std::process::ExitCode;

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> ExitCode {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches, output),
        Some(("diff", matches)) => show_diff(matches, output).await,
        Some(("apply", matches)) => apply(matches, output).await,
        _ => ExitCode::SUCCESS,
    }
}

/// Reads a sheet; if it is invalid, prints its errors and returns the exit code.
fn read_sheet(path: &Path) -> Result<Config, ExitCode> {
    let bytes =
        std::fs::read(path).map_err(|error| fail(&format!("{}: {error}", path.display())))?;
    parse(&bytes).map_err(|errors| {
        for error in &errors {
            eprintln!("{}:{error}", path.display());
        }
        ExitCode::from(EXIT_INVALID_SHEET)
    })
}

fn check(matches: &ArgMatches, output: Output) -> ExitCode {
    let config = match read_sheet(file_path(matches)) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let counts = [
        config.contracts.len(),
        config.customers.len(),
        config.services.len(),
        config.targets.len(),
    ];
    let names = ["contracts", "customers", "services", "targets"];
    let value: serde_json::Map<String, serde_json::Value> = names
        .iter()
        .zip(counts)
        .map(|(name, count)| ((*name).to_owned(), count.into()))
        .collect();
    output.print(&value, &names, |_| {
        vec![counts.iter().map(usize::to_string).collect()]
    });
    ExitCode::SUCCESS
}

async fn show_diff(matches: &ArgMatches, output: Output) -> ExitCode {
    let mut config = match read_sheet(file_path(matches)) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let current = match create_operator(matches, "").current_config().await {
        Ok(current) => current,
        Err(error) => return fail(&error),
    };
    config.drained.clone_from(&current.drained);
    let changes = diff(&current, &config);
    output.print_changes(current.revision, &changes);
    if changes.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_DIFFERS)
    }
}

async fn apply(matches: &ArgMatches, output: Output) -> ExitCode {
    let config = match read_sheet(file_path(matches)) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let who = matches
        .get_one::<String>("who")
        .expect("the argument has a default");
    let expected_revision = matches.get_one::<u64>("expect").copied();
    match create_operator(matches, who)
        .apply(config, expected_revision)
        .await
    {
        Ok(applied) => {
            output.print_changes(applied.revision, &applied.changes);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            if let ApplyError::Conflict { changes, .. } = &error {
                for change in changes {
                    eprintln!("{change}");
                }
            }
            let conflict = matches!(
                error,
                ApplyError::Conflict { .. } | ApplyError::UnexpectedRevision { .. }
            );
            let code = if conflict {
                EXIT_CONFLICT
            } else {
                crate::cli::EXIT_FAILED
            };
            ExitCode::from(code)
        }
    }
}
