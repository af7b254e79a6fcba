//! Finds the request, or the part of prompts, that explains crashes of runners.
//!
//! Every request that a crashed runner had is a suspect with all its parts. What
//! crashes runners is in each of their crashes, and no runner ever answers on
//! it; the requests beside it, and their parts, are in some, and are answered on
//! elsewhere. A power failure takes many runners at once, so that crashes at the
//! same moment are weaker evidence.
//!
//! Each request at a crash is reported apart. A crash counts once all its
//! reports may have come: a sound request may be reported before the bad one.
//!
//! A request is blamed only once it has come again: one that is sent on from
//! crash to crash may have had bad luck. A part is blamed only if several
//! requests with it were at crashes: one that comes again is to blame itself.

use super::{crash::Crash, involvement::Involvement, mark::Mark, reports::Evidence};
use crate::{
    core::{
        keys::{Fingerprint, PromptPart},
        time::{Span, Time},
    },
    gateway::roster::RunnerInstance,
};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a crash is remembered.
const CRASH_MEMORY: Span = Span::from_secs(5 * 60);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;

/// Crashes from which all daemons are asked about a suspect.
const MIN_ASKED: usize = 2;

/// Crashes from which a part is quarantined if no other part explains as many.
const MIN_PART_CRASHES: usize = 4;

/// Crashes from which a request is quarantined if no other request explains as many.
const MIN_REQUEST_CRASHES: usize = 3;

/// Crashes from which suspects are quarantined that explain equally many.
const MIN_TIED_CRASHES: usize = 5;

/// Time for the answers of daemons that were asked about a suspect.
pub const ANSWER_TIME: Span = Span::from_millis(200);

/// Time for the reports of a crash, each of which is sent twice.
pub const REPORT_TIME: Span = Span::from_millis(300);

/// Time for which the suspects are judged again after a crash, or after daemons were asked.
const JUDGE_TIME: Span = Span::from_secs(1);

/// Crashes, and what may have caused them.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: BTreeMap<RunnerInstance, Crash>,
    /// Time at which the daemons were asked about each suspect.
    asked: BTreeMap<Mark, Time>,
    /// Requests that the daemons were told to distrust.
    distrusted: BTreeSet<Mark>,
}

impl Suspects {
    /// Adds a request that a crashed runner had.
    pub fn record(&mut self, runner: RunnerInstance, evidence: &Evidence, now: Time) {
        self.forget_old(now);
        let crash = self.crashes.entry(runner);
        crash.or_insert_with(|| Crash::new(now)).add(evidence);
    }

    /// Takes the crashes that a quarantined mark explains out of the evidence against others.
    pub fn explain(&mut self, mark: Mark) {
        for crash in self.crashes.values_mut() {
            match mark {
                Mark::Part(part) => crash.explain_by_part(part),
                Mark::Request(request) => crash.explain_by_request(request),
            }
        }
        let accused: BTreeSet<Mark> = self.involvements(|_| true).into_keys().collect();
        self.asked.retain(|mark, _| accused.contains(mark));
    }

    /// Forgets the evidence against a mark.
    pub fn clear(&mut self, mark: Mark) {
        for crash in self.crashes.values_mut() {
            match mark {
                Mark::Part(part) => crash.forget_part(part),
                Mark::Request(request) => crash.forget_request(request),
            }
        }
        self.asked.remove(&mark);
    }

    /// Returns true while reports or answers may come; later only a further crash tells more.
    pub fn are_open(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < JUDGE_TIME;
        let is_asked = self.asked.values().any(|at| is_recent(*at));
        is_asked || !self.involvements(|crash| is_recent(crash.at)).is_empty()
    }

    /// Returns the suspects that all daemons are to be asked about, again while answers may come,
    /// and counts them as asked.
    pub fn ask<F>(&mut self, is_sound: F, now: Time) -> Vec<Mark>
    where
        F: Fn(Mark) -> bool,
    {
        let all = self.involvements(|_| true).into_iter();
        let suspected = all.filter(|(_, involvement)| involvement.times.len() >= MIN_ASKED);
        let asked: Vec<Mark> = suspected
            .map(|(mark, _)| mark)
            .filter(|mark| !is_sound(*mark) && !self.is_answered(*mark, now))
            .collect();
        for mark in &asked {
            self.asked.entry(*mark).or_insert(now);
        }
        asked
    }

