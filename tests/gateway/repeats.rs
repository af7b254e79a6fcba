//! Finding a request that comes again and crashes each runner, beside others that don't.

use super::quarantine::{REPEATED, REPEATED_MARK, Traffic, at, evidence, runner, unknown};
use hickoryledge::{
    core::keys::{AccountName, Fingerprint, PromptPart},
    gateway::{
        quarantine::{
            fingerprint::Identity,
            mark::Mark,
            restarts::{RECHECK_DELAY, Restarts},
            suspects::{ANSWER_TIME, REPORT_TIME, Suspects},
        },
        roster::RunnerInstance,
    },
};
use http::{Method, Uri};
use std::collections::BTreeMap;

/// Returns the evidence of crashes under the repeated request, which has some parts; one in each
/// interval.
fn crashes_by_request(count: u64, interval_ms: u64, parts: &[PromptPart]) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..count {
        let now = at(interval_ms * number);
        suspects.record(runner(number), &evidence(REPEATED, number, parts), now);
    }
    suspects
}

#[test]
fn request_of_three_crashes_is_quarantined_once_nobody_objects() {
    let mut suspects = crashes_by_request(3, 100, &[]);
    let now = at(300);
    assert_eq!(suspects.ask(unknown, now), [REPEATED_MARK]);
    assert_eq!(suspects.verdict(unknown, now), []);
    assert_eq!(
        suspects.verdict(unknown, now + ANSWER_TIME),
        [REPEATED_MARK]
    );
    let is_sound = |mark| mark == REPEATED_MARK;
    assert_eq!(suspects.verdict(is_sound, now + ANSWER_TIME), []);
}

// A request that came once can't be the one that comes again.
#[test]
fn request_of_three_crashes_is_quarantined_beside_one_that_came_once() {
    let mut suspects = crashes_by_request(3, 100, &[]);
    for number in 0..3 {
        let sound = evidence(Fingerprint(7), 50, &[]);
        suspects.record(runner(number), &sound, at(100 * number));
    }
    suspects.ask(unknown, at(300));
    assert_eq!(suspects.verdict(unknown, at(1_000)), [REPEATED_MARK]);
}

#[test]
fn two_crashes_quarantine_no_request() {
    let mut suspects = crashes_by_request(2, 4_000, &[]);
    suspects.ask(unknown, at(4_000));
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
}

/// A request that is sent on from crash to crash may have had bad luck.
#[test]
fn one_arrival_at_many_crashes_is_distrusted_and_not_quarantined() {
    let mut suspects = Suspects::default();
    for number in 0..6 {
        suspects.record(
            runner(number),
            &evidence(REPEATED, 1, &[]),
            at(100 * number),
        );
    }
    suspects.ask(unknown, at(600));
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
    assert_eq!(suspects.distrust(unknown), [REPEATED_MARK]);
    assert_eq!(suspects.distrust(unknown), [], "the daemons were told");
}

/// A domain that loses power takes all runners at once, with a request that many callers repeat.
#[test]
fn crashes_at_one_moment_quarantine_no_request() {
    let mut suspects = crashes_by_request(6, 5, &[]);
    suspects.ask(unknown, at(100));
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
}

/// All runners of a small service crash within a moment, and are back some seconds later.
#[test]
fn crashes_of_whole_services_at_two_moments_are_enough() {
    let mut suspects = crashes_by_request(3, 5, &[]);
    suspects.record(runner(3), &evidence(REPEATED, 3, &[]), at(4_000));
    suspects.ask(unknown, at(4_000));
    let verdict = suspects.verdict(unknown, at(4_000) + REPORT_TIME);
    assert_eq!(verdict, [REPEATED_MARK]);
}

/// A sound request that was sent on with the bad one was at each of its crashes.
#[test]
fn request_beside_bad_one_is_spared_as_soon_as_one_crash_is_without_it() {
    let mut suspects = crashes_by_request(3, 100, &[]);
    for number in 0..3 {
        suspects.record(
            runner(number),
            &evidence(Fingerprint(7), number, &[]),
            at(100 * number),
        );
    }
    suspects.ask(unknown, at(300));
    assert_eq!(suspects.verdict(unknown, at(1_000)), []);
    suspects.record(runner(3), &evidence(REPEATED, 3, &[]), at(4_000));
    let verdict = suspects.verdict(unknown, at(4_000) + REPORT_TIME);
    assert_eq!(verdict, [REPEATED_MARK]);
    suspects.explain(REPEATED_MARK);
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
}

/// Each request at a crash is reported apart, and the reports of sound ones may come first.
#[test]
fn request_beside_bad_one_is_spared_if_its_report_of_the_last_crash_comes_first() {
    let mut suspects = crashes_by_request(2, 2_000, &[]);
    let sound = Fingerprint(7);
    for number in 0..2 {
        let evidence = evidence(sound, number, &[]);
        suspects.record(runner(number), &evidence, at(2_000 * number));
    }
    suspects.ask(unknown, at(2_000));
    suspects.record(runner(2), &evidence(sound, 2, &[]), at(4_000));
    assert_eq!(suspects.verdict(unknown, at(4_000)), []);
    suspects.record(runner(2), &evidence(REPEATED, 2, &[]), at(4_100));
    assert_eq!(suspects.verdict(unknown, at(4_100)), []);
    assert_eq!(suspects.verdict(unknown, at(5_000)), []);
}

/// Only the repeated request has the part, and it is to blame itself.
#[test]
fn part_of_one_repeated_request_is_not_quarantined() {
    let part = PromptPart(7);
    let mut suspects = crashes_by_request(8, 300, &[part]);
    suspects.ask(unknown, at(2_400));
    assert_eq!(suspects.verdict(unknown, at(9_000)), [REPEATED_MARK]);
    suspects.explain(REPEATED_MARK);
    assert_eq!(suspects.verdict(unknown, at(9_000)), []);
}

