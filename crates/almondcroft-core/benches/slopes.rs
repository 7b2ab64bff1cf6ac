//! Prints the memory and time per key, target and customer as a Markdown table.

use almondcroft_core::config::{
    Config, Contract, Customer, Fencing, Service, ServiceKind, Target, Terms, hash_token,
};
use almondcroft_core::ledger::{Claim, ClaimTable, Entry, Outcome, Segment};
use almondcroft_core::membership::{Evidence, HealthTable, rank_members};
use almondcroft_core::router::{LengthEstimator, Router, RouterOptions, TargetSpec};
use almondcroft_core::{HandleKey, ResumeHandle};
use flate2::Compression;
use flate2::write::GzEncoder;
use smol_str::SmolStr;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;
use std::hint::black_box;
use std::io::Write;
use std::time::{Duration, Instant};

#[global_allocator]
static GLOBAL: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const KEYS: u32 = 400_000;
const CUSTOMERS: u32 = 2_200;
const TARGETS: u32 = 740;
const VMS: u32 = 360;
const ROUNDS: u32 = 20_000;

/// Prints the memory per item that the result of `make` holds for `count` items.
fn print_memory<T>(name: &str, count: u32, make: impl FnOnce() -> T) {
    let region = Region::new(GLOBAL);
    let value = make();
    let change = region.change();
    let bytes = u32::try_from(change.bytes_allocated - change.bytes_deallocated).unwrap();
    let each = f64::from(bytes) / f64::from(count);
    println!("| {name} | {each:.0} | bytes | {count} |");
    drop(black_box(value));
}

/// Prints the mean time of one call over `rounds` calls.
fn print_time(name: &str, rounds: u32, mut call: impl FnMut(u32)) {
    let started = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    let nanos = started.elapsed().as_secs_f64() * 1e9 / f64::from(rounds);
    println!("| {name} | {nanos:.0} | ns | {rounds} |");
}

fn claim(number: u32) -> Claim {
    Claim {
        key: [u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15), 1],
        body: 1,
        nonce: u64::from(number),
        vm: "entry-123".into(),
        incarnation: 1,
        at: Duration::from_secs(1_000),
        issued_at: None,
        deadline: Duration::from_secs(1_010),
    }
}

fn outcome(number: u32) -> Entry {
    Entry::Outcome {
        key: claim(number).key,
        nonce: u64::from(number),
        outcome: Outcome::new(
            200,
            Some("application/json".into()),
            b"{\"execution\":12345}",
        ),
    }
}

fn table(outcomes: bool) -> ClaimTable {
    let mut table = ClaimTable::default();
    for number in 0..KEYS {
        table.apply(&Entry::Claim(claim(number)));
        if outcomes {
            table.apply(&outcome(number));
        }
    }
    table
}

fn config() -> Config {
    let mut config = Config::default();
    let terms = Terms {
        worth: 2.5,
        deadline_ms: 60_000,
        priority: 1,
    };
    for model in 0..40 {
        let id: SmolStr = format!("model-{model}").into();
        config.services.insert(
            id.clone(),
            Service {
                id,
                kind: ServiceKind::Engine,
                model: Some("model".into()),
                idempotent: true,
            },
        );
    }
    for number in 0..CUSTOMERS {
        let id: SmolStr = format!("customer-{number}").into();
        config.customers.insert(
            id.clone(),
            Customer {
                id,
                contract: format!("contract-{}", number % 100).into(),
                token_sha256: hash_token(&format!("token-{number}")).into(),
                max_concurrent: 64,
            },
        );
    }
    for number in 0..100 {
        let id: SmolStr = format!("contract-{number}").into();
        let services = config.services.keys().cloned();
        let terms = services.map(|service| (service, terms.clone())).collect();
        config.contracts.insert(id.clone(), Contract { id, terms });
    }
    for number in 0..TARGETS {
        let id: SmolStr = format!("target-{number}").into();
        config.targets.insert(
            id.clone(),
            Target {
                id,
                services: vec![format!("model-{}", number % 40).into()],
                address: "http://10.20.30.40:8000".into(),
                region: "region-1".into(),
                zone: "zone-1".into(),
                fencing: Fencing::Checked,
            },
        );
    }
    config
}

