//! Telling a part that crashes runners from the parts that its requests share with sound ones.

use super::quarantine::{
    BAD, BAD_PART, REPEATED, Traffic, USUAL, USUAL_PART, at, evidence, record, runner, unknown,
    verdict_after_answers,
};
use hickoryledge::{
    core::keys::PromptPart,
    gateway::quarantine::{
        mark::Mark,
        suspects::{ANSWER_TIME, IN_FLIGHT_TIME, REPORT_TIME, Suspects},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Part of some sound requests, which none of the bad ones has.
const DOCUMENT_PART: PromptPart = PromptPart(0xd0c);

/// Interval between crashes.
const INTERVAL_MS: u64 = 1_000;

/// Returns the evidence of crashes under bad requests, each beside two sound ones with parts of
/// their own.
fn crashes_beside_sound_requests(count: u64, bad: &[PromptPart], sound: &[PromptPart]) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..count {
        let now = at(INTERVAL_MS * number);
        record(&mut suspects, runner(number), sound, now);
        record(&mut suspects, runner(number), bad, now);
        record(&mut suspects, runner(number), sound, now);
    }
    suspects
}

// Both were quarantined: all sound requests of the caller were refused for a day.
#[test]
fn new_first_part_is_spared_beside_part_that_crashes_runners() {
    let bad = [USUAL_PART, BAD_PART];
    let mut suspects = crashes_beside_sound_requests(4, &bad, &[USUAL_PART]);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(4_000));
    assert_eq!(verdict, [], "one more crash may tell them apart");
    let mut suspects = crashes_beside_sound_requests(5, &bad, &[USUAL_PART]);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(5_000));
    assert_eq!(verdict, [BAD]);
}

// A part that many sound requests have is in each crash, too.
#[test]
fn new_part_of_many_sound_requests_is_spared() {
    let bad = [USUAL_PART, BAD_PART];
    let sound = [USUAL_PART, DOCUMENT_PART];
    let mut suspects = crashes_beside_sound_requests(5, &bad, &sound);
    let verdict = verdict_after_answers(&mut suspects, unknown, at(5_000));
    assert_eq!(verdict, [BAD]);
}

// Prompts begin with the parts that most requests share.
#[test]
fn later_one_of_two_parts_that_always_come_together_is_quarantined() {
    for later in [PromptPart(1), PromptPart(0xfff)] {
        let bad = [USUAL_PART, later];
        let mut suspects = crashes_beside_sound_requests(5, &bad, &[]);
        let verdict = verdict_after_answers(&mut suspects, unknown, at(5_000));
        assert_eq!(verdict, [Mark::Part(later)]);
    }
}

// The part that crashes runners didn't count, as one request alone had it, and the first part led.
#[test]
fn first_part_is_spared_while_one_bad_request_is_at_each_crash() {
    let mut suspects = Suspects::default();
    for number in 0..4 {
        let now = at(INTERVAL_MS * number);
        let bad = evidence(REPEATED, 1, &[USUAL_PART, BAD_PART]);
        suspects.record(runner(number), &bad, now);
        record(&mut suspects, runner(number), &[USUAL_PART], now);
    }
    let verdict = verdict_after_answers(&mut suspects, unknown, at(4_000));
    assert_eq!(verdict, []);
}

/// Returns suspects of which the bad part has just been quarantined, and the time.
fn suspects_after_verdict() -> (Suspects, u64) {
    let bad = [USUAL_PART, BAD_PART];
    let mut suspects = crashes_beside_sound_requests(5, &bad, &[USUAL_PART]);
    let now_ms = 5_000;
    let verdict = verdict_after_answers(&mut suspects, unknown, at(now_ms));
    assert_eq!(verdict, [BAD]);
    assert_eq!(suspects.quarantine_began(BAD, at(now_ms)), [USUAL_PART]);
    assert_eq!(suspects.verdict(unknown, at(now_ms)), []);
    (suspects, now_ms)
}

/// Records crashes without the bad part, one in each interval, and returns the verdict on them.
fn verdict_on_further_crashes(suspects: &mut Suspects, count: u64, first_ms: u64) -> Vec<Mark> {
    let times = (0..count).map(|number| first_ms + 100 * number);
    let mut last = at(first_ms);
    for (number, millis) in times.enumerate() {
        last = at(millis);
        record(suspects, runner(100 + number as u64), &[USUAL_PART], last);
    }
    suspects.ask(unknown, last);
    suspects.verdict(unknown, last + ANSWER_TIME.max(REPORT_TIME))
}

// A runner that crashed for another reason, or whose report of the bad request was lost, made the
// first part lead alone.
#[test]
fn new_first_part_is_spared_if_one_of_five_crashes_lacks_the_bad_part() {
    for other in 0..5 {
        let mut suspects = Suspects::default();
        for number in 0..5 {
            let now = at(INTERVAL_MS * number);
            record(&mut suspects, runner(number), &[USUAL_PART], now);
            record(&mut suspects, runner(number), &[USUAL_PART], now);
            if number != other {
                record(&mut suspects, runner(number), &[USUAL_PART, BAD_PART], now);
            }
        }
        let verdict = verdict_after_answers(&mut suspects, unknown, at(5_000));
        assert_eq!(verdict, [BAD], "crash {other}");
        suspects.quarantine_began(BAD, at(6_000));
        let further = verdict_on_further_crashes(&mut suspects, 1, 8_000);
        assert_eq!(further, [], "crash {other}");
    }
}

// The narrower part needn't be the one that crashes runners.
#[test]
fn spared_part_is_quarantined_if_crashes_go_on_without_the_narrower_one() {
    let (mut suspects, now_ms) = suspects_after_verdict();
    let later_ms = now_ms + IN_FLIGHT_TIME.as_millis();
    let mut one = verdict_on_further_crashes(&mut suspects, 1, later_ms);
    assert_eq!(one, [], "a runner may crash for another reason");
    one = verdict_on_further_crashes(&mut suspects, 2, later_ms);
    assert_eq!(one, [USUAL]);
}

// Requests in flight are given up when their part is quarantined, and nobody reports them.
#[test]
fn crashes_under_requests_given_up_at_the_verdict_accuse_no_other_part() {
    let (mut suspects, now_ms) = suspects_after_verdict();
    let verdict = verdict_on_further_crashes(&mut suspects, 8, now_ms + 100);
    assert_eq!(verdict, []);
}

/// Plays heads that crash so often that nobody is ever answered, and expects the bad part alone to be
/// found. Sound requests are sent on to so many heads at most.
fn find_bad_part_on_any_seed(max_sends: Option<u32>) {
    for seed in 0..64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut traffic = Traffic::new(seed, rng.random_range(1..4));
        traffic.max_sends = max_sends;
        let (sound, bad) = (rng.random_range(1..4), rng.random_range(3..12));
        let mut crashes = 0;
        let mut verdict = Vec::new();
        for step in 1..400 {
            let now = at(100 * step);
            for _ in 0..sound {
                traffic.send(vec![USUAL_PART]);
            }
            if step % bad == 0 {
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
        assert!(crashes <= 6, "seed {seed}: {crashes} crashes");
    }
}

#[test]
fn new_first_part_is_spared_on_any_seed() {
    find_bad_part_on_any_seed(None);
}

// A sound request whose caller retried it was quarantined, having been at three of the crashes.
#[test]
fn request_that_comes_again_is_spared_on_any_seed() {
    find_bad_part_on_any_seed(Some(2));
}
