//! Runners that are silent towards the daemons and the store for a while, and go on working.

use super::{env::TestEnv, runner::Behavior};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::{thread, time::Duration};

/// Events of the streams that run meanwhile.
const EVENTS: u64 = 17;

/// Stream of 3.4 s, whose pauses are longer than the interval at which its runner is looked at.
const STREAM: Behavior = Behavior::PacedEvents {
    last: EVENTS,
    pause: Duration::from_millis(200),
    is_complete: true,
};

/// Time for which a runner reports nothing; probes fail several times in it.
const SILENT_TIME: Duration = Duration::from_millis(2_500);

/// Time for which the daemon is paused: longer than a silence after which a stream moves.
const PAUSE: Duration = Duration::from_millis(1_300);

/// Time for which an entry is missing; short enough that its group is not replaced meanwhile.
const LAPSE_TIME: Duration = Duration::from_millis(1_200);

fn request_count(env: &TestEnv) -> usize {
    env.heads.iter().map(|head| head.requests().len()).sum()
}

/// Runs streams at both heads while `disturb` is done and undone after a time, and checks that each
/// ran once and to its end.
fn check_streams<D, U>(time: Duration, disturb: D, undo: U)
where
    D: Fn(&TestEnv),
    U: Fn(&TestEnv),
{
    let env = TestEnv::start();
    let before = request_count(&env);
    (0..4).for_each(|_| env.heads[0].enqueue(STREAM));
    thread::scope(|scope| {
        let calls: Vec<_> = (0..4).map(|_| scope.spawn(|| env.stream(&[]))).collect();
        env.eventually("the streams run", |env| env.running_streams() == 4);
        disturb(&env);
        thread::sleep(time);
        undo(&env);
        for call in calls {
            let response = call.join().expect("called");
            let last = format!("id: {EVENTS}\n");
            assert!(response.is_complete, "{response:?}");
            assert!(response.body.contains(&last), "{response:?}");
        }
    });
    assert_eq!(request_count(&env), before + 4, "no stream ran twice");
    env.eventually("both heads serve", |env| {
        env.stream(&[]).status == 200 && env.heads.iter().all(|head| head.is_open())
    });
}

// Elsewhere the work of a runner that answered no probes for a while was started again at another.
#[test]
fn head_that_answers_no_probes_keeps_its_streams() {
    let silence = |is_silent| {
        move |env: &TestEnv| {
            for head in &env.heads {
                head.silence_control(is_silent);
            }
        }
    };
    check_streams(SILENT_TIME, silence(true), silence(false));
}

// One of two: the other could take its streams, and is not cut off itself.
#[test]
fn single_head_that_answers_no_probes_keeps_its_streams() {
    check_streams(
        SILENT_TIME,
        |env| env.heads[0].silence_control(true),
        |env| env.heads[0].silence_control(false),
    );
}

// The daemon itself was kept waiting, and must not take what it hasn't read yet for silence.
#[test]
fn streams_stay_at_their_runners_while_the_daemon_is_paused() {
    check_streams(
        PAUSE,
        |env| env.daemon.signal(Signal::SIGSTOP),
        |env| env.daemon.signal(Signal::SIGCONT),
    );
}

// Elsewhere the work of a runner whose entry lapsed, as it wrote too late, was abandoned.
#[test]
fn head_whose_entry_lapses_keeps_its_streams() {
    check_streams(
        LAPSE_TIME,
        |env| env.store.delete("servers/h1"),
        |env| env.heads[0].register(),
    );
}

// A head that reports to be open until its work has ended was ordered to cut it after 1.8 s.
#[test]
fn head_that_leaves_the_store_for_good_keeps_its_streams() {
    let env = TestEnv::start();
    let before = request_count(&env);
    let stream = Behavior::PacedEvents {
        last: 6,
        pause: Duration::from_millis(600),
        is_complete: true,
    };
    env.heads[0].enqueue(stream);
    thread::scope(|scope| {
        let call = scope.spawn(|| env.stream(&[]));
        env.eventually("the stream runs", |env| env.running_streams() == 1);
        let heads = env.heads.iter();
        let head = heads.max_by_key(|head| head.runs().len()).expect("a head");
        head.unregister();
        let response = call.join().expect("called");
        assert!(response.is_complete, "{response:?}");
        assert!(response.body.contains("id: 6\n"), "{response:?}");
        let orders = head.orders();
        let is_cut = |order: &Value| order["Op"] == "close" && order["Mode"] == "cut";
        assert!(!orders.iter().any(|(_, order)| is_cut(order)), "{orders:?}");
    });
    assert_eq!(request_count(&env), before + 1, "the stream ran once");
}

// The same for requests to a plain service, which has no groups: one that may not run twice.
#[test]
fn plain_request_at_a_runner_whose_entry_lapses_is_answered() {
    let env = TestEnv::start();
    thread::scope(|scope| {
        let call = scope.spawn(|| env.call("POST", "/once/x?delay_ms=2500", &[], "{}"));
        env.eventually("the request runs", |env| env.running_requests() == 1);
        for name in ["p1", "p2"] {
            env.store.delete(&format!("servers/{name}"));
        }
        let response = call.join().expect("called");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "usual"),
            "{response:?}"
        );
    });
    let runs: usize = env
        .plain_runners
        .iter()
        .map(|runner| runner.runs().len())
        .sum();
    assert_eq!(runs, 1);
}
