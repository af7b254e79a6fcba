//! Evacuation of halls by an operator, with a plain runner and a head in each of two halls.

use super::{
    env::{Daemon, DaemonSettings, TestEnv},
    link::{Cut, Link},
    runner::Runner,
    runs::RunEnd,
};
use nix::sys::signal::Signal;
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Bound of an evacuation in the daemons' settings.
const BOUND: Duration = Duration::from_secs(5);

/// Time in which requests that were on their way to a runner have arrived there.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Time for which no request may arrive at an evacuated hall.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Interval between two requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

const HALLS: [&str; 2] = ["east", "west"];

/// Returns the key that evacuates a hall.
fn key(hall: &str) -> String {
    format!("op/evacuate/{hall}")
}

fn evacuate(env: &TestEnv, hall: &str) {
    env.store.put(&key(hall), "{}");
}

/// Starts the environment with a daemon that evacuates halls.
fn start() -> TestEnv {
    TestEnv::unconfigured_in(HALLS, Some(BOUND)).served()
}

/// Returns the settings of a further daemon that evacuates halls.
fn settings(env: &TestEnv, name: &str) -> DaemonSettings {
    DaemonSettings {
        evacuation: Some(BOUND),
        ..DaemonSettings::new(name, env.store_address())
    }
}

/// Starts further daemons and waits until they serve.
fn start_others<const N: usize>(env: &TestEnv, names: [&str; N]) -> [Daemon; N] {
    let others = names.map(|name| env.start_daemon_with(settings(env, name)));
    for daemon in &others {
        await_serving(env, daemon);
    }
    others
}

fn await_serving(env: &TestEnv, daemon: &Daemon) {
    env.eventually("the daemon serves", |env| {
        read(env, daemon) == 200 && stream(env, daemon) == 200
    });
}

fn read(env: &TestEnv, daemon: &Daemon) -> u16 {
    env.call_at(daemon, "GET", "/read/x", &[], "").status
}

fn stream(env: &TestEnv, daemon: &Daemon) -> u16 {
    let model = ["X-Model: m", "X-Token-Count: 100,20"];
    env.call_at(daemon, "POST", "/chat/x", &model, "{}").status
}

/// Returns the runners in the hall of an index.
fn runners(env: &TestEnv, hall: usize) -> [&Runner; 2] {
    [&env.plain_runners[hall], &env.heads[hall]]
}

/// Returns the numbers of requests at the plain runner and at the head of a hall.
fn requests(env: &TestEnv, hall: usize) -> [usize; 2] {
    runners(env, hall).map(|runner| runner.requests().len())
}

fn is_evacuated(daemon: &Daemon, hall: &str) -> bool {
    let name = format!("hickoryledge_hall_evacuated{{hall=\"{hall}\"}}");
    daemon.metric(&name) == 1.0
}

/// Waits until all daemons know that a hall is evacuated, or no longer is.
fn await_evacuated(env: &TestEnv, daemons: &[&Daemon], hall: &str, expected: bool) {
    env.eventually("the daemons know of the evacuation", |_| {
        let mut known = daemons.iter().map(|daemon| is_evacuated(daemon, hall));
        known.all(|is_evacuated| is_evacuated == expected)
    });
}

/// Sets a flag when dropped.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `act` while callers send both kinds of requests to daemons, and returns the statuses that were
/// received.
fn under_load<F>(env: &TestEnv, daemons: &[&Daemon], act: F) -> Vec<u16>
where
    F: FnOnce(),
{
    let is_over = AtomicBool::new(false);
    let statuses = Mutex::new(Vec::new());
    let call = |daemon: &Daemon, send: fn(&TestEnv, &Daemon) -> u16| {
        while !is_over.load(Ordering::SeqCst) {
            let status = send(env, daemon);
            statuses.lock().expect("not poisoned").push(status);
            thread::sleep(CALL_INTERVAL);
        }
    };
    thread::scope(|scope| {
        for daemon in daemons {
            scope.spawn(|| call(daemon, read));
            scope.spawn(|| call(daemon, stream));
        }
        // The callers must also end if a check fails.
        let _over = SetOnDrop(&is_over);
        act();
    });
    statuses.into_inner().expect("not poisoned")
}

/// Checks that no request arrives at a hall for some time.
fn check_quiet(env: &TestEnv, hall: usize) {
    thread::sleep(ARRIVAL_TIME);
    let before = requests(env, hall);
    thread::sleep(QUIET_TIME);
    assert_eq!(requests(env, hall), before, "requests arrive");
}

/// Waits until requests arrive at both runners of a hall.
fn await_use(env: &TestEnv, hall: usize) {
    let before = requests(env, hall);
    env.eventually("both runners are used", |env| {
        let now = requests(env, hall);
        now[0] > before[0] && now[1] > before[1]
    });
}

