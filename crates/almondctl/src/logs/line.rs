//! Parses log lines.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};

/// An event logged by a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time by the VM's clock, in seconds since the Unix epoch.
    pub at: f64,
    /// Name of the VM.
    pub vm: String,
    /// Name of the event.
    pub event: String,
    /// The other keys and their values.
    pub fields: BTreeMap<String, String>,
    /// The line from `time=` on.
    pub text: String,
}

impl LogLine {
    /// Parses a line.
    ///
    /// The last word before `time=` names the VM; without such a word it is `vm`. Returns `None`
    /// for a line that is not an event.
    #[must_use]
    pub fn parse(line: &str, vm: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let (prefix, text) = line.split_at(start);
        let vm = prefix.split_whitespace().next_back().unwrap_or(vm);
        let mut fields = parse_fields(text);
        Some(Self {
            at: fields.remove("time")?.parse().ok()?,
            vm: vm.to_owned(),
            event: fields.remove("event")?,
            fields,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns the value of a key, or an empty text if it is missing.
    #[must_use]
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }

    /// Returns the value of a key as a number, or 0 if it is missing or not a number.
    #[must_use]
    pub fn number(&self, key: &str) -> f64 {
        self.get(key).parse().unwrap_or_default()
    }
}

/// Parses `key=value` pairs; values with spaces are quoted.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = if after.starts_with('"') {
            parse_quoted(after)
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

/// Parses a quoted value; returns it and the rest of the text.
fn parse_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut escaped = false;
    for (index, character) in text.char_indices().skip(1) {
        match character {
            _ if escaped => {
                value.push(character);
                escaped = false;
            }
            '\\' => escaped = true,
            '"' => return (value, &text[index + 1..]),
            _ => value.push(character),
        }
    }
    (value, "")
}

/// Reads the events of a log and skips all other lines.
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

/// Groups the lines that mention a request by its id.
pub(super) fn group_by_request(lines: &[LogLine]) -> HashMap<&str, Vec<&LogLine>> {
    let mut requests: HashMap<&str, Vec<&LogLine>> = HashMap::new();
    for line in lines.iter().filter(|line| !line.get("request").is_empty()) {
        requests.entry(line.get("request")).or_default().push(line);
    }
    requests
}

/// Returns the lines of processes that started.
pub(super) fn start_lines(lines: &[LogLine]) -> Vec<&LogLine> {
    let starts = lines.iter().filter(|line| line.event == "started");
    starts.collect()
}

/// Returns the last value of a key in some lines, unless all are empty.
pub(super) fn last_value<'a>(lines: &[&'a LogLine], key: &str) -> Option<&'a str> {
    let mut values = lines.iter().rev().map(|line| line.get(key));
    values.find(|value| !value.is_empty())
}
