//! Finds the part of prompts that explains crashes of runners.
//!
//! Every request that a crashed runner had is a suspect with all its parts. The
//! part that crashes runners is in each of their crashes, and no runner ever
//! answers on it; the parts of requests beside it are in some, and are answered
//! on elsewhere. A power failure takes many runners at once, so that crashes at
//! the same moment count as one.

use crate::{
    core::{
        keys::PromptPart,
        time::{Span, Time},
    },
    gateway::roster::RunnerInstance,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a crash is remembered.
const CRASH_MEMORY: Span = Span::from_secs(5 * 60);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;

/// Time within which crashes count as one.
const MOMENT: Span = Span::from_millis(50);

/// Crashes from which all daemons are asked about a part.
const MIN_ASKED: usize = 2;

/// Crashes from which a part is quarantined if no other part explains as many.
const MIN_CRASHES: usize = 4;

/// Crashes from which parts are quarantined that explain equally many.
const MIN_TIED_CRASHES: usize = 5;

/// Time for the answers of daemons that were asked about a part.
pub const ANSWER_TIME: Span = Span::from_millis(200);

/// Crash of one runner.
#[derive(Debug)]
struct Crash {
    at: Time,
    /// Parts of all prompts that the runner had.
    parts: BTreeSet<PromptPart>,
    /// True if one of them is quarantined.
    is_explained: bool,
}

/// Crashes, and the parts that may have caused them.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<RunnerInstance, Crash>,
    /// Time at which the daemons were asked about each part.
    asked: BTreeMap<PromptPart, Time>,
}

impl Suspects {
    /// Adds the parts of a request that a crashed runner had.
    pub fn record(&mut self, runner: RunnerInstance, parts: &[PromptPart], now: Time) {
        self.forget_old(now);
        let crash = self.crashes.entry(runner).or_insert_with(|| Crash {
            at: now,
            parts: BTreeSet::new(),
            is_explained: false,
        });
        crash.parts.extend(parts);
    }

    /// Takes the crashes that a quarantined part explains out of the evidence against others.
    pub fn explain(&mut self, part: PromptPart) {
        let crashes = self.crashes.values_mut();
        let explained = crashes.filter(|crash| crash.parts.contains(&part));
        explained.for_each(|crash| crash.is_explained = true);
        let open = self.crashes.values().filter(|crash| !crash.is_explained);
        let accused: BTreeSet<PromptPart> = open.flat_map(|crash| &crash.parts).copied().collect();
        self.asked.retain(|part, _| accused.contains(part));
    }

    /// Forgets the evidence against a part.
    pub fn clear(&mut self, part: PromptPart) {
        for crash in self.crashes.values_mut() {
            crash.parts.remove(&part);
        }
        self.asked.remove(&part);
    }

    /// Returns true if the daemons were asked about a part that is not quarantined.
    pub fn is_asking(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Returns the parts that all daemons are to be asked about, again while answers may come, and
    /// counts them as asked.
    pub fn ask<F>(&mut self, is_sound: F, now: Time) -> Vec<PromptPart>
    where
        F: Fn(PromptPart) -> bool,
    {
        let counts = self.counts(is_sound);
        let suspected = counts.into_iter().filter(|(_, count)| *count >= MIN_ASKED);
        let asked: Vec<PromptPart> = suspected
            .map(|(part, _)| part)
            .filter(|part| !self.is_answered(*part, now))
            .collect();
        for part in &asked {
            self.asked.entry(*part).or_insert(now);
        }
        asked
    }

    /// Returns the parts to be quarantined.
    pub fn verdict<F>(&self, is_sound: F, now: Time) -> Vec<PromptPart>
    where
        F: Fn(PromptPart) -> bool,
    {
        let counts = self.counts(is_sound);
        let most = counts.values().copied().max().unwrap_or_default();
        let worst: Vec<PromptPart> = counts
            .into_iter()
            .filter(|(_, count)| *count == most)
            .map(|(part, _)| part)
            .collect();
        let min = match worst.len() {
            1 => MIN_CRASHES,
            _ => MIN_TIED_CRASHES,
        };
        let is_answered = worst.iter().all(|part| self.is_answered(*part, now));
        match most >= min && is_answered {
            true => worst,
            false => Vec::new(),
        }
    }

    /// Returns true if the daemons have had time to say that a part is sound.
    fn is_answered(&self, part: PromptPart, now: Time) -> bool {
        let asked = self.asked.get(&part);
        asked.is_some_and(|at| now.since(*at) >= ANSWER_TIME)
    }

    /// Returns the number of unexplained crashes that each part may have caused.
    fn counts<F>(&self, is_sound: F) -> BTreeMap<PromptPart, usize>
    where
        F: Fn(PromptPart) -> bool,
    {
        let mut times: BTreeMap<PromptPart, Vec<Time>> = BTreeMap::new();
        for crash in self.unexplained() {
            for part in &crash.parts {
                times.entry(*part).or_default().push(crash.at);
            }
        }
        times.retain(|part, _| !is_sound(*part));
        let counts = times
            .into_iter()
            .map(|(part, times)| (part, count_moments(times)));
        counts.collect()
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.values();
        crashes.filter(|crash| !crash.is_explained)
    }

    fn forget_old(&mut self, now: Time) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < CRASH_MEMORY);
        self.asked.retain(|_, at| now.since(*at) < CRASH_MEMORY);
        while self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(runner) = oldest.map(|(runner, _)| runner.clone()) else {
                return;
            };
            self.crashes.remove(&runner);
        }
    }
}

/// Counts times, of which those within a moment of an earlier one are the same.
fn count_moments(mut times: Vec<Time>) -> usize {
    times.sort();
    let mut count = 0;
    let mut last: Option<Time> = None;
    for time in times {
        if last.is_none_or(|last| time.since(last) >= MOMENT) {
            count += 1;
            last = Some(time);
        }
    }
    count
}
