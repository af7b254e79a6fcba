//! Duty holders that die, pause, stop, or get the answers to their lease calls late.

use crate::{
    cluster::{Cluster, spec},
    placement::two_groups,
};
use hickoryledge::core::{
    config::Key,
    input::OrderChecks,
    keys::Fence,
    options::{Mechanism, Options},
    time::Span,
};

const TIMEOUT: Span = Span::from_secs(60);

fn holder(cluster: &mut Cluster) -> usize {
    assert!(cluster.run_until(TIMEOUT, |c| !c.holders("rack").is_empty()));
    cluster.holders("rack")[0]
}

/// Returns the fencing numbers of all orders, in the order in which runners received them.
fn fences(cluster: &Cluster) -> Vec<Fence> {
    let runners = cluster.runners.values();
    let mut orders: Vec<_> = runners.flat_map(|r| r.orders.iter().cloned()).collect();
    orders.sort_by_key(|(at, _, _)| *at);
    orders.into_iter().map(|(_, fence, _)| fence).collect()
}

#[test]
fn another_daemon_continues_after_holder_dies() {
    let mut cluster = two_groups(3, 6, &Options::default());
    let first = holder(&mut cluster);
    cluster.put_group(&spec("c", "m", "rack"));
    cluster.run_for(Span::from_millis(500));
    cluster.crash(first);
    let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
    let done = |c: &mut Cluster| others.iter().all(|index| c.serving(*index, "m").len() == 3);
    assert!(cluster.run_until(TIMEOUT, done));
    assert_ne!(holder(&mut cluster), first);
}

#[test]
fn holder_paused_beyond_its_lease_sends_no_orders() {
    for checks in [
        OrderChecks::Fenced,
        OrderChecks::Sender,
        OrderChecks::Nothing,
    ] {
        let mut cluster = two_groups(3, 6, &Options::default());
        for runner in cluster.runners.values_mut() {
            runner.checks = checks;
        }
        let first = holder(&mut cluster);
        cluster.put_group(&spec("c", "m", "rack"));
        // The holder is paused while it sends its orders.
        assert!(cluster.run_until(TIMEOUT, |c| c.placement("rack").groups.len() == 3));
        cluster.pause(first, Span::from_secs(25));
        let others: Vec<usize> = (0..3).filter(|index| *index != first).collect();
        let done = |c: &mut Cluster| others.iter().all(|index| c.serving(*index, "m").len() == 3);
        assert!(cluster.run_until(TIMEOUT, done));
        cluster.run_for(TIMEOUT);
        assert!((0..3).all(|index| cluster.serving(index, "m").len() == 3));
        let fences = fences(&cluster);
        assert!(fences.is_sorted(), "{fences:?}");
        assert_eq!(cluster.interrupted(), 0);
    }
}

#[test]
fn late_order_of_earlier_holder_has_no_effect() {
    let mut cluster = two_groups(2, 6, &Options::default());
    for runner in cluster.runners.values_mut() {
        runner.checks = OrderChecks::Nothing;
    }
    let first = holder(&mut cluster);
    cluster.hold_orders = true;
    cluster.put_group(&spec("c", "m", "rack"));
    assert!(cluster.run_until(TIMEOUT, |c| c.held_orders.len() >= 2));
    cluster.hold_orders = false;
    cluster.crash(first);
    let other = 1 - first;
    assert!(cluster.run_until(TIMEOUT, |c| c.serving(other, "m").len() == 3));
    let before = cluster.placement("rack");
    cluster.kill(before.groups[&"c".into()].hosts[1].as_str());
    let replaced = |c: &mut Cluster| {
        let placed = c.placement("rack").groups[&"c".into()].clone();
        c.serving(other, "m").contains(&("c".into(), placed.epoch))
            && placed.epoch > before.groups[&"c".into()].epoch
    };
    // There is no spare left, so the group is repaired once the lost host comes back.
    cluster.run_for(Span::from_secs(5));
    cluster.revive(before.groups[&"c".into()].hosts[1].as_str(), "rack");
    assert!(cluster.run_until(TIMEOUT, replaced));
    cluster.release_orders();
    cluster.run_for(TIMEOUT);
    assert_eq!(cluster.serving(other, "m").len(), 3);
}

/// Delays the answers to lease renewals by six seconds and then disconnects the
/// holder. Returns true if two daemons hold the duty at once, which happens if
/// the holder counts its lease from the time of the late answer.
fn two_holders_after_late_renewal(options: &Options) -> bool {
    let mut cluster = two_groups(2, 4, options);
    cluster.check_invariants = false;
    let first = holder(&mut cluster);
    cluster.daemons[first].platform_delay = Span::from_secs(6);
    cluster.run_for(Span::from_secs(30));
    let Some(first) = cluster.holders("rack").first().copied() else {
        return false;
    };
    // Renewals already sent are still answered; no further one reaches the store.
    cluster.daemons[first].disconnected = true;
    let both = |c: &mut Cluster| c.holders("rack").len() > 1;
    cluster.run_until(Span::from_secs(40), both)
}

#[test]
fn holder_stops_before_its_lease_can_expire() {
    assert!(!two_holders_after_late_renewal(&Options::default()));
    let without = Options {
        without: vec![Mechanism::DutyMargin],
        ..Options::default()
    };
    assert!(
        two_holders_after_late_renewal(&without),
        "two daemons hold the duty without the margin"
    );
}

/// Guards against a domain whose duty nobody takes: a claim that no daemon can read, left by somebody
/// else, was taken for the holder's or kept all claims out.
#[test]
fn unreadable_claim_is_replaced() {
    let mut cluster = two_groups(3, 6, &Options::default());
    let claim = Key::Duty("rack".into());
    holder(&mut cluster);
    cluster.put(&claim, &"not a claim");
    let has_ended = |c: &mut Cluster| c.holders("rack").is_empty();
    assert!(cluster.run_until(TIMEOUT, has_ended), "its claim is gone");
    let second = holder(&mut cluster);
    cluster.put(&claim, &"not a claim");
    cluster.crash(second);
    cluster.put_group(&spec("c", "m", "rack"));
    let others: Vec<usize> = (0..3).filter(|index| *index != second).collect();
    let done = |c: &mut Cluster| others.iter().all(|index| c.serving(*index, "m").len() == 3);
    assert!(cluster.run_until(TIMEOUT, done));
    assert_ne!(holder(&mut cluster), second);
    let fences = fences(&cluster);
    assert!(fences.is_sorted(), "{fences:?}");
}

#[test]
fn graceful_stop_releases_duty_at_once() {
    let mut cluster = two_groups(2, 4, &Options::default());
    let first = holder(&mut cluster);
    cluster.stop(first);
    let other = 1 - first;
    let taken_over = |c: &mut Cluster| c.holders("rack") == [other];
    let lease = Options::default().lease;
    assert!(cluster.run_until(Span(lease.0 / 2), taken_over));
}
