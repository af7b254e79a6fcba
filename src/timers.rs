//! Timers that the decision logic has set.

use crate::core::{time::Time, timer::Timer};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// Queue of timers, ordered by the time at which they fire.
#[derive(Debug, Default)]
pub struct Timers {
    pending: HashMap<Timer, (Time, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    by_sequence: HashMap<u64, Timer>,
    sequence: u64,
}

impl Timers {
    /// Sets a timer; replaces the same timer if it was set before.
    pub fn set(&mut self, timer: Timer, at: Time) {
        self.sequence += 1;
        if let Some((_, old)) = self.pending.insert(timer.clone(), (at, self.sequence)) {
            self.by_sequence.remove(&old);
        }
        self.by_sequence.insert(self.sequence, timer);
        self.queue.push(Reverse((at, self.sequence)));
    }

    /// Returns the time at which the next timer fires.
    pub fn next_due(&mut self) -> Option<Time> {
        while let Some(Reverse((at, sequence))) = self.queue.peek() {
            if self.by_sequence.contains_key(sequence) {
                return Some(*at);
            }
            self.queue.pop();
        }
        None
    }

    /// Removes and returns the next timer that fires at or before `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((_, sequence)) = self.queue.pop()?;
        let timer = self.by_sequence.remove(&sequence)?;
        self.pending.remove(&timer);
        Some(timer)
    }
}
