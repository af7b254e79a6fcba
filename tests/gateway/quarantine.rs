//! Finding the request, or the part of prompts, that crashes runners, from the evidence of all
//! daemons.

use hickoryledge::{
    core::{
        keys::{Arrival, Fingerprint, HostName, PromptPart, Revision},
        time::{Span, Time},
    },
    gateway::{
        quarantine::{
            entries::{QuarantineEntry, QuarantinedMarks},
            mark::Mark,
            reports::{CrashReport, Evidence, Reports},
            soundness::Soundness,
            suspects::{ANSWER_TIME, REPORT_TIME, Suspects},
        },
        roster::{HostKey, RunnerInstance},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use slotmap::SlotMap;
use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicU64, Ordering},
};

pub const BAD_PART: PromptPart = PromptPart(0xbad);
pub const BAD: Mark = Mark::Part(BAD_PART);
pub const USUAL_PART: PromptPart = PromptPart(0x5a5e);
pub const USUAL: Mark = Mark::Part(USUAL_PART);

/// Request that comes again and again, and its mark.
pub const REPEATED: Fingerprint = Fingerprint(0xbad);
pub const REPEATED_MARK: Mark = Mark::Request(REPEATED);

pub fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

pub fn runner(number: u64) -> RunnerInstance {
    (HostName::from(format!("h{number}")), 1)
}

pub fn unknown(_: Mark) -> bool {
    false
}

/// Records a crash under a request that is like no other.
pub fn record(suspects: &mut Suspects, runner: RunnerInstance, parts: &[PromptPart], now: Time) {
    static REQUESTS: AtomicU64 = AtomicU64::new(1_000_000);
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let evidence = evidence(Fingerprint(number), number, parts);
    suspects.record(runner, &evidence, now);
}

pub fn evidence(request: Fingerprint, arrival: u64, parts: &[PromptPart]) -> Evidence {
    Evidence {
        request,
        arrival: Arrival(arrival),
        parts: parts.to_vec(),
    }
}

/// Returns the evidence of crashes under requests with the bad part, one in each interval.
fn crashes_by_bad_part(count: u64, interval_ms: u64) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..count {
        record(
            &mut suspects,
            runner(number),
            &[BAD_PART],
            at(interval_ms * number),
        );
    }
    suspects
}

/// Asks about all suspects, and returns the verdict once the answers may have come.
pub fn verdict_after_answers<F>(suspects: &mut Suspects, is_sound: F, now: Time) -> Vec<Mark>
where
    F: Fn(Mark) -> bool + Copy,
{
    suspects.ask(is_sound, now);
    assert_eq!(suspects.verdict(is_sound, now), []);
    suspects.verdict(is_sound, now + ANSWER_TIME)
}

#[test]
fn part_of_four_crashes_is_quarantined_once_nobody_objects() {
    let mut suspects = Suspects::default();
    let beside = |number| PromptPart(100 + number);
    for number in 0..4 {
        let now = at(300 * number);
        record(&mut suspects, runner(number), &[USUAL_PART, BAD_PART], now);
        record(
            &mut suspects,
            runner(number),
            &[USUAL_PART, beside(number)],
            now,
        );
    }
    let is_sound = |mark| mark == USUAL;
    let verdict = verdict_after_answers(&mut suspects, is_sound, at(1_000));
    assert_eq!(verdict, [BAD]);
}

#[test]
fn three_crashes_quarantine_nothing() {
    let mut suspects = crashes_by_bad_part(3, 300);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(700));
    assert_eq!(verdict, []);
}

/// A domain that loses power takes all its heads at once, with whatever they had in common.
#[test]
fn crashes_at_the_same_moment_count_as_one() {
    let mut suspects = Suspects::default();
    for number in 0..20 {
        record(&mut suspects, runner(number), &[BAD_PART], at(100 + number));
    }
    suspects.ask(unknown, at(150));
    assert_eq!(suspects.verdict(unknown, at(5_000)), []);
}

