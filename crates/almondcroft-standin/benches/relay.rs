//! Measures the overhead of streaming through an entry VM instead of directly from the engine.
//!
//! Runs engine, store and daemon as separate processes and prints one JSON object.

use almondcroft_core::config::hash_token;
use almondcroft_proto::sheet::parse;
use almondcroft_standin::demo::{Caller, StreamEnd, TOKEN};
use almondcroft_standin::processes::{Launcher, Process};
use almondcroftd::{block_on, init_threads, sleep, spawn};
use almondctl::Operator;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_almondcroft-standin");

/// Number of streams open while first tokens are timed.
const OPEN_STREAMS: u32 = 200;
/// Step duration of the engine whose first tokens are timed, in microseconds.
const QUICK_STEP_US: u64 = 200;
/// Step duration of the engine of the open streams, in microseconds.
const STEP_US: u64 = 20_000;
/// Number of requests timed directly, and as many through the daemon.
const TIMED_REQUESTS: u64 = 400;
/// Number of streams open while memory is measured.
const MANY_STREAMS: u32 = 5_000;
/// Number of streams of the throughput run, and tokens of each.
const FAST_STREAMS: u64 = 48;
const FAST_TOKENS: u64 = 10_000;

struct Bench {
    quick: Process,
    entry: Process,
    _engine: Process,
    _store: Process,
}

fn start(folder: &Path, step_us: u64) -> Bench {
    let launcher = Launcher::new(Path::new(PROGRAM), folder);
    let listen = json!({"listen": "127.0.0.1:0"});
    let store = launcher.start("object-api", "store", &listen).unwrap();
    let engine = |step_us: u64| {
        json!({
            "listen": "127.0.0.1:0",
            "spec": {
                "kv_tokens": 1_000_000_000_u64, "max_batch": 100_000, "step_us": step_us,
                "sequence_us": 0, "prefill_us": 0, "prefill_chunk": 100_000_000,
            },
        })
    };
    let quick = launcher
        .start("engine", "quick", &engine(QUICK_STEP_US))
        .unwrap();
    let engine = launcher
        .start("engine", "engine", &engine(step_us))
        .unwrap();
    let entry = json!({
        "vm": "entry-0", "region": "r", "zone": "z", "listen": "127.0.0.1:0",
        "store": store.url(), "handle_secret": "handles of a bench only",
        "peer_secret": "peers of a bench only", "threads": 2,
        "limits": {"silence_ms": 60_000}, "router": {"max_batch": 65_536},
    });
    let entry = launcher.start("entry", "entry", &entry).unwrap();
    let sheet = format!(
        "kind,id,contract,service,type,model,address,region,zone,worth,deadline_ms,priority,\
         idempotent,max_concurrent,token_sha256\n\
         service,menus,,,engine,m,,,,,,,yes,,\n\
         service,quick,,,engine,m,,,,,,,yes,,\n\
         contract,c,,quick,,,,,,1,600000,1,,,\n\
         contract,c,,menus,,,,,,1,600000,1,,,\n\
         customer,x,c,,,,,,,,,,,100000,{}\n\
         target,e,,menus,,,{},r,z,,,,,,\n\
         target,q,,quick,,,{},r,z,,,,,,\n",
        hash_token(TOKEN),
        engine.url(),
        quick.url()
    );
    let config = parse(sheet.as_bytes()).unwrap();
    let operator = Operator::new(store.url(), "bench");
    block_on(operator.apply(config, None)).unwrap();
    block_on(sleep(Duration::from_secs(1)));
    Bench {
        quick,
        entry,
        _engine: engine,
        _store: store,
    }
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(process: &Process) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn processor_seconds(process: &Process) -> f64 {
    /// Clock ticks per second of the times in `/proc`.
    const TICKS_PER_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let rest = &text[text.rfind(')').unwrap()..];
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    (ticks(12) + ticks(13)) / TICKS_PER_SECOND
}

fn open_many(url: &str, count: u32, tokens: u64) {
    for number in 0..count {
        let url = url.to_owned();
        spawn(async move {
            let prompt = format!("open stream {number}");
            Caller::default().stream(&url, &prompt, tokens).await;
        });
    }
}

/// Measures the time to the first token alternately directly and through the daemon, while other
/// streams are open.
fn measure_first_tokens(folder: &Path) -> Value {
    let bench = start(folder, STEP_US);
    open_many(bench.entry.url(), OPEN_STREAMS, 100_000);
    block_on(sleep(Duration::from_secs(2)));
    let caller = Caller::default();
    let mut times = [
        Histogram::<u64>::new(3).unwrap(),
        Histogram::<u64>::new(3).unwrap(),
    ];
    for round in 0..TIMED_REQUESTS {
        for (times, url) in times.iter_mut().zip([bench.quick.url(), bench.entry.url()]) {
            let prompt = format!("timed {round}");
            let streamed = block_on(caller.stream_service(url, "quick", &prompt, 2, 1));
            times
                .record(u64::try_from(streamed.event_times[0].as_micros()).unwrap())
                .unwrap();
        }
    }
    let micros = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile);
    json!({
        "open_streams": OPEN_STREAMS,
        "direct_p50_us": micros(&times[0], 0.5), "direct_p99_us": micros(&times[0], 0.99),
        "entry_p50_us": micros(&times[1], 0.5), "entry_p99_us": micros(&times[1], 0.99),
        "added_p50_us": micros(&times[1], 0.5).saturating_sub(micros(&times[0], 0.5)),
        "added_p99_us": micros(&times[1], 0.99).saturating_sub(micros(&times[0], 0.99)),
    })
}

