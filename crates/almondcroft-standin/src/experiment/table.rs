//! Runs many experiments and reports one table and one image for each workload.

use super::plot::{Point, plot};
use super::{Metrics, PolicyName, Setup, Workload, measure};
use almondcroft_core::router::Policy;
use clap::{Arg, ArgMatches, Command, value_parser};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Offered loads, relative to the engines' capacity.
const LOADS: [f64; 5] = [0.6, 0.9, 1.0, 1.1, 1.5];

const POLICIES: [PolicyName; 5] = [
    PolicyName::Router(Policy::RoundRobin),
    PolicyName::Router(Policy::LeastInFlight),
    PolicyName::Router(Policy::TwoChoices),
    PolicyName::Router(Policy::Almondcroft),
    PolicyName::Oracle,
];

/// Time during which requests arrive.
const ARRIVAL_DURATION: Duration = Duration::from_mins(10);

/// A column: its title, its number of decimal places and the metric that it shows.
type Column = (&'static str, usize, fn(&Metrics) -> f64);

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const COLUMNS: [Column; 11] = [
    ("stall p50 ms", 0, |metrics| metrics.stall_p50_ms),
    ("stall p99 ms", 0, |metrics| metrics.stall_p99_ms),
    ("preemptions per 1,000", 1, |metrics| {
        metrics.preemptions_per_1000
    }),
    ("gap p95 ms", 1, |metrics| metrics.gap_p95_ms),
    ("gap p99 ms", 1, |metrics| metrics.gap_p99_ms),
    ("urgent first token p95 ms", 0, |metrics| {
        metrics.urgent_first_token_p95_ms
    }),
    ("worth/s", 1, |metrics| metrics.worth_per_s),
    ("refused", 0, |metrics| metrics.refused as f64),
    ("late", 0, |metrics| metrics.late as f64),
    ("least served", 2, |metrics| metrics.least_served),
    ("link MB", 0, |metrics| metrics.link_bytes as f64 / 1e6),
];

/// Returns the `experiment-table` subcommand.
#[must_use]
pub fn table_command() -> Command {
    Command::new("experiment-table")
        .about("Runs all policies at several loads; prints Markdown tables and writes charts")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("10")
                .value_parser(value_parser!(u64).range(1..=100)),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..=64)),
        )
        .arg(
            Arg::new("plots")
                .long("plots")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for one SVG file per workload"),
        )
}

/// Runs the experiments that the arguments describe.
#[must_use]
pub fn run_table(matches: &ArgMatches) -> ExitCode {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    for workload in [Workload::LunchHour, Workload::MonthEnd] {
        let mut rows = Vec::new();
        for load in LOADS {
            for policy in POLICIES {
                let setups = (1..=number("seeds")).map(|seed| {
                    Setup::new(workload, policy)
                        .load(load)
                        .seed(seed)
                        .duration(ARRIVAL_DURATION)
                });
                rows.push(setups.collect::<Vec<_>>());
            }
        }
        let results = measure_all(&rows, number("threads"));
        print_table(workload, &results);
        let Some(folder) = matches.get_one::<PathBuf>("plots") else {
            continue;
        };
        let file = folder.join(format!("{}.svg", workload.name()));
        if let Err(error) = plot(&file, workload.name(), &points(&results)) {
            eprintln!("{}: {error}", file.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Measures each row's setups on several threads and keeps their order.
fn measure_all(rows: &[Vec<Setup>], threads: u64) -> Vec<Vec<Metrics>> {
    let jobs: Vec<&Setup> = rows.iter().flatten().collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::SeqCst);
                    let Some(setup) = jobs.get(index) else {
                        return;
                    };
                    let metrics = measure(setup);
                    done.lock()
                        .expect("no thread panics")
                        .push((index, metrics));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no thread panics");
    done.sort_by_key(|(index, _)| *index);
    let mut metrics = done.into_iter().map(|(_, metrics)| metrics);
    rows.iter()
        .map(|row| metrics.by_ref().take(row.len()).collect())
        .collect()
}

fn print_table(workload: Workload, results: &[Vec<Metrics>]) {
    println!("\n## {}\n", workload.name());
    println!("Mean over the seeds (lowest–highest).\n");
    let titles: Vec<&str> = COLUMNS.iter().map(|(title, _, _)| *title).collect();
    println!("| load | policy | {} |", titles.join(" | "));
    println!("|---|---|{}", "---|".repeat(COLUMNS.len()));
    for row in results {
        let cells: Vec<String> = COLUMNS.iter().map(|column| cell(row, column)).collect();
        println!(
            "| {} | {} | {} |",
            row[0].load,
            row[0].policy,
            cells.join(" | ")
        );
    }
}

fn mean(row: &[Metrics], metric: fn(&Metrics) -> f64) -> f64 {
    let count = u32::try_from(row.len()).unwrap_or(u32::MAX);
    row.iter().map(metric).sum::<f64>() / f64::from(count)
}

fn cell(row: &[Metrics], (_, digits, metric): &Column) -> String {
    let low = row.iter().map(metric).fold(f64::INFINITY, f64::min);
    let high = row.iter().map(metric).fold(f64::NEG_INFINITY, f64::max);
    let mean = mean(row, *metric);
    format!("{mean:.digits$} ({low:.digits$}–{high:.digits$})")
}

fn points(results: &[Vec<Metrics>]) -> Vec<Point> {
    results
        .iter()
        .map(|row| Point {
            policy: row[0].policy,
            load: row[0].load,
            stall: mean(row, |metrics| metrics.stall_p99_ms / 1000.0),
            preemptions: mean(row, |metrics| metrics.preemptions_per_1000),
            worth: mean(row, |metrics| metrics.worth_per_s),
        })
        .collect()
}