/// Each request at a crash is reported apart, and the reports of sound ones may come first.
#[test]
fn part_beside_bad_one_is_spared_if_its_report_of_the_last_crash_comes_first() {
    let beside = PromptPart(7);
    let mut suspects = crashes_by_bad_part(3, 2_000);
    for number in 0..3 {
        let now = at(2_000 * number);
        record(&mut suspects, runner(number), &[beside], now);
    }
    suspects.ask(unknown, at(4_000));
    record(&mut suspects, runner(3), &[beside], at(6_000));
    assert_eq!(suspects.verdict(unknown, at(6_000)), []);
    record(&mut suspects, runner(3), &[BAD_PART], at(6_100));
    assert_eq!(suspects.verdict(unknown, at(6_100)), []);
    assert_eq!(suspects.verdict(unknown, at(7_000)), []);
}

/// A request that was resumed at each head that crashed has as much evidence against its parts.
#[test]
fn parts_that_explain_equally_many_crashes_wait_for_more() {
    let mut suspects = Suspects::default();
    let beside = PromptPart(7);
    for number in 0..4 {
        record(
            &mut suspects,
            runner(number),
            &[BAD_PART, beside],
            at(300 * number),
        );
    }
    let verdict = verdict_after_answers(&mut suspects, unknown, at(1_000));
    assert_eq!(verdict, []);
    record(&mut suspects, runner(4), &[BAD_PART], at(1_300));
    let verdict = suspects.verdict(unknown, at(1_300) + REPORT_TIME);
    assert_eq!(verdict, [BAD]);
}

#[test]
fn crashes_that_a_quarantined_part_explains_accuse_no_other() {
    let mut suspects = Suspects::default();
    let beside = PromptPart(7);
    for number in 0..4 {
        record(&mut suspects, runner(number), &[BAD_PART], at(300 * number));
        record(&mut suspects, runner(number), &[beside], at(300 * number));
    }
    record(&mut suspects, runner(4), &[BAD_PART], at(1_300));
    let verdict = verdict_after_answers(&mut suspects, unknown, at(1_400));
    assert_eq!(verdict, [BAD]);
    suspects.explain(BAD);
    assert!(!suspects.are_open(at(1_400)));
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
}

#[test]
fn part_that_comes_once_a_minute_is_quarantined() {
    let mut suspects = crashes_by_bad_part(4, 60_000);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(181_000));
    assert_eq!(verdict, [BAD]);
}

#[test]
fn old_crashes_are_forgotten() {
    let mut suspects = crashes_by_bad_part(4, 150_000);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(451_000));
    assert_eq!(verdict, []);
}

#[test]
fn answer_proves_parts_sound_only_if_runner_lives_on() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let (first, second) = (hosts.insert(()), hosts.insert(()));
    let mut soundness = Soundness::default();
    soundness.answered(first, [BAD].into_iter(), at(0));
    soundness.answered(second, [USUAL].into_iter(), at(0));
    assert!(!soundness.is_sound(USUAL, at(100)));
    soundness.runner_broke_off(first, at(100));
    assert!(!soundness.is_sound(BAD, at(600)));
    assert!(soundness.is_sound(USUAL, at(600)));
    soundness.runner_broke_off(second, at(700));
    assert!(soundness.is_sound(USUAL, at(800)), "it had lived on before");
    assert!(!soundness.is_sound(USUAL, at(601_000)));
}

#[test]
fn many_parts_take_bounded_memory() {
    let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
    let host = hosts.insert(());
    let mut soundness = Soundness::default();
    for number in 0..80_000 {
        soundness.answered(
            host,
            [Mark::Part(PromptPart(number))].into_iter(),
            at(number),
        );
    }
    let now = at(81_000);
    let known =
        (0..80_000).filter(|number| soundness.is_sound(Mark::Part(PromptPart(*number)), now));
    let known = known.count();
    assert!(known <= 34_000, "{known}");
    assert!(soundness.is_sound(Mark::Part(PromptPart(79_999)), now));
}

