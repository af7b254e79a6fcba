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
//!
//! Parts that explain all crashes of a quarantined part as well are spared, until
//! crashes go on without it.

use super::{
    crash::Crash,
    involvement::{Involvement, Involvements},
    mark::Mark,
    reports::Evidence,
    verdict::{self, MIN_PART_CRASHES, MIN_REQUEST_CRASHES, MIN_TIED_CRASHES},
};
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

/// Crashes from which all daemons are asked about a suspect.
const MIN_ASKED: usize = 2;

/// Further crashes from which a part is quarantined that was spared before.
const MIN_FURTHER_CRASHES: usize = 2;

/// Time after the start of a part's quarantine in which runners may still crash under requests with
/// it, which their daemons have given up and don't report.
pub const IN_FLIGHT_TIME: Span = Span::from_secs(1);

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
    /// Parts that explain all crashes which another one was quarantined for, with its time.
    spared: BTreeMap<PromptPart, Time>,
    /// Time until which runners may crash under requests with a part that was just quarantined.
    in_flight_until: Option<Time>,
}

impl Suspects {
    /// Adds a request that a crashed runner had.
    pub fn record(&mut self, runner: RunnerInstance, evidence: &Evidence, now: Time) {
        self.forget_old(now);
        let has_bad_part = self.in_flight_until.is_some_and(|until| now < until);
        let crash = self.crashes.entry(runner);
        let crash = crash.or_insert_with(|| Crash::new(now, has_bad_part));
        crash.add(evidence);
    }

    /// Explains crashes by a mark whose quarantine begins, and returns the parts that explain them
    /// as well and are spared.
    pub fn quarantine_began(&mut self, mark: Mark, now: Time) -> Vec<PromptPart> {
        let spared = match mark {
            Mark::Part(part) => self.spare_others(part, now),
            Mark::Request(_) => Vec::new(),
        };
        self.explain(mark);
        spared
    }

    /// Spares the parts that explain all crashes which a quarantined part does, and returns them.
    fn spare_others(&mut self, part: PromptPart, now: Time) -> Vec<PromptPart> {
        let accused = self.crashes.values().map(|crash| {
            let parts = crash.accused_parts().map(|accused| accused.part);
            parts.collect::<BTreeSet<PromptPart>>()
        });
        let explained: Vec<_> = accused.filter(|parts| parts.contains(&part)).collect();
        if explained.len() < MIN_PART_CRASHES {
            return Vec::new();
        }
        let common = explained.into_iter().reduce(|all, parts| &all & &parts);
        let others = common.into_iter().flatten().filter(|other| *other != part);
        let spared: Vec<PromptPart> = others.collect();
        self.spared.extend(spared.iter().map(|other| (*other, now)));
        self.spared.remove(&part);
        self.explain_unreported(now);
        spared
    }

    /// Explains the crashes whose reports may lack a part that is quarantined now, and those to come
    /// under requests in flight.
    fn explain_unreported(&mut self, now: Time) {
        let crashes = self.crashes.values_mut();
        let unreported = crashes.filter(|crash| now.since(crash.at) < REPORT_TIME);
        unreported.for_each(Crash::explain);
        self.in_flight_until = Some(now + IN_FLIGHT_TIME);
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
        if let Mark::Part(part) = mark {
            self.spared.remove(&part);
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
        let is_reported = |crash: &Crash| now.since(crash.at) >= REPORT_TIME;
        let mut suspects = self.involvements(is_reported);
        suspects.retain(|mark, _| !is_sound(*mark));
        let (parts, mut requests): (Involvements, Involvements) = suspects
            .into_iter()
            .partition(|(mark, _)| matches!(mark, Mark::Part(_)));
        let mut verdict = self.worst(&parts, MIN_PART_CRASHES, now);
        verdict.extend(self.refuted_spares(&parts, now));
        let min_rivalled = match verdict.is_empty() {
            true => MIN_TIED_CRASHES,
            // The parts' crashes are explained before requests are blamed for them.
            false => usize::MAX,
        };
        requests.retain(|mark, one| {
            let is_enough = one.weight(*mark) >= min_rivalled;
            one.may_be_blamed(*mark) && (is_enough || !self.has_rival(*mark, &parts))
        });
        verdict.extend(self.worst(&requests, MIN_REQUEST_CRASHES, now));
        verdict.sort();
        verdict.dedup();
        verdict
    }

    /// Returns the worst of the suspects, if nobody objects.
    fn worst(&self, suspects: &Involvements, min_crashes: usize, now: Time) -> Vec<Mark> {
        let worst = verdict::worst(suspects, min_crashes);
        let is_answered = worst.iter().all(|mark| self.is_answered(*mark, now));
        match is_answered {
            true => worst,
            false => Vec::new(),
        }
    }

    /// Returns true if a part of other requests explains all crashes that a request does.
    fn has_rival(&self, mark: Mark, parts: &Involvements) -> bool {
        let Mark::Request(request) = mark else {
            return false;
        };
        let crashes = self.crashes.values();
        let accused = crashes.filter(|crash| crash.accuses(request));
        let beside = accused.map(|crash| crash.parts_beside(request));
        let common = beside.reduce(|all, parts| &all & &parts);
        let marks = common.into_iter().flatten().map(Mark::Part);
        let mut rivals = marks.filter_map(|mark| Some((mark, parts.get(&mark)?)));
        rivals.any(|(mark, part)| part.may_be_blamed(mark))
    }

    /// Returns the parts that were spared, although crashes go on without the part that was
    /// quarantined in their place.
    fn refuted_spares(&self, parts: &Involvements, now: Time) -> Vec<Mark> {
        let is_refuted = |mark: Mark, involvement: &Involvement| {
            let Mark::Part(part) = mark else {
                return false;
            };
            let spared_at = self.spared.get(&part);
            let further = spared_at.map(|at| involvement.moments_since(*at));
            further.is_some_and(|count| count >= MIN_FURTHER_CRASHES)
        };
        let refuted = parts.iter();
        let refuted =
            refuted.filter(|(mark, one)| is_refuted(**mark, one) && self.is_answered(**mark, now));
        refuted.map(|(mark, _)| *mark).collect()
    }

    /// Returns true if the daemons have had time to say that a suspect is sound.
    fn is_answered(&self, mark: Mark, now: Time) -> bool {
        let asked = self.asked.get(&mark);
        asked.is_some_and(|at| now.since(*at) >= ANSWER_TIME)
    }

    /// Returns the crashes that each suspect may have caused, of those that count.
    fn involvements<F>(&self, counts: F) -> Involvements
    where
        F: Fn(&Crash) -> bool,
    {
        let mut all = Involvements::new();
        for crash in self.crashes.values().filter(|crash| counts(crash)) {
            let mut parts: BTreeMap<PromptPart, Involvement> = BTreeMap::new();
            for accused in crash.accused_parts() {
                let involvement = parts.entry(accused.part).or_default();
                involvement.requests.insert(accused.request);
                involvement.position = involvement.position.max(accused.position);
            }
            for (part, in_crash) in parts {
                let involvement = all.entry(Mark::Part(part)).or_default();
                involvement.times.push(crash.at);
                involvement.requests.extend(in_crash.requests);
                involvement.position = involvement.position.max(in_crash.position);
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
        self.spared.retain(|_, at| now.since(*at) < CRASH_MEMORY);
        while self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(runner) = oldest.map(|(runner, _)| runner.clone()) else {
                return;
            };
            self.crashes.remove(&runner);
        }
    }
}
