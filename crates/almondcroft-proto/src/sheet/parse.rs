//! Conversion of a sheet into a configuration.

use super::columns::{
    ADDRESS, CONCURRENT, CONTRACT, DEADLINE, FENCING, ID, IDEMPOTENT, KIND, MODEL, OBJECTIVE,
    PRIORITY, REGION, SERVICE, TOKEN, TYPE, WORTH, ZONE,
};
use super::row::Row;
use super::{SheetError, table};
use almondcroft_core::config::{
    Config, Contract, Customer, Fencing, Objective, Service, ServiceKind, Target, Terms,
};
use csv::StringRecord;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};

/// Limit on a customer's in-flight requests per VM if the sheet gives none.
const DEFAULT_CONCURRENT: u32 = 64;

const YES_NO: [(&str, bool); 4] = [("yes", true), ("no", false), ("sí", true), ("si", true)];

/// Parses a sheet in any format that spreadsheets export.
///
/// The result does not depend on the encoding, separator, decimal sign or line endings. Its
/// revision is zero.
///
/// # Errors
///
/// Returns all errors, ordered by row and column.
pub fn parse(bytes: &[u8]) -> Result<Config, Vec<SheetError>> {
    let table = table::read(bytes)?;
    let mut builder = Builder::default();
    for (number, cells) in &table.rows {
        builder.add_row(*number, &table.columns, cells);
    }
    builder.check_references();
    let mut errors = builder.errors;
    errors.sort();
    errors.dedup();
    if errors.is_empty() {
        Ok(builder.config)
    } else {
        Err(errors)
    }
}

/// A cell that refers to an object that another row must define.
struct Reference {
    row: u64,
    column: usize,
    kind: &'static str,
    id: SmolStr,
}

#[derive(Default)]
struct Builder {
    config: Config,
    errors: Vec<SheetError>,
    references: Vec<Reference>,
    first_rows: HashMap<(SmolStr, SmolStr, SmolStr), u64>,
}

impl Builder {
    fn add_row(
        &mut self,
        number: u64,
        columns: &BTreeMap<&'static str, usize>,
        cells: &StringRecord,
    ) {
        let mut errors = Vec::new();
        let mut row = Row::new(number, columns, cells, &mut errors);
        let kind = row.text(KIND).to_lowercase();
        if self.is_duplicate(&kind, &mut row) {
            self.errors.append(&mut errors);
            return;
        }
        match kind.as_str() {
            "deployment" => self.add_deployment(&mut row),
            "service" => self.add_service(&mut row),
            "contract" => self.add_contract(&mut row, columns),
            "customer" => self.add_customer(&mut row, columns),
            "target" => self.add_target(&mut row, columns),
            other => row.push_error(
                KIND,
                &format!(
                    "kind is \"{other}\": write one of deployment, service, contract, customer, \
                     target"
                ),
            ),
        }
        self.errors.append(&mut errors);
    }

    fn is_duplicate(&mut self, kind: &str, row: &mut Row<'_>) -> bool {
        // A contract has one row per service; every other kind has one row per id.
        let service = if kind == "contract" {
            row.text(SERVICE)
        } else {
            ""
        };
        let key = (kind.into(), row.text(ID).into(), service.into());
        let first = *self.first_rows.entry(key).or_insert(row.number);
        if first == row.number {
            return false;
        }
        let message = format!("this row repeats row {first}: delete one of them");
        row.push_error(ID, &message);
        true
    }

    fn add_reference(
        &mut self,
        row: u64,
        columns: &BTreeMap<&'static str, usize>,
        column: &str,
        kind: &'static str,
        id: &SmolStr,
    ) {
        self.references.push(Reference {
            row,
            column: columns.get(column).map_or(0, |index| index + 1),
            kind,
            id: id.clone(),
        });
    }

    fn add_deployment(&mut self, row: &mut Row<'_>) {
        let keywords = [
            ("stall", Objective::Stall),
            ("preemption", Objective::Preemption),
        ];
        if let Some(objective) = row.keyword(OBJECTIVE, &keywords) {
            self.config.objective = objective;
        }
    }

    fn add_service(&mut self, row: &mut Row<'_>) {
        let kinds = [
            ("engine", ServiceKind::Engine),
            ("plain", ServiceKind::Plain),
        ];
        let id = row.id(ID);
        let kind = row.keyword(TYPE, &kinds);
        let idempotent = row.keyword(IDEMPOTENT, &YES_NO);
        let model = match kind {
            Some(ServiceKind::Engine) => row.id(MODEL).map(Some),
            _ => Some(None),
        };
        if let (Some(id), Some(kind), Some(idempotent), Some(model)) = (id, kind, idempotent, model)
        {
            let service = Service {
                id: id.clone(),
                kind,
                model,
                idempotent,
            };
            self.config.services.insert(id, service);
        }
    }

