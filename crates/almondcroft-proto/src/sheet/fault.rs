//! Faults of a sheet.

use std::fmt;

/// Names a cell at fault and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SheetFault {
    /// Row as a spreadsheet counts it; the header is row 1.
    pub row: u64,
    /// Column, counted from 1; 0 where the row as a whole is at fault.
    pub column: usize,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.row, self.column, self.message)
    }
}