fn measure_throughput(folder: &Path) -> Value {
    let bench = start(folder, 50);
    let before = processor_seconds(&bench.entry);
    let started = Instant::now();
    let (ended, all) = async_channel::unbounded();
    for number in 0..FAST_STREAMS {
        let (url, ended) = (bench.entry.url().to_owned(), ended.clone());
        spawn(async move {
            let prompt = format!("fast {number}");
            let streamed = Caller::default().stream(&url, &prompt, FAST_TOKENS).await;
            let complete = streamed.end == StreamEnd::Done;
            let _ = ended.send((complete, streamed.tokens as u64)).await;
        });
    }
    drop(ended);
    let (mut all_complete, mut tokens) = (true, 0);
    block_on(async {
        while let Ok((complete, count)) = all.recv().await {
            all_complete &= complete;
            tokens += count;
        }
    });
    let used = processor_seconds(&bench.entry) - before;
    let seconds = started.elapsed().as_secs_f64();
    let tokens = f64::from(u32::try_from(tokens).unwrap());
    json!({
        "whole": all_complete,
        "tokens_per_s": tokens / seconds,
        "busy_cores": used / seconds,
        "tokens_per_s_per_busy_core": tokens / used,
    })
}

fn measure_memory(folder: &Path) -> Value {
    let bench = start(folder, 10 * STEP_US);
    let before = resident_kib(&bench.entry);
    open_many(bench.entry.url(), MANY_STREAMS, 100_000);
    block_on(sleep(Duration::from_secs(30)));
    let after = resident_kib(&bench.entry);
    let grown = u32::try_from(after - before).unwrap();
    let kib = f64::from(grown) / f64::from(MANY_STREAMS);
    let reached = block_on(streams_in_flight(bench.entry.url()));
    json!({"open_streams": reached, "kib_per_stream": kib, "resident_kib": after})
}

async fn streams_in_flight(url: &str) -> Value {
    let url = format!("{url}/status");
    let outbound = almondcroftd::http::Outbound::new();
    let limit = Duration::from_secs(10);
    let call = outbound.call(trillium::Method::Get, &url, &[], Vec::new(), limit);
    let conn = call.await.unwrap();
    let bytes = almondcroftd::http::Outbound::read_body(conn, 65_536, limit).await;
    let status: Value = serde_json::from_slice(&bytes.unwrap()).unwrap();
    status["in_flight"].clone()
}

fn main() {
    init_threads(2);
    let folder = std::env::temp_dir().join(format!("almondcroft-{}", uuid::Uuid::new_v4()));
    std::fs::create_dir_all(&folder).unwrap();
    let report = json!({
        "first_token": measure_first_tokens(&folder),
        "throughput": measure_throughput(&folder),
        "memory": measure_memory(&folder),
    });
    println!("{report:#}");
    std::fs::remove_dir_all(&folder).unwrap();
}
