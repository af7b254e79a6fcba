//! The daemons' records at the platform's service.

use super::{SECOND, net::Net, started};
use hickoryledge::core::{config::record::Daemon, input::Input, keys::LeaseId, options::Options};

const KEY: &str = "/hickoryledge/daemon/d003";

fn record(net: &Net) -> Option<Daemon> {
    let entry = net.kv.store.get(KEY)?;
    Some(serde_json::from_str(&entry.value).expect("a daemon's record"))
}

fn lease(net: &Net) -> Option<LeaseId> {
    net.kv.store.get(KEY)?.lease
}

fn is_registered(net: &Net) -> bool {
    let run = net.daemons[3].me.incarnation;
    record(net).is_some_and(|daemon| daemon.incarnation == run && !daemon.leaving)
}

#[test]
fn a_daemon_registers_and_takes_over_an_earlier_run() {
    let mut net = started(4, 1, Options::default());
    assert!(is_registered(&net));
    net.kill(3);
    net.restart(3, "d003", 2);
    net.run_until(SECOND.times(5), is_registered)
        .expect("the record is the new run's");
    let held = lease(&net);
    net.run(SECOND.times(120));
    assert!(is_registered(&net));
    assert_eq!(lease(&net), held, "written once, then renewed");
}

#[test]
fn a_daemon_registers_after_an_outage_in_which_its_lease_lapsed() {
    let mut net = started(4, 2, Options::default());
    let lapsed = lease(&net);
    net.platform(false);
    net.run(SECOND.times(90));
    assert_eq!(record(&net), None);
    net.platform(true);
    net.run_until(SECOND.times(25), is_registered)
        .expect("it is registered again");
    assert_ne!(lease(&net), lapsed);
}

#[test]
fn a_daemon_started_in_an_outage_registers_when_it_ends() {
    let mut net = Net::new(4, 3, Options::default());
    net.platform(false);
    net.start();
    net.run(SECOND.times(60));
    assert!(record(&net).is_none());
    net.platform(true);
    net.run_until(SECOND.times(20), is_registered)
        .expect("it is registered");
}

#[test]
fn a_stopping_daemon_says_so_and_then_takes_its_record_away() {
    let mut net = started(4, 4, Options::default());
    net.step(3, Input::Stop);
    let told = net.run_until(SECOND.times(3), |net| {
        let leaving = |node: &super::net::SimDaemon| {
            let view = hickoryledge::core::config::View::default();
            let status = node.core.members().status(&view);
            let mut status = status.into_iter();
            status.any(|daemon| daemon.daemon.as_str() == "d003" && daemon.state == "leaving")
        };
        net.daemons.iter().all(leaving)
    });
    assert!(told.is_some(), "all know within seconds");
    assert!(record(&net).is_some_and(|daemon| daemon.leaving));
    net.run(SECOND.times(15));
    assert_eq!(record(&net), None);
}
