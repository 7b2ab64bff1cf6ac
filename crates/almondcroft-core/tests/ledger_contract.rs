//! The contract of the ledger, checked over interleavings of faults in virtual time.
//!
//! `executions <= 1` per key; an attempt that was answered `not-run` never ran, and neither did an
//! earlier one with its key while one VM appends; an answered outcome is that of the one run.
//!
//! `ALMONDCROFT_SCHEDULES` and `ALMONDCROFT_SEED` run more schedules or others.

#[path = "ledger_contract/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use world::{Protections, World};

/// Schedules that each protected mode runs.
const SCHEDULES: u32 = 100_000;

/// Schedules within which a missing protection must show.
const SCHEDULES_UNPROTECTED: u32 = 50_000;

/// Longest schedule, in steps.
const MAX_STEPS: usize = 160;

fn number(name: &str, default: u32) -> u32 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check(cases: u32, protections: Protections, split: bool) -> Result<(), String> {
    let seed = number("ALMONDCROFT_SEED", 7);
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
        let mut world = World::new(protections, split);
        world.run(&words).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, words)) => Err(format!("{reason}: {words:?}")),
        Err(TestError::Abort(reason)) => Err(format!("aborted: {reason}")),
    }
}

#[test]
fn contract_one_appender() {
    let cases = number("ALMONDCROFT_SCHEDULES", SCHEDULES);
    check(cases, Protections::default(), false).unwrap();
}

#[test]
fn contract_many_appenders() {
    let cases = number("ALMONDCROFT_SCHEDULES", SCHEDULES);
    check(cases, Protections::default(), true).unwrap();
}

fn fails_without(protections: Protections) {
    let found = check(SCHEDULES_UNPROTECTED, protections, true);
    assert!(found.is_err(), "the check does not see what is missing");
}

#[test]
fn contract_without_fence() {
    fails_without(Protections {
        fence: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_settling_lost_answers() {
    fails_without(Protections {
        settle: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_claim_first() {
    fails_without(Protections {
        claim_first: false,
        ..Protections::default()
    });
}

#[test]
fn contract_without_body_check() {
    fails_without(Protections {
        body_check: false,
        ..Protections::default()
    });
}
