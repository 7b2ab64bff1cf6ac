//! The contract of the ledger, checked over random schedules of faults in virtual time.
//!
//! - A key is executed at most once (`executions <= 1`).
//! - An attempt that was answered `not-run` never ran. While only one VM appends, no earlier attempt
//!   with the same key ran either.
//! - An outcome in an answer is that of the only run.
//!
//! The faults include a store that comes back from an older copy.
//!
//! `ALMONDCROFT_SCHEDULES` sets the number of schedules and `ALMONDCROFT_SEED` their seed.

#[path = "ledger_contract/simulation.rs"]
mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use simulation::{Protections, Simulation};

/// Number of schedules for a test with all protections.
const SCHEDULES: u32 = 100_000;

/// Number of schedules within which a missing protection must be detected.
const SCHEDULES_UNPROTECTED: u32 = 50_000;

/// Upper bound of a schedule's length, in steps.
const MAX_STEPS: usize = 160;

fn env_number(name: &str, default: u32) -> u32 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check_schedules(
    cases: u32,
    protections: Protections,
    many_appenders: bool,
) -> Result<(), String> {
    let seed = env_number("ALMONDCROFT_SEED", 7);
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedule = prop::collection::vec(any::<u32>(), 20..MAX_STEPS);
    let result = runner.run(&schedule, |words| {
        let mut simulation = Simulation::new(protections, many_appenders);
        simulation.run(&words).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, words)) => Err(format!("{reason}: {words:?}")),
        Err(TestError::Abort(reason)) => Err(format!("aborted: {reason}")),
    }
}

#[test]
fn contract_one_appender() {
    let cases = env_number("ALMONDCROFT_SCHEDULES", SCHEDULES);
    check_schedules(cases, Protections::default(), false).unwrap();
}

#[test]
fn contract_many_appenders() {
    let cases = env_number("ALMONDCROFT_SCHEDULES", SCHEDULES);
    check_schedules(cases, Protections::default(), true).unwrap();
}

fn assert_check_fails(protections: Protections) {
    let found = check_schedules(SCHEDULES_UNPROTECTED, protections, true);
    assert!(
        found.is_err(),
        "the check does not detect the missing protection"
    );
}

#[test]
fn contract_without_fence() {
    assert_check_fails(Protections {
        fence: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_reread() {
    assert_check_fails(Protections {
        reread_log: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_claim_first() {
    assert_check_fails(Protections {
        claim_first: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_body_check() {
    assert_check_fails(Protections {
        body_check: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_era() {
    assert_check_fails(Protections {
        era: false,
        ..Protections::default()
    });
}
