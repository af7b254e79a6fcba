//! The timers that the decision logic has set.

use crate::core::{time::Time, timer::Timer};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// Timers by due time; setting one again replaces it.
#[derive(Debug, Default)]
pub struct Timers {
    due: HashMap<Timer, (Time, u64)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    by_number: HashMap<u64, Timer>,
    number: u64,
}

impl Timers {
    /// Sets a timer, replacing the same one set before.
    pub fn set(&mut self, timer: Timer, at: Time) {
        self.number += 1;
        if let Some((_, old)) = self.due.insert(timer.clone(), (at, self.number)) {
            self.by_number.remove(&old);
        }
        self.by_number.insert(self.number, timer);
        self.queue.push(Reverse((at, self.number)));
    }

    /// When the next timer is due.
    pub fn next_due(&mut self) -> Option<Time> {
        while let Some(Reverse((at, number))) = self.queue.peek() {
            if self.by_number.contains_key(number) {
                return Some(*at);
            }
            self.queue.pop();
        }
        None
    }

    /// Takes out the next timer that is due.
    pub fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((_, number)) = self.queue.pop()?;
        let timer = self.by_number.remove(&number)?;
        self.due.remove(&timer);
        Some(timer)
    }
}
