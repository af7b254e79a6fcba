//! What daemons know of the runner hosts.

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
    member::{Digest, Health, HostLoad, MemberMessage, News},
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

fn list(net: &mut Net, index: usize, leaving: bool) {
    let entries = vec![host("h1", leaving), host("h2", false)];
    net.step(index, Input::Hosts(HostsInput::Listed(entries)));
}

fn health(net: &Net, index: usize, name: &str) -> Health {
    let name: HostName = name.into();
    let host = net.daemons[index].core.hosts().get(&name);
    host.expect("the host is listed").health
}

fn report(net: &mut Net, index: usize, report: Option<LoadReport>) {
    let host = "h1".into();
    net.step(index, Input::Runner(RunnerInput::Load { host, report }));
}

/// Where news of a leaving host first arises.
#[derive(Clone, Copy)]
enum Source {
    List,
    Load,
}

/// The time until every daemon knows that a host is leaving, of which one was told.
fn leaving_known(source: Source, options: Options) -> Option<Span> {
    let mut net = started(40, 9, options);
    for index in 0..40 {
        list(&mut net, index, false);
    }
    net.loss = 0.1;
    let leaving = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    match source {
        Source::List => list(&mut net, 7, true),
        Source::Load => report(&mut net, 7, Some(leaving)),
    }
    net.run_until(SECOND.times(3), |net| {
        (0..40).all(|index| health(net, index, "h1") == Health::Leaving)
    })
}

#[test]
fn leaving_is_known_everywhere_within_three_seconds() {
    for source in [Source::List, Source::Load] {
        assert!(leaving_known(source, Options::default()).is_some());
    }
}

#[test]
fn without_leaving_evidence_other_daemons_go_on_using_the_host() {
    for source in [Source::List, Source::Load] {
        let options = Options {
            without: vec![Mechanism::LeavingEvidence],
            ..Options::default()
        };
        assert_eq!(leaving_known(source, options), None);
    }
}

/// A daemon that a test alone talks to, with two hosts listed.
fn alone() -> Net {
    let mut net = Net::new(1, 1, Options::default());
    net.start();
    list(&mut net, 0, false);
    net.run(SECOND);
    net
}

#[test]
fn one_missed_report_changes_nothing_and_silence_kills() {
    let mut net = alone();
    report(&mut net, 0, None);
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    report(&mut net, 0, None);
    assert_eq!(health(&net, 0, "h1"), Health::Suspect);
    report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    for _ in 0..11 {
        report(&mut net, 0, None);
        net.run(Span::from_millis(500));
    }
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(
        health(&net, 0, "h1"),
        Health::Dead,
        "one answer may be luck"
    );
    report(&mut net, 0, Some(LoadReport::default()));
    report(&mut net, 0, Some(LoadReport::default()));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

#[test]
fn a_runner_that_takes_back_its_leaving_is_live() {
    let mut net = alone();
    let leaving = LoadReport {
        leaving: true,
        ..LoadReport::default()
    };
    report(&mut net, 0, Some(leaving));
    assert_eq!(health(&net, 0, "h1"), Health::Leaving);
    net.run(SECOND.times(2));
    list(&mut net, 0, false);
    assert_eq!(health(&net, 0, "h1"), Health::Leaving, "the list lags");
    report(&mut net, 0, Some(LoadReport::default()));
    net.run(SECOND.times(40));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

/// The list is handed over only when it has changed.
#[test]
fn a_host_gone_from_the_list_is_soon_dead_and_a_faulty_list_kills_nobody() {
    let mut net = alone();
    let listed = |net: &mut Net, names: &[&str]| {
        let entries = names.iter().map(|name| host(name, false)).collect();
        net.step(0, Input::Hosts(HostsInput::Listed(entries)));
    };
    listed(&mut net, &["h1", "h2", "h3"]);
    listed(&mut net, &[]);
    listed(&mut net, &["h2"]);
    net.run(SECOND.times(5));
    assert_eq!(health(&net, 0, "h1"), Health::Live, "most are missing");
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

fn tell(net: &mut Net, claim: i64, number: u64, waiting: u32, troubled: &[(&str, Health)]) {
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
        troubled: troubled
            .iter()
            .map(|(name, health)| ((*name).into(), *health))
            .collect(),
    };
    let message = MemberMessage::Spread {
        origin: "holder".into(),
        incarnation: Incarnation(claim as u64),
        sequence: number,
        news: News::Load(digest),
    };
    let input = PeerInput::Received {
        from: "other".into(),
        incarnation: Incarnation(1),
        address: peer(1),
        message: Message::Member(message),
    };
    net.step(0, Input::Peer(input));
}

fn waiting(net: &Net) -> Option<(Time, u32)> {
    let host = net.daemons[0].core.hosts().get(&"h2".into())?;
    let (at, report) = host.load.as_ref()?;
    Some((*at, report.waiting))
}

#[test]
fn no_older_digest_wins() {
    let mut net = alone();
    tell(&mut net, 1, 5, 10, &[]);
    tell(&mut net, 1, 4, 99, &[("h1", Health::Dead)]);
    assert_eq!(waiting(&net).map(|(_, n)| n), Some(10));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
    net.run(Span::from_millis(100));
    tell(&mut net, 2, 1, 20, &[("h1", Health::Suspect)]);
    tell(&mut net, 1, 6, 99, &[]);
    assert_eq!(waiting(&net).map(|(_, n)| n), Some(20), "the later claim's");
    assert_eq!(health(&net, 0, "h1"), Health::Suspect);
}

#[test]
fn a_holder_that_falls_silent_leaves_the_list_to_judge() {
    let mut net = alone();
    tell(&mut net, 1, 1, 0, &[("h1", Health::Dead)]);
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    net.run(SECOND.times(4));
    assert_eq!(health(&net, 0, "h1"), Health::Dead);
    net.run(SECOND.times(3));
    assert_eq!(health(&net, 0, "h1"), Health::Live);
}

/// The holder reads its domain's load and tells all, with nothing but the list to go on.
#[test]
fn every_daemon_learns_what_the_holder_reads() {
    let mut net = started(8, 21, Options::default());
    net.add_hosts("rack", 6);
    net.put_groups("rack", 1, 2);
    net.run_until(SECOND.times(30), |net| net.load_reads > 20)
        .expect("a duty holder reads");
    let dead: HostName = "rack-002".into();
    let leaving: HostName = "rack-004".into();
    net.runners.get_mut(&dead).expect("a runner").engine.up = false;
    net.runners
        .get_mut(&leaving)
        .expect("a runner")
        .report
        .leaving = true;
    let knows = |net: &Net, name: &str, wanted| (0..8).all(|i| health(net, i, name) == wanted);
    net.run_until(SECOND.times(3), |net| {
        knows(net, "rack-004", Health::Leaving)
    })
    .expect("leaving is known");
    net.run_until(SECOND.times(9), |net| knows(net, "rack-002", Health::Dead))
        .expect("death is known");
    net.runners.get_mut(&dead).expect("a runner").engine.up = true;
    net.run_until(SECOND.times(6), |net| knows(net, "rack-002", Health::Live))
        .expect("recovery is known");
    assert!(knows(&net, "rack-001", Health::Live));
}
