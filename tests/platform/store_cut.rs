//! A daemon that is cut off from the store, while the store serves a peer.

use super::{
    env::{Daemon, DaemonSettings, TestEnv},
    link::{Cut, Link},
};
use std::{thread, time::Duration};

/// Time that a daemon has been cut off for when the cut ends; its lease has run out.
const CUT_TIME: Duration = Duration::from_secs(6);

/// Requests that are sent to a daemon once it is back.
const READS: usize = 60;

/// Interval between two of them.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Daemon that reaches the store through a link, beside one that reaches it directly.
struct Fleet {
    env: TestEnv,
    link: Link,
    cut_off: Daemon,
}

impl Fleet {
    fn start() -> Self {
        let env = TestEnv::start();
        let link = Link::start(env.store_address());
        let settings = DaemonSettings::new("d2", link.address());
        let cut_off = env.start_daemon_with(settings);
        let fleet = Self { env, link, cut_off };
        fleet.await_moved(&fleet.cut_off, 200);
        fleet.await_use_of_both_runners();
        fleet
    }

    fn read(&self, daemon: &Daemon) -> u16 {
        self.env.call_at(daemon, "GET", "/read/x", &[], "").status
    }

    /// Waits until a daemon answers with a status on a route that only odd versions of the
    /// configuration have.
    fn await_moved(&self, daemon: &Daemon, status: u16) {
        self.env.eventually("the configuration is in force", |env| {
            env.call_at(daemon, "GET", "/moved/x", &[], "").status == status
        });
    }

    /// Returns the number of requests that have reached the runner which leaves.
    fn requests_at_leaver(&self) -> usize {
        self.env.plain_runners[0].requests().len()
    }

    fn await_use_of_both_runners(&self) {
        let before = self.requests_at_leaver();
        self.env.eventually("the runner is used", |_| {
            self.read(&self.cut_off);
            self.requests_at_leaver() > before
        });
    }

    /// Waits until a daemon no longer uses the runner that has left.
    fn await_departure(&self, daemon: &Daemon) {
        self.env.eventually("the departure is known", |_| {
            let before = self.requests_at_leaver();
            (0..20).all(|_| self.read(daemon) == 200) && self.requests_at_leaver() == before
        });
    }

    /// Cuts the daemon off, and checks that it knows what happens meanwhile.
    fn check_news_in_cut(&self, cut: Cut) {
        self.link.cut(cut);
        self.env.store.delete("servers/p1");
        self.env.configure(2);
        self.await_moved(&self.env.daemon, 404);
        self.await_moved(&self.cut_off, 404);
        self.await_departure(&self.cut_off);
        self.env.configure(3);
        self.await_moved(&self.cut_off, 200);
    }
}

// It refused what newer versions allow, and used the runner that had left, as long as it was cut.
#[test]
fn daemon_that_the_store_refuses_knows_what_its_peer_sees() {
    let fleet = Fleet::start();
    fleet.check_news_in_cut(Cut::Refused);
}

#[test]
fn daemon_whose_connections_to_the_store_hang_knows_what_its_peer_sees() {
    let fleet = Fleet::start();
    fleet.check_news_in_cut(Cut::Hanging);
}

#[test]
fn daemon_whose_new_connections_the_store_refuses_knows_what_its_peer_sees() {
    let fleet = Fleet::start();
    fleet.check_news_in_cut(Cut::NewRefused);
}

// It took its own cut for an outage, and the entry of the runner for one that may come back.
#[test]
fn runner_that_left_while_a_daemon_was_cut_off_is_not_used_after_the_cut() {
    let fleet = Fleet::start();
    fleet.link.cut(Cut::Refused);
    fleet.env.store.delete("servers/p1");
    fleet.await_departure(&fleet.env.daemon);
    thread::sleep(CUT_TIME);
    fleet.env.configure(2);
    fleet.link.restore();
    fleet.await_moved(&fleet.cut_off, 404);
    let before = fleet.requests_at_leaver();
    for _ in 0..READS {
        assert_eq!(fleet.read(&fleet.cut_off), 200);
        thread::sleep(READ_INTERVAL);
    }
    assert_eq!(fleet.requests_at_leaver(), before);
}

// Its long polls waited for their own timeout, and an older configuration was in force meanwhile.
#[test]
fn daemon_whose_open_connections_to_the_store_fall_silent_watches_on_new_ones() {
    let fleet = Fleet::start();
    let other_lease = fleet.env.store.lease_of("hickoryledge/daemons/d1");
    fleet.link.cut(Cut::OpenSilent);
    let before = fleet.env.store.contacts().len();
    fleet.env.configure(2);
    fleet.await_moved(&fleet.cut_off, 404);
    let contacts = fleet.env.store.contacts();
    // What the daemon at the link sends arrives again once it has opened a new connection.
    let renewals = contacts[before..]
        .iter()
        .filter(|(path, lease)| path == "/kv-keep" && *lease != other_lease);
    let renewals = renewals.count();
    assert!(
        renewals <= 2,
        "{renewals} renewals before the configuration is known"
    );
}

// The peer listed the entries again, and the daemon, which could not, learned nothing more.
#[test]
fn daemon_that_is_cut_off_follows_its_peer_through_a_compaction() {
    let fleet = Fleet::start();
    fleet.link.cut(Cut::Refused);
    fleet.env.configure(2);
    fleet.await_moved(&fleet.cut_off, 404);
    fleet.env.store.forget_history();
    fleet.env.store.delete("servers/p1");
    fleet.env.configure(3);
    fleet.await_moved(&fleet.env.daemon, 200);
    fleet.await_moved(&fleet.cut_off, 200);
    fleet.await_departure(&fleet.cut_off);
}

// In a large hall most daemons follow others of their hall, which knew as little.
#[test]
fn hall_that_is_cut_off_follows_a_daemon_of_another_hall() {
    let fleet = Fleet::start();
    let settings = |name: &str| DaemonSettings {
        hall: "far",
        ..DaemonSettings::new(name, fleet.link.address())
    };
    let hall = ["f1", "f2", "f3", "f4", "f5"];
    let hall = hall.map(|name| fleet.env.start_daemon_with(settings(name)));
    for daemon in &hall {
        fleet.await_moved(daemon, 200);
    }
    fleet.link.cut(Cut::Hanging);
    fleet.env.store.delete("servers/p1");
    fleet.env.configure(2);
    for daemon in &hall {
        fleet.await_moved(daemon, 404);
        fleet.await_departure(daemon);
    }
    fleet.link.restore();
    fleet.env.configure(3);
    for daemon in &hall {
        fleet.await_moved(daemon, 200);
    }
}

/// A daemon that starts while it is cut off knows no peer, and says that it can't serve.
#[test]
fn daemon_that_starts_while_it_is_cut_off_refuses_until_it_has_a_list() {
    let fleet = Fleet::start();
    fleet.link.cut(Cut::Hanging);
    let settings = DaemonSettings::new("d3", fleet.link.address());
    let late = fleet.env.start_daemon_with(settings);
    fleet.env.store.delete("servers/p1");
    fleet.await_departure(&fleet.env.daemon);
    assert_eq!(fleet.read(&late), 503);
    fleet.link.restore();
    fleet.await_moved(&late, 200);
    let before = fleet.requests_at_leaver();
    fleet
        .env
        .eventually("the daemon serves", |_| fleet.read(&late) == 200);
    assert_eq!(fleet.requests_at_leaver(), before);
}
