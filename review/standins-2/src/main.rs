//! Cases of the second review: each plays one disruption against the project's program, and checks one rule.
//!
//! `review-standins-2 CASE RECORD` writes what was sent, answered and run to the file RECORD, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod desk;
mod engine;
mod http;
mod json;
mod record;
mod site;
mod small_window;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = PathBuf::from(record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = std::panic::catch_unwind(|| cases::play(&case, &record, trouble));
    match played {
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Err(reason)) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}
