//! Simulated model engine in virtual time: continuous batching and a cache of prompt blocks.

use hickoryledge::core::{
    input::LoadReport,
    keys::AttemptId,
    time::{Span, Time},
};
use std::collections::{HashMap, VecDeque};

/// Maximum number of concurrent requests.
const SLOTS: usize = 16;

/// Duration of a step with an empty batch.
const STEP_TIME: Span = Span(6_000);

/// Time that each running request adds to a step.
const STEP_TIME_PER_RUN: Span = Span(150);

/// Maximum number of prompt tokens processed in one step, over all requests.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Maximum number of prompt blocks in the cache.
const MAX_CACHE_BLOCKS: usize = 160;

/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 64;

/// Request in the batch or waiting for a slot.
pub struct Run {
    /// Index of the daemon that made the attempt.
    pub daemon: usize,
    pub attempt: AttemptId,
    /// Blocks of the prompt.
    pub prefix: Vec<u64>,
    /// Prompt tokens left to process.
    pub prefill_tokens: u32,
    /// Position of the next token.
    pub next: u32,
    /// Position after the last token.
    pub end: u32,
}

/// Result of a step for one attempt of a daemon.
pub enum StepEvent {
    /// A token was generated at this position.
    Token(usize, AttemptId, u32),
    /// The request is complete.
    Finished(usize, AttemptId),
}

/// Simulated engine.
#[derive(Default)]
pub struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    /// Cached prompt blocks with the logical time of their last use.
    cache: HashMap<u64, u64>,
    /// Logical time of the cache; counts the requests.
    clock: u64,
    /// Duration of the last step.
    token_gap: Span,
    /// Factor by which steps take longer.
    pub slow_factor: u64,
    /// True if the engine has stopped responding.
    pub dead: bool,
    /// Number of steps with a request.
    pub busy_steps: u64,
    /// Number of steps without a request.
    pub idle_steps: u64,
}

impl Engine {
    /// Returns a load report of the given age.
    pub fn load_report(&self, age: Span) -> LoadReport {
        let runs = self.running.iter().chain(&self.waiting);
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            pending_tokens: runs.map(|run| run.prefill_tokens).sum(),
            token_gap: self.token_gap,
            slots: SLOTS as u32,
            age,
            leaving: false,
        }
    }

    /// Returns the duration of the next step.
    pub fn step_time(&self) -> Span {
        let step = STEP_TIME + STEP_TIME_PER_RUN.times(self.running.len() as u64);
        step.times(self.slow_factor.max(1))
    }

    /// Queues a request; prompt blocks at its start that are cached needn't be processed.
    pub fn enqueue(&mut self, mut run: Run) {
        let cached = run.prefix.iter().take_while(|b| self.cache.contains_key(b));
        let cached_tokens = cached.count() as u32 * BLOCK_TOKENS;
        run.prefill_tokens = run.prefill_tokens.saturating_sub(cached_tokens);
        self.clock += 1;
        for block in &run.prefix {
            self.cache.insert(*block, self.clock);
        }
        while self.cache.len() > MAX_CACHE_BLOCKS {
            let oldest = self.cache.iter().min_by_key(|(block, at)| (**at, **block));
            let oldest = oldest.map(|(block, _)| *block).unwrap_or_default();
            self.cache.remove(&oldest);
        }
        self.waiting.push_back(run);
    }

    /// Stops the run of an attempt.
    pub fn cancel(&mut self, daemon: usize, attempt: AttemptId) {
        let is_other = |run: &Run| (run.daemon, run.attempt) != (daemon, attempt);
        self.running.retain(is_other);
        self.waiting.retain(is_other);
    }

    /// Runs one step, in which each request processes its prompt or generates a token.
    pub fn step(&mut self, _now: Time) -> Vec<StepEvent> {
        let mut events = Vec::new();
        if self.dead {
            return events;
        }
        while self.running.len() < SLOTS {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.idle_steps += 1;
            return events;
        }
        self.busy_steps += 1;
        self.token_gap = self.step_time();
        let mut budget = PREFILL_TOKENS_PER_STEP;
        self.running.retain_mut(|run| {
            if run.prefill_tokens > 0 {
                let done = run.prefill_tokens.min(budget);
                run.prefill_tokens -= done;
                budget -= done;
                return true;
            }
            if run.next == run.end {
                events.push(StepEvent::Finished(run.daemon, run.attempt));
                return false;
            }
            events.push(StepEvent::Token(run.daemon, run.attempt, run.next));
            run.next += 1;
            true
        });
        events
    }
}