/// Requests reached runners of evacuated halls, since nothing read the operators' request. Of five
/// daemons some follow others, and all are under load.
#[test]
fn no_request_reaches_an_evacuated_hall_until_that_ends() {
    let env = start();
    let others = start_others(&env, ["d2", "d3", "d4", "d5"]);
    let daemons: Vec<&Daemon> = [&env.daemon].into_iter().chain(&others).collect();
    let statuses = under_load(&env, &daemons, || {
        await_use(&env, 0);
        let confirmed = Instant::now();
        evacuate(&env, "east");
        await_evacuated(&env, &daemons, "east", true);
        eprintln!("known to all daemons after {:?}", confirmed.elapsed());
        check_quiet(&env, 0);
        env.store.delete(&key("east"));
        await_evacuated(&env, &daemons, "east", false);
        await_use(&env, 0);
        // The other way round, and ended as soon as it is known.
        evacuate(&env, "west");
        await_evacuated(&env, &daemons, "west", true);
        env.store.delete(&key("west"));
        await_use(&env, 1);
    });
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let log = env.log_of("d1");
    for line in ["evacuation of hall began", "evacuation of hall ended"] {
        assert_eq!(log.matches(line).count(), 2, "{line}");
    }
}

/// Calls to the store have their cost, and the configuration is on the same prefix.
#[test]
fn one_watch_serves_for_configuration_and_evacuations() {
    let env = start();
    evacuate(&env, "east");
    await_evacuated(&env, &[&env.daemon], "east", true);
    env.configure(2);
    env.eventually("the next configuration is in force", |env| {
        env.call("GET", "/moved/x", &[], "").status == 404
    });
    assert!(env.store.waits("op/config").is_empty());
    let calls = env.store.calls().into_iter();
    let lists: Vec<String> = calls
        .filter(|(path, prefix)| path == "/kv-range" && prefix.starts_with("op/"))
        .map(|(_, prefix)| prefix)
        .collect();
    assert_eq!(lists, ["op/"]);
}

/// Deployments without the setting are served as before.
#[test]
fn daemon_without_the_setting_takes_no_notice() {
    let env = TestEnv::unconfigured_in(HALLS, None).served();
    evacuate(&env, "east");
    env.configure(2);
    env.eventually("the next configuration is in force", |env| {
        env.call("GET", "/moved/x", &[], "").status == 404
    });
    let daemons = [&env.daemon];
    under_load(&env, &daemons, || await_use(&env, 0));
    assert!(env.store.waits("op/").is_empty());
    assert!(!env.store.waits("op/config").is_empty());
}

/// A stream that was given up would be generated again, or be cut.
#[test]
fn stream_goes_on_in_an_evacuated_hall() {
    let env = start();
    let head = |hall: usize| &env.heads[hall];
    let open = |hall: &str| {
        let name = format!("hickoryledge_hall_open_requests{{hall=\"{hall}\"}}");
        env.daemon.metric(&name)
    };
    let response = thread::scope(|scope| {
        let stream = scope.spawn(|| {
            let model = ["X-Model: m", "X-Token-Count: 100,20"];
            let path = "/chat/x?events=25&pause_ms=100";
            env.call("POST", path, &model, "{}")
        });
        env.eventually("the stream runs", |_| {
            head(0).runs().len() + head(1).runs().len() == 1
        });
        let hall = head(1).runs().len();
        assert_eq!(open(HALLS[hall]), 1.0);
        evacuate(&env, HALLS[hall]);
        await_evacuated(&env, &[&env.daemon], HALLS[hall], true);
        let response = stream.join().expect("a response");
        let runs = head(hall).runs();
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].end.map(|(_, end)| end), Some(RunEnd::Complete));
        assert_eq!(open(HALLS[hall]), 0.0);
        response
    });
    assert!(response.is_complete);
    assert_eq!(response.body.matches("id: ").count(), 25);
    assert_eq!(head(0).runs().len() + head(1).runs().len(), 1);
}

/// A daemon that becomes ready before it knows of the evacuation would send requests to the hall.
#[test]
fn daemon_that_starts_in_the_middle_sends_nothing_there() {
    let env = start();
    evacuate(&env, "east");
    await_evacuated(&env, &[&env.daemon], "east", true);
    thread::sleep(ARRIVAL_TIME);
    let before = requests(&env, 0);
    let late = env.start_daemon_with(settings(&env, "late"));
    let is_serving = |env: &TestEnv| read(env, &late) == 200 && stream(env, &late) == 200;
    env.eventually("the daemon serves", is_serving);
    assert!((0..40).all(|_| is_serving(&env)));
    assert_eq!(requests(&env, 0), before);
}

