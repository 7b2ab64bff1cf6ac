//! Measures the time from the acceptance of a sheet until it is active on every VM.

use almondcroft_proto::sheet::parse;
use almondcroft_standin::demo::LocalDeployment;
use almondcroft_standin::object_api::StoreFaults;
use almondcroftd::{block_on, init_threads, sleep};
use almondctl::Operator;
use hdrhistogram::Histogram;
use serde_json::json;
use std::time::{Duration, Instant};

const VMS: usize = 7;
const ROUNDS: u32 = 50;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time to wait for a revision.
const MAX_WAIT: Duration = Duration::from_secs(30);

async fn apply(deployment: &LocalDeployment, operator: &Operator, round: u32) -> u64 {
    let deadline = format!(",{},", 30_000 + round);
    let sheet = deployment.sheet().replace(",60000,", &deadline);
    let config = parse(sheet.as_bytes()).unwrap();
    operator.apply(config, None).await.unwrap().revision
}

/// Waits until `vm_count` VMs run a revision; returns the time that it took.
async fn wait_for_revision(
    deployment: &LocalDeployment,
    revision: u64,
    vm_count: usize,
) -> Duration {
    let started = Instant::now();
    loop {
        let current = deployment.vms.iter().filter(|vm| vm.revision() >= revision);
        if current.count() >= vm_count || started.elapsed() > MAX_WAIT {
            return started.elapsed();
        }
        sleep(POLL_INTERVAL).await;
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

async fn measure(deployment: &LocalDeployment, base: u32, outage: bool) -> Histogram<u64> {
    let operator = Operator::new(&deployment.store.url(), "bench");
    let mut times = Histogram::new(3).unwrap();
    for round in 0..ROUNDS {
        let revision = apply(deployment, &operator, base + round).await;
        if outage {
            // The store goes down as soon as one VM has the revision; the others get it from that VM.
            wait_for_revision(deployment, revision, 1).await;
            deployment.store_state.set_faults(StoreFaults {
                down: true,
                ..StoreFaults::default()
            });
        }
        times
            .record(millis(wait_for_revision(deployment, revision, VMS).await))
            .unwrap();
        deployment.store_state.set_faults(StoreFaults::default());
        sleep(Duration::from_millis(600)).await;
    }
    times
}

fn main() {
    init_threads(4);
    let report = block_on(async {
        let deployment = LocalDeployment::start(VMS, 1).await.unwrap();
        let normal = measure(&deployment, 0, false).await;
        let outage = measure(&deployment, 1_000, true).await;
        json!({"vms": VMS, "store_well": report(&normal), "store_lost_after_accept": report(&outage)})
    });
    println!("{report:#}");
}
