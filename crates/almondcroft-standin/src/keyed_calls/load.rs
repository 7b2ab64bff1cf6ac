//! Callers, faults and the count of what ran.

use super::Deployment;
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

/// Attempts of a caller with one key.
const MAX_ATTEMPTS: u32 = 60;

/// Time between two attempts.
const ATTEMPT_DELAY: Duration = Duration::from_millis(200);

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time for which a VM is paused.
const PAUSE_TIME: Duration = Duration::from_millis(2_500);

/// Describes a run.
#[derive(Debug, Clone, Copy)]
pub struct LoadSetup {
    /// Number of entry VMs.
    pub vms: u64,
    /// Number of keyed calls.
    pub calls: u64,
    /// Callers at the same time.
    pub workers: u64,
    /// Shortest time between two writes of a claim shard, in milliseconds.
    pub interval_ms: u64,
    /// Number of claim shards.
    pub shards: u64,
    /// Targets of the service; all are the same process.
    pub targets: u64,
    /// Seed of the faults and of the callers' choices.
    pub seed: u64,
    /// Whether daemons are killed and paused and answers of the store lost.
    pub faults: bool,
}

/// Counts what came of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Keyed calls.
    pub calls: u64,
    /// Attempts, the first ones included.
    pub attempts: u64,
    /// Keys that were executed more than once.
    pub double_runs: u64,
    /// Keys last answered `not-run` that were executed.
    pub false_refusals: u64,
    /// Keys answered with another key's execution.
    pub wrong_answers: u64,
    /// Keys answered with their outcome.
    pub completed: u64,
    /// Keys last answered `may-have-run`.
    pub unknown: u64,
    /// Of those, keys that were executed.
    pub unknown_executed: u64,
    /// Keys last answered `not-run`, truly.
    pub refused: u64,
    /// Kills of VMs.
    pub kills: u64,
    /// Pauses of VMs.
    pub pauses: u64,
    /// Seconds that the run took.
    pub seconds: f64,
    /// Calls a second.
    pub calls_per_s: f64,
    /// Median time of a first attempt that succeeded, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same.
    pub p99_ms: f64,
    /// Longest of the same.
    pub max_ms: f64,
    /// Writes of the store for each second.
    pub store_writes_per_s: f64,
    /// Reads of the store for each second.
    pub store_reads_per_s: f64,
    /// Writes of the store for each call.
    pub store_writes_per_call: f64,
}

impl LoadReport {
    /// Encodes the report.
    ///
    /// # Panics
    ///
    /// Never: a report always serializes.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report serializes")
    }

    /// Returns whether nothing ran twice and every answer was true.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.double_runs == 0 && self.false_refusals == 0 && self.wrong_answers == 0
    }
}

struct Shared {
    urls: Vec<String>,
    next: AtomicU64,
    attempts: AtomicU64,
    done: Mutex<HashMap<String, Reply>>,
    times: Mutex<Histogram<u64>>,
    setup: LoadSetup,
}

impl Shared {
    /// Makes calls until none are left.
    async fn work(&self, worker: u64) {
        let caller = Caller::default();
        let mut rng = ChaCha8Rng::seed_from_u64(self.setup.seed * 1_000 + worker);
        while self.next.fetch_add(1, Ordering::SeqCst) < self.setup.calls {
            let key = uuid::Uuid::now_v7().to_string();
            let reply = self.call(&caller, &key, &mut rng).await;
            let mut done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
            done.insert(key, reply);
        }
    }