/// With no hall left, callers must not wait for their deadline, nor a runner be used all the same.
#[test]
fn requests_are_refused_at_once_while_all_halls_are_evacuated() {
    let env = start();
    evacuate(&env, "west");
    evacuate(&env, "east");
    for hall in HALLS {
        await_evacuated(&env, &[&env.daemon], hall, true);
    }
    let before = [requests(&env, 0), requests(&env, 1)];
    for path in ["/read/x", "/once/x", "/chat/x"] {
        let started = Instant::now();
        let model = ["X-Model: m", "X-Token-Count: 100,20"];
        let response = env.call("POST", path, &model, "{}");
        // The deadline is after four seconds.
        assert!(started.elapsed() < Duration::from_secs(2), "{path}");
        assert_eq!(response.status, 503, "{path}");
        assert!(response.head.contains("retry-after"), "{}", response.head);
    }
    assert_eq!([requests(&env, 0), requests(&env, 1)], before);
    env.store.delete(&key("east"));
    env.eventually("requests are served", |env| {
        read(env, &env.daemon) == 200 && stream(env, &env.daemon) == 200
    });
    assert_eq!(requests(&env, 1), before[1]);
}

/// The deletion isn't among the changes, since the store has dropped them.
#[test]
fn hall_serves_again_if_its_key_went_with_the_history() {
    let env = start();
    evacuate(&env, "east");
    await_evacuated(&env, &[&env.daemon], "east", true);
    env.daemon.signal(Signal::SIGSTOP);
    env.store.delete(&key("east"));
    evacuate(&env, "west");
    env.store.forget_history();
    env.daemon.signal(Signal::SIGCONT);
    await_evacuated(&env, &[&env.daemon], "east", false);
    await_evacuated(&env, &[&env.daemon], "west", true);
    under_load(&env, &[&env.daemon], || {
        await_use(&env, 0);
        check_quiet(&env, 1);
    });
}

/// The copy lacks the key for as long as the operator needs to write it again.
#[test]
fn no_request_reaches_the_hall_when_the_store_has_lost_its_key() {
    let env = start();
    let [other] = start_others(&env, ["d2"]);
    let daemons = [&env.daemon, &other];
    let copy = env.store.copy();
    evacuate(&env, "east");
    await_evacuated(&env, &daemons, "east", true);
    under_load(&env, &daemons, || {
        thread::sleep(ARRIVAL_TIME);
        let before = requests(&env, 0);
        env.store.restore(copy);
        thread::sleep(Duration::from_millis(700));
        evacuate(&env, "east");
        thread::sleep(QUIET_TIME * 2);
        assert_eq!(requests(&env, 0), before);
    });
    for name in ["d1", "d2"] {
        let log = env.log_of(name);
        assert!(log.contains("store came back from an older copy"));
        assert!(!log.contains("evacuation of hall ended"));
    }
}

/// An operator who has ended the evacuation just before has no reason to write anything.
#[test]
fn hall_serves_again_if_its_key_was_lost_and_is_not_written_again() {
    let env = start();
    let copy = env.store.copy();
    evacuate(&env, "east");
    await_evacuated(&env, &[&env.daemon], "east", true);
    env.store.restore(copy);
    await_evacuated(&env, &[&env.daemon], "east", false);
    under_load(&env, &[&env.daemon], || await_use(&env, 0));
}

/// A daemon that the store refuses would go on to send requests to the hall.
#[test]
fn daemon_that_is_cut_off_from_the_store_learns_of_it_from_a_peer() {
    let env = start();
    let link = Link::start(env.store_address());
    let cut_off = env.start_daemon_with(DaemonSettings {
        store: link.address(),
        ..settings(&env, "d2")
    });
    await_serving(&env, &cut_off);
    link.cut(Cut::Refused);
    evacuate(&env, "east");
    await_evacuated(&env, &[&env.daemon, &cut_off], "east", true);
    under_load(&env, &[&cut_off], || check_quiet(&env, 0));
    env.store.delete(&key("east"));
    await_evacuated(&env, &[&cut_off], "east", false);
    under_load(&env, &[&cut_off], || await_use(&env, 0));
}

/// A typing error of an operator must not keep the daemons from serving.
#[test]
fn invalid_keys_and_values_do_no_harm() {
    let env = start();
    let invalid = ["op/evacuate/", "op/evacuate/east/x", "op/evacuate", "op/x"];
    invalid.iter().for_each(|key| env.store.put(key, "{}"));
    env.store.put(&key("nowhere"), "\u{0}{");
    env.store.put(&key("west"), "nonsense");
    await_evacuated(&env, &[&env.daemon], "west", true);
    let statuses = under_load(&env, &[&env.daemon], || {
        await_use(&env, 0);
        check_quiet(&env, 1);
        // The runners are listed again, and the hall without runners is looked at again.
        env.store.forget_history();
        env.configure(3);
        check_quiet(&env, 1);
    });
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(is_evacuated(&env.daemon, "nowhere"));
    let log = env.log_of("d1");
    assert!(log.contains("invalid evacuation ignored"));
    assert_eq!(log.matches("evacuated hall has no runners").count(), 1);
    invalid.iter().for_each(|key| env.store.delete(key));
    env.store.delete(&key("west"));
    under_load(&env, &[&env.daemon], || await_use(&env, 1));
}
