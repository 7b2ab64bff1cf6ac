//! Decoding of an exported file into rows of cells.

use super::SheetError;
use super::columns::{COLUMNS, KIND};
use csv::{ReaderBuilder, StringRecord};
use encoding_rs::WINDOWS_1252;
use std::collections::BTreeMap;

/// Maximum size of a sheet, in bytes.
const MAX_SHEET_BYTES: usize = 8 * 1024 * 1024;

/// Separators that spreadsheets use.
const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];

/// The cells of a sheet.
#[derive(Debug)]
pub(super) struct Table {
    /// Index of each column, counted from zero.
    pub(super) columns: BTreeMap<&'static str, usize>,
    /// Non-blank rows with their row numbers.
    pub(super) rows: Vec<(u64, StringRecord)>,
}

/// Reads a table in any format that spreadsheets export.
pub(super) fn read(bytes: &[u8]) -> Result<Table, Vec<SheetError>> {
    if bytes.len() > MAX_SHEET_BYTES {
        return Err(vec![sheet_error(1, 0, "the sheet is larger than 8 MiB")]);
    }
    let text = decode(bytes);
    let separator = detect_separator(&text);
    let mut reader = ReaderBuilder::new()
        .delimiter(separator)
        .has_headers(false)
        .flexible(true)
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut quoted_breaks = 0;
    for record in reader.records() {
        let record = record.map_err(|error| vec![sheet_error(1, 0, &error.to_string())])?;
        let line = record.position().map_or(0, csv::Position::line);
        if !record.iter().all(|cell| cell.trim().is_empty()) {
            rows.push((line - quoted_breaks, record.clone()));
        }
        quoted_breaks += count_line_breaks(&record);
    }
    if rows.is_empty() {
        return Err(vec![sheet_error(1, 0, "the sheet is empty")]);
    }
    let (row, header) = rows.remove(0);
    let columns = parse_header(row, &header)?;
    Ok(Table { columns, rows })
}

fn count_line_breaks(record: &StringRecord) -> u64 {
    let count = |cell: &str| cell.bytes().filter(|byte| *byte == b'\n').count() as u64;
    record.iter().map(count).sum()
}

fn decode(bytes: &[u8]) -> String {
    let bytes = bytes.strip_prefix(b"\xEF\xBB\xBF").unwrap_or(bytes);
    match std::str::from_utf8(bytes) {
        Ok(text) => text.to_owned(),
        Err(_) => WINDOWS_1252
            .decode_without_bom_handling(bytes)
            .0
            .into_owned(),
    }
}

fn detect_separator(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty());
    let header = header.unwrap_or_default();
    let count = |separator: &u8| header.bytes().filter(|byte| byte == separator).count();
    SEPARATORS.into_iter().max_by_key(count).unwrap_or(b',')
}

fn parse_header(
    row: u64,
    header: &StringRecord,
) -> Result<BTreeMap<&'static str, usize>, Vec<SheetError>> {
    let mut columns = BTreeMap::new();
    let mut errors = Vec::new();
    for (index, cell) in header.iter().enumerate() {
        let name = cell.trim().to_lowercase();
        if name.is_empty() {
            continue;
        }
        let Some(column) = COLUMNS.into_iter().find(|column| *column == name) else {
            let message = format!("unknown column \"{name}\": remove it or correct its name");
            errors.push(sheet_error(row, index + 1, &message));
            continue;
        };
        if columns.insert(column, index).is_some() {
            let message = format!("column \"{name}\" appears twice: remove one");
            errors.push(sheet_error(row, index + 1, &message));
        }
    }
    if !columns.contains_key(KIND) {
        errors.push(sheet_error(
            row,
            0,
            "there is no column \"kind\": add the header row",
        ));
    }
    if errors.is_empty() {
        Ok(columns)
    } else {
        Err(errors)
    }
}

pub(super) fn sheet_error(row: u64, column: usize, message: &str) -> SheetError {
    SheetError {
        row,
        column,
        message: message.to_owned(),
    }
}
