//! Prints results as JSON or as a table.

use almondcroft_core::Revision;
use almondcroft_proto::sheet::Change;
use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    Json,
    Table,
}

impl From<&ArgMatches> for Output {
    fn from(matches: &ArgMatches) -> Self {
        let format = matches.get_one::<String>("output").map(String::as_str);
        if format == Some("json") {
            Self::Json
        } else {
            Self::Table
        }
    }
}

impl Output {
    /// Prints a value as JSON, or its rows as a table.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        header: &[&str],
        rows: impl Fn(&T) -> Vec<Vec<String>>,
    ) {
        if self == Self::Json {
            let text = serde_json::to_string(value);
            println!("{}", text.expect("the output serializes"));
            return;
        }
        let mut table = Table::new();
        table.load_preset(NOTHING).set_header(header);
        table.add_rows(rows(value));
        println!("{table}");
    }

    /// Prints a revision and its changes.
    pub(crate) fn print_changes(self, revision: Revision, changes: &[Change]) {
        if self == Self::Json {
            let value = serde_json::json!({"revision": revision, "changes": changes});
            println!("{value}");
            return;
        }
        for change in changes {
            println!("{change}");
        }
        println!("revision {revision}, {} changes", changes.len());
    }
}
