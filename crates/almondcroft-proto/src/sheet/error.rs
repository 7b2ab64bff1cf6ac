//! Errors in a sheet.

use std::fmt;

/// An error in a cell or row of a sheet, with advice on how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SheetError {
    /// Row number as shown by a spreadsheet; the header is row 1.
    pub row: u64,
    /// Column, counted from 1; 0 if the error concerns the whole row.
    pub column: usize,
    /// What is wrong and how to correct it.
    pub message: String,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.row, self.column, self.message)
    }
}
