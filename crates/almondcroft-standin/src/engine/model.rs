//! The engine itself, stepped in time that the caller keeps.

use super::{EngineSpec, Generation};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::time::Duration;

/// Tells what one step did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// How long it took.
    pub time: Duration,
    /// Generations that produced a token, with its offset and whether it was the last.
    pub tokens: Vec<(SmolStr, u64, bool)>,
    /// Generations that were pushed aside and must be read again.
    pub preempted: Vec<SmolStr>,
}

/// Batches generations and gives each one a token a step.
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

    /// Takes a generation.
    pub fn submit(&mut self, generation: Generation) {
        self.waiting.push(generation);
    }

    /// Drops a generation; returns whether it was there.
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

    /// Returns the generations in the batch.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the generations that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the preemptions since the start.
    #[must_use]
    pub const fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Returns the tokens that the KV memory can hold.
    #[must_use]
    pub const fn kv_total(&self) -> u64 {
        self.spec.kv_tokens
    }

    /// Returns the tokens held in KV memory, in whole blocks.
    #[must_use]
    pub fn kv_used(&self) -> u64 {
        self.running
            .iter()
            .map(|generation| self.spec.blocks(generation.prompt + generation.produced))
            .sum()
    }

    /// Runs one step.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.admit();
        let prefill = self.prefill();
        self.make_room(&mut step);
        let batch = self.running.len() as u64;
        step.time = self.spec.step_time(batch, prefill);
        for generation in &mut self.running {
            if generation.unread > 0 {
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

    /// Moves waiting generations into the batch while there is memory for what they hold.
    fn admit(&mut self) {
        self.waiting
            .sort_by_key(|generation| (generation.priority, generation.arrived));
        let mut used = self.kv_used();
        while self.running.len() < self.spec.max_batch && !self.waiting.is_empty() {
            let first = &self.waiting[0];
            let need = self.spec.blocks(first.prompt + first.produced + 1);
            if used + need > self.spec.kv_tokens && !self.running.is_empty() {
                return;
            }
            used += need;
            let mut generation = self.waiting.remove(0);
            let cached = self.cached(generation.prefix);
            generation.unread = (generation.prompt + generation.produced)
                .saturating_sub(cached)
                .max(1);
            self.running.push(generation);
        }
    }

    fn cached(&mut self, prefix: Option<(u64, u64)>) -> u64 {
        let Some((hash, tokens)) = prefix else {
            return 0;
        };
        let known = self.prefixes.iter().any(|(held, _)| *held == hash);
        self.prefixes.retain(|(held, _)| *held != hash);
        self.prefixes.push_back((hash, tokens));
        while self.held_prefixes() > self.spec.prefix_tokens {
            self.prefixes.pop_front();
        }
        if known { tokens } else { 0 }
    }

    fn held_prefixes(&self) -> u64 {
        self.prefixes.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Reads prompts, oldest first, up to the chunk; returns the tokens read.
    fn prefill(&mut self) -> u64 {
        let mut left = self.spec.prefill_chunk;
        for generation in &mut self.running {
            let read = generation.unread.min(left);
            generation.unread -= read;
            left -= read;
        }
        self.spec.prefill_chunk - left
    }

    /// Pushes generations aside until each one left has room for its next token.
    fn make_room(&mut self, step: &mut Step) {
        while self.running.len() > 1 {
            let need: u64 = self
                .running
                .iter()
                .map(|generation| {
                    self.spec
                        .blocks(generation.prompt + generation.produced + 1)
                })
                .sum();
            if need <= self.spec.kv_tokens {
                return;
            }
            let last = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, generation)| (generation.priority, generation.arrived))
                .map_or(0, |(index, _)| index);
            let mut victim = self.running.remove(last);
            victim.unread = victim.prompt + victim.produced;
            self.preemptions += 1;
            step.preempted.push(victim.id.clone());
            self.waiting.push(victim);
        }
    }
}

#[cfg(test)]
mod tests;
