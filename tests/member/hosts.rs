//! What daemons know of the runner hosts.

use {
    super::{
        SECOND,
        net::{Net, peer},
        started,
    },
    hickoryledge::core::{
        input::{HostEntry, HostsInput, Input, OrderChecks, RunnerKind},
        keys::HostName,
        member::Health,
        options::{Mechanism, Options},
        time::Span,
    },
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
    let host = net.nodes[index].core.hosts().get(&name);
    host.expect("the host is listed").health
}

/// The time until every daemon knows that a host is leaving, of which one was told.
fn leaving_known(options: Options) -> Option<Span> {
    let mut net = started(40, 9, options);
    for index in 0..40 {
        list(&mut net, index, false);
    }
    net.loss = 0.1;
    list(&mut net, 7, true);
    net.run_until(SECOND.times(3), |net| {
        (0..40).all(|index| health(net, index, "h1") == Health::Leaving)
    })
}

#[test]
fn leaving_is_known_everywhere_within_three_seconds() {
    assert!(leaving_known(Options::default()).is_some());
}

#[test]
fn without_leaving_evidence_other_daemons_go_on_using_the_host() {
    let options = Options {
        without: vec![Mechanism::LeavingEvidence],
        ..Options::default()
    };
    assert_eq!(leaving_known(options), None);
}
