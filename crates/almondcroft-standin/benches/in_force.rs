//! Time from an accepted sheet to its being in force at every VM.

use almondcroft_proto::sheet::parse;
use almondcroft_standin::demo::World;
use almondcroft_standin::object_api::StoreFaults;
use almondcroftd::{block_on, init_threads, sleep};
use almondctl::Operator;
use hdrhistogram::Histogram;
use serde_json::json;
use std::time::{Duration, Instant};

const VMS: usize = 7;
const ROUNDS: u32 = 50;
const LOOK_TIME: Duration = Duration::from_millis(2);
/// Longest time that is waited for.
const LIMIT: Duration = Duration::from_secs(30);

async fn apply(world: &World, operator: &Operator, round: u32) -> u64 {
    let deadline = format!(",{},", 30_000 + round);
    let sheet = world.sheet().replace(",60000,", &deadline);
    let config = parse(sheet.as_bytes()).unwrap();
    operator.apply(config, None).await.unwrap().revision
}

/// Waits until `enough` VMs have a revision in force.
async fn wait(world: &World, revision: u64, enough: usize) -> Duration {
    let started = Instant::now();
    loop {
        let current = world.vms.iter().filter(|vm| vm.revision() >= revision);
        if current.count() >= enough || started.elapsed() > LIMIT {
            return started.elapsed();
        }
        sleep(LOOK_TIME).await;
    }
}

fn report(times: &Histogram<u64>) -> serde_json::Value {
    let millis = |quantile| times.value_at_quantile(quantile);
    json!({
        "rounds": times.len(), "p50_ms": millis(0.5), "p99_ms": millis(0.99), "max_ms": times.max(),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap()
}

async fn measure(world: &World, base: u32, outage: bool) -> Histogram<u64> {
    let operator = Operator::new(&world.store.url(), "bench");
    let mut times = Histogram::new(3).unwrap();
    for round in 0..ROUNDS {
        let revision = apply(world, &operator, base + round).await;
        if outage {
            // The store is gone as soon as one VM knows; the others learn from it.
            wait(world, revision, 1).await;
            world.store_state.set_faults(StoreFaults {
                down: true,
                ..StoreFaults::default()
            });
        }
        times
            .record(millis(wait(world, revision, VMS).await))
            .unwrap();
        world.store_state.set_faults(StoreFaults::default());
        sleep(Duration::from_millis(600)).await;
    }
    times
}

fn main() {
    init_threads(4);
    let report = block_on(async {
        let world = World::start(VMS, 1).await.unwrap();
        let well = measure(&world, 0, false).await;
        let outage = measure(&world, 1_000, true).await;
        json!({"vms": VMS, "store_well": report(&well), "store_lost_after_accept": report(&outage)})
    });
    println!("{report:#}");
}
