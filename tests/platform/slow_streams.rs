//! Streams that are slow, at the runner or at the caller.

use super::{
    config::API_KEY,
    env::{TestEnv, wait_until},
    memory::MEMORY_LIMIT,
    runner::Behavior,
    trouble::{Endless, chunk},
};
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after the route's timeout in which a stream ends.
const END_TIME: Duration = Duration::from_secs(2);

/// Pause between two events that is shorter than the silence after which streams are resumed.
const LONG_PAUSE: Duration = Duration::from_millis(750);

/// Start of a stream's response.
const STREAM_START: &str = "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\
                            Transfer-Encoding: chunked\r\n\r\n";

/// Start of a stream's response with a whole event.
const EVENT_START: &str = "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\n\
                           Transfer-Encoding: chunked\r\n\r\n\
                           10\r\nid: 1\ndata: e1\n\n\r\n";

/// Streams that send a byte now and then, and never complete an event.
const DRIPS: [Endless; 3] = [
    Endless::new("open event", STREAM_START, |_| chunk("x")).dripping(Duration::from_millis(50)),
    Endless::new("open event after a whole one", EVENT_START, |_| chunk("x"))
        .dripping(Duration::from_millis(400)),
    Endless::new("open chunk", EVENT_START, |n| match n {
        1 => "ffff\r\nid: 2\n".to_owned(),
        _ => "x".to_owned(),
    })
    .dripping(Duration::from_millis(400)),
];

/// Numbered events without end, large enough to fill all buffers soon.
const EVENTS: Endless = Endless::new("events", STREAM_START, |n| {
    chunk(&format!("id: {n}\ndata: {}\n\n", "x".repeat(8 << 10)))
});

/// Returns the ids of the events in a body.
fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().expect("an id")).collect()
}

/// Sends a request for a stream whose response is read by the test.
fn open_stream(env: &TestEnv) -> TcpStream {
    let mut stream = TcpStream::connect(env.daemon.caller_address).expect("the daemon listens");
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 4000\r\n\
         X-Model: m\r\nX-Token-Count: 100,20\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

fn troubles_open(env: &TestEnv) -> usize {
    env.heads.iter().map(|head| head.troubles.open()).sum()
}

fn request_count(env: &TestEnv) -> usize {
    env.heads.iter().map(|head| head.requests().len()).sum()
}

// Elsewhere streams were aborted whose events came as slowly as they may.
#[test]
fn slow_stream_is_neither_cut_nor_moved() {
    let env = TestEnv::start();
    let before = request_count(&env);
    env.heads[0].enqueue(Behavior::PacedEvents {
        last: 4,
        pause: LONG_PAUSE,
        is_complete: true,
    });
    let response = env.stream(&[]);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4]);
    assert_eq!(request_count(&env), before + 1, "it ran once");
}

// Elsewhere streams that sent a byte now and then kept their callers and the runners' slots for
// ever, as every byte counted as a sign of life.
#[test]
fn stream_that_completes_no_event_ends_by_the_timeout_of_its_route() {
    let env = TestEnv::start();
    for drip in DRIPS {
        // Both heads, should it be resumed.
        (0..4).for_each(|_| env.heads[0].enqueue(Behavior::Endless(drip)));
        let started = Instant::now();
        let response = env.stream(&[]);
        let elapsed = started.elapsed();
        assert!(
            elapsed < ROUTE_TIMEOUT + END_TIME,
            "{}: {elapsed:?}",
            drip.name
        );
        assert!(!response.is_complete, "{}: {response:?}", drip.name);
        assert!(event_ids(&response.body).len() <= 1, "{}", drip.name);
        wait_until("the runner's connection is closed", || {
            troubles_open(&env) == 0
        });
        env.heads[0].clear_script();
        env.eventually("streams are served", |env| env.stream(&[]).status == 200);
    }
}

// A caller that reads a little now and then kept the runner at work beyond the deadline: the relay
// waited for room in the caller's queue, and looked at the clock only then.
#[test]
fn stream_to_a_slow_reader_leaves_its_runner_at_the_timeout() {
    let env = TestEnv::start();
    env.heads[0].enqueue(Behavior::Endless(EVENTS));
    let started = Instant::now();
    let mut caller = open_stream(&env);
    let reading = thread::spawn(move || {
        let mut bytes = Vec::new();
        let mut block = [0; 16 << 10];
        // Enough for the writing side to see progress, and far less than the runner sends.
        while started.elapsed() < 4 * ROUTE_TIMEOUT {
            match caller.read(&mut block) {
                Ok(0) | Err(_) => break,
                Ok(count) => bytes.extend_from_slice(&block[..count]),
            }
            thread::sleep(Duration::from_millis(500));
        }
        // The rest of what was sent.
        let _ = caller.read_to_end(&mut bytes);
        bytes
    });
    wait_until("the stream runs", || troubles_open(&env) == 1);
    wait_until("the runner's connection is closed", || {
        troubles_open(&env) == 0
    });
    let elapsed = started.elapsed();
    assert!(elapsed < ROUTE_TIMEOUT + END_TIME, "{elapsed:?}");
    let bytes = reading.join().expect("read");
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        !text.ends_with("\r\n0\r\n\r\n"),
        "the stream is not complete"
    );
    let peak = env.daemon.peak_memory();
    assert!(peak < MEMORY_LIMIT, "{} MiB", peak >> 20);
}

// A caller that reads nothing must neither hold the runner for ever nor be told that the stream is
// complete.
#[test]
fn stream_to_a_caller_that_reads_nothing_ends_incomplete() {
    let env = TestEnv::start();
    env.heads[0].enqueue(Behavior::Endless(EVENTS));
    let started = Instant::now();
    let mut caller = open_stream(&env);
    wait_until("the stream runs", || troubles_open(&env) == 1);
    wait_until("the runner's connection is closed", || {
        troubles_open(&env) == 0
    });
    let elapsed = started.elapsed();
    assert!(elapsed < ROUTE_TIMEOUT + END_TIME, "{elapsed:?}");
    let mut bytes = Vec::new();
    // A reset ends what was sent like a close.
    let _ = caller.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 200"), "it began");
    assert!(
        !text.ends_with("\r\n0\r\n\r\n"),
        "the stream is not complete"
    );
    env.eventually("streams are served", |env| env.stream(&[]).status == 200);
}
