//! Deterministic output text and output lengths of the simulated engine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WORDS: [&str; 16] = [
    "arroz",
    "lenteja",
    "quinua",
    "locro",
    "choclo",
    "yuca",
    "menestra",
    "encebollado",
    "seco",
    "caldo",
    "ensalada",
    "papaya",
    "mora",
    "tilapia",
    "pollo",
    "verde",
];

/// Standard deviation of the logarithm of output lengths.
const LENGTH_SPREAD: f64 = 0.8;

/// Longest output, in tokens.
const MAX_LENGTH: f64 = 20_000.0;

/// Returns the text of a token; the same seed and offset always give the same text.
#[must_use]
pub fn token_text(seed: u64, offset: u64) -> String {
    let mixed =
        (seed ^ offset.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = WORDS[usize::try_from(mixed >> 60).unwrap_or(0)];
    format!("{word}{offset} ")
}

/// Draws a heavy-tailed (log-normal) output length with the given median, in tokens.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a small positive range"
)]
pub fn draw_output_length(seed: u64, median: f64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The sum of twelve uniform numbers, less six, is close to a standard normal one.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let length = median * (LENGTH_SPREAD * normal).exp();
    length.clamp(1.0, MAX_LENGTH) as u64
}
