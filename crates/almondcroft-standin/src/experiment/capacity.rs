//! Capacity of the engines, independent of the policy.

use super::Workload;
use super::workload::prefix_tokens;
use crate::engine::{Engine, EngineSpec, Generation};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;
use std::time::Duration;

/// Seed of the sample requests; the capacity does not depend on the experiment's seed.
const SAMPLE_SEED: u64 = 42;

/// Number of requests kept waiting in the engine at all times.
const BACKLOG_REQUESTS: usize = 64;

/// Time before completions are counted.
const WARM_UP: Duration = Duration::from_mins(2);

/// Time for which completions are counted.
const MEASURED_TIME: Duration = Duration::from_mins(10);

/// Returns the requests per second that all engines together complete under a constant backlog.
pub(super) fn requests_per_second(workload: Workload) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(SAMPLE_SEED);
    let mut engine = Engine::new(EngineSpec::default());
    let mut now = Duration::ZERO;
    let (mut submitted, mut completed) = (0_u64, 0_u32);
    while now < WARM_UP + MEASURED_TIME {
        while engine.waiting() < BACKLOG_REQUESTS {
            let arrival = workload.draw_arrival(now, &mut rng);
            let class = &workload.classes()[arrival.class];
            let id = format_smolstr!("{submitted}");
            let (prompt, length) = (u64::from(arrival.prompt), u64::from(arrival.length));
            let mut generation = Generation::new(id, prompt, length, now).priority(class.priority);
            if let Some(prefix) = arrival.prefix {
                generation = generation.prefix(prefix, prefix_tokens());
            }
            engine.submit(generation);
            submitted += 1;
        }
        let step = engine.step();
        now += step.time;
        if now > WARM_UP {
            let ended = step.tokens.iter().filter(|(_, _, last)| *last).count();
            completed += u32::try_from(ended).unwrap_or(0);
        }
    }
    let engines = u32::try_from(workload.engines()).unwrap_or(u32::MAX);
    f64::from(completed * engines) / MEASURED_TIME.as_secs_f64()
}
