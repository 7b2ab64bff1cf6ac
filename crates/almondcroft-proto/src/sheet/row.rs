//! Validated access to the cells of one row.

use super::SheetError;
use super::table::sheet_error;
use csv::StringRecord;
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// Maximum length of an id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Reads the cells of a row by column name and collects errors.
pub(super) struct Row<'a> {
    pub(super) number: u64,
    columns: &'a BTreeMap<&'static str, usize>,
    cells: &'a StringRecord,
    errors: &'a mut Vec<SheetError>,
}

impl<'a> Row<'a> {
    pub(super) fn new(
        number: u64,
        columns: &'a BTreeMap<&'static str, usize>,
        cells: &'a StringRecord,
        errors: &'a mut Vec<SheetError>,
    ) -> Self {
        Self {
            number,
            columns,
            cells,
            errors,
        }
    }

    /// Returns the text of a cell without surrounding white space, or an empty text if it is missing.
    pub(super) fn text(&self, column: &str) -> &'a str {
        let index = self.columns.get(column);
        index
            .and_then(|index| self.cells.get(*index))
            .map_or("", str::trim)
    }

    /// Records an error in a cell.
    pub(super) fn push_error(&mut self, column: &str, message: &str) {
        let number = self.columns.get(column).map_or(0, |index| index + 1);
        self.errors.push(sheet_error(self.number, number, message));
    }

    /// Returns an id, or records why the cell has none.
    pub(super) fn id(&mut self, column: &str) -> Option<SmolStr> {
        let text = self.text(column);
        self.check_id(column, text).then(|| text.into())
    }

    /// Returns the ids of a cell, which are separated by vertical bars.
    pub(super) fn ids(&mut self, column: &str) -> Option<Vec<SmolStr>> {
        let text = self.text(column);
        let parts: Vec<&str> = text.split('|').map(str::trim).collect();
        let is_valid = parts.iter().all(|part| self.check_id(column, part));
        is_valid.then(|| parts.into_iter().map(SmolStr::from).collect())
    }

    fn check_id(&mut self, column: &str, text: &str) -> bool {
        if text.is_empty() {
            self.push_error(column, &format!("{column} is missing: fill it in"));
            return false;
        }
        if is_scientific_notation(text) {
            let message = format!(
                "\"{text}\" is a number that the spreadsheet shortened: format the column as \
                 text, enter the id again and export"
            );
            self.push_error(column, &message);
            return false;
        }
        let is_allowed = |c: char| c.is_alphanumeric() || "-_.:".contains(c);
        if text.len() > MAX_ID_BYTES || !text.chars().all(is_allowed) {
            let message = format!(
                "\"{text}\" is not an id: use letters, digits, hyphens, dots and underscores, \
                 at most {MAX_ID_BYTES} bytes"
            );
            self.push_error(column, &message);
            return false;
        }
        true
    }

    /// Returns an integer of at least `minimum`.
    pub(super) fn integer(&mut self, column: &str, minimum: u64) -> Option<u64> {
        let text = self.text(column);
        let digits = strip_zero_fraction(text);
        let value = digits.parse().ok().filter(|value| *value >= minimum);
        if value.is_none() {
            let message = format!(
                "{column} is \"{text}\": write a whole number of at least {minimum}, digits only, \
                 without separators"
            );
            self.push_error(column, &message);
        }
        value
    }

    /// Returns a non-negative decimal number, written with a point or a comma.
    pub(super) fn decimal(&mut self, column: &str) -> Option<f64> {
        let text = self.text(column);
        let normalized = text.replace(',', ".");
        let value = normalized
            .parse::<f64>()
            .ok()
            .filter(|value| value.is_finite() && *value >= 0.0);
        if value.is_none() {
            let message =
                format!("{column} is \"{text}\": write a number such as 2.5 or 2,5, not negative");
            self.push_error(column, &message);
        }
        value
    }

    /// Returns the value that belongs to one of the given keywords, ignoring case.
    pub(super) fn keyword<T: Copy>(&mut self, column: &str, keywords: &[(&str, T)]) -> Option<T> {
        let text = self.text(column).to_lowercase();
        let found = keywords.iter().find(|(keyword, _)| *keyword == text);
        if found.is_none() {
            let list: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
            let message = format!("{column} is \"{text}\": write one of {}", list.join(", "));
            self.push_error(column, &message);
        }
        found.map(|(_, value)| *value)
    }

    /// Returns the SHA-256 of a token in lower-case hexadecimal digits.
    pub(super) fn token_hash(&mut self, column: &str) -> Option<SmolStr> {
        let text = self.text(column).to_lowercase();
        let is_valid = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_valid {
            let message = format!(
                "{column} is not a SHA-256 in 64 hexadecimal digits: create it with \
                 \"almondctl token-hash\", never write the token itself here"
            );
            self.push_error(column, &message);
        }
        is_valid.then(|| text.into())
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

/// Returns whether a text is a number in scientific notation, such as `1.2E+10`.
fn is_scientific_notation(text: &str) -> bool {
    let upper = text.to_uppercase();
    let Some((mantissa, exponent)) = upper.split_once('E') else {
        return false;
    };
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit());
    let unsigned = exponent.strip_prefix(['+', '-']);
    let parts: Vec<&str> = mantissa.split(['.', ',']).collect();
    let is_number = parts.len() <= 2 && parts.iter().all(|part| is_digits(part));
    // `1E5` without sign or point can be a real id; `1.2E+10` cannot.
    is_number && is_digits(unsigned.unwrap_or(exponent)) && (unsigned.is_some() || parts.len() == 2)
}
