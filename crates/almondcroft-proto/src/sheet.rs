//! The configuration sheet that planners export each morning.
//!
//! The sheet is one table with a header row. The column `kind` gives the kind of object that a row
//! defines; the other columns apply to some kinds. See the operator page `docs/operators/sheet.md`.

mod columns;
mod diff;
mod error;
mod parse;
mod row;
mod table;

pub use diff::{Change, diff};
pub use error::SheetError;
pub use parse::parse;
