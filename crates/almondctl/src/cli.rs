//! Arguments and exit codes.

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use std::path::PathBuf;

/// Exit code where the work failed.
pub(crate) const EXIT_FAILED: u8 = 1;
/// Exit code where a sheet has faults.
pub(crate) const EXIT_FAULTS: u8 = 3;
/// Exit code where another operator won, or another revision is in force than expected.
pub(crate) const EXIT_CONFLICT: u8 = 4;
/// Exit code where something lags or differs.
pub(crate) const EXIT_DIFFERS: u8 = 5;

const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 wrong arguments; 3 faults in the sheet; \
                          4 conflict with another operator or an unexpected revision; 5 something \
                          lags or differs";

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
                .help("Form of the output"),
        )
        .subcommand(sheet())
        .subcommand(Command::new("get").about("Prints the accepted configuration"))
        .subcommand(
            Command::new("status")
                .about("Shows what each VM runs; exits with 5 while anything lags"),
        )
        .subcommand(drain())
        .subcommand(
            Command::new("replay")
                .about("Replays a recorded trace; exits with 5 if a decision differs")
                .arg(file()),
        )
        .subcommand(
            Command::new("explain")
                .about("Tells the story and the cause of one request from the logs of VMs")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .value_name("REQUEST")
                        .help("The caller's id of the request"),
                )
                .arg(logs()),
        )
        .subcommand(
            Command::new("summary")
                .about("Counts the requests in the logs of VMs by end and cause")
                .arg(logs()),
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

fn sheet() -> Command {
    Command::new("sheet")
        .about("Checks, compares and applies the planners' sheet")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a sheet without a server")
                .arg(file()),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what a sheet would change; exits with 5 if anything")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a sheet as a whole, or nothing of it")
                .arg(file())
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("REVISION")
                        .value_parser(value_parser!(u64))
                        .help("Apply only if this revision is in force"),
                )
                .arg(
                    Arg::new("who")
                        .long("who")
                        .value_name("NAME")
                        .env_or_default()
                        .help("Name for the audit entry"),
                ),
        )
}

fn drain() -> Command {
    Command::new("drain")
        .about("Gives a target no new work, or takes it back")
        .arg(Arg::new("target").required(true).value_name("TARGET"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Give the target work again"),
        )
}

fn logs() -> Arg {
    Arg::new("logs")
        .num_args(0..)
        .value_name("LOG")
        .value_parser(value_parser!(PathBuf))
        .help("Logs, one of each VM and named after it; standard input if there is none")
}

fn file() -> Arg {
    Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

/// Takes the operator's name from the environment where it is known.
trait EnvOrDefault {
    fn env_or_default(self) -> Self;
}

impl EnvOrDefault for Arg {
    fn env_or_default(self) -> Self {
        let name = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        self.default_value(name)
    }
}
