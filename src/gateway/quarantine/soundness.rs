//! Parts of prompts on which runners have answered.
//!
//! An answer may be complete just before its runner crashes, so it counts only
//! once the runner has lived on for a moment.

use crate::{
    core::{
        keys::PromptPart,
        time::{Span, Time},
    },
    gateway::roster::HostKey,
};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a runner must live on after an answer.
const SURVIVAL_TIME: Span = Span::from_millis(500);

/// Time for which an answer proves its parts sound; longer than crashes are remembered.
const PROOF_TTL: Span = Span::from_secs(10 * 60);

/// Time within which further answers on a part are not recorded.
const REFRESH_INTERVAL: Span = Span::from_secs(10);

/// Maximum number of answers that are remembered.
const MAX_PROOFS: usize = 32_768;

/// Answer whose runner may still crash.
#[derive(Debug)]
struct Answer {
    at: Time,
    host: HostKey,
    parts: Vec<PromptPart>,
}

/// Parts that are known to be sound.
#[derive(Debug, Default)]
pub struct Soundness {
    /// Time of the latest answer on each part.
    proofs: BTreeMap<PromptPart, Time>,
    /// Parts in the order of their answers, with the time of the answer.
    order: VecDeque<(Time, PromptPart)>,
    recent: VecDeque<Answer>,
}

impl Soundness {
    /// Records that a runner answers on parts.
    pub fn answered(&mut self, host: HostKey, parts: &[PromptPart], now: Time) {
        self.settle(now);
        let is_due = |part: &&PromptPart| {
            let last = self.proofs.get(*part);
            last.is_none_or(|at| now.since(*at) >= REFRESH_INTERVAL)
        };
        let parts: Vec<PromptPart> = parts.iter().filter(is_due).copied().collect();
        if !parts.is_empty() {
            self.recent.push_back(Answer {
                at: now,
                host,
                parts,
            });
        }
    }

    /// Forgets a runner's latest answers, because it may have crashed.
    pub fn runner_broke_off(&mut self, host: HostKey, now: Time) {
        self.settle(now);
        self.recent.retain(|answer| answer.host != host);
    }

    /// Records that another daemon knows a part to be sound.
    pub fn confirm(&mut self, part: PromptPart, now: Time) {
        self.prove(part, now);
    }

    /// Returns true if a runner has answered on a part, and lived on.
    pub fn is_sound(&self, part: PromptPart, now: Time) -> bool {
        let settled = self
            .recent
            .iter()
            .any(|answer| now.since(answer.at) >= SURVIVAL_TIME && answer.parts.contains(&part));
        let proof = self.proofs.get(&part);
        settled || proof.is_some_and(|at| now.since(*at) < PROOF_TTL)
    }

    /// Counts the answers whose runners have lived on.
    fn settle(&mut self, now: Time) {
        while let Some(answer) = self.recent.front()
            && now.since(answer.at) >= SURVIVAL_TIME
        {
            let at = answer.at;
            let parts = self.recent.pop_front().map(|answer| answer.parts);
            for part in parts.into_iter().flatten() {
                self.prove(part, at);
            }
        }
    }

    fn prove(&mut self, part: PromptPart, at: Time) {
        self.proofs.insert(part, at);
        self.order.push_back((at, part));
        while self.order.len() > MAX_PROOFS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, part)) = self.order.pop_front() else {
            return;
        };
        if self.proofs.get(&part) == Some(&at) {
            self.proofs.remove(&part);
        }
    }
}