    fn add_contract(&mut self, row: &mut Row<'_>, columns: &BTreeMap<&'static str, usize>) {
        let id = row.id(ID);
        let service = row.id(SERVICE);
        let worth = row.decimal(WORTH);
        let deadline = row.integer(DEADLINE, 1);
        let priority = row.integer(PRIORITY, 0);
        let priority = priority.and_then(|value| {
            let value = u8::try_from(value).ok();
            if value.is_none() {
                row.push_error(PRIORITY, "priority is above 255: write a smaller number");
            }
            value
        });
        let (Some(id), Some(service)) = (id, service) else {
            return;
        };
        self.add_reference(row.number, columns, SERVICE, "service", &service);
        if let (Some(worth), Some(deadline_ms), Some(priority)) = (worth, deadline, priority) {
            let terms = Terms {
                worth,
                deadline_ms,
                priority,
            };
            let contract = self.config.contracts.entry(id.clone());
            let contract = contract.or_insert_with(|| Contract {
                id,
                terms: BTreeMap::new(),
            });
            contract.terms.insert(service, terms);
        }
    }

    fn add_customer(&mut self, row: &mut Row<'_>, columns: &BTreeMap<&'static str, usize>) {
        let id = row.id(ID);
        let contract = row.id(CONTRACT);
        let token = row.token_hash(TOKEN);
        let concurrent = if row.text(CONCURRENT).is_empty() {
            Some(DEFAULT_CONCURRENT)
        } else {
            row.integer(CONCURRENT, 1)
                .map(|value| u32::try_from(value).unwrap_or(u32::MAX))
        };
        if let Some(contract) = &contract {
            self.add_reference(row.number, columns, CONTRACT, "contract", contract);
        }
        if let Some(token) = &token
            && self.config.customer_by_token(token).is_some()
        {
            row.push_error(
                TOKEN,
                "another customer has the same token: create a new one",
            );
            return;
        }
        if let (Some(id), Some(contract), Some(token_sha256), Some(max_concurrent)) =
            (id, contract, token, concurrent)
        {
            let customer = Customer {
                id: id.clone(),
                contract,
                token_sha256,
                max_concurrent,
            };
            self.config.customers.insert(id, customer);
        }
    }

    fn add_target(&mut self, row: &mut Row<'_>, columns: &BTreeMap<&'static str, usize>) {
        let id = row.id(ID);
        let services = row.ids(SERVICE);
        let address = parse_address(row);
        let region = row.id(REGION);
        let zone = row.id(ZONE);
        let keywords = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
        let fencing = if row.text(FENCING).is_empty() {
            Some(Fencing::Ignored)
        } else {
            row.keyword(FENCING, &keywords)
        };
        for service in services.iter().flatten() {
            self.add_reference(row.number, columns, SERVICE, "service", service);
        }
        if let (Some(id), Some(services), Some(address), Some(region), Some(zone), Some(fencing)) =
            (id, services, address, region, zone, fencing)
        {
            let target = Target {
                id: id.clone(),
                services,
                address,
                region,
                zone,
                fencing,
            };
            self.config.targets.insert(id, target);
        }
    }

    fn check_references(&mut self) {
        for reference in &self.references {
            let known = match reference.kind {
                "service" => self.config.services.contains_key(&reference.id),
                _ => self.config.contracts.contains_key(&reference.id),
            };
            if !known {
                let message = format!(
                    "there is no {} \"{}\" in the sheet: add its row or correct the id",
                    reference.kind, reference.id
                );
                self.errors.push(table::sheet_error(
                    reference.row,
                    reference.column,
                    &message,
                ));
            }
        }
    }
}

fn parse_address(row: &mut Row<'_>) -> Option<SmolStr> {
    let text = row.text(ADDRESS);
    let host = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    let is_valid = host.is_some_and(|host| host.parse::<std::net::SocketAddr>().is_ok());
    if !is_valid {
        let message = format!(
            "address is \"{text}\": write http:// or https://, an IP address and a port, such as \
             http://10.1.2.3:8000"
        );
        row.push_error(ADDRESS, &message);
    }
    is_valid.then(|| text.into())
}
