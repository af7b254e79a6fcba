//! Health and load of the runner hosts as the daemons know them.

use super::{
    SECOND,
    net::{Net, peer},
    started,
};
use hickoryledge::core::{
    input::{
        HostEntry, HostsInput, Input, LoadReport, OrderChecks, PeerInput, RunnerInput, RunnerKind,
    },
    keys::{HostName, Incarnation, Revision},
    member::{Digest, Health, HostLoad, MemberMessage, Update},
    message::Message,
    options::{Mechanism, Options},
    time::{Span, Time},
};

fn host(name: &str, leaving: bool) -> HostEntry {
    HostEntry {
        host: name.into(),
        hall: "one".into(),
        domain: "fabric".into(),
        address: peer(900),
        accelerators: 4,
        kind: RunnerKind::Engine,
        leaving,
        checks: OrderChecks::Fenced,
    }
}

fn list_hosts(net: &mut Net, index: usize, leaving: bool) {
    let entries = vec![host("h1", leaving), host("h2", false)];
    net.step(index, Input::Hosts(HostsInput::Listed(entries)));
}

fn health(net: &Net, index: usize, name: &str) -> Health {
    let name: HostName = name.into();
    let host = net.daemons[index].core.hosts().get(&name);
    host.expect("the host is listed").health
}

fn send_report(net: &mut Net, index: usize, report: Option<LoadReport>) {
    let host = "h1".into();
    net.step(index, Input::Runner(RunnerInput::Load { host, report }));
}

/// First source to report that a host is leaving.
#[derive(Clone, Copy)]
enum LeavingSource {
    List,
    Load,
}

/// Returns the time until every daemon knows that a host is leaving, after one daemon learns it,
/// or `None` if that takes longer than three seconds.
fn leaving_detected(source: LeavingSource, options: Options) -> Option<Span> {
    let mut net = started(40, 9, options);
    for index in 0..40 {
        list_hosts(&mut net, index, false);
    }
    net.loss = 0.1;
    let leaving = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    match source {
        LeavingSource::List => list_hosts(&mut net, 7, true),
        LeavingSource::Load => send_report(&mut net, 7, Some(leaving)),
    }
    net.run_until(SECOND.times(3), |net| {
        (0..40).all(|index| health(net, index, "h1") == Health::Leaving)
    })
}

#[test]
fn leaving_host_is_known_everywhere_within_three_seconds() {
    for source in [LeavingSource::List, LeavingSource::Load] {
        assert!(leaving_detected(source, Options::default()).is_some());
    }
}

#[test]
fn other_daemons_keep_using_leaving_host_without_leaving_evidence() {
    for source in [LeavingSource::List, LeavingSource::Load] {
        let options = Options {
            without: vec![Mechanism::LeavingEvidence],
            ..Options::default()
        };
        assert_eq!(leaving_detected(source, options), None);
    }
}

/// Starts a single daemon, with two hosts listed.
fn single_daemon() -> Net {
    let mut net = Net::new(1, 1, Options::default());
    net.start();
    list_hosts(&mut net, 0, false);
    net.run(SECOND);
    net
}

