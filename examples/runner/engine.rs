//! A stand-in model engine: batches continuously, one token a step for each run.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_channel::mpsc::UnboundedSender;

use crate::fault::Fault;

/// Prompt tokens that one step can process.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// What a run writes to its connection.
pub enum Piece {
    /// Bytes of the answer.
    Data(Bytes),
    /// The connection is to be cut.
    Cut,
}

/// One completion being run.
pub struct Run {
    /// The attempt and the daemon that asked.
    pub attempt: (String, u64),
    /// What the text is derived from.
    pub prompt: String,
    /// Prompt tokens still to be processed.
    pub prefill: u32,
    /// The next token's position.
    pub next: u32,
    /// The position to stop at.
    pub end: u32,
    /// Tokens written by this run.
    pub written: u32,
    /// Set when its connection has lost its way.
    pub muted: bool,
    /// Where it writes.
    pub sender: UnboundedSender<Piece>,
}

/// The runs of one engine.
#[derive(Default)]
pub struct Engine {
    /// Runs in the batch.
    pub running: Vec<Run>,
    /// Runs that wait for a place.
    pub waiting: VecDeque<Run>,
    /// How often each body was begun.
    pub begun: BTreeMap<String, u64>,
    /// Runs stopped by a cancel.
    pub cancelled: u64,
}

impl Engine {
    /// Stops a run, wherever it is.
    pub fn cancel(&mut self, attempt: &(String, u64)) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|run| run.attempt != *attempt);
        self.waiting.retain(|run| run.attempt != *attempt);
        self.cancelled += (before - self.running.len() - self.waiting.len()) as u64;
    }

    /// Lets every connection open now lose its way.
    pub fn mute_open(&mut self) {
        for run in self.running.iter_mut().chain(self.waiting.iter_mut()) {
            run.muted = true;
        }
    }

    /// Prompt tokens waiting to be processed.
    pub fn pending_tokens(&self) -> u32 {
        let runs = self.running.iter().chain(self.waiting.iter());
        runs.map(|run| run.prefill).sum()
    }

    /// One step of the batch.
    fn step(&mut self, slots: usize, fault: &Fault) {
        while self.running.len() < slots {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(run);
        }
        let mut budget = PREFILL_TOKENS_PER_STEP;
        self.running.retain_mut(|run| {
            if run.prefill > 0 {
                let done = run.prefill.min(budget);
                run.prefill -= done;
                budget -= done;
                return true;
            }
            run.emit(fault)
        });
    }
}

impl Run {
    /// Writes the next token; false once the run is over.
    fn emit(&mut self, fault: &Fault) -> bool {
        if self.muted || fault.stall_after.is_some_and(|limit| self.written >= limit) {
            return !self.sender.is_closed();
        }
        if fault.cut_after.is_some_and(|limit| self.written >= limit) {
            let _ = self.sender.unbounded_send(Piece::Cut);
            return false;
        }
        if self.next >= self.end {
            self.write("data: [DONE]\n\n".to_owned());
            return false;
        }
        let text = token(&self.prompt, self.next);
        let event = serde_json::json!({ "offset": self.next, "tokens": 1, "text": text });
        self.next += 1;
        self.written += 1;
        self.write(format!("data: {event}\n\n"))
    }

    fn write(&self, text: String) -> bool {
        self.sender.unbounded_send(Piece::Data(text.into())).is_ok()
    }
}

/// The text of one token: tells its prompt and its position.
pub fn token(prompt: &str, position: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()) as u16;
    format!("{digest:04x}.{position} ")
}

/// Runs the batch for as long as the process lives.
pub async fn run(
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
