//! Non-idempotent requests start at most once, whether by a ticket or an idempotency key.

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

fn issue_ticket(rig: &mut Rig) -> Ticket {
    let mut issued = None;
    rig.with(|_, ctx| issued = Some(ticket::issue(ctx, &"clerk".into())));
    issued.expect("ticket is issued")
}

/// Returns the ticket as a past incarnation of the daemon issued it.
fn of_past_incarnation(ticket: &Ticket) -> Ticket {
    Ticket {
        incarnation: Incarnation(0),
        ..ticket.clone()
    }
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

/// Sends the same ticket twice and cuts every attempt; returns the number of attempts.
fn count_starts(without: &[Mechanism]) -> usize {
    let mut rig = rig(without);
    let ticket = issue_ticket(&mut rig);
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

/// A caller that repeats a request after its connection was cut must not start it twice.
#[test]
fn ticket_starts_at_most_one_attempt_that_may_run() {
    assert_eq!(count_starts(&[]), 1);
    assert!(
        count_starts(&[Mechanism::SingleStart]) > 1,
        "should start twice without the mechanism"
    );
}

/// The second use can't tell whether the first one ran, so it is neither run nor refused.
#[test]
fn second_use_of_ticket_ends_as_unknown() {
    let mut rig = rig(&[]);
    let ticket = issue_ticket(&mut rig);
    rig.call(ticketed(&ticket));
    let second = rig.call(ticketed(&ticket));
    assert_eq!(rig.ended(), [(second, Ending::Unknown(Doubt::Duplicate))]);
}

/// A refused request must release its ticket, or the caller's retry would end as unknown.
#[test]
fn ticket_of_request_that_never_ran_is_reusable() {
    let mut rig = rig(&[]);
    let ticket = issue_ticket(&mut rig);
    rig.call(ticketed(&ticket));
    while let Some(sent) = rig.sent().pop() {
        rig.fail(sent.attempt, Failure::Declined);
    }
    assert!(matches!(rig.ended()[0].1, Ending::Refused { .. }));
    rig.call(ticketed(&ticket));
    assert_eq!(rig.sent().len(), 1);
}

/// A past incarnation may have started the request; a forged ticket can't have been used.
#[test]
fn rejects_ticket_of_past_incarnation_and_forged_ticket() {
    let mut rig = rig(&[]);
    let issued = issue_ticket(&mut rig);
    let past = of_past_incarnation(&issued);
    let forged = Ticket {
        number: issued.number + 1,
        ..issued
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

/// The use of a ticket older than the retention window is no longer remembered, so the
/// request must not start.
#[test]
fn expired_ticket_ends_as_unknown() {
    let mut rig = rig(&[]);
    rig.with(|parts, ctx| parts.requests.on_start(ctx));
    let ticket = issue_ticket(&mut rig);
    rig.advance(Span::from_secs(17 * 60));
    rig.call(ticketed(&ticket));
    assert_eq!(rig.ended()[0].1, Ending::Unknown(Doubt::Duplicate));
}

/// Answers the grant of a lease; returns the claim's write with its key and value.
fn take_claim_write(rig: &mut Rig) -> (hickoryledge::core::keys::PlatformId, String, String) {
    let (id, call) = rig.platform_calls().remove(0);
    assert!(matches!(call, PlatformCall::Grant { .. }));
    let answer = PlatformAnswer::Leased {
        lease: LeaseId(1),
        ttl: Span::from_secs(60),
    };
    rig.platform_answer(id, Some(answer));
    match rig.platform_calls().remove(0) {
        (id, PlatformCall::Put { key, value, .. }) => (id, key, value),
        other => panic!("expected a write, got {other:?}"),
    }
}

fn claim_entry(key: String, value: String) -> PlatformAnswer {
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

/// Another daemon may hold the same key, so nothing may start before the claim is written.
/// The claim is kept outside the watched records, since every daemon would otherwise
/// receive every claim.
#[test]
fn claims_idempotency_key_before_first_attempt() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, _) = take_claim_write(&mut rig);
    assert!(
        !key.starts_with(ROOT),
        "{key} would be watched by every daemon"
    );
    assert!(rig.sent().is_empty());
    let revision = Revision(5);
    rig.platform_answer(id, Some(PlatformAnswer::Written { revision }));
    assert_eq!(rig.sent().len(), 1);
}

/// The write may have taken effect although its answer was lost.
#[test]
fn reads_claim_back_after_lost_answer() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, value) = take_claim_write(&mut rig);
    rig.platform_answer(id, None);
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform_answer(id, Some(claim_entry(key, value)));
    assert_eq!(
        rig.sent().len(),
        1,
        "the claim should be recognized as its own"
    );
}

/// The holder of the key may have run the request.
#[test]
fn never_starts_request_whose_key_is_held_by_another() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, key, _) = take_claim_write(&mut rig);
    let other = r#"{"daemon":"d2","operation":3}"#.to_owned();
    rig.platform_answer(id, None);
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform_answer(id, Some(claim_entry(key, other)));
    assert!(rig.sent().is_empty());
    assert_eq!(rig.ended()[0].1, Ending::Unknown(Doubt::Duplicate));
}

/// Without a claim nothing was started, so the refusal is true.
#[test]
fn refuses_keyed_request_while_platform_is_down() {
    let mut rig = rig(&[]);
    rig.call(keyed("a"));
    let (id, _) = rig.platform_calls().remove(0);
    rig.platform_answer(id, None);
    assert!(rig.sent().is_empty());
    assert!(matches!(
        rig.ended()[0].1,
        Ending::Refused {
            reason: Refusal::PlatformDown,
            ..
        }
    ));
}

/// A daemon that has just started knows no accounts yet; the ticket's request may have run before.
#[test]
fn daemon_without_accounts_refuses_neither_credential_nor_ticket() {
    let mut rig = rig(&[]);
    let ticket = issue_ticket(&mut rig);
    let past = of_past_incarnation(&ticket);
    rig.forget_view();
    rig.call(ticketed(&past));
    rig.call(service_call("desk"));
    let reasons: Vec<_> = rig.ended().into_iter().map(|(_, ending)| ending).collect();
    let stale = Ending::Refused {
        reason: Refusal::Stale,
        retry_after: None,
    };
    assert_eq!(reasons, [Ending::Unknown(Doubt::ArbiterGone), stale]);
}

/// A later incarnation of the daemon can't know whether the ticket was used.
#[test]
fn relays_ticket_only_to_issuing_incarnation() {
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