    /// Repeats a call at random VMs until it has an outcome or the attempts are used up.
    async fn call(&self, caller: &Caller, key: &str, rng: &mut ChaCha8Rng) -> Reply {
        let mut last = None;
        for attempt in 0..MAX_ATTEMPTS {
            let vm = rng.random_range(0..self.urls.len());
            self.attempts.fetch_add(1, Ordering::SeqCst);
            let started = Instant::now();
            let reply = caller.call(&self.urls[vm], "orders", Some(key), key).await;
            if reply.status == 200 {
                if attempt == 0 {
                    self.note_time(started.elapsed());
                }
                return reply;
            }
            let settled = reply.status == 409;
            if reply.status != 0 {
                last = Some(reply);
            }
            if settled {
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

    fn note_time(&self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.record(micros.max(1)).expect("the histogram grows");
    }
}

pub(super) async fn run(setup: &LoadSetup, program: &Path) -> Result<LoadReport, String> {
    let mut deployment = Deployment::start(setup, program).await?;
    let shared = Arc::new(Shared {
        urls: deployment
            .vms
            .iter()
            .map(|vm| vm.url().to_owned())
            .collect(),
        next: AtomicU64::new(0),
        attempts: AtomicU64::new(0),
        done: Mutex::new(HashMap::new()),
        times: Mutex::new(Histogram::new(3).map_err(|error| error.to_string())?),
        setup: *setup,
    });
    let before = counts(&deployment).await?;
    let started = Instant::now();
    let (ended, all_ended) = async_channel::bounded::<()>(1);
    for worker in 0..setup.workers {
        let (shared, ended) = (Arc::clone(&shared), ended.clone());
        spawn(async move {
            shared.work(worker).await;
            drop(ended);
        });
    }
    drop(ended);
    let mut faults = Faults {
        rng: ChaCha8Rng::seed_from_u64(setup.seed),
        kills: 0,
        pauses: 0,
    };
    while !all_ended.is_closed() {
        if setup.faults {
            faults.inject(&mut deployment).await?;
        }
        let ending = async {
            let _ = all_ended.recv().await;
        };
        futures_lite::future::or(ending, sleep(FAULT_INTERVAL)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = counts(&deployment).await?;
    let url = format!("{}/admin/executions", deployment.orders.url());
    let executions = deployment.read(&url).await?;
    let mut report = judge(&shared, &executions);
    report.kills = faults.kills;
    report.pauses = faults.pauses;
    add_times(&mut report, &shared, seconds, before, after);
    Ok(report)
}

async fn counts(deployment: &Deployment) -> Result<(f64, f64), String> {
    let url = format!("{}/admin/counts", deployment.store.url());
    let counts = deployment.read(&url).await?;
    let number = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    Ok((number("writes"), number("reads")))
}

struct Faults {
    rng: ChaCha8Rng,
    kills: u64,
    pauses: u64,
}

impl Faults {
    async fn inject(&mut self, deployment: &mut Deployment) -> Result<(), String> {
        let vm = self.rng.random_range(0..deployment.vms.len());
        let lost = self.rng.random_range(0..20);
        let store = deployment.store.url().to_owned();
        deployment
            .set_faults(&store, &json!({"lose_answers": lost}))
            .await;
        let text = |error: crate::processes::ProcessError| error.to_string();
        if self.rng.random::<bool>() {
            self.kills += 1;
            return deployment.replace_vm(vm).map_err(text);
        }
        self.pauses += 1;
        deployment.vms[vm].signal("STOP").map_err(text)?;
        sleep(PAUSE_TIME).await;
        deployment.vms[vm].signal("CONT").map_err(text)
    }
}

/// Holds the answers against what the service executed.
fn judge(shared: &Shared, executions: &Value) -> LoadReport {
    let empty = Vec::new();
    let list = executions.as_array().unwrap_or(&empty);
    let mut runs: HashMap<&str, Vec<u64>> = HashMap::new();
    for (index, execution) in list.iter().enumerate() {
        let key = execution["key"].as_str().unwrap_or_default();
        runs.entry(key).or_default().push(index as u64 + 1);
    }
    let done = shared.done.lock().unwrap_or_else(PoisonError::into_inner);
    let mut report = LoadReport {
        calls: shared.setup.calls,
        attempts: shared.attempts.load(Ordering::SeqCst),
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
    for (key, reply) in done.iter() {
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
fn add_times(
    report: &mut LoadReport,
    shared: &Shared,
    seconds: f64,
    before: (f64, f64),
    after: (f64, f64),
) {
    let times = shared.times.lock().unwrap_or_else(PoisonError::into_inner);
    let millis = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1000.0;
    report.seconds = seconds;
    report.calls_per_s = report.calls as f64 / seconds;
    report.p50_ms = millis(0.5);
    report.p99_ms = millis(0.99);
    report.max_ms = times.max() as f64 / 1000.0;
    report.store_writes_per_s = (after.0 - before.0) / seconds;
    report.store_reads_per_s = (after.1 - before.1) / seconds;
    report.store_writes_per_call = (after.0 - before.0) / report.calls as f64;
}
