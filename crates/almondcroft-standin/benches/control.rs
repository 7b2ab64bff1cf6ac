//! Measures the control traffic, processor time and memory of idle entry VMs.
//!
//! Varies the number of VMs and targets. Counts all bytes on the loopback interface, so nothing else
//! may use it during the run; a byte between two VMs counts once.

use almondcroft_standin::keyed_calls::{KeyedCallSetup, ProcessDeployment};
use almondcroft_standin::processes::Process;
use almondcroftd::{block_on, init_threads, sleep};
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_almondcroft-standin");

/// Duration of the measurement, and of the warm-up before it.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap();
    let line = text
        .lines()
        .find(|line| line.trim().starts_with("lo:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn processor_seconds(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let rest = &text[text.rfind(')').unwrap()..];
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(12) + ticks(13)) / TICKS_PER_SECOND
}

fn resident_mib(process: &Process) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<f64>()
        .unwrap()
        / 1024.0
}

fn measure(vms: u64, targets: u64) {
    let setup = KeyedCallSetup {
        vms,
        calls: 0,
        workers: 0,
        interval_ms: 25,
        shards: 8,
        targets,
        seed: 1,
        faults: false,
    };
    let deployment = block_on(ProcessDeployment::start(&setup, Path::new(PROGRAM))).unwrap();
    block_on(sleep(MEASURE_TIME));
    let busy = || -> f64 { deployment.vms().iter().map(processor_seconds).sum() };
    let (bytes, used) = (loopback_bytes(), busy());
    block_on(sleep(MEASURE_TIME));
    let count = f64::from(u32::try_from(vms).unwrap());
    let seconds = MEASURE_TIME.as_secs_f64() * count;
    let bytes = (loopback_bytes() - bytes) / seconds;
    let core = 100.0 * (busy() - used) / seconds;
    let memory: f64 = deployment.vms().iter().map(resident_mib).sum::<f64>() / count;
    println!("| {vms} | {targets} | {bytes:.0} | {core:.2} | {memory:.1} |");
}

fn main() {
    init_threads(2);
    println!("| VMs | targets | bytes/s a VM | % of a core a VM | MiB a VM |");
    println!("|---|---|---|---|---|");
    for (vms, targets) in [(3, 1), (7, 1), (20, 1), (60, 1), (7, 13), (7, 52)] {
        measure(vms, targets);
    }
}
