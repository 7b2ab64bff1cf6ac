//! One line of a log.

use std::collections::BTreeMap;
use std::io::{self, BufRead};

/// Holds an event as a VM logged it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time, in seconds since 1970, by the VM's clock.
    pub at: f64,
    /// The VM.
    pub vm: String,
    /// The event.
    pub event: String,
    /// The other keys.
    pub fields: BTreeMap<String, String>,
    /// The line from its time on.
    pub text: String,
}

impl LogLine {
    /// Reads a line; words before its time end in the name of the VM, else the one given counts.
    ///
    /// Returns `None` for a line that is no event.
    #[must_use]
    pub fn parse(line: &str, vm: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let (before, text) = line.split_at(start);
        let vm = before.split_whitespace().next_back().unwrap_or(vm);
        let mut fields = fields(text);
        Some(Self {
            at: fields.remove("time")?.parse().ok()?,
            vm: vm.to_owned(),
            event: fields.remove("event")?,
            fields,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns the value of a key; empty where it is missing.
    #[must_use]
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns the number of a key; 0 where it is missing.
    #[must_use]
    pub fn number(&self, key: &str) -> f64 {
        self.get(key).parse().unwrap_or_default()
    }
}

/// Splits `key=value` pairs; values with spaces stand in quotes.
fn fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = if after.starts_with('"') {
            quoted(after)
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].trim_end().to_owned(), &after[end..])
        };
        let key = key.split_whitespace().next_back().unwrap_or_default();
        fields.insert(key.to_owned(), value);
        rest = next;
    }
    fields
}

/// Reads a value in quotes; returns it with what follows.
fn quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut escaped = false;
    for (at, letter) in text.char_indices().skip(1) {
        match letter {
            _ if escaped => {
                value.push(letter);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value, &text[at + 1..]),
            _ => value.push(letter),
        }
    }
    (value, "")
}

/// Reads the events of a log; other lines are passed over.
///
/// # Errors
///
/// Returns the error of the reader.
pub fn read_lines(reader: impl BufRead, vm: &str) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in reader.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line?), vm));
    }
    Ok(lines)
}
