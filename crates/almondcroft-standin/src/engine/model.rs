//! Model of an engine; the caller runs the steps and advances the time.

use super::{EngineSpec, Generation};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::time::Duration;

/// Result of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// Duration of the step.
    pub time: Duration,
    /// Tokens produced: the generation, the token's offset and whether it is the last one.
    pub tokens: Vec<(SmolStr, u64, bool)>,
    /// Generations that were preempted and must be prefilled again.
    pub preempted: Vec<SmolStr>,
}

/// Engine that batches generations and decodes one token of each per step.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: EngineSpec,
    waiting: Vec<Generation>,
    running: Vec<Generation>,
    prefixes: VecDeque<(u64, u64)>,
    preemptions: u64,
}

impl Engine {
    /// Creates an idle engine.
    #[must_use]
    pub const fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            waiting: Vec::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            preemptions: 0,
        }
    }

    /// Queues a generation.
    pub fn submit(&mut self, generation: Generation) {
        self.waiting.push(generation);
    }

    /// Removes a generation; returns whether it was queued or running.
    pub fn cancel(&mut self, id: &str) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|generation| generation.id != id);
        self.running.retain(|generation| generation.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// Returns whether nothing runs or waits.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of generations in the batch.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of generations that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of preemptions since the start.
    #[must_use]
    pub const fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Returns the capacity of the KV cache, in tokens.
    #[must_use]
    pub const fn kv_total(&self) -> u64 {
        self.spec.kv_tokens
    }

    /// Returns the tokens held in the KV cache, rounded up to whole blocks for each generation.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.running
            .iter()
            .map(|generation| {
                self.spec
                    .round_to_blocks(generation.prompt + generation.produced)
            })
            .sum()
    }

    /// Runs one step.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.admit();
        let prefill = self.prefill();
        self.preempt(&mut step);
        let batch = self.running.len() as u64;
        step.time = self.spec.step_time(batch, prefill);
        for generation in &mut self.running {
            if generation.pending_prefill > 0 {
                continue;
            }
            let offset = generation.produced;
            generation.produced += 1;
            let last = generation.produced >= generation.length;
            step.tokens.push((generation.id.clone(), offset, last));
        }
        self.running
            .retain(|generation| generation.produced < generation.length);
        step
    }

    /// Moves waiting generations into the batch while the KV cache has room for them.
    ///
    /// An empty batch admits the first one even if it exceeds the KV cache.
    fn admit(&mut self) {
        self.waiting
            .sort_by_key(|generation| (generation.priority, generation.arrived_at));
        let mut used = self.kv_used();
        while self.running.len() < self.spec.max_batch && !self.waiting.is_empty() {
            let first = &self.waiting[0];
            let needed = self.spec.round_to_blocks(first.prompt + first.produced + 1);
            if used + needed > self.spec.kv_tokens && !self.running.is_empty() {
                return;
            }
            used += needed;
            let mut generation = self.waiting.remove(0);
            let cached = self.lookup_prefix(generation.prefix);
            generation.pending_prefill = (generation.prompt + generation.produced)
                .saturating_sub(cached)
                .max(1);
            self.running.push(generation);
        }
    }

    /// Looks up a prefix and marks it most recently used; returns its cached tokens.
    fn lookup_prefix(&mut self, prefix: Option<(u64, u64)>) -> u64 {
        let Some((hash, tokens)) = prefix else {
            return 0;
        };
        let is_cached = self.prefixes.iter().any(|(held, _)| *held == hash);
        self.prefixes.retain(|(held, _)| *held != hash);
        self.prefixes.push_back((hash, tokens));
        while self.cached_prefix_tokens() > self.spec.prefix_tokens {
            self.prefixes.pop_front();
        }
        if is_cached { tokens } else { 0 }
    }

    fn cached_prefix_tokens(&self) -> u64 {
        self.prefixes.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Prefills in batch order, up to one chunk; returns the number of tokens prefilled.
    fn prefill(&mut self) -> u64 {
        let mut left = self.spec.prefill_chunk;
        for generation in &mut self.running {
            let tokens = generation.pending_prefill.min(left);
            generation.pending_prefill -= tokens;
            left -= tokens;
        }
        self.spec.prefill_chunk - left
    }

    /// Preempts generations until the KV cache has room for the next token of each remaining one.
    ///
    /// Preempts the least urgent generation first, and among equals the one that arrived last.
    fn preempt(&mut self, step: &mut Step) {
        while self.running.len() > 1 {
            let needed: u64 = self
                .running
                .iter()
                .map(|generation| {
                    self.spec
                        .round_to_blocks(generation.prompt + generation.produced + 1)
                })
                .sum();
            if needed <= self.spec.kv_tokens {
                return;
            }
            let last = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, generation)| (generation.priority, generation.arrived_at))
                .map_or(0, |(index, _)| index);
            let mut victim = self.running.remove(last);
            victim.pending_prefill = victim.prompt + victim.produced;
            self.preemptions += 1;
            step.preempted.push(victim.id.clone());
            self.waiting.push(victim);
        }
    }
}

#[cfg(test)]
mod tests;
