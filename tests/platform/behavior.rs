//! Scripted behavior of a fake runner.

use super::{
    http::{RecordedRequest, event_chunk},
    runs::Work,
    trouble::Endless,
};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Behavior of a runner towards one request.
#[derive(Clone, Debug)]
pub enum Behavior {
    /// Responds with this status and body.
    Respond(u16, &'static str),
    /// Responds, and reports that all its slots are taken and more requests wait.
    RespondFull,
    /// Reports that it did not run the request.
    Decline,
    /// Reports that it did not run the request, and wants none for some time.
    DeclineFor(&'static str),
    /// Runs the request and responds, after it has written once more that it did not run an
    /// earlier one.
    RepeatRefusal,
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds in full, without a content length.
    Unframed(&'static str),
    /// Sends events with neither a length nor chunks, and ends the connection: after the event
    /// `last`, or inside the next one.
    UnframedEvents { last: u64, is_whole: bool },
    /// Sends the events after the caller's last up to `last`, then ends or interrupts the stream.
    Events { last: u64, is_complete: bool },
    /// Sends events like `Events`, with a pause before each.
    PacedEvents {
        last: u64,
        pause: Duration,
        is_complete: bool,
    },
    /// Sends the events up to `first` at once and those up to `last` after a pause, then ends the
    /// stream.
    PausedEvents {
        first: u64,
        pause: Duration,
        last: u64,
    },
    /// Responds after a delay.
    RespondLate(Duration, &'static str),
    /// Sends bytes until the daemon closes the connection.
    Endless(Endless),
    /// Responds in full, and once more after a delay.
    RespondTwice(Duration, &'static str),
    /// Writes a text as the response; `{own}` stands for the usual headers of its responses.
    Raw(String),
    /// Sends the first bytes of a whole response and ends the connection.
    CutOff { framing: Framing, length: usize },
}

/// How the end of a response's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
    /// By its last chunk, as a stream of events.
    Events,
}

impl Framing {
    /// Returns a whole response, and the length of its head.
    pub fn response(self, own_headers: &str, has_body: bool) -> (String, usize) {
        let (headers, body) = match self {
            Self::Length => ("Content-Length: 5\r\n", "usual".to_owned()),
            Self::Chunked => (CHUNKED, "5\r\nusual\r\n0\r\n\r\n".to_owned()),
            Self::Connection => ("", "usual".to_owned()),
            Self::Events => (EVENTS, event_chunk(1) + &event_chunk(2) + "0\r\n\r\n"),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{own_headers}{headers}\r\n");
        let length = head.len();
        let body = if has_body { body } else { String::new() };
        (head + &body, length)
    }
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

const EVENTS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

impl Behavior {
    /// Returns the behavior towards a request for which none is scripted.
    pub fn usual(request: &RecordedRequest) -> Self {
        match Work::of(&request.request_line) {
            Some(Work::Events { last, pause }) => Self::PacedEvents {
                last,
                pause,
                is_complete: true,
            },
            Some(Work::Late(delay)) => Self::RespondLate(delay, "usual"),
            None => Self::Respond(200, "usual"),
        }
    }
}

/// Behaviors towards the next requests, in order; runners may share a script.
pub type Script = Arc<Mutex<VecDeque<Behavior>>>;
