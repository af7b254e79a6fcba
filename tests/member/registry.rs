//! Registration of the daemons with the platform's store.

use super::{SECOND, net::Net, started};
use hickoryledge::core::{config::record::Daemon, input::Input, keys::LeaseId, options::Options};

const KEY: &str = "/hickoryledge/daemon/d003";

fn record(net: &Net) -> Option<Daemon> {
    let entry = net.kv.store.get(KEY)?;
    Some(serde_json::from_str(&entry.value).expect("the daemon's record parses"))
}

fn lease(net: &Net) -> Option<LeaseId> {
    net.kv.store.get(KEY)?.lease
}

fn is_registered(net: &Net) -> bool {
    let incarnation = net.daemons[3].me.incarnation;
    record(net).is_some_and(|daemon| daemon.incarnation == incarnation && !daemon.leaving)
}

#[test]
fn new_incarnation_takes_over_registration() {
    let mut net = started(4, 1, Options::default());
    assert!(is_registered(&net));
    net.kill(3);
    net.restart(3, "d003", 2);
    net.run_until(SECOND.times(5), is_registered)
        .expect("the record is of the new incarnation");
    let granted = lease(&net);
    net.run(SECOND.times(120));
    assert!(is_registered(&net));
    assert_eq!(
        lease(&net),
        granted,
        "the lease is granted once, then renewed"
    );
}

#[test]
fn registers_again_after_lease_expired_in_outage() {
    let mut net = started(4, 2, Options::default());
    let expired = lease(&net);
    net.set_platform(false);
    net.run(SECOND.times(90));
    assert_eq!(record(&net), None);
    net.set_platform(true);
    net.run_until(SECOND.times(25), is_registered)
        .expect("it is registered again");
    assert_ne!(lease(&net), expired);
}

#[test]
fn daemon_started_in_outage_registers_afterwards() {
    let mut net = Net::new(4, 3, Options::default());
    net.set_platform(false);
    net.start();
    net.run(SECOND.times(60));
    assert!(record(&net).is_none());
    net.set_platform(true);
    net.run_until(SECOND.times(20), is_registered)
        .expect("it is registered");
}

#[test]
fn stopping_daemon_announces_leaving_then_unregisters() {
    let mut net = started(4, 4, Options::default());
    net.step(3, Input::Stop);
    let known = net.run_until(SECOND.times(3), |net| {
        let leaving = |daemon: &super::net::SimDaemon| {
            let view = hickoryledge::core::config::View::default();
            let status = daemon.core.members().status(&view);
            let mut status = status.into_iter();
            status.any(|row| row.daemon.as_str() == "d003" && row.state == "leaving")
        };
        net.daemons.iter().all(leaving)
    });
    assert!(known.is_some(), "all daemons know within seconds");
    assert!(record(&net).is_some_and(|daemon| daemon.leaving));
    net.run(SECOND.times(15));
    assert_eq!(record(&net), None);
}
