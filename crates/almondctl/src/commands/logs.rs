//! Commands that read the logs of VMs.

use super::fail;
use super::output::Output;
use almondctl::logs::{
    ClassWorth, LogLine, LossRow, attribute_losses, explain, read_lines, summarize,
};
use clap::ArgMatches;
use serde_json::json;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

/// Reads the log files given as arguments, or standard input if there are none.
fn read_logs(matches: &ArgMatches) -> io::Result<Vec<LogLine>> {
    let files = matches.get_many::<PathBuf>("logs").unwrap_or_default();
    let mut lines = Vec::new();
    for path in files {
        let vm = path.file_stem().unwrap_or_default().to_string_lossy();
        let file = File::open(path).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        })?;
        lines.extend(read_lines(BufReader::new(file), &vm)?);
    }
    if matches.get_many::<PathBuf>("logs").is_none() {
        lines = read_lines(io::stdin().lock(), "-")?;
    }
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(lines)
}

/// Prints the log lines and the cause of one request.
pub(super) fn run_explain(matches: &ArgMatches, output: Output) -> ExitCode {
    let lines = match read_logs(matches) {
        Ok(lines) => lines,
        Err(error) => return fail(&error),
    };
    let request = matches.get_one::<String>("request");
    let request = request.expect("the argument is required");
    let Some(explanation) = explain(&lines, request) else {
        return fail(&format!("no log line mentions request {request}"));
    };
    if output == Output::Json {
        let lines = explanation.lines.iter().map(|line| (&line.vm, &line.text));
        let lines: Vec<_> = lines.collect();
        let explanation = json!({"request": request, "cause": explanation.cause, "lines": lines});
        println!("{explanation}");
        return ExitCode::SUCCESS;
    }
    for line in &explanation.lines {
        println!("{:<24} {}", line.vm, line.text);
    }
    println!("\n{}", explanation.cause);
    ExitCode::SUCCESS
}

/// Prints the number of requests by class, status and cause.
pub(super) fn run_summary(matches: &ArgMatches, output: Output) -> ExitCode {
    let lines = match read_logs(matches) {
        Ok(lines) => lines,
        Err(error) => return fail(&error),
    };
    let summary = summarize(&lines);
    let header = ["class", "status", "requests", "cause", "example"];
    output.print(&summary, &header, |summary| {
        let row = |row: &almondctl::logs::SummaryRow| {
            vec![
                row.class.clone(),
                row.status.clone(),
                row.count.to_string(),
                row.cause.to_string(),
                row.example.clone(),
            ]
        };
        summary.rows.iter().map(row).collect()
    });
    if output == Output::Table {
        println!(
            "\n{} failed or late, {} of them explained; {} log lines dropped",
            summary.failed, summary.explained, summary.dropped
        );
    }
    ExitCode::SUCCESS
}

/// Prints the worth that was lost, by class and cause.
pub(super) fn run_losses(matches: &ArgMatches, output: Output) -> ExitCode {
    let lines = match read_logs(matches) {
        Ok(lines) => lines,
        Err(error) => return fail(&error),
    };
    let worths = matches.get_many::<(String, ClassWorth)>("worth");
    let worths = worths.unwrap_or_default().cloned().collect();
    let losses = attribute_losses(&lines, &worths);
    let header = [
        "class",
        "orders",
        "lost",
        "of class",
        "avoidable",
        "cause",
        "example",
    ];
    output.print(&losses, &header, |losses| {
        let row = |row: &LossRow| {
            vec![
                row.class.clone(),
                row.orders.to_string(),
                format!("{:.1}", row.lost),
                format!("{:.3}", row.fraction),
                if row.avoidable { "yes" } else { "no" }.to_owned(),
                row.cause.to_string(),
                row.example.clone(),
            ]
        };
        losses.rows.iter().map(row).collect()
    });
    if output == Output::Table {
        println!(
            "\n{:.1} of {:.1} lost, {:.1} of it to unknown causes",
            losses.lost, losses.owed, losses.unknown
        );
    }
    ExitCode::SUCCESS
}
