//! Parsing of the planners' sheet in all formats that spreadsheets export.

use almondcroft_core::config::Config;
use almondcroft_proto::sheet::{diff, parse};
use proptest::prelude::*;

const VILLACRES: &str = include_str!("../../../examples/sheets/villacres.csv");
const LAKESHORE: &str = include_str!("../../../examples/sheets/lakeshore.csv");

const HEADER: &str = "kind,id,contract,service,type,model,address,region,zone,worth,deadline_ms,\
                      priority,idempotent,max_concurrent,token_sha256,fencing,objective\n";

fn config(sheet: &str) -> Config {
    parse(sheet.as_bytes()).unwrap()
}

fn errors(rows: &str) -> Vec<String> {
    let sheet = format!("{HEADER}{rows}");
    let errors = parse(sheet.as_bytes()).unwrap_err();
    errors.iter().map(ToString::to_string).collect()
}

fn with_separator(sheet: &str, separator: &str) -> String {
    sheet.replace(',', separator)
}

#[test]
fn parse_examples() {
    let villacres = config(VILLACRES);
    let lakeshore = config(LAKESHORE);
    let sizes = |config: &Config, service: &str| {
        (config.customers.len(), config.targets_of(service).count())
    };
    assert_eq!(sizes(&villacres, "menus"), (10, 10));
    assert_eq!(sizes(&villacres, "orders"), (10, 3));
    assert_eq!(sizes(&lakeshore, "leases"), (10, 12));
    assert_eq!(sizes(&lakeshore, "bookings"), (10, 3));
    assert!(!villacres.services["orders"].idempotent);
}

#[test]
fn parse_equal_in_every_format() {
    for sheet in [VILLACRES, LAKESHORE] {
        let expected = config(sheet);
        let semicolons = with_separator(sheet, ";");
        let decimal_commas = semicolons
            .replace(";2.5;", ";2,5;")
            .replace(";0.5;", ";0,5;");
        let formats = [
            format!("\u{feff}{sheet}"),
            with_separator(sheet, "\t"),
            sheet.replace('\n', "\r\n"),
            format!("{decimal_commas};;;;;;;;;;;;;;;;\n\n;;;;;;;;;;;;;;;;\n"),
            sheet.replace("menus|questions", "\"menus|\nquestions\""),
        ];
        for format in formats {
            assert_eq!(config(&format), expected);
        }
    }
}

#[test]
fn parse_windows_1252() {
    let sheet = VILLACRES.replace("yes", "sí");
    let bytes: Vec<u8> = sheet
        .chars()
        .map(|c| {
            if c == 'í' {
                0xed
            } else {
                u8::try_from(c).unwrap()
            }
        })
        .collect();
    assert_eq!(parse(&bytes).unwrap(), config(VILLACRES));
}

#[test]
fn parse_scientific_notation_id() {
    let found = errors("service,1.2E+10,,,plain,,,,,,,,yes,,,,\n");
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].starts_with("2:2: \"1.2E+10\" is a number that the spreadsheet shortened"));
}

#[test]
fn parse_duplicate_row() {
    let row = "service,orders,,,plain,,,,,,,,no,,,,\n";
    let found = errors(&format!("{row}{row}"));
    assert_eq!(found, ["3:2: this row repeats row 2: delete one of them"]);
}

#[test]
fn parse_unknown_references() {
    let found = errors(
        "contract,lunch,,menus,,,,,,1,1000,1,,,,,\n\
         customer,club,dinner,,,,,,,,,,,,\
         e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855,,\n",
    );
    assert_eq!(
        found,
        [
            "2:4: there is no service \"menus\" in the sheet: add its row or correct the id",
            "3:3: there is no contract \"dinner\" in the sheet: add its row or correct the id",
        ]
    );
}

#[test]
fn parse_all_errors_at_once() {
    let found = errors(
        "service,orders,,,plain,,,,,,,,maybe,,,,\n\
         target,one,,orders,,,ten,quito,quito-a,,,,,,,,\n\
         contract,lunch,,orders,,,,,,-1,\"30.000\",1,,,,,\n\
         dinner,x,,,,,,,,,,,,,,,\n",
    );
    let positions: Vec<&str> = found
        .iter()
        .map(|error| &error[..error.find(": ").unwrap()])
        .collect();
    assert_eq!(
        positions,
        ["2:13", "3:4", "3:7", "4:4", "4:10", "4:11", "5:1"]
    );
}

#[test]
fn parse_rows_after_quoted_line_breaks_and_blank_lines() {
    let found =
        errors("\n\"service\n\",orders,,,plain,,,,,,,,no,,,,\nservice,,,,plain,,,,,,,,no,,,,\n");
    assert_eq!(found, ["4:2: id is missing: fill it in"]);
}

#[test]
fn parse_unknown_and_missing_columns() {
    let found = parse(b"id,colour\nx,red\n").unwrap_err();
    let found: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        [
            "1:2: unknown column \"colour\": remove it or correct its name",
            "1:0: there is no column \"kind\": add the header row",
        ]
    );
}

#[test]
fn diff_exact() {
    let before = config(VILLACRES);
    let after = config(&VILLACRES.replace(",2.5,60000,", ",3,60000,"));
    let changes: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        changes,
        ["~ contracts/lunch-clubs/terms/menus/worth 2.5 -> 3.0"]
    );
    assert!(diff(&before, &before).is_empty());
}

proptest! {
    #[test]
    fn parse_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse(&bytes);
    }

    #[test]
    fn parse_corrupted_example(position in 0_usize..4_000, byte in any::<u8>()) {
        let mut bytes = VILLACRES.as_bytes().to_vec();
        let position = position % bytes.len();
        bytes[position] = byte;
        if let Err(errors) = parse(&bytes) {
            prop_assert!(errors.iter().all(|error| error.row > 0 && !error.message.is_empty()));
        }
    }
}
