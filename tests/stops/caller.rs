//! Caller that sends one request after the other and keeps its connection open.

use super::{
    config::API_KEY,
    connection::{Connection, ReadError, Response},
    directory::Directory,
    fleet::Fleet,
    records::{CallEnd, CallRecord, Kind},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Tokens that an event of a stream holds.
const EVENT_TOKENS: u64 = 6;

/// Duration of an event on a head with all slots in use, as the configuration says.
const EVENT_TIME: Duration = Duration::from_micros(6 * 7_250);

/// Maximum duration of a stream at a head of usual pace; on the slow head it still fits into the
/// grace period.
const MAX_STREAM_TIME: Duration = Duration::from_millis(1_800);

/// Fraction of the streams that take longer than the configuration says.
const SLOW_FRACTION: f64 = 0.4;

/// Maximum pause between two requests, in milliseconds.
const MAX_THINK_MS: u64 = 150;

/// Longest time that a caller reads without receiving anything.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause of a caller that finds no daemon.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Longest pause before a refused caller retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Every third caller keeps a directory response three times as long.
const PATIENT_EVERY: usize = 3;

/// One caller.
pub struct Caller {
    /// Requests so far.
    pub records: Vec<CallRecord>,
    kind: Kind,
    name: String,
    rng: SmallRng,
    /// Addresses of the daemons, in their order.
    daemons: Vec<SocketAddr>,
    directory: Directory,
    connection: Option<Connection>,
}

/// Request of a caller.
struct Request {
    text: String,
    id: String,
    deadline: Duration,
    last_event: u64,
}

impl Caller {
    /// Creates a caller; `index` tells it apart from the others.
    pub fn new(fleet: &Fleet, kind: Kind, index: usize, seed: u64) -> Self {
        let patience = match index % PATIENT_EVERY {
            0 => 3,
            _ => 1,
        };
        Self {
            records: Vec::new(),
            kind,
            name: format!("s{seed}-{}{index}", kind.name()),
            rng: SmallRng::seed_from_u64(seed << 32 | index as u64),
            daemons: fleet.caller_addresses(),
            directory: Directory::new(fleet.directory_addresses(), patience),
            connection: None,
        }
    }

    /// Sends one request, records it, and pauses.
    pub fn call_once(&mut self) {
        let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else {
            thread::sleep(RECONNECT_DELAY);
            return;
        };
        let request = self.request();
        let begun = Instant::now();
        connection.send(&request.text);
        let sent = Instant::now();
        let response = connection.read_response();
        let daemon = self.daemons.iter().position(|a| *a == connection.address);
        self.records.push(CallRecord {
            id: request.id,
            kind: self.kind,
            daemon: daemon.expect("the address of a daemon"),
            begun,
            sent,
            ended: Instant::now(),
            deadline: request.deadline,
            status: response.status,
            events: event_ids(&response.body),
            last_event: request.last_event,
            end: match response.error {
                None => CallEnd::Whole,
                Some(ReadError::Silent) => CallEnd::GivenUp,
                Some(ReadError::Cut | ReadError::Garbage) => CallEnd::Cut,
            },
        });
        self.pause(&response);
        // A refused request is retried on a new connection.
        let is_kept = response.status == 200 && response.error.is_none() && !response.closes;
        self.connection = is_kept.then_some(connection);
    }

    fn pause(&mut self, response: &Response) {
        let think = Duration::from_millis(self.rng.random_range(0..MAX_THINK_MS));
        let pause = response.retry_after.unwrap_or(think);
        thread::sleep(pause.min(MAX_RETRY_DELAY));
    }

    /// Connects to any daemon of the directory response.
    fn connect(&mut self) -> Option<Connection> {
        for address in self.directory.addresses(&mut self.rng) {
            if let Some(connection) = Connection::open(address, READ_TIMEOUT) {
                return Some(connection);
            }
            self.directory.remove(address);
        }
        None
    }

    fn request(&mut self) -> Request {
        let id = format!("{}-{}", self.name, self.records.len());
        let deadline = Duration::from_millis(self.rng.random_range(3_500..6_000));
        let (line, model, last_event) = match self.kind {
            Kind::Stream => self.stream_request(),
            Kind::Read => (self.plain_request("GET /read/"), String::new(), 0),
            Kind::Once => (self.plain_request("POST /once/"), String::new(), 0),
        };
        let body = match self.kind {
            Kind::Read => "",
            Kind::Stream | Kind::Once => "{}",
        };
        let text = format!(
            "{line} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n{model}Content-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len(),
        );
        Request {
            text,
            id,
            deadline,
            last_event,
        }
    }

    /// Returns the request line and the model's headers of a stream, and its number of events.
    fn stream_request(&mut self) -> (String, String, u64) {
        let factor = match self.rng.random_bool(SLOW_FRACTION) {
            true => self.rng.random_range(1.5..4.0),
            false => 1.0,
        };
        let pause = EVENT_TIME.mul_f64(factor);
        let max_events = MAX_STREAM_TIME.div_duration_f64(pause) as u64;
        let last = self.rng.random_range(5..=max_events.min(25));
        let line = format!("POST /chat/x?events={last}&pause_ms={}", pause.as_millis());
        let tokens = last * EVENT_TOKENS;
        let model = format!("X-Model: m\r\nX-Token-Count: 100,{tokens}\r\n");
        (line, model, last)
    }

    fn plain_request(&mut self, start: &str) -> String {
        let delay = self.rng.random_range(5..120);
        format!("{start}x?delay_ms={delay}")
    }
}

fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}
