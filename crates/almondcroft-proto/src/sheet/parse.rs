//! From rows to a configuration.

use super::columns::{
    ADDRESS, CONCURRENT, CONTRACT, DEADLINE, FENCING, ID, IDEMPOTENT, KIND, MODEL, OBJECTIVE,
    PRIORITY, REGION, SERVICE, TOKEN, TYPE, WORTH, ZONE,
};
use super::row::Row;
use super::{SheetFault, table};
use almondcroft_core::config::{
    Config, Contract, Customer, Fencing, Objective, Service, ServiceKind, Target, Terms,
};
use csv::StringRecord;
use smol_str::SmolStr;
use std::collections::{BTreeMap, HashMap};

/// Requests of one customer in flight at one VM where the sheet states no bound.
const DEFAULT_CONCURRENT: u32 = 64;

const YES_NO: [(&str, bool); 4] = [("yes", true), ("no", false), ("sí", true), ("si", true)];

/// Reads a sheet in any of the forms that spreadsheets export.
///
/// The same rows give the same configuration whatever the encoding, separator, decimal sign and
/// line ends. The revision of the result is zero.
///
/// # Errors
///
/// Returns all faults, ordered by row and column.
pub fn parse(bytes: &[u8]) -> Result<Config, Vec<SheetFault>> {
    let table = table::read(bytes)?;
    let mut builder = Builder::default();
    for (number, cells) in &table.rows {
        builder.add(*number, &table.columns, cells);
    }
    builder.check_references();
    let mut faults = builder.faults;
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(builder.config)
    } else {
        Err(faults)
    }
}

/// A cell that names something which another row must state.
struct Reference {
    row: u64,
    column: usize,
    kind: &'static str,
    id: SmolStr,
}

#[derive(Default)]
struct Builder {
    config: Config,
    faults: Vec<SheetFault>,
    references: Vec<Reference>,
    seen: HashMap<(SmolStr, SmolStr, SmolStr), u64>,
}

impl Builder {
    fn add(&mut self, number: u64, columns: &BTreeMap<&'static str, usize>, cells: &StringRecord) {
        let mut faults = Vec::new();
        let mut row = Row::new(number, columns, cells, &mut faults);
        let kind = row.text(KIND).to_lowercase();
        if self.is_repeated(&kind, &mut row) {
            self.faults.append(&mut faults);
            return;
        }
        match kind.as_str() {
            "deployment" => self.add_deployment(&mut row),
            "service" => self.add_service(&mut row),
            "contract" => self.add_contract(&mut row, columns),
            "customer" => self.add_customer(&mut row, columns),
            "target" => self.add_target(&mut row, columns),
            other => row.fault(
                KIND,
                &format!(
                    "kind is \"{other}\": write one of deployment, service, contract, customer, \
                     target"
                ),
            ),
        }
        self.faults.append(&mut faults);
    }

    fn is_repeated(&mut self, kind: &str, row: &mut Row<'_>) -> bool {
        // A contract has a row for each service; everything else has one row for each id.
        let service = if kind == "contract" {
            row.text(SERVICE)
        } else {
            ""
        };
        let key = (kind.into(), row.text(ID).into(), service.into());
        let first = *self.seen.entry(key).or_insert(row.number);
        if first == row.number {
            return false;
        }
        let message = format!("this row repeats row {first}: delete one of them");
        row.fault(ID, &message);
        true
    }

    fn refer(
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
        let words = [
            ("stall", Objective::Stall),
            ("preemption", Objective::Preemption),
        ];
        if let Some(objective) = row.word(OBJECTIVE, &words) {
            self.config.objective = objective;
        }
    }

    fn add_service(&mut self, row: &mut Row<'_>) {
        let kinds = [
            ("engine", ServiceKind::Engine),
            ("plain", ServiceKind::Plain),
        ];
        let id = row.id(ID);
        let kind = row.word(TYPE, &kinds);
        let idempotent = row.word(IDEMPOTENT, &YES_NO);
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
        let deadline = row.whole(DEADLINE, 1);
        let priority = row.whole(PRIORITY, 0);
        let priority = priority.and_then(|value| {
            let small = u8::try_from(value).ok();
            if small.is_none() {
                row.fault(PRIORITY, "priority is above 255: write a smaller number");
            }
            small
        });
        let (Some(id), Some(service)) = (id, service) else {
            return;
        };
        self.refer(row.number, columns, SERVICE, "service", &service);
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
            row.whole(CONCURRENT, 1)
                .map(|value| u32::try_from(value).unwrap_or(u32::MAX))
        };
        if let Some(contract) = &contract {
            self.refer(row.number, columns, CONTRACT, "contract", contract);
        }
        if let Some(token) = &token
            && self.config.customer_by_token(token).is_some()
        {
            row.fault(TOKEN, "another customer has the same token: make a new one");
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
        let address = address(row);
        let region = row.id(REGION);
        let zone = row.id(ZONE);
        let words = [("checked", Fencing::Checked), ("ignored", Fencing::Ignored)];
        let fencing = if row.text(FENCING).is_empty() {
            Some(Fencing::Ignored)
        } else {
            row.word(FENCING, &words)
        };
        for service in services.iter().flatten() {
            self.refer(row.number, columns, SERVICE, "service", service);
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
                self.faults
                    .push(table::fault(reference.row, reference.column, &message));
            }
        }
    }
}

fn address(row: &mut Row<'_>) -> Option<SmolStr> {
    let text = row.text(ADDRESS);
    let host = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    let good = host.is_some_and(|host| host.parse::<std::net::SocketAddr>().is_ok());
    if !good {
        let message = format!(
            "address is \"{text}\": write http:// or https://, an IP number and a port, such as \
             http://10.1.2.3:8000"
        );
        row.fault(ADDRESS, &message);
    }
    good.then(|| text.into())
}
