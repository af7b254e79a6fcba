//! Faults of all kinds under load, and what must hold all the same.
//!
//! First a request that crashes runners comes again and again at all daemons;
//! then daemons are cut off from the runners or from the store, while others are
//! paused, are killed, lose a head or the store, and runners leave. Each request
//! is answered whole, refused truthfully, or disturbed by a fault that it met;
//! none runs twice that may not; the crashing request soon reaches no runner, nor
//! does any request a runner that has left; callers of a daemon that is cut off
//! are served; and all daemons serve after the last fault.

use super::{
    config,
    connection::Connection,
    env::wait_until,
    faults::{self, CRASH_TIME, Fault},
    fleet::{Fleet, HEAD_COUNT},
    judge::{self, Judged, Verdict},
    link::{self, Link},
    load,
    options::Options,
    records::Kind,
};
use nix::sys::signal::Signal;
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Path of the request that crashes runners.
const BAD_PATH: &str = "/read/bad";

/// Body of the request that crashes runners.
const BAD_BODY: &str = "bad body";

/// Pause between two requests that crash runners.
const BAD_PAUSE: Duration = Duration::from_millis(300);

/// Time that its caller waits for a response.
const BAD_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Crashes after which such a request is to be known.
const KNOWN_CRASHES: usize = 3;

/// Number of times that it may reach runners later than `STABLE_TIME` after that.
const MAX_BAD_SENDS: usize = 3;

/// Interval at which faults are carried out.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time for which a fault may disturb requests after its end; a crashed runner is away for two
/// seconds.
const AFTERMATH: Duration = Duration::from_millis(3_000);

/// Time that daemons have to adapt to a fault.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// Daemons whose requests a fault may disturb.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    One(usize),
    All,
}

/// Time in which a fault may disturb requests.
#[derive(Clone, Copy, Debug)]
struct Window {
    scope: Scope,
    start: Instant,
    end: Instant,
    /// True if the daemon is cut off from the runners.
    is_cut: bool,
}

impl Window {
    fn covers(&self, call: &Judged) -> bool {
        let is_there = self.scope == Scope::All || self.scope == Scope::One(call.call.daemon);
        is_there && call.call.begun <= self.end && call.call.ended >= self.start
    }
}

