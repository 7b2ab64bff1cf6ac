//! How many requests the engines can serve, whatever the policy.

use super::Workload;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Requests drawn to find the means of a workload.
const SAMPLES: u32 = 20_000;

/// Seed of those requests; the capacity does not depend on the experiment's seed.
const SAMPLE_SEED: u64 = 42;

/// Returns the requests a second at which all engines are full without preempting.
///
/// An engine holds as many generations as its memory takes on average; each one holds its prompt
/// and, over its life, the mean of its output so far.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub(super) fn requests_per_second(workload: Workload) -> f64 {
    let spec = workload.spec();
    let mut rng = ChaCha8Rng::seed_from_u64(SAMPLE_SEED);
    let (mut tokens, mut held, mut prompts) = (0.0, 0.0, 0.0);
    for _ in 0..SAMPLES {
        let arrival = workload.draw(Duration::ZERO, &mut rng);
        let (prompt, length) = (f64::from(arrival.prompt), f64::from(arrival.length));
        tokens += length;
        held += length * (prompt + length / 2.0);
        prompts += prompt;
    }
    let mean_held = held / tokens;
    let batch = (spec.kv_tokens as f64 / mean_held).min(spec.max_batch as f64);
    let samples = f64::from(SAMPLES);
    let (mean_tokens, mean_prompt) = (tokens / samples, prompts / samples);
    let step = spec.step_us as f64 + spec.sequence_us as f64 * batch;
    // Each request takes its share of the steps, and adds the reading of its prompt to them.
    let per_request = mean_tokens / batch * step + mean_prompt * spec.prefill_us as f64;
    workload.engines() as f64 * 1e6 / per_request
}