fn router() -> Router {
    let mut router = Router::new(RouterOptions::default(), 1);
    let specs = (0..TARGETS).map(|number| TargetSpec {
        id: format!("target-{number}").into(),
        services: vec!["menus".into()],
        region: "region-1".into(),
    });
    router.set_targets(specs.collect());
    router
}

fn estimator() -> LengthEstimator {
    let mut estimator = LengthEstimator::default();
    for number in 0..CUSTOMERS {
        estimator.record(&"menus".into(), &format!("customer-{number}").into(), 100);
    }
    estimator
}

fn main() {
    println!("| what | slope | unit | measured over |\n|---|---|---|---|");
    print_memory("claim in the table, no outcome", KEYS, || table(false));
    print_memory("claim in the table, with its outcome", KEYS, || table(true));
    print_memory("target in the router", TARGETS, router);
    print_memory(
        "customer and service in the length estimates",
        CUSTOMERS,
        estimator,
    );
    print_memory(
        "customer in the configuration, with its share of the rest",
        CUSTOMERS,
        config,
    );
    let full_config = config();
    let encoded = serde_json::to_vec(&full_config).unwrap().len();
    println!("| configuration at full size, encoded | {encoded} | bytes | 1 |");
    let mut gzip = GzEncoder::new(Vec::new(), Compression::default());
    gzip.write_all(&serde_json::to_vec(&full_config).unwrap())
        .unwrap();
    let gzip_bytes = gzip.finish().unwrap().len();
    println!("| configuration at full size, compressed with gzip | {gzip_bytes} | bytes | 1 |");
    let entries = vec![Entry::Claim(claim(1)), outcome(1)];
    let segment = Segment {
        entries,
        ..Segment::default()
    };
    let encoded = serde_json::to_vec(&segment).unwrap().len();
    println!("| claim and outcome in the log, encoded | {encoded} | bytes | 1 |");

    let mut table = ClaimTable::default();
    print_time("apply a claim and its outcome", ROUNDS, |round| {
        table.apply(&Entry::Claim(claim(round)));
        table.apply(&outcome(round));
    });
    let key = HandleKey::new(b"secret");
    let mut handle = ResumeHandle {
        customer: "customer-1".into(),
        service: "menus".into(),
        target: "target-1".into(),
        generation: "gen-01900000-0000-7000-8000-000000000000".into(),
        offset: 0,
        chat: false,
    };
    print_time("seal a resume handle", ROUNDS, |round| {
        handle.offset = u64::from(round);
        black_box(handle.seal(&key));
    });
    let mut health = HealthTable::default();
    let names: Vec<SmolStr> = (0..TARGETS)
        .map(|number| format!("t-{number}").into())
        .collect();
    print_time("record evidence about a target", ROUNDS, |round| {
        let name = &names[(round % TARGETS) as usize];
        health.observe(name, Evidence::Answered, Duration::from_secs(1));
    });
    let vms: Vec<SmolStr> = (0..VMS)
        .map(|number| format!("entry-{number}").into())
        .collect();
    print_time("rank 360 VMs for a shard", 2_000, |round| {
        black_box(rank_members(&vms, u64::from(round)));
    });
    let tokens: Vec<SmolStr> = full_config
        .customers
        .values()
        .map(|customer| customer.token_sha256.clone())
        .collect();
    print_time("find a customer among 2,200 by its token", 2_000, |round| {
        let token = &tokens[(round % CUSTOMERS) as usize];
        black_box(full_config.customer_by_token(token));
    });
    print_time("encode the configuration at full size", 50, |_| {
        black_box(serde_json::to_vec(&full_config).unwrap());
    });
}
