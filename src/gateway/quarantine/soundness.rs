//! Requests, and parts of prompts, on which runners have answered.
//!
//! An answer may be complete just before its runner crashes, so it counts only
//! once the runner has lived on for a moment.

use super::mark::Mark;
use crate::{
    core::time::{Span, Time},
    gateway::roster::HostKey,
};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a runner must live on after an answer.
const SURVIVAL_TIME: Span = Span::from_millis(500);

/// Time for which an answer proves its marks sound; longer than crashes are remembered.
const PROOF_TTL: Span = Span::from_secs(10 * 60);

/// Time within which further answers on a mark are not recorded.
const REFRESH_INTERVAL: Span = Span::from_secs(10);

/// Maximum number of answers that are remembered.
const MAX_PROOFS: usize = 32_768;

/// Answer whose runner may still crash.
#[derive(Debug)]
struct Answer {
    at: Time,
    host: HostKey,
    marks: Vec<Mark>,
}

/// Marks that are known to be sound.
#[derive(Debug, Default)]
pub struct Soundness {
    /// Time of the latest answer on each mark.
    proofs: BTreeMap<Mark, Time>,
    /// Marks in the order of their answers, with the time of the answer.
    order: VecDeque<(Time, Mark)>,
    recent: VecDeque<Answer>,
}

impl Soundness {
    /// Records that a runner answers on a request's marks.
    pub fn answered<I>(&mut self, host: HostKey, marks: I, now: Time)
    where
        I: Iterator<Item = Mark>,
    {
        self.settle(now);
        let is_due = |mark: &Mark| {
            let last = self.proofs.get(mark);
            last.is_none_or(|at| now.since(*at) >= REFRESH_INTERVAL)
        };
        let marks: Vec<Mark> = marks.filter(is_due).collect();
        if !marks.is_empty() {
            self.recent.push_back(Answer {
                at: now,
                host,
                marks,
            });
        }
    }

    /// Forgets a runner's latest answers, because it may have crashed.
    pub fn runner_broke_off(&mut self, host: HostKey, now: Time) {
        self.settle(now);
        self.recent.retain(|answer| answer.host != host);
    }

    /// Records that another daemon knows a mark to be sound.
    pub fn confirm(&mut self, mark: Mark, now: Time) {
        self.prove(mark, now);
    }

    /// Returns true if a runner has answered on a mark, and lived on.
    pub fn is_sound(&self, mark: Mark, now: Time) -> bool {
        let settled = self
            .recent
            .iter()
            .any(|answer| now.since(answer.at) >= SURVIVAL_TIME && answer.marks.contains(&mark));
        let proof = self.proofs.get(&mark);
        settled || proof.is_some_and(|at| now.since(*at) < PROOF_TTL)
    }

    /// Counts the answers whose runners have lived on.
    fn settle(&mut self, now: Time) {
        while let Some(answer) = self.recent.front()
            && now.since(answer.at) >= SURVIVAL_TIME
        {
            let at = answer.at;
            let marks = self.recent.pop_front().map(|answer| answer.marks);
            for mark in marks.into_iter().flatten() {
                self.prove(mark, at);
            }
        }
    }

    fn prove(&mut self, mark: Mark, at: Time) {
        self.proofs.insert(mark, at);
        self.order.push_back((at, mark));
        while self.order.len() > MAX_PROOFS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, mark)) = self.order.pop_front() else {
            return;
        };
        if self.proofs.get(&mark) == Some(&at) {
            self.proofs.remove(&mark);
        }
    }
}
