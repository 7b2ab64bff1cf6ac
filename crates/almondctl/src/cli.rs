//! Command-line arguments and exit codes.

use almondctl::logs::ClassWorth;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::path::PathBuf;

/// Exit code if the command failed.
pub(crate) const EXIT_FAILED: u8 = 1;
/// Exit code if a sheet has errors.
pub(crate) const EXIT_INVALID_SHEET: u8 = 3;
/// Exit code if another operator's apply came first, or the accepted revision is not the expected
/// one.
pub(crate) const EXIT_CONFLICT: u8 = 4;
/// Exit code if the deployment is not up to date, or a comparison finds differences.
pub(crate) const EXIT_DIFFERS: u8 = 5;

const EXIT_CODES: &str = "Exit codes: 0 success; 1 failure; 2 invalid arguments; 3 errors in the \
                          sheet; 4 conflict with another operator or unexpected revision; 5 \
                          deployment not up to date or differences found";

pub(crate) fn command() -> Command {
    Command::new("almondctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates an almondcroft deployment")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("store")
                .long("store")
                .global(true)
                .value_name("URL")
                .default_value("http://127.0.0.1:9000")
                .help("Base URL of the object API"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(["json", "table"])
                .default_value("table")
                .help("Output format"),
        )
        .subcommand(sheet_command())
        .subcommand(Command::new("get").about("Prints the accepted configuration"))
        .subcommand(
            Command::new("status")
                .about("Shows the revision each VM runs; exits with 5 unless all are up to date"),
        )
        .subcommand(drain_command())
        .subcommand(
            Command::new("replay")
                .about("Replays a recorded trace; exits with 5 if a decision differs")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("explain")
                .about("Shows the log lines of one request and the cause of its outcome")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .value_name("REQUEST")
                        .help("Request id, as returned in the x-request-id header"),
                )
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("summary")
                .about("Counts the requests in the logs of VMs by class, status and cause")
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("losses")
                .about("Attributes the worth lost in the logs of VMs to causes")
                .arg(
                    Arg::new("worth")
                        .long("worth")
                        .value_name("CLASS=WORTH[,LATE]")
                        .action(ArgAction::Append)
                        .value_parser(parse_worth)
                        .help(
                            "Worth of a mean answer of a class, on time and late; \
                             1 and 0.15 for other classes",
                        ),
                )
                .arg(logs_arg()),
        )
        .subcommand(
            Command::new("token-hash")
                .about("Reads a token from standard input and prints its SHA-256 for the sheet"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints shell completions")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
        .subcommand(Command::new("version").about("Prints the version"))
}

fn sheet_command() -> Command {
    Command::new("sheet")
        .about("Checks, compares and applies the planners' sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a sheet offline")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what a sheet would change; exits with 5 if there are changes")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a sheet as a whole, or not at all")
                .arg(file_arg())
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Apply only if this is the accepted revision"),
                )
                .arg(
                    Arg::new("who")
                        .long("who")
                        .value_name("NAME")
                        .default_to_user()
                        .help("Name for the audit entry"),
                ),
        )
}

fn drain_command() -> Command {
    Command::new("drain")
        .about("Drains a target, or ends its draining")
        .arg(Arg::new("target").required(true).value_name("TARGET"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("End the draining of the target"),
        )
}

fn logs_arg() -> Arg {
    Arg::new("logs")
        .num_args(0..)
        .value_name("LOG")
        .value_parser(value_parser!(PathBuf))
        .help("Log files, one per VM and named after it; standard input if there are none")
}

fn file_arg() -> Arg {
    Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

/// Sets the default of an argument to the user's name from the environment, else to `operator`.
trait UserDefault {
    fn default_to_user(self) -> Self;
}

impl UserDefault for Arg {
    fn default_to_user(self) -> Self {
        let name = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        self.default_value(name)
    }
}

/// Parses the worth of a class.
fn parse_worth(text: &str) -> Result<(String, ClassWorth), String> {
    let (class, worth) = text.split_once('=').ok_or("no worth after a class")?;
    let (on_time, late) = worth.split_once(',').unwrap_or((worth, "0"));
    let number = |text: &str| {
        let number = text.parse::<f64>().map_err(|error| error.to_string())?;
        let valid = number.is_finite() && number >= 0.0;
        valid
            .then_some(number)
            .ok_or_else(|| format!("{text} is not a worth"))
    };
    let worth = ClassWorth {
        on_time: number(on_time)?,
        late: number(late)?,
    };
    Ok((class.to_owned(), worth))
}