#[test]
fn missed_reports_make_host_suspect_then_dead() {
    let mut net = single_daemon();
    send_report(&mut net, 0, None);
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    send_report(&mut net, 0, None);
    assert_eq!(health(&net, 0, "h1"), Health::Suspect);
    send_report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    for _ in 0..11 {
        send_report(&mut net, 0, None);
        net.run(Span::from_millis(500));
    }
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    send_report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(
        health(&net, 0, "h1"),
        Health::Dead,
        "one answer isn't enough"
    );
    send_report(&mut net, 0, Some(LoadReport::default()));
    send_report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

#[test]
fn host_that_withdraws_leaving_is_live_again() {
    let mut net = single_daemon();
    let leaving = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    send_report(&mut net, 0, Some(leaving));
    assert_eq!(health(&net, 0, "h1"), Health::Leaving);
    net.run(SECOND.times(2));
    list_hosts(&mut net, 0, false);
    assert_eq!(health(&net, 0, "h1"), Health::Leaving, "the list lags");
    send_report(&mut net, 0, Some(LoadReport::default()));
    net.run(SECOND.times(40));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

/// An absent host is dead after a delay although no further list arrives, since lists are passed on
/// only when they change. A list that lacks most hosts is faulty and changes nothing.
#[test]
fn absent_host_dies_but_faulty_list_is_ignored() {
    let mut net = single_daemon();
    let listed = |net: &mut Net, names: &[&str]| {
        let entries = names.iter().map(|name| host(name, false)).collect();
        net.step(0, Input::Hosts(HostsInput::Listed(entries)));
    };
    listed(&mut net, &["h1", "h2", "h3"]);
    listed(&mut net, &[]);
    listed(&mut net, &["h2"]);
    net.run(SECOND.times(5));
    assert_eq!(
        health(&net, 0, "h1"),
        Health::Live,
        "a list without most hosts is ignored"
    );
    listed(&mut net, &["h1", "h2", "h3"]);
    listed(&mut net, &["h2", "h3"]);
    assert_eq!(health(&net, 0, "h1"), Health::Suspect);
    net.run(SECOND.times(3));
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    assert_eq!(health(&net, 0, "h2"), Health::Live);
    listed(&mut net, &["h1", "h2", "h3"]);
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    listed(&mut net, &["h2", "h3"]);
    net.run(SECOND.times(700));
    assert!(net.daemons[0].core.hosts().get(&"h1".into()).is_none());
}

fn send_digest(net: &mut Net, claim: i64, number: u64, waiting: u32, unhealthy: &[(&str, Health)]) {
    let report = LoadReport {
        waiting,
        ..LoadReport::default()
    };
    let digest = Digest {
        domain: "fabric".into(),
        claim: Revision(claim),
        number,
        loads: vec![HostLoad {
            host: "h2".into(),
            report,
        }],
        unhealthy: unhealthy
            .iter()
            .map(|(name, health)| ((*name).into(), *health))
            .collect(),
    };
    let message = MemberMessage::Broadcast {
        origin: "holder".into(),
        incarnation: Incarnation(claim as u64),
        sequence: number,
        update: Update::Load(digest),
    };
    let input = PeerInput::Received {
        from: "other".into(),
        incarnation: Incarnation(1),
        address: peer(1),
        message: Message::Member(message),
    };
    net.step(0, Input::Peer(input));
}

fn waiting_requests(net: &Net) -> Option<(Time, u32)> {
    let host = net.daemons[0].core.hosts().get(&"h2".into())?;
    let (at, report) = host.load.as_ref()?;
    Some((*at, report.waiting))
}

#[test]
fn ignores_older_digests() {
    let mut net = single_daemon();
    send_digest(&mut net, 1, 5, 10, &[]);
    send_digest(&mut net, 1, 4, 99, &[("h1", Health::Dead)]);
    assert_eq!(waiting_requests(&net).map(|(_, n)| n), Some(10));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    net.run(Span::from_millis(100));
    send_digest(&mut net, 2, 1, 20, &[("h1", Health::Suspect)]);
    send_digest(&mut net, 1, 6, 99, &[]);
    assert_eq!(
        waiting_requests(&net).map(|(_, n)| n),
        Some(20),
        "the later claim wins"
    );
    assert_eq!(health(&net, 0, "h1"), Health::Suspect);
}

#[test]
fn falls_back_to_host_list_when_digests_stop() {
    let mut net = single_daemon();
    send_digest(&mut net, 1, 1, 0, &[("h1", Health::Dead)]);
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    net.run(SECOND.times(4));
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    net.run(SECOND.times(3));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

/// Only the duty holder polls the hosts; the other daemons learn their health from its digests.
#[test]
fn digests_of_duty_holder_reach_every_daemon() {
    let mut net = started(8, 21, Options::default());
    net.add_hosts("rack", 6);
    net.put_groups("rack", 1, 2);
    net.run_until(SECOND.times(30), |net| net.load_reads > 20)
        .expect("a duty holder polls");
    let dead: HostName = "rack-002".into();
    let leaving: HostName = "rack-004".into();
    net.runners
        .get_mut(&dead)
        .expect("the runner exists")
        .engine
        .up = false;
    net.runners
        .get_mut(&leaving)
        .expect("the runner exists")
        .report
        .leaving = true;
    let all_know = |net: &Net, name: &str, wanted| (0..8).all(|i| health(net, i, name) == wanted);
    net.run_until(SECOND.times(3), |net| {
        all_know(net, "rack-004", Health::Leaving)
    })
    .expect("all know that the host is leaving");
    net.run_until(SECOND.times(9), |net| {
        all_know(net, "rack-002", Health::Dead)
    })
    .expect("all know that the host is dead");
    net.runners
        .get_mut(&dead)
        .expect("the runner exists")
        .engine
        .up = true;
    net.run_until(SECOND.times(6), |net| {
        all_know(net, "rack-002", Health::Live)
    })
    .expect("all know that the host is live");
    assert!(all_know(&net, "rack-001", Health::Live));
}
