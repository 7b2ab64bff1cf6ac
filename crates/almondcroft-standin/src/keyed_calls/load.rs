//! Callers, fault injection and the check of replies against executions.

use super::ProcessDeployment;
use crate::demo::{Caller, Reply};
use almondcroftd::{sleep, spawn};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Largest number of attempts with one key.
const MAX_ATTEMPTS: u32 = 60;

/// Time between two attempts.
const ATTEMPT_DELAY: Duration = Duration::from_millis(200);

/// Time between two injected faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time for which a VM is paused.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct KeyedCallSetup {
    /// Number of entry VMs.
    pub vms: u64,
    /// Number of keyed calls.
    pub calls: u64,
    /// Number of concurrent callers.
    pub workers: u64,
    /// Shortest time between two writes of a claim shard, in milliseconds.
    pub interval_ms: u64,
    /// Number of claim shards.
    pub shards: u64,
    /// Number of targets of the service; all are the same process.
    pub targets: u64,
    /// Random seed of the faults and of the callers' choices of a VM.
    pub seed: u64,
    /// Whether daemons are killed and paused and store responses are lost.
    pub faults: bool,
}

/// Results of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KeyedCallReport {
    /// Number of keyed calls.
    pub calls: u64,
    /// Number of attempts, including the first ones.
    pub attempts: u64,
    /// Keys that were executed more than once.
    pub double_runs: u64,
    /// Keys that were executed although their last reply was `not-run`.
    pub false_refusals: u64,
    /// Keys whose reply has the outcome of an execution with another key.
    pub wrong_answers: u64,
    /// Keys whose reply has an outcome.
    pub completed: u64,
    /// Keys whose last reply was `may-have-run`.
    pub unknown: u64,
    /// Keys counted in `unknown` that were executed.
    pub unknown_executed: u64,
    /// Keys whose last reply was `not-run`, including the false refusals.
    pub refused: u64,
    /// Number of VMs killed.
    pub kills: u64,
    /// Number of VMs paused.
    pub pauses: u64,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Calls per second.
    pub calls_per_s: f64,
    /// Median latency of calls whose first attempt succeeded, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of these latencies, in milliseconds.
    pub p99_ms: f64,
    /// Maximum of these latencies, in milliseconds.
    pub max_ms: f64,
    /// Store writes per second.
    pub store_writes_per_s: f64,
    /// Store reads per second.
    pub store_reads_per_s: f64,
    /// Store writes per call.
    pub store_writes_per_call: f64,
}

impl KeyedCallReport {
    /// Encodes the report as JSON.
    ///
    /// # Panics
    ///
    /// Never: a report always serializes.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report serializes")
    }

    /// Returns whether no call ran twice and every reply was correct.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.double_runs == 0 && self.false_refusals == 0 && self.wrong_answers == 0
    }
}

struct LoadState {
    urls: Vec<String>,
    next_call: AtomicU64,
    attempts: AtomicU64,
    replies: Mutex<HashMap<String, Reply>>,
    latencies: Mutex<Histogram<u64>>,
    setup: KeyedCallSetup,
}

impl LoadState {
    /// Runs one caller, which makes calls until none are left.
    async fn run_worker(&self, worker: u64) {
        let caller = Caller::default();
        let mut rng = ChaCha8Rng::seed_from_u64(self.setup.seed * 1_000 + worker);
        while self.next_call.fetch_add(1, Ordering::SeqCst) < self.setup.calls {
            let key = uuid::Uuid::now_v7().to_string();
            let reply = self.call_until_final(&caller, &key, &mut rng).await;
            let mut replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
            replies.insert(key, reply);
        }
    }

    /// Repeats a call at random VMs until it has a final reply or the attempts are used up.
    async fn call_until_final(&self, caller: &Caller, key: &str, rng: &mut ChaCha8Rng) -> Reply {
        let mut last = None;
        for attempt in 0..MAX_ATTEMPTS {
            let vm = rng.random_range(0..self.urls.len());
            self.attempts.fetch_add(1, Ordering::SeqCst);
            let started = Instant::now();
            let reply = caller.call(&self.urls[vm], "orders", Some(key), key).await;
            if reply.status == 200 {
                if attempt == 0 {
                    self.record_latency(started.elapsed());
                }
                return reply;
            }
            let is_final = reply.status == 409;
            if reply.status != 0 {
                last = Some(reply);
            }
            if is_final {
                break;
            }
            sleep(ATTEMPT_DELAY).await;
        }
        last.unwrap_or(Reply {
            status: 0,
            verdict: Some("may-have-run".into()),
            body: String::new(),
        })
    }

    fn record_latency(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        latencies
            .record(micros.max(1))
            .expect("the histogram grows");
    }
}

