//! Stand-ins and scripts of the review's cases; `review-cases CASE RECORD` plays a case.

mod engine;
mod gateway;
mod http;
mod link;
mod moved;
mod poison;
mod record;
mod runner;
mod spoiled;
mod store;
mod uploads;
mod watch;

use record::Record;
use std::process::exit;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE RECORD");
        exit(2);
    };
    if std::env::var("REVIEW_PIDS").is_ok() {
        std::thread::spawn(end_late);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = std::sync::Arc::new(Record::create(path));
    record.line(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let outcome = match case.as_str() {
        "uploads" => uploads::play(&record, trouble),
        "moved" => moved::play(&record, trouble),
        "spoiled" => spoiled::play(&record, trouble),
        "poison" => poison::play(&record, trouble),
        "watch" => watch::play(&record, trouble),
        _ => Outcome::NotRun,
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held", 0),
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    exit(code);
}

/// Has review/play.sh end a case that hangs, and what it has started.
fn end_late() {
    std::thread::sleep(std::time::Duration::from_secs(110));
    let parent = std::os::unix::process::parent_id().to_string();
    let _ = std::process::Command::new("kill")
        .args(["-TERM", &parent])
        .status();
}
