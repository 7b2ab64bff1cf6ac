//! The sheet that planners export each morning.
//!
//! The sheet is one table with a header row. The column `kind` says what a row states; the other
//! columns apply to some kinds. See the operator page `docs/operators/sheet.md`.

mod columns;
mod diff;
mod fault;
mod parse;
mod row;
mod table;

pub use diff::{Change, diff};
pub use fault::SheetFault;
pub use parse::parse;
