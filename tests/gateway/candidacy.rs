//! Order in which daemons claim the duty.

use hickoryledge::{
    core::{
        keys::{DaemonName, Era, HallName, Revision},
        time::{Span, Time},
    },
    gateway::{
        candidacy::{Candidacy, first_epoch},
        peers::{DaemonEntry, Peers},
    },
};

/// Returns daemons with this processor time, in percent of a core.
fn daemons(processors: &[(&str, u32)]) -> Peers {
    let mut peers = Peers::default();
    for (name, processor_percent) in processors {
        let entry = DaemonEntry {
            caller: "10.0.0.1:80".parse().expect("an address"),
            hall: HallName::from("hall"),
            peer: None,
            relay: None,
            processor_percent: *processor_percent,
        };
        peers.put(DaemonName::from(*name), entry);
    }
    peers
}

/// Returns the time from which a daemon claims a duty that has no holder.
fn claim_time(name: &str, peers: &Peers, start: Time) -> Time {
    let mut candidacy = Candidacy::new(DaemonName::from(name), Time(0));
    let mut now = start;
    while !candidacy.should_claim(peers, now) {
        now = now + Span::from_millis(100);
    }
    now
}

const LATER: Time = Time(60_000_000);

/// On a weak machine the duty takes the processor time that requests and the configuration need.
#[test]
fn daemon_with_most_processor_time_claims_first() {
    let peers = daemons(&[("a", 12), ("b", 12), ("c", 50), ("d", 50)]);
    let times = ["c", "d", "a", "b"].map(|name| claim_time(name, &peers, LATER));
    assert_eq!(times[0], LATER);
    assert!(
        times.is_sorted_by(|before, next| before < next),
        "{times:?}"
    );
}

/// If the candidates before it are cut off from the store, the last of many claims soon.
#[test]
fn last_candidate_claims_within_seconds() {
    let names: Vec<String> = (0..340).map(|index| format!("d{index:03}")).collect();
    let processors: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 12)).collect();
    let time = claim_time("d339", &daemons(&processors), LATER);
    assert!(time.since(LATER) <= Span::from_secs(3), "{time:?}");
}

/// A daemon that starts knows no others yet and would take itself for the strongest.
#[test]
fn starting_daemon_waits_for_entries_of_others() {
    let alone = daemons(&[]);
    assert!(claim_time("a", &alone, Time(0)) >= Time(500_000));
}

#[test]
fn claims_duty_again_only_if_it_was_its_own() {
    let mut peers = daemons(&[("a", 50), ("b", 12)]);
    peers.claim = Some((DaemonName::from("b"), Revision(7)));
    let mut strong = Candidacy::new(DaemonName::from("a"), Time(0));
    let mut holder = Candidacy::new(DaemonName::from("b"), Time(0));
    assert!(!strong.should_claim(&peers, LATER));
    assert!(holder.should_claim(&peers, LATER));
}

/// The store may have forgotten the claim of a daemon whose lease is still valid by its own clock, or
/// have brought an earlier claim back.
#[test]
fn barred_daemon_claims_only_after_earlier_leases_have_ended() {
    let peers = daemons(&[("a", 12)]);
    let mut revived = daemons(&[("a", 12)]);
    revived.claim = Some((DaemonName::from("a"), Revision(3)));
    let lease = Span::from_secs(3);
    for peers in [peers, revived] {
        let mut candidacy = Candidacy::new(DaemonName::from("a"), Time(0));
        assert!(candidacy.should_claim(&peers, LATER));
        candidacy.bar(lease, LATER);
        assert!(!candidacy.should_claim(&peers, LATER + Span::from_millis(2_999)));
        assert!(candidacy.should_claim(&peers, LATER + lease));
    }
}

/// Guards against a duty that nobody takes, and against two holders: the claim of a holder that may
/// still be at work was overwritten by what no daemon can read.
#[test]
fn unreadable_claim_is_replaced_once_its_holder_has_stopped() {
    let mut peers = daemons(&[("a", 50), ("b", 12)]);
    peers.record_claim(DaemonName::from("b"), Revision(7));
    assert!(peers.record_unreadable(Revision(9)));
    assert!(!peers.record_unreadable(Revision(9)), "known");
    assert!(peers.has_lost_claim(&DaemonName::from("b"), Revision(7)));
    assert_eq!(peers.claim_revision(), Some(Revision(9)));
    let lease = Span::from_secs(3);
    let claims_after = |name: &str, peers: &Peers, after| {
        let mut candidacy = Candidacy::new(DaemonName::from(name), Time(0));
        candidacy.bar_after_overwrite(peers, lease, LATER);
        candidacy.bar_after_overwrite(peers, lease, LATER + after);
        candidacy.should_claim(peers, LATER + after)
    };
    let early = Span::from_millis(2_999);
    assert!(!claims_after("a", &peers, early));
    assert!(claims_after("a", &peers, lease), "barred once");
    assert!(claims_after("b", &peers, Span::ZERO), "its own claim");
    // Overwritten again, it is still the claim of the same holder that is missing.
    assert!(peers.record_unreadable(Revision(11)));
    assert!(claims_after("b", &peers, Span::ZERO));
    peers.record_claim(DaemonName::from("a"), Revision(12));
    assert!(
        !peers.record_unreadable(Revision(11)),
        "older than the claim"
    );
    assert!(!claims_after("b", &peers, lease));
}

/// Guards against TWO: a daemon that started as the store came back from a copy found its own claim
/// in it, took the duty at once and ordered by the copy.
#[test]
fn starting_daemon_waits_after_rollback_until_runners_have_written_again() {
    let mut revived = daemons(&[("a", 12)]);
    revived.claim = Some((DaemonName::from("a"), Revision(3)));
    let lease = Span::from_secs(3);
    let claims_at = |peers: &Peers, published, current, after| {
        let mut candidacy = Candidacy::new(DaemonName::from("a"), LATER);
        let mut now = LATER + Span::from_secs(1);
        candidacy.bar_after_rollback(published, current, lease, now);
        now = now + after;
        candidacy.bar_after_rollback(published, current, lease, now);
        candidacy.should_claim(peers, now)
    };
    let early = Span::from_millis(2_900);
    for peers in [&revived, &daemons(&[("a", 12)])] {
        assert!(!claims_at(peers, Some(Era(1)), Some(Era(2)), early));
    }
    assert!(
        claims_at(&revived, Some(Era(1)), Some(Era(2)), lease),
        "barred once"
    );
    for (published, current) in [
        (Some(Era(1)), Some(Era(1))),
        (None, Some(Era(2))),
        (None, None),
    ] {
        assert!(claims_at(&revived, published, current, Span::ZERO));
    }
}

#[test]
fn epochs_of_a_later_era_are_larger_whatever_its_revisions() {
    let last = first_epoch(Era(3), Revision(999_999_999));
    assert!(first_epoch(Era(4), Revision(1)) > last);
    assert!(first_epoch(Era(0), Revision(2)) > first_epoch(Era(0), Revision(1)));
    assert!(
        first_epoch(Era(8_000), Revision(1)).0 < 1 << 53,
        "exact in JSON"
    );
}
