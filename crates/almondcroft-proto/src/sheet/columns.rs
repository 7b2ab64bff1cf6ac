//! Column names of a sheet.

/// All columns, in the order of the example sheets.
pub(super) const COLUMNS: [&str; 17] = [
    KIND, ID, CONTRACT, SERVICE, TYPE, MODEL, ADDRESS, REGION, ZONE, WORTH, DEADLINE, PRIORITY,
    IDEMPOTENT, CONCURRENT, TOKEN, FENCING, OBJECTIVE,
];

pub(super) const KIND: &str = "kind";
pub(super) const ID: &str = "id";
pub(super) const CONTRACT: &str = "contract";
pub(super) const SERVICE: &str = "service";
pub(super) const TYPE: &str = "type";
pub(super) const MODEL: &str = "model";
pub(super) const ADDRESS: &str = "address";
pub(super) const REGION: &str = "region";
pub(super) const ZONE: &str = "zone";
pub(super) const WORTH: &str = "worth";
pub(super) const DEADLINE: &str = "deadline_ms";
pub(super) const PRIORITY: &str = "priority";
pub(super) const IDEMPOTENT: &str = "idempotent";
pub(super) const CONCURRENT: &str = "max_concurrent";
pub(super) const TOKEN: &str = "token_sha256";
pub(super) const FENCING: &str = "fencing";
pub(super) const OBJECTIVE: &str = "objective";
