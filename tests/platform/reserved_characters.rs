//! Entries of another writer whose names hold characters that are reserved, or not allowed, in a
//! query or a header.

use super::{
    client::send_request,
    env::{Daemon, DaemonSettings, TestEnv, wait_until},
    runner::{Runner, Script},
};
use std::time::Duration;

/// Ends of the names, on lists of several pages.
const SPECIAL_ENDS: [&str; 16] = [
    "&name",
    "&After=zz",
    "+name",
    "#name",
    "%name",
    "%2Fname",
    " name",
    " ",
    "=name",
    "?name",
    "/../name",
    "\"name\\",
    "\nname",
    "\u{0}name",
    "\u{e9}name",
    "\u{1f980}",
];

/// Starts of the names; each list has entries after those that begin with one of them.
const STARTS: [&str; 3] = ["servers/h1", "op/a", "hickoryledge/daemons/a"];

/// Bound of an evacuation; a daemon that evacuates halls reads all entries of the operators.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Starts a daemon that reads the lists under all starts.
fn start_daemon(env: &TestEnv, name: &str) -> Daemon {
    env.start_daemon_with(DaemonSettings {
        evacuation: Some(EVACUATION_BOUND),
        ..DaemonSettings::new(name, env.store_address())
    })
}

/// Returns true if a daemon names another one to callers that ask where to connect.
fn knows(daemon: &Daemon, other: &Daemon) -> bool {
    let path = "/resolve?Name=a.example&Region=r&Zone=hall";
    let response = send_request(daemon.directory_address, "GET", path, &[], "");
    response.body.contains(&other.caller_address.to_string())
}

/// Guards against an entry that hides all those after it: its name stood unencoded in the
/// call for the next page, which failed or began elsewhere; a daemon that started had no list.
#[test]
fn reserved_character_at_end_of_page_hides_no_other_entry() {
    let env = TestEnv::start();
    env.store.set_page_size(1);
    for (index, end) in SPECIAL_ENDS.iter().enumerate() {
        for start in STARTS {
            let key = format!("{start}{end}");
            env.store.put(&key, "{}");
            let daemon = start_daemon(&env, &format!("e{index}"));
            wait_until(&format!("requests are served beside {key:?}"), || {
                env.call_at(&daemon, "GET", "/read/x", &[], "").status == 200
            });
            wait_until(&format!("daemons are known beside {key:?}"), || {
                knows(&daemon, &env.daemon)
            });
            env.store.delete(&key);
        }
    }
}

/// The same in a daemon that lists again because the store has dropped the changes since.
#[test]
fn daemon_lists_again_beside_reserved_characters() {
    let env = TestEnv::start();
    env.store.set_page_size(1);
    for end in SPECIAL_ENDS {
        env.store.put(&format!("servers/h1{end}"), "{}");
    }
    env.store.forget_history();
    let is_followed = |entry: &str| {
        env.store.put("servers/p1", entry);
        env.eventually("the changed entry is known", |env| {
            let runner = &env.plain_runners[0];
            let before = runner.requests().len();
            let served = (0..20).all(|_| env.call("GET", "/read/x", &[], "").status == 200);
            served && (runner.requests().len() > before) == (entry != "{}")
        });
    };
    let entry = env.store.value("servers/p1");
    is_followed("{}");
    is_followed(&entry);
}

/// Names that are invalid in a header, or that are trimmed there.
const INVALID_NAMES: [&str; 6] = ["", " ", "p3 ", "p\n3", "p\u{0}", "p\u{7f}"];

/// Guards against requests that name no runner: any that is at the address, perhaps of another
/// service, would run them.
#[test]
fn runner_whose_name_is_invalid_in_header_gets_no_request() {
    let env = TestEnv::start();
    let start = |name| Runner::start(name, "plain", None, env.store.clone(), Script::default());
    let strangers = INVALID_NAMES.map(start);
    let last = start("p4");
    let paths = ["/read/x", "/once/x"];
    env.eventually("the entry that was written last is known", |env| {
        let served = paths.map(|path| env.call("GET", path, &[], "").status);
        assert_eq!(served, [200, 200]);
        last.requests().len() > 10
    });
    for stranger in strangers {
        assert_eq!(stranger.requests().len(), 0, "{:?}", stranger.name);
    }
}