#[test]
fn promises_hold_under_faults() {
    let _turn = super::await_turn();
    let options = Options {
        plain_runners: 4,
        has_links: true,
        ..Options::from_env()
    };
    let failures: Vec<String> = options
        .seeds
        .clone()
        .flat_map(|seed| run(&options, seed))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Runs one seed; returns what must not have happened.
fn run(options: &Options, seed: u64) -> Vec<String> {
    let fleet = Fleet::start(options, seed);
    for runner in &fleet.plain_runners {
        runner.crashes.set_request(BAD_PATH, BAD_BODY);
    }
    let callers = load::start(&fleet, seed);
    let is_over = AtomicBool::new(false);
    let (done, sends) = thread::scope(|scope| {
        let sender = scope.spawn(|| send_bad_requests(&fleet, &is_over));
        let done = carry_out(&fleet, options, seed);
        is_over.store(true, Ordering::Relaxed);
        (done, sender.join().expect("the sender doesn't panic"))
    });
    let Done {
        windows,
        departures,
    } = done;
    wait_until("all daemons serve by their own runners again", || {
        fleet.serves() && !fleet.has_cut_off_daemon()
    });
    let findings = judge::judge(&fleet, callers.finish(), Duration::ZERO);
    let mut failures: Vec<String> = findings
        .calls
        .iter()
        .filter_map(|call| failure(call, &windows))
        .collect();
    if sends > MAX_BAD_SENDS {
        failures.push(format!(
            "the crashing request reached runners {sends} times too late"
        ));
    }
    failures.extend(departures.into_iter().filter_map(Departure::failure));
    failures.extend(unserved_in_cuts(&findings.calls, &windows));
    println!(
        "seed {seed}: {} requests, {} whole, {} crashing, {sends} of them late",
        findings.calls.len(),
        count(&findings.calls, Verdict::Served),
        bad_sends(&fleet),
    );
    if failures.is_empty() {
        fleet.remove_logs();
    }
    let logs = fleet.log_dir().display();
    failures
        .into_iter()
        .map(|failure| format!("seed {seed}: {failure}; logs in {logs}"))
        .collect()
}

fn count(calls: &[Judged], verdict: Verdict) -> usize {
    calls.iter().filter(|call| call.verdict == verdict).count()
}

/// Sends the request that crashes runners to all daemons in turn; returns how often it reached
/// runners after it should have been known.
fn send_bad_requests(fleet: &Fleet, is_over: &AtomicBool) -> usize {
    let mut known_at: Option<Instant> = None;
    let mut early = 0;
    for address in fleet.caller_addresses().iter().cycle() {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let sends = bad_sends(fleet);
        if sends >= KNOWN_CRASHES {
            known_at.get_or_insert_with(Instant::now);
        }
        if known_at.is_none_or(|at| at.elapsed() < STABLE_TIME) {
            early = sends;
        }
        send_bad_request(*address);
        thread::sleep(BAD_PAUSE);
    }
    bad_sends(fleet) - early
}

/// Sends the request that crashes runners to a daemon, which may be away.
fn send_bad_request(daemon: SocketAddr) {
    let text = format!(
        "POST {BAD_PATH} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {}\r\n\
         X-Request-Id: bad\r\nX-Deadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n{BAD_BODY}",
        config::API_KEY,
        BAD_BODY.len(),
    );
    if let Some(mut connection) = Connection::open(daemon, BAD_TIMEOUT) {
        connection.send(&text);
        connection.read_response();
    }
}

fn bad_sends(fleet: &Fleet) -> usize {
    let runners = fleet.plain_runners.iter();
    let requests = runners.flat_map(|runner| runner.requests());
    let bad = requests.filter(|request| request.body == BAD_BODY.as_bytes());
    bad.count()
}

/// What the faults of a seed did.
struct Done {
    /// Times in which they may disturb requests.
    windows: Vec<Window>,
    /// Departures of runners.
    departures: Vec<Departure>,
}

/// Departure of a plain runner that still serves.
struct Departure {
    runner: usize,
    left_at: Instant,
    /// Requests that it had got when all daemons should have known.
    known: Option<usize>,
    /// Requests that it had got when it came back.
    total: Option<usize>,
}

impl Departure {
    /// Counts the requests so far, once all daemons should know of the departure.
    fn check(&mut self, fleet: &Fleet) {
        if self.known.is_none() && self.left_at.elapsed() >= STABLE_TIME {
            self.known = Some(self.count(fleet));
        }
    }

    /// Counts the requests that it got until now, when it comes back.
    fn end(&mut self, fleet: &Fleet) {
        // A runner that has crashed meanwhile has written its entry again.
        if fleet.store.value(&self.key(fleet)).is_empty() {
            self.total = Some(self.count(fleet));
        }
    }

    fn key(&self, fleet: &Fleet) -> String {
        format!("servers/{}", fleet.plain_runners[self.runner].name)
    }

    fn count(&self, fleet: &Fleet) -> usize {
        fleet.plain_runners[self.runner].requests().len()
    }

    fn failure(self) -> Option<String> {
        let late = self.total? - self.known?;
        let runner = self.runner + 1;
        (late > 0).then(|| format!("{late} requests reached p{runner} after it had left"))
    }
}

/// Carries out the faults of a seed.
fn carry_out(fleet: &Fleet, options: &Options, seed: u64) -> Done {
    let plain_runners = fleet.plain_runners.len();
    let faults = faults::of_seed(
        seed,
        fleet.size(),
        HEAD_COUNT,
        plain_runners,
        options.rounds,
    );
    let mut windows = vec![window(Scope::All, fleet.started, CRASH_TIME, false)];
    let mut departures: Vec<Departure> = Vec::new();
    let mut faults = faults.into_iter().peekable();
    while faults.peek().is_some() {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= fleet.started.elapsed()) {
            match fault {
                Fault::Leave { runner } => departures.push(leave(fleet, runner)),
                Fault::Return { runner } => {
                    let mut own = departures.iter_mut().rev();
                    let left = own.find(|departure| departure.runner == runner);
                    left.expect("it has left").end(fleet);
                    fleet.plain_runners[runner].register();
                }
                other => windows.extend(perform(fleet, other, &windows)),
            }
        }
        let departed = departures.iter_mut();
        let away = departed.filter(|departure| departure.total.is_none());
        away.for_each(|departure| departure.check(fleet));
        (0..fleet.size()).for_each(|index| fleet.restart_if_ended(index));
        thread::sleep(CHECK_INTERVAL);
    }
    (0..fleet.size()).for_each(|index| fleet.restart_if_ended(index));
    Done {
        windows,
        departures,
    }
}