#[test]
fn reports_are_sent_twice_and_again_to_new_collectors() {
    let mut reports = Reports::default();
    let report = CrashReport {
        runner: runner(1),
        evidence: evidence(REPEATED, 1, &[BAD_PART]),
    };
    reports.push(report.clone(), at(0));
    let (one, other) = (["d1".into(), "d2".into()], ["d2".into(), "d3".into()]);
    let sent = vec![report];
    assert_eq!(reports.take_due(&one, at(0)), sent);
    assert_eq!(reports.take_due(&one, at(100)), sent);
    assert_eq!(reports.take_due(&one, at(200)), []);
    assert_eq!(reports.take_due(&other, at(300)), sent);
    assert_eq!(reports.take_due(&one, at(31_000)), []);
}

#[test]
fn quarantine_outlives_older_copy_of_store() {
    let mut entries = QuarantinedMarks::default();
    let entry = (QuarantineEntry { since_s: 1_000 }, Revision(5));
    assert!(entries.insert(BAD));
    assert_eq!(entries.unstored(), [BAD]);
    assert!(!entries.insert_stored(BAD, entry));
    assert_eq!(entries.unstored(), []);
    entries.distrust_stored();
    assert!(entries.contains_any(REPEATED, &[USUAL_PART, BAD_PART]));
    assert!(!entries.contains_any(REPEATED, &[USUAL_PART]));
    assert_eq!(entries.unstored(), [BAD]);
}

#[test]
fn quarantine_ends_with_its_entry_and_after_a_day() {
    let mut entries = QuarantinedMarks::default();
    let entry = (QuarantineEntry { since_s: 1_000 }, Revision(5));
    entries.insert_stored(BAD, entry);
    assert_eq!(entries.expired(86_000), []);
    assert_eq!(entries.expired(1_000 + 86_400), [(BAD, Revision(5))]);
    entries.forget_stored();
    assert!(!entries.contains(BAD));
    entries.insert(BAD);
    entries.forget_stored();
    assert!(entries.contains(BAD), "the store hasn't had it yet");
}

/// Request at a runner.
pub struct Sent {
    evidence: Evidence,
    /// Number of runners that this arrival was sent to before.
    sends: u32,
    /// True if it is the second arrival, after which its caller gives up.
    is_retry: bool,
}

impl Sent {
    fn new(evidence: Evidence, is_retry: bool) -> Self {
        Self {
            evidence,
            sends: 0,
            is_retry,
        }
    }

    /// Returns true if it crashes the runner that it reaches.
    fn is_bad(&self) -> bool {
        self.evidence.request == REPEATED || self.evidence.parts.contains(&BAD_PART)
    }
}

/// Heads with the requests that they have, seen by a collector that hears of every crash.
pub struct Traffic {
    rng: SmallRng,
    /// Requests at each head.
    pub heads: BTreeMap<u64, Vec<Sent>>,
    /// Number of arrivals so far.
    arrivals: u64,
    /// Number of runners that an arrival is sent to at most; none if there is no limit.
    pub max_sends: Option<u32>,
    suspects: Suspects,
    soundness: Soundness,
    host: HostKey,
}