/// The first request with a bad part crashes several runners and is quarantined for it.
#[test]
fn part_is_found_after_one_of_its_requests_was_quarantined() {
    let part = PromptPart(7);
    let mut suspects = crashes_by_request(3, 300, &[part]);
    suspects.explain(REPEATED_MARK);
    suspects.record(runner(3), &evidence(Fingerprint(8), 3, &[part]), at(4_000));
    suspects.ask(unknown, at(4_000));
    let verdict = suspects.verdict(unknown, at(4_000) + REPORT_TIME);
    assert_eq!(verdict, [Mark::Part(part)]);
}

#[test]
fn repeated_request_is_found_within_six_crashes_beside_sound_traffic() {
    for seed in 0..16 {
        let mut traffic = Traffic::new(seed, 3);
        let mut crashes = 0;
        let mut verdict = Vec::new();
        for step in 0..400 {
            let now = at(100 * step);
            for _ in 0..3 {
                traffic.send(Vec::new());
            }
            traffic.answer(now);
            if step > 20 && step % 4 == 0 {
                traffic.send_request(REPEATED, &[]);
                traffic.crash_bad_head(now);
                crashes += 1;
            }
            verdict = traffic.judge(now);
            if !verdict.is_empty() {
                break;
            }
        }
        assert_eq!(verdict, [REPEATED_MARK], "seed {seed}");
        assert!(crashes <= 6, "seed {seed}: {crashes} crashes");
    }
}

/// A runner of three is lost every four seconds, its requests go to the others, and callers retry.
#[test]
fn no_request_is_quarantined_for_crashes_that_have_other_causes() {
    for seed in 0..16 {
        let mut traffic = Traffic::new(seed, 3);
        traffic.max_sends = Some(3);
        for step in 0..400 {
            let now = at(100 * step);
            for _ in 0..3 {
                traffic.send(Vec::new());
            }
            traffic.answer(now);
            if step > 0 && step % 40 == 0 {
                let head = *traffic.heads.keys().next().expect("heads");
                traffic.crash(head, now);
            }
            assert_eq!(traffic.judge(now), [], "seed {seed} at step {step}");
        }
    }
}

#[test]
fn requests_that_differ_in_one_thing_have_different_fingerprints() {
    let uri = Uri::from_static("/read/x?y");
    let (first, second) = (AccountName::from("first"), AccountName::from("second"));
    let identity = Identity {
        method: &Method::POST,
        host: "a.example",
        uri: &uri,
        account: Some(&first),
        body: b"body",
    };
    let same = Identity {
        host: "A.example",
        ..identity
    };
    assert_eq!(same.fingerprint(), identity.fingerprint());
    let (path, query) = (Uri::from_static("/read/z?y"), Uri::from_static("/read/x?z"));
    let others = [
        Identity {
            method: &Method::PUT,
            ..identity
        },
        Identity {
            host: "b.example",
            ..identity
        },
        Identity {
            uri: &path,
            ..identity
        },
        Identity {
            uri: &query,
            ..identity
        },
        Identity {
            account: Some(&second),
            ..identity
        },
        Identity {
            account: None,
            ..identity
        },
        Identity {
            body: b"other",
            ..identity
        },
        // What ends one field must not count as the start of the next.
        Identity {
            account: None,
            body: b"firstbody",
            ..identity
        },
    ];
    for other in others {
        assert_ne!(other.fingerprint(), identity.fingerprint(), "{other:?}");
    }
}

#[test]
fn runner_that_is_back_at_once_has_crashed_if_its_run_is_later() {
    let mut restarts = Restarts::default();
    let address = "127.0.0.1:80".parse().expect("an address");
    for number in 1..3 {
        let evidence = evidence(REPEATED, number, &[]);
        restarts.push(runner(number), address, evidence, at(0));
    }
    assert_eq!(restarts.take_crashed(|_, _| false, at(100)), []);
    let has_restarted = |crashed: &RunnerInstance, _| *crashed == runner(2);
    let reports = restarts.take_crashed(has_restarted, at(200));
    let runners: Vec<RunnerInstance> = reports.into_iter().map(|report| report.runner).collect();
    assert_eq!(runners, [runner(2)]);
    assert_eq!(restarts.take_crashed(has_restarted, at(300)), []);
    assert_eq!(
        restarts.take_crashed(|_, _| true, at(11_000)),
        [],
        "too late"
    );
}

#[test]
fn runner_that_still_listens_is_checked_again_once() {
    let mut restarts = Restarts::default();
    let address = "127.0.0.1:80".parse().expect("an address");
    for number in 1..3 {
        let evidence = evidence(REPEATED, number, &[]);
        restarts.push(runner(1), address, evidence, at(0));
    }
    assert!(restarts.take_unchecked(at(0)).is_empty(), "too early");
    let later = at(0) + RECHECK_DELAY;
    let due = restarts.take_unchecked(later);
    assert_eq!(due, BTreeMap::from([(runner(1), address)]));
    assert!(restarts.take_unchecked(later).is_empty());
    assert_eq!(restarts.take_crashed(|_, _| true, later).len(), 2);
}

#[test]
fn marks_are_read_as_they_are_written() {
    for mark in [REPEATED_MARK, Mark::Part(PromptPart(0x5a5e))] {
        assert_eq!(Mark::parse(&mark.to_string()), Some(mark));
    }
    assert_eq!(Mark::parse("request-"), None);
    assert_eq!(Mark::parse("other-5a5e"), None);
}
