//! Simulated model engine: continuous batching, one token per step for each run.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;

use crate::fault::Fault;

/// Maximum number of prompt tokens processed in one step, over all runs.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Event in the response body of a run.
pub enum BodyEvent {
    /// Bytes of the response.
    Data(Bytes),
    /// Reset of the connection.
    Cut,
}

/// Completion in the batch or waiting for a slot.
pub struct Run {
    /// Daemon that made the attempt, and the attempt's number.
    pub attempt: (String, u64),
    /// Prompt from which the text is derived.
    pub prompt: String,
    /// Prompt tokens left to process.
    pub prefill_tokens: u32,
    /// Position of the next token.
    pub next: u32,
    /// Position after the last token.
    pub end: u32,
    /// Number of tokens written by this run.
    pub written_tokens: u32,
    /// True if a fault has silenced the connection.
    pub muted: bool,
    /// Sender of the response body.
    pub sender: UnboundedSender<BodyEvent>,
}

/// Runs of one engine.
#[derive(Default)]
pub struct Engine {
    /// Runs in the batch.
    pub running: Vec<Run>,
    /// Runs waiting for a slot.
    pub waiting: VecDeque<Run>,
    /// Number of runs started for each request body.
    pub starts: BTreeMap<String, u64>,
    /// Number of runs that were cancelled.
    pub cancelled: u64,
}

impl Engine {
    /// Stops the run of an attempt.
    pub fn cancel(&mut self, attempt: &(String, u64)) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|run| run.attempt != *attempt);
        self.waiting.retain(|run| run.attempt != *attempt);
        self.cancelled += (before - self.running.len() - self.waiting.len()) as u64;
    }

    /// Silences all connections that are open now.
    pub fn mute_open(&mut self) {
        for run in self.running.iter_mut().chain(self.waiting.iter_mut()) {
            run.muted = true;
        }
    }

    /// Returns the number of prompt tokens left to process.
    pub fn pending_tokens(&self) -> u32 {
        let runs = self.running.iter().chain(self.waiting.iter());
        runs.map(|run| run.prefill_tokens).sum()
    }

    /// Runs one step of the batch.
    fn step(&mut self, slots: usize, fault: &Fault) {
        while self.running.len() < slots {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(run);
        }
        let mut budget = PREFILL_TOKENS_PER_STEP;
        self.running.retain_mut(|run| {
            if run.prefill_tokens > 0 {
                let done = run.prefill_tokens.min(budget);
                run.prefill_tokens -= done;
                budget -= done;
                return true;
            }
            run.emit(fault)
        });
    }
}

impl Run {
    /// Writes the next token; returns false once the run is over.
    fn emit(&mut self, fault: &Fault) -> bool {
        if self.muted
            || fault
                .stall_after
                .is_some_and(|limit| self.written_tokens >= limit)
        {
            return !self.sender.is_closed();
        }
        if fault
            .cut_after
            .is_some_and(|limit| self.written_tokens >= limit)
        {
            let _ = self.sender.unbounded_send(BodyEvent::Cut);
            return false;
        }
        if self.next >= self.end {
            self.write("data: [DONE]\n\n".to_owned());
            return false;
        }
        let text = token(&self.prompt, self.next);
        let event = serde_json::json!({ "offset": self.next, "tokens": 1, "text": text });
        self.next += 1;
        self.written_tokens += 1;
        self.write(format!("data: {event}\n\n"))
    }

    /// Writes text to the connection; returns false if it is closed.
    fn write(&self, text: String) -> bool {
        self.sender
            .unbounded_send(BodyEvent::Data(text.into()))
            .is_ok()
    }
}

/// Returns the text of one token, which identifies its prompt and its position.
pub fn token(prompt: &str, position: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    format!("{digest:04x}.{position} ")
}

/// Runs the batch until the process ends.
pub async fn run_batch(
    engine: Rc<RefCell<Engine>>,
    fault: Rc<RefCell<Fault>>,
    step: Duration,
    slots: usize,
) {
    loop {
        let slow = fault.borrow().slow.max(1.0);
        compio::time::sleep(step.mul_f64(slow)).await;
        if fault.borrow().hang {
            continue;
        }
        engine.borrow_mut().step(slots, &fault.borrow());
    }
}