    /// Returns the requests that were at so many crashes that they should cause no other, and that
    /// the daemons were not told of yet; counts them as told.
    pub fn distrust<F>(&mut self, is_sound: F) -> Vec<Mark>
    where
        F: Fn(Mark) -> bool,
    {
        let all = self.involvements(|_| true).into_iter();
        let doubtful = all.filter(|(mark, involvement)| {
            let is_request = matches!(mark, Mark::Request(_));
            is_request && involvement.times.len() >= MIN_REQUEST_CRASHES && !is_sound(*mark)
        });
        let doubtful: BTreeSet<Mark> = doubtful.map(|(mark, _)| mark).collect();
        let news = doubtful.difference(&self.distrusted).copied().collect();
        self.distrusted = doubtful;
        news
    }

    /// Returns the evidence against a mark.
    pub(super) fn involvement(&self, mark: Mark) -> Involvement {
        let mut all = self.involvements(|_| true);
        all.remove(&mark).unwrap_or_default()
    }

    /// Returns the marks to be quarantined.
    pub fn verdict<F>(&self, is_sound: F, now: Time) -> Vec<Mark>
    where
        F: Fn(Mark) -> bool,
    {
        let mut parts = BTreeMap::new();
        let mut requests = BTreeMap::new();
        let is_reported = |crash: &Crash| now.since(crash.at) >= REPORT_TIME;
        for (mark, involvement) in self.involvements(is_reported) {
            let counts = match mark {
                Mark::Part(_) => &mut parts,
                Mark::Request(_) => &mut requests,
            };
            if !is_sound(mark) {
                counts.insert(mark, involvement.weight(mark));
            }
        }
        let parts = self.worst(&parts, MIN_PART_CRASHES, now);
        let requests = self.worst(&requests, MIN_REQUEST_CRASHES, now);
        parts.into_iter().chain(requests).collect()
    }

    /// Returns the suspects that explain most crashes, if they are enough and nobody objects.
    fn worst(&self, counts: &BTreeMap<Mark, usize>, min_crashes: usize, now: Time) -> Vec<Mark> {
        let most = counts.values().copied().max().unwrap_or_default();
        let counts = counts.iter().filter(|(_, count)| **count == most);
        let worst: Vec<Mark> = counts.map(|(mark, _)| *mark).collect();
        let min = match worst.len() {
            1 => min_crashes,
            _ => MIN_TIED_CRASHES,
        };
        let is_answered = worst.iter().all(|mark| self.is_answered(*mark, now));
        match most >= min && is_answered {
            true => worst,
            false => Vec::new(),
        }
    }

    /// Returns true if the daemons have had time to say that a suspect is sound.
    fn is_answered(&self, mark: Mark, now: Time) -> bool {
        let asked = self.asked.get(&mark);
        asked.is_some_and(|at| now.since(*at) >= ANSWER_TIME)
    }

    /// Returns the crashes that each suspect may have caused, of those that count.
    fn involvements<F>(&self, counts: F) -> BTreeMap<Mark, Involvement>
    where
        F: Fn(&Crash) -> bool,
    {
        let mut all: BTreeMap<Mark, Involvement> = BTreeMap::new();
        for crash in self.crashes.values().filter(|crash| counts(crash)) {
            let mut parts: BTreeMap<PromptPart, BTreeSet<Fingerprint>> = BTreeMap::new();
            for (part, request) in crash.accused_parts() {
                parts.entry(part).or_default().insert(request);
            }
            for (part, requests) in parts {
                let involvement = all.entry(Mark::Part(part)).or_default();
                involvement.times.push(crash.at);
                involvement.requests.extend(requests);
            }
            for (request, suspect) in crash.accused_requests() {
                let involvement = all.entry(Mark::Request(request)).or_default();
                involvement.times.push(crash.at);
                involvement.arrivals.extend(&suspect.arrivals);
            }
        }
        all
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