impl Traffic {
    pub fn new(seed: u64, heads: u64) -> Self {
        let mut hosts: SlotMap<HostKey, ()> = SlotMap::with_key();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            heads: (0..heads).map(|head| (head, Vec::new())).collect(),
            arrivals: 0,
            max_sends: None,
            suspects: Suspects::default(),
            soundness: Soundness::default(),
            host: hosts.insert(()),
        }
    }

    /// Returns the parts of a sound request: a usual one, and one of many documents.
    pub fn sound_parts(&mut self) -> Vec<PromptPart> {
        let document = self.rng.random_range(0..400);
        vec![USUAL_PART, PromptPart(1_000 + document)]
    }

    /// Sends a request that is like no other.
    pub fn send(&mut self, parts: Vec<PromptPart>) {
        let request = Fingerprint(self.arrivals + 1);
        self.send_request(request, &parts);
    }

    /// Sends a request, which may have been sent before.
    pub fn send_request(&mut self, request: Fingerprint, parts: &[PromptPart]) {
        self.arrivals += 1;
        let evidence = evidence(request, self.arrivals, parts);
        self.send_to_head(Sent::new(evidence, false));
    }

    fn send_to_head(&mut self, request: Sent) {
        let heads: Vec<u64> = self.heads.keys().copied().collect();
        let head = heads[self.rng.random_range(0..heads.len())];
        self.heads.entry(head).or_default().push(request);
    }

    /// Sends a request whose head crashed to another one, or lets its caller retry once.
    fn send_on(&mut self, mut request: Sent) {
        request.sends += 1;
        if self.max_sends.is_none_or(|max| request.sends < max) {
            return self.send_to_head(request);
        }
        if !request.is_retry {
            self.arrivals += 1;
            request.evidence.arrival = Arrival(self.arrivals);
            self.send_to_head(Sent::new(request.evidence, true));
        }
    }

    /// Ends a head, which another one replaces; its requests go to other heads.
    pub fn crash(&mut self, head: u64, now: Time) {
        let next = self.heads.keys().max().expect("heads") + 1;
        self.heads.insert(next, Vec::new());
        for request in self.heads.remove(&head).unwrap_or_default() {
            self.suspects.record(runner(head), &request.evidence, now);
            if !request.is_bad() {
                self.send_on(request);
            }
        }
    }

    /// Ends the head that a bad request reached, if it did.
    pub fn crash_bad_head(&mut self, now: Time) {
        let mut heads = self.heads.iter();
        let found = heads.find(|(_, requests)| requests.iter().any(Sent::is_bad));
        if let Some(head) = found.map(|(head, _)| *head) {
            self.crash(head, now);
        }
    }

    /// Lets heads answer some of their requests.
    pub fn answer(&mut self, now: Time) {
        for requests in self.heads.values_mut() {
            if requests.len() > 4 {
                let evidence = requests.remove(0).evidence;
                let marks = Mark::of(evidence.request, &evidence.parts);
                self.soundness.answered(self.host, marks, now);
            }
        }
    }

    pub fn judge(&mut self, now: Time) -> Vec<Mark> {
        let soundness = &self.soundness;
        let is_sound = |mark| soundness.is_sound(mark, now);
        self.suspects.ask(is_sound, now);
        self.suspects.verdict(is_sound, now)
    }
}

#[test]
fn bad_part_is_found_within_five_crashes_beside_sound_traffic() {
    for seed in 0..16 {
        let mut traffic = Traffic::new(seed, 12);
        let mut crashes = 0;
        let mut verdict = Vec::new();
        for step in 0..400 {
            let now = at(100 * step);
            for _ in 0..12 {
                let parts = traffic.sound_parts();
                traffic.send(parts);
            }
            traffic.answer(now);
            if step > 100 && step % 4 == 0 {
                traffic.send(vec![USUAL_PART, BAD_PART]);
                traffic.crash_bad_head(now);
                crashes += 1;
            }
            verdict = traffic.judge(now);
            if !verdict.is_empty() {
                break;
            }
        }
        assert_eq!(verdict, [BAD], "seed {seed}");
        assert!(crashes <= 5, "seed {seed}: {crashes} crashes");
    }
}

/// Heads are lost every second, and at times a whole domain of them.
#[test]
fn no_part_is_quarantined_for_crashes_that_have_other_causes() {
    for seed in 0..16 {
        let mut traffic = Traffic::new(seed, 12);
        for step in 0..400 {
            let now = at(100 * step);
            for _ in 0..12 {
                let parts = traffic.sound_parts();
                traffic.send(parts);
            }
            traffic.answer(now);
            let lost = match step {
                0..10 => 0,
                _ if step % 100 == 0 => 4,
                _ if step % 10 == 0 => 1,
                _ => 0,
            };
            for _ in 0..lost {
                let head = *traffic.heads.keys().next().expect("heads");
                traffic.crash(head, now);
            }
            assert_eq!(traffic.judge(now), [], "seed {seed} at step {step}");
        }
    }
}