pub(super) async fn run(setup: &KeyedCallSetup, program: &Path) -> Result<KeyedCallReport, String> {
    let mut deployment = ProcessDeployment::start(setup, program).await?;
    let state = Arc::new(LoadState {
        urls: deployment
            .vms
            .iter()
            .map(|vm| vm.url().to_owned())
            .collect(),
        next_call: AtomicU64::new(0),
        attempts: AtomicU64::new(0),
        replies: Mutex::new(HashMap::new()),
        latencies: Mutex::new(Histogram::new(3).map_err(|error| error.to_string())?),
        setup: *setup,
    });
    let before = store_counts(&deployment).await?;
    let started = Instant::now();
    let (ended, all_ended) = async_channel::bounded::<()>(1);
    for worker in 0..setup.workers {
        let (state, ended) = (Arc::clone(&state), ended.clone());
        spawn(async move {
            state.run_worker(worker).await;
            drop(ended);
        });
    }
    drop(ended);
    let mut injector = FaultInjector {
        rng: ChaCha8Rng::seed_from_u64(setup.seed),
        kills: 0,
        pauses: 0,
    };
    while !all_ended.is_closed() {
        if setup.faults {
            injector.inject(&mut deployment).await?;
        }
        let ending = async {
            let _ = all_ended.recv().await;
        };
        futures_lite::future::or(ending, sleep(FAULT_INTERVAL)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = store_counts(&deployment).await?;
    let url = format!("{}/admin/executions", deployment.orders.url());
    let executions = deployment.read_json(&url).await?;
    let mut report = check_replies(&state, &executions);
    report.kills = injector.kills;
    report.pauses = injector.pauses;
    add_rates(&mut report, &state, seconds, before, after);
    Ok(report)
}

async fn store_counts(deployment: &ProcessDeployment) -> Result<(f64, f64), String> {
    let url = format!("{}/admin/counts", deployment.store.url());
    let counts = deployment.read_json(&url).await?;
    let number = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    Ok((number("writes"), number("reads")))
}

struct FaultInjector {
    rng: ChaCha8Rng,
    kills: u64,
    pauses: u64,
}

impl FaultInjector {
    async fn inject(&mut self, deployment: &mut ProcessDeployment) -> Result<(), String> {
        let vm = self.rng.random_range(0..deployment.vms.len());
        let lost = self.rng.random_range(0..20);
        let store = deployment.store.url().to_owned();
        deployment
            .set_faults(&store, &json!({"lose_answers": lost}))
            .await;
        let text = |error: crate::processes::ProcessError| error.to_string();
        if self.rng.random::<bool>() {
            self.kills += 1;
            return deployment.restart_vm(vm).map_err(text);
        }
        self.pauses += 1;
        deployment.vms[vm].signal("STOP").map_err(text)?;
        sleep(PAUSE_TIME).await;
        deployment.vms[vm].signal("CONT").map_err(text)
    }
}

/// Compares the replies with the executions that the service recorded.
fn check_replies(state: &LoadState, executions: &Value) -> KeyedCallReport {
    let empty = Vec::new();
    let list = executions.as_array().unwrap_or(&empty);
    let mut runs: HashMap<&str, Vec<u64>> = HashMap::new();
    for (index, execution) in list.iter().enumerate() {
        let key = execution["key"].as_str().unwrap_or_default();
        runs.entry(key).or_default().push(index as u64 + 1);
    }
    let replies = state.replies.lock().unwrap_or_else(PoisonError::into_inner);
    let mut report = KeyedCallReport {
        calls: state.setup.calls,
        attempts: state.attempts.load(Ordering::SeqCst),
        double_runs: runs.values().filter(|runs| runs.len() > 1).count() as u64,
        false_refusals: 0,
        wrong_answers: 0,
        completed: 0,
        unknown: 0,
        unknown_executed: 0,
        refused: 0,
        kills: 0,
        pauses: 0,
        seconds: 0.0,
        calls_per_s: 0.0,
        p50_ms: 0.0,
        p99_ms: 0.0,
        max_ms: 0.0,
        store_writes_per_s: 0.0,
        store_reads_per_s: 0.0,
        store_writes_per_call: 0.0,
    };
    for (key, reply) in replies.iter() {
        let ran = runs.get(key.as_str());
        if reply.status == 200 {
            report.completed += 1;
            let body: Value = serde_json::from_str(&reply.body).unwrap_or_default();
            let number = body["execution"].as_u64().unwrap_or(0);
            let right = ran.is_some_and(|runs| runs.contains(&number));
            report.wrong_answers += u64::from(!right);
        } else if reply.verdict.as_deref() == Some("not-run") {
            report.refused += 1;
            report.false_refusals += u64::from(ran.is_some());
        } else {
            report.unknown += 1;
            report.unknown_executed += u64::from(ran.is_some());
        }
    }
    report
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn add_rates(
    report: &mut KeyedCallReport,
    state: &LoadState,
    seconds: f64,
    before: (f64, f64),
    after: (f64, f64),
) {
    let latencies = state
        .latencies
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let millis = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    report.seconds = seconds;
    report.calls_per_s = report.calls as f64 / seconds;
    report.p50_ms = millis(0.5);
    report.p99_ms = millis(0.99);
    report.max_ms = latencies.max() as f64 / 1000.0;
    report.store_writes_per_s = (after.0 - before.0) / seconds;
    report.store_reads_per_s = (after.1 - before.1) / seconds;
    report.store_writes_per_call = (after.0 - before.0) / report.calls as f64;
}
