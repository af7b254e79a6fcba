//! A model engine in virtual time: batches continuously, caches prompt blocks.

use hickoryledge::core::{
    input::LoadReport,
    keys::AttemptId,
    time::{Span, Time},
};
use std::collections::{HashMap, VecDeque};

/// Requests run at once.
const SLOTS: usize = 16;

/// A step's time with an empty batch.
const STEP: Span = Span(6_000);

/// What each running request adds to a step.
const STEP_EACH: Span = Span(150);

/// Prompt tokens processed in one step.
const PREFILL: u32 = 512;

/// Prompt blocks held in the cache.
const CACHE_BLOCKS: usize = 160;

/// Tokens in one block.
pub const BLOCK: u32 = 64;

/// One request being run.
pub struct Run {
    pub daemon: usize,
    pub attempt: AttemptId,
    pub prefix: Vec<u64>,
    pub prompt: u32,
    pub next: u32,
    pub end: u32,
}

/// What one step gave.
pub enum Emitted {
    Token(usize, AttemptId, u32),
    Done(usize, AttemptId),
}

#[derive(Default)]
pub struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    cache: HashMap<u64, u64>,
    clock: u64,
    gap: Span,
    pub slow: u64,
    pub dead: bool,
    pub busy: u64,
    pub idle: u64,
}

impl Engine {
    pub fn load(&self, age: Span) -> LoadReport {
        let all = self.running.iter().chain(&self.waiting);
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            pending_tokens: all.map(|run| run.prompt).sum(),
            token_gap: self.gap,
            slots: SLOTS as u32,
            age,
            leaving: false,
        }
    }

    pub fn step_time(&self) -> Span {
        let step = STEP + STEP_EACH.times(self.running.len() as u64);
        step.times(self.slow.max(1))
    }

    pub fn take(&mut self, mut run: Run) {
        let held = run.prefix.iter().take_while(|b| self.cache.contains_key(b));
        let cached = held.count() as u32 * BLOCK;
        run.prompt = run.prompt.saturating_sub(cached);
        self.clock += 1;
        for block in &run.prefix {
            self.cache.insert(*block, self.clock);
        }
        while self.cache.len() > CACHE_BLOCKS {
            let oldest = self.cache.iter().min_by_key(|(block, at)| (**at, **block));
            let oldest = oldest.map(|(block, _)| *block).unwrap_or_default();
            self.cache.remove(&oldest);
        }
        self.waiting.push_back(run);
    }

    pub fn cancel(&mut self, daemon: usize, attempt: AttemptId) {
        let other = |run: &Run| (run.daemon, run.attempt) != (daemon, attempt);
        self.running.retain(other);
        self.waiting.retain(other);
    }

    pub fn step(&mut self, _now: Time) -> Vec<Emitted> {
        let mut emitted = Vec::new();
        if self.dead {
            return emitted;
        }
        while self.running.len() < SLOTS {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.idle += 1;
            return emitted;
        }
        self.busy += 1;
        self.gap = self.step_time();
        let mut budget = PREFILL;
        self.running.retain_mut(|run| {
            if run.prompt > 0 {
                let done = run.prompt.min(budget);
                run.prompt -= done;
                budget -= done;
                return true;
            }
            if run.next == run.end {
                emitted.push(Emitted::Done(run.daemon, run.attempt));
                return false;
            }
            emitted.push(Emitted::Token(run.daemon, run.attempt, run.next));
            run.next += 1;
            true
        });
        emitted
    }
}
