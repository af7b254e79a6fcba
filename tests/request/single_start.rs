//! Non-idempotent requests start at most once.

use super::harness::{Rig, service_call};
use hickoryledge::core::{
    config::ROOT,
    input::{CallRequest, Failure, PlatformAnswer, PlatformEntry, Ticket},
    keys::{Incarnation, LeaseId, Revision},
    options::Mechanism,
    output::{Doubt, Ending, PlatformCall, Refusal, Route},
    request::ticket,
    time::Span,
};

fn rig(without: &[Mechanism]) -> Rig {
    let mut rig = Rig::new(without);
    rig.put_service("invoices", false, 3);
    rig
}

fn draw(rig: &mut Rig) -> Ticket {
    let mut drawn = None;
    rig.with(|_, ctx| drawn = Some(ticket::issue(ctx, &"clerk".into())));
    drawn.expect("ticket is drawn")
}

fn ticketed(ticket: &Ticket) -> CallRequest {
    CallRequest {
        ticket: Some(ticket.clone()),
        ..service_call("invoices")
    }
}

fn keyed(key: &str) -> CallRequest {
    CallRequest {
        idempotency_key: Some(key.into()),
        ..service_call("invoices")
    }
}

/// Sends the same ticket twice and cuts what is sent; counts the starts.
fn starts(without: &[Mechanism]) -> usize {
    let mut rig = rig(without);
    let ticket = draw(&mut rig);
    let mut starts = 0;
    for _ in 0..2 {
        rig.call(ticketed(&ticket));
        while let Some(sent) = rig.sent().pop() {
            starts += 1;
            rig.fail(sent.attempt, Failure::Cut);
        }
    }
    starts
}

#[test]
fn a_ticket_starts_one_attempt_that_may_run() {
    assert_eq!(starts(&[]), 1);
    assert!(starts(&[Mechanism::SingleStart]) > 1, "runs twice");
}

#[test]
fn a_second_use_is_answered_as_unknown() {
    let mut rig = rig(&[]);
    let ticket = draw(&mut rig);
    rig.call(ticketed(&ticket));
    let second = rig.call(ticketed(&ticket));
    assert_eq!(rig.ended(), [(second, Ending::Unknown(Doubt::Duplicate))]);
}

#[test]
fn a_ticket_that_never_ran_may_be_used_again() {
    let mut rig = rig(&[]);
    let ticket = draw(&mut rig);
    rig.call(ticketed(&ticket));
    while let Some(sent) = rig.sent().pop() {
        rig.fail(sent.attempt, Failure::Declined);
    }
    assert!(matches!(rig.ended()[0].1, Ending::Refused { .. }));
    rig.call(ticketed(&ticket));
    assert_eq!(rig.sent().len(), 1);
}

#[test]
fn a_ticket_of_a_past_run_is_unknown_and_a_forged_one_refused() {
    let mut rig = rig(&[]);
    let drawn = draw(&mut rig);
    let past = Ticket {
        incarnation: Incarnation(0),
        ..drawn.clone()
    };
    let forged = Ticket {
        number: drawn.number + 1,
        ..drawn
    };
    rig.call(ticketed(&past));
    rig.call(ticketed(&forged));
    let ended = rig.ended();
    assert_eq!(ended[0].1, Ending::Unknown(Doubt::ArbiterGone));
    assert!(matches!(
        ended[1].1,
        Ending::Refused {
            reason: Refusal::Invalid,
            ..
        }
    ));
    assert!(rig.sent().is_empty());
}

#[test]
fn the_ledger_forgets_and_answers_old_tickets_as_unknown() {
    let mut rig = rig(&[]);
    rig.with(|parts, ctx| parts.requests.on_start(ctx));
    let ticket = draw(&mut rig);
    rig.advance(Span::from_secs(17 * 60));
    rig.call(ticketed(&ticket));
    assert_eq!(rig.ended()[0].1, Ending::Unknown(Doubt::Duplicate));
}

/// Answers the grant of a lease and gives back the claim's write.
fn write(rig: &mut Rig) -> (hickoryledge::core::keys::PlatformId, String, String) {
    let (id, call) = rig.platform_calls().remove(0);
    assert!(matches!(call, PlatformCall::Grant { .. }));
    let answer = PlatformAnswer::Leased {
        lease: LeaseId(1),
        ttl: Span::from_secs(60),
    };
    rig.platform(id, Some(answer));
    match rig.platform_calls().remove(0) {
        (id, PlatformCall::Put { key, value, .. }) => (id, key, value),
        other => panic!("not a write: {other:?}"),
    }
}

fn holder(key: String, value: String) -> PlatformAnswer {
    PlatformAnswer::Entries {
        revision: Revision(9),
        entries: vec![PlatformEntry {
            key,
            value,
            revision: Revision(9),
            lease: None,
        }],
    }
}

#[test]
fn a_key_is_claimed_before_the_start() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, _) = write(&mut rig);
    assert!(
        !key.starts_with(ROOT),
        "{key} would be watched by every daemon"
    );
    assert!(rig.sent().is_empty());
    let revision = Revision(5);
    rig.platform(id, Some(PlatformAnswer::Written { revision }));
    assert_eq!(rig.sent().len(), 1);
}

#[test]
fn a_lost_answer_is_read_back() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, value) = write(&mut rig);
    rig.platform(id, None);
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform(id, Some(holder(key, value)));
    assert_eq!(rig.sent().len(), 1, "the claim is ours");
}

#[test]
fn a_key_held_by_another_is_never_started() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, _) = write(&mut rig);
    let other = r#"{"daemon":"d2","operation":3}"#.to_owned();
    rig.platform(id, None);
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform(id, Some(holder(key, other)));
    assert!(rig.sent().is_empty());
    assert_eq!(rig.ended()[0].1, Ending::Unknown(Doubt::Duplicate));
}

#[test]
fn without_the_platform_a_key_is_refused_as_not_run() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform(id, None);
    assert!(rig.sent().is_empty());
    assert!(matches!(
        rig.ended()[0].1,
        Ending::Refused {
            reason: Refusal::PlatformDown,
            ..
        }
    ));
}

#[test]
fn a_ticket_of_another_daemon_is_relayed_to_its_run_alone() {
    let mut rig = rig(&[]);
    rig.put_daemon(2, 5);
    let ticket = Ticket {
        daemon: "d2".into(),
        incarnation: Incarnation(5),
        number: 1,
        proof: 1,
    };
    rig.call(ticketed(&ticket));
    let sent = rig.sent_one();
    assert!(matches!(&sent.route, Route::Daemon { daemon, .. } if daemon.as_str() == "d2"));
    rig.put_daemon(2, 6);
    rig.call(ticketed(&ticket));
    assert!(rig.sent().is_empty());
    assert_eq!(rig.ended()[0].1, Ending::Unknown(Doubt::ArbiterGone));
}
