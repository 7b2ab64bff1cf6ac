//! One row, with the checks that its cells need.

use super::SheetFault;
use super::table::fault;
use csv::StringRecord;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Longest id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Gives access to the cells of a row by column name and gathers faults.
pub(super) struct Row<'a> {
    pub(super) number: u64,
    columns: &'a BTreeMap<&'static str, usize>,
    cells: &'a StringRecord,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> Row<'a> {
    pub(super) fn new(
        number: u64,
        columns: &'a BTreeMap<&'static str, usize>,
        cells: &'a StringRecord,
        faults: &'a mut Vec<SheetFault>,
    ) -> Self {
        Self {
            number,
            columns,
            cells,
            faults,
        }
    }

    /// Returns the text of a cell, without white space around it.
    pub(super) fn text(&self, column: &str) -> &'a str {
        let index = self.columns.get(column);
        index
            .and_then(|index| self.cells.get(*index))
            .map_or("", str::trim)
    }

    /// Notes a fault of a cell.
    pub(super) fn fault(&mut self, column: &str, message: &str) {
        let number = self.columns.get(column).map_or(0, |index| index + 1);
        self.faults.push(fault(self.number, number, message));
    }

    /// Returns an id, or notes why the cell holds none.
    pub(super) fn id(&mut self, column: &str) -> Option<SmolStr> {
        let text = self.text(column);
        self.check_id(column, text).then(|| text.into())
    }

    /// Returns the ids of a cell that are separated by vertical bars.
    pub(super) fn ids(&mut self, column: &str) -> Option<Vec<SmolStr>> {
        let text = self.text(column);
        let parts: Vec<&str> = text.split('|').map(str::trim).collect();
        let good = parts.iter().all(|part| self.check_id(column, part));
        good.then(|| parts.into_iter().map(SmolStr::from).collect())
    }

    fn check_id(&mut self, column: &str, text: &str) -> bool {
        if text.is_empty() {
            self.fault(column, &format!("{column} is missing: fill it in"));
            return false;
        }
        if is_shortened_number(text) {
            let message = format!(
                "\"{text}\" is a number that the spreadsheet shortened: format the column as \
                 text, enter the id again and export"
            );
            self.fault(column, &message);
            return false;
        }
        let plain = |c: char| c.is_alphanumeric() || "-_.:".contains(c);
        if text.len() > MAX_ID_BYTES || !text.chars().all(plain) {
            let message = format!(
                "\"{text}\" is not an id: use letters, digits, hyphens, dots and underscores, \
                 at most {MAX_ID_BYTES} bytes"
            );
            self.fault(column, &message);
            return false;
        }
        true
    }

    /// Returns a whole number of at least `least`.
    pub(super) fn whole(&mut self, column: &str, least: u64) -> Option<u64> {
        let text = self.text(column);
        let digits = strip_zero_fraction(text);
        let value = digits.parse().ok().filter(|value| *value >= least);
        if value.is_none() {
            let message = format!(
                "{column} is \"{text}\": write a whole number of at least {least}, digits only, \
                 without separators"
            );
            self.fault(column, &message);
        }
        value
    }

    /// Returns a decimal number that is not negative, with a point or a comma.
    pub(super) fn decimal(&mut self, column: &str) -> Option<f64> {
        let text = self.text(column);
        let plain = text.replace(',', ".");
        let value = plain
            .parse::<f64>()
            .ok()
            .filter(|value| value.is_finite() && *value >= 0.0);
        if value.is_none() {
            let message =
                format!("{column} is \"{text}\": write a number such as 2.5 or 2,5, not negative");
            self.fault(column, &message);
        }
        value
    }

    /// Returns the value that a word of a fixed list stands for.
    pub(super) fn word<T: Copy>(&mut self, column: &str, words: &[(&str, T)]) -> Option<T> {
        let text = self.text(column).to_lowercase();
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let list: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            let message = format!("{column} is \"{text}\": write one of {}", list.join(", "));
            self.fault(column, &message);
        }
        found.map(|(_, value)| *value)
    }

    /// Returns the SHA-256 of a token in lower-case hexadecimal digits.
    pub(super) fn token_hash(&mut self, column: &str) -> Option<SmolStr> {
        let text = self.text(column).to_lowercase();
        let good = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !good {
            let message = format!(
                "{column} is not a SHA-256 in 64 hexadecimal digits: make it with \
                 \"almondctl token hash\", never write the token itself here"
            );
            self.fault(column, &message);
        }
        good.then(|| text.into())
    }
}

fn strip_zero_fraction(text: &str) -> &str {
    for ending in [".0", ",0", ".00", ",00"] {
        if let Some(rest) = text.strip_suffix(ending) {
            return rest;
        }
    }
    text
}

/// Returns whether a text looks like `1.2E+10`.
fn is_shortened_number(text: &str) -> bool {
    let upper = text.to_uppercase();
    let Some((mantissa, exponent)) = upper.split_once('E') else {
        return false;
    };
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    let signed = exponent.strip_prefix(['+', '-']);
    let parts: Vec<&str> = mantissa.split(['.', ',']).collect();
    let number = parts.len() <= 2 && parts.iter().all(|part| digits(part));
    // `1E5` without sign or point can be a real id; `1.2E+10` cannot.
    number && digits(signed.unwrap_or(exponent)) && (signed.is_some() || parts.len() == 2)
}
