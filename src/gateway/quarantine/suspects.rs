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

use super::{mark::Mark, reports::Evidence};
use crate::{
    core::{
        keys::{Arrival, Fingerprint, PromptPart},
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

/// Crashes from which all daemons are asked about a suspect.
const MIN_ASKED: usize = 2;

/// Crashes from which a part is quarantined if no other part explains as many.
const MIN_PART_CRASHES: usize = 4;

/// Crashes from which a request is quarantined if no other request explains as many.
const MIN_REQUEST_CRASHES: usize = 3;

/// Crashes from which suspects are quarantined that explain equally many.
const MIN_TIED_CRASHES: usize = 5;

/// Different moments at which a request must have crashed runners.
const MIN_REQUEST_MOMENTS: usize = 2;

/// Different arrivals of a request that must have been at crashes.
const MIN_ARRIVALS: usize = 2;

/// Different requests with a part that must have been at crashes.
const MIN_PART_REQUESTS: usize = 2;

/// Time for the answers of daemons that were asked about a suspect.
pub const ANSWER_TIME: Span = Span::from_millis(200);

/// Time for the reports of a crash, each of which is sent twice.
pub const REPORT_TIME: Span = Span::from_millis(300);

/// Time for which the suspects are judged again after a crash, or after daemons were asked.
const JUDGE_TIME: Span = Span::from_secs(1);

/// Request that a crashed runner had.
#[derive(Debug, Default)]
struct Suspect {
    arrivals: BTreeSet<Arrival>,
    /// Parts of its prompt.
    parts: BTreeSet<PromptPart>,
}

/// Crash of one runner.
#[derive(Debug)]
struct Crash {
    at: Time,
    /// Requests that the runner had.
    requests: BTreeMap<Fingerprint, Suspect>,
    /// True if a quarantined part was in one of them.
    has_bad_part: bool,
    /// Those of them that are quarantined themselves.
    bad_requests: BTreeSet<Fingerprint>,
}

impl Crash {
    /// Returns the requests that may have caused the crash.
    fn accused_requests(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        let is_open = !self.has_bad_part && self.bad_requests.is_empty();
        let requests = self.requests.iter().filter(move |_| is_open);
        requests.map(|(request, suspect)| (*request, suspect))
    }

    /// Returns the parts that may have caused the crash, with the requests that had them. A
    /// quarantined request leaves only its own parts in doubt.
    fn accused_parts(&self) -> impl Iterator<Item = (PromptPart, Fingerprint)> {
        let is_open = !self.has_bad_part;
        let in_doubt = move |request: &Fingerprint| {
            is_open && (self.bad_requests.is_empty() || self.bad_requests.contains(request))
        };
        let requests = self.requests.iter();
        let doubtful = requests.filter(move |(request, _)| in_doubt(request));
        doubtful.flat_map(|(request, suspect)| suspect.parts.iter().map(|part| (*part, *request)))
    }
}

/// Crashes that a mark may have caused.
#[derive(Debug, Default)]
struct Involvement {
    /// Times of the crashes.
    times: Vec<Time>,
    /// Requests with the mark that were at them.
    requests: BTreeSet<Fingerprint>,
    /// Arrivals of the request that the mark stands for.
    arrivals: BTreeSet<Arrival>,
}

impl Involvement {
    /// Returns the number of crashes that count against the mark.
    fn weight(&self, mark: Mark) -> usize {
        let moments = count_moments(&self.times);
        let is_repeated = self.arrivals.len() >= MIN_ARRIVALS && moments >= MIN_REQUEST_MOMENTS;
        let is_shared = self.requests.len() >= MIN_PART_REQUESTS;
        match mark {
            Mark::Request(_) if is_repeated => self.times.len(),
            Mark::Part(_) if is_shared => moments,
            _ => 0,
        }
    }
}

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
        let crash = self.crashes.entry(runner).or_insert_with(|| Crash {
            at: now,
            requests: BTreeMap::new(),
            has_bad_part: false,
            bad_requests: BTreeSet::new(),
        });
        let suspect = crash.requests.entry(evidence.request).or_default();
        suspect.arrivals.insert(evidence.arrival);
        suspect.parts.extend(&evidence.parts);
    }

    /// Takes the crashes that a quarantined mark explains out of the evidence against others.
    pub fn explain(&mut self, mark: Mark) {
        for crash in self.crashes.values_mut() {
            match mark {
                Mark::Part(part) => {
                    let mut suspects = crash.requests.values();
                    crash.has_bad_part |= suspects.any(|suspect| suspect.parts.contains(&part));
                }
                Mark::Request(request) if crash.requests.contains_key(&request) => {
                    crash.bad_requests.insert(request);
                }
                Mark::Request(_) => {}
            }
        }
        let accused: BTreeSet<Mark> = self.involvements(|_| true).into_keys().collect();
        self.asked.retain(|mark, _| accused.contains(mark));
    }

    /// Forgets the evidence against a mark.
    pub fn clear(&mut self, mark: Mark) {
        for crash in self.crashes.values_mut() {
            match mark {
                Mark::Part(part) => crash.requests.values_mut().for_each(|suspect| {
                    suspect.parts.remove(&part);
                }),
                Mark::Request(request) => {
                    crash.requests.remove(&request);
                    crash.bad_requests.remove(&request);
                }
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

/// Counts times, of which those within a moment of an earlier one are the same.
fn count_moments(times: &[Time]) -> usize {
    let mut times = times.to_vec();
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