/// Removes the entry of a plain runner, as the platform does when a runner leaves.
fn leave(fleet: &Fleet, runner: usize) -> Departure {
    let departure = Departure {
        runner,
        left_at: Instant::now(),
        known: None,
        total: None,
    };
    fleet.store.delete(&departure.key(fleet));
    departure
}

fn window(scope: Scope, start: Instant, span: Duration, is_cut: bool) -> Window {
    Window {
        scope,
        start,
        end: start + span + AFTERMATH,
        is_cut,
    }
}

/// Starts or ends a fault; returns the time in which it may disturb requests from now on.
fn perform(fleet: &Fleet, fault: Fault, windows: &[Window]) -> Option<Window> {
    let now = Instant::now();
    let open = |scope, is_cut| Some(window(scope, now, Duration::ZERO, is_cut));
    match fault {
        Fault::Cut { daemon, cut } => {
            link::cut_all(&fleet.links[daemon], cut);
            open(Scope::One(daemon), true)
        }
        Fault::Restore { daemon } => {
            fleet.links[daemon].iter().for_each(Link::restore);
            let cuts = windows.iter().rev();
            let mut own = cuts.filter(|window| window.is_cut);
            let cut = own.find(|window| window.scope == Scope::One(daemon));
            cut.map(|cut| window(cut.scope, cut.start, now - cut.start, true))
        }
        Fault::Pause { daemon } => {
            fleet.slot(daemon).signal(Signal::SIGSTOP);
            open(Scope::All, false)
        }
        Fault::Continue { daemon } => {
            fleet.slot(daemon).signal(Signal::SIGCONT);
            open(Scope::All, false)
        }
        Fault::Kill { daemon } => {
            fleet.slot(daemon).signal(Signal::SIGKILL);
            open(Scope::All, false)
        }
        Fault::Crash { head } => {
            fleet.heads[head].crash();
            open(Scope::All, false)
        }
        Fault::Outage { is_on } => {
            fleet.store.set_failing(is_on);
            None
        }
        // The daemon serves on by what its peers see: no excuse.
        Fault::StoreCut { daemon, cut } => {
            fleet.store_links[daemon].cut(cut);
            None
        }
        Fault::StoreRestore { daemon } => {
            fleet.store_links[daemon].restore();
            None
        }
        Fault::Leave { .. } | Fault::Return { .. } => None,
    }
}

/// Returns what is wrong with a request, if anything is.
fn failure(call: &Judged, windows: &[Window]) -> Option<String> {
    let is_twice = call.call.kind == Kind::Once && call.runs.len() > 1;
    if is_twice {
        return Some(format!("{} ran {} times", call.call.id, call.runs.len()));
    }
    let is_disturbed = windows.iter().any(|window| window.covers(call));
    let may_be_disturbed = matches!(call.verdict, Verdict::Lost | Verdict::Failed);
    let is_fault = call.verdict.is_fault() && !(is_disturbed && may_be_disturbed);
    is_fault.then(|| {
        let (id, status) = (&call.call.id, call.call.status);
        let verdict = call.verdict;
        format!(
            "{id} at d{}: {verdict:?}, status {status}",
            call.call.daemon
        )
    })
}

/// Returns the cuts in which a daemon's callers were served less than two thirds as often as the
/// others'.
fn unserved_in_cuts(calls: &[Judged], windows: &[Window]) -> Vec<String> {
    let cuts = windows.iter().filter(|window| window.is_cut);
    // The first window of each cut ends before the cut does.
    let whole = cuts.filter(|window| window.end - window.start > AFTERMATH);
    whole
        .filter_map(|cut| {
            let from = cut.start + STABLE_TIME;
            let to = cut.end - AFTERMATH;
            let during = calls
                .iter()
                .filter(|call| from <= call.call.begun && call.call.begun <= to);
            let (own, others): (Vec<&Judged>, Vec<&Judged>) =
                during.partition(|call| cut.scope == Scope::One(call.call.daemon));
            let (own, others) = (served_part(&own), served_part(&others));
            (own < others * 2.0 / 3.0).then(|| {
                format!("a daemon that was cut off served {own:.2}, the others {others:.2}")
            })
        })
        .collect()
}

/// Returns the part of requests that were answered whole; all of none.
fn served_part(calls: &[&Judged]) -> f64 {
    let served = calls.iter().filter(|call| call.verdict == Verdict::Served);
    match calls.len() {
        0 => 1.0,
        all => served.count() as f64 / all as f64,
    }
}
