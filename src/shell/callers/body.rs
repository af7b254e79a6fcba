//! The bodies of responses to callers.

use super::{
    super::calls::{CallEvent, OpenCall},
    response::outcome_json,
};
use crate::core::output::{Doubt, Ending};
use bytes::Bytes;
use futures_util::Stream as _;
use http_body::{Body, Frame, SizeHint};
use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

/// Body of a response.
pub(super) enum CallerBody {
    /// A complete body, until it has been sent.
    Whole(Option<Bytes>),
    /// Events that are forwarded as they arrive.
    Stream(EventStream),
}

/// Error of a stream that ended before it was complete; it aborts the connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Incomplete {}

/// Event stream of a completion.
pub(super) struct EventStream {
    call: OpenCall,
    state: State,
}

enum State {
    Open,
    Done,
    /// Waits for the last event to be written before the connection is aborted.
    Flushing(Pin<Box<dyn Future<Output = ()>>>),
}

/// Delay before a body fails, so that its last event is written: the HTTP library drops
/// buffered data when a body fails.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

const DONE: &[u8] = b"data: [DONE]\n\n";

impl CallerBody {
    /// Creates a body from all of its bytes.
    pub(super) fn whole(bytes: Bytes) -> Self {
        CallerBody::Whole(Some(bytes))
    }
}

impl EventStream {
    pub(super) fn new(call: OpenCall) -> Self {
        Self {
            call,
            state: State::Open,
        }
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Incomplete>>> {
        match &mut self.state {
            State::Open => {}
            State::Done => return Poll::Ready(None),
            State::Flushing(delay) => {
                ready!(delay.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Incomplete)));
            }
        }
        loop {
            let event = ready!(Pin::new(&mut self.call.events).poll_next(cx));
            let ending = match event {
                Some(CallEvent::Begin(_)) => continue,
                Some(CallEvent::Data { bytes, .. }) => return Poll::Ready(Some(Ok(bytes))),
                Some(CallEvent::End(ending)) => ending,
                Some(CallEvent::Entries { .. }) | None => Ending::Unknown(Doubt::Cut),
            };
            return Poll::Ready(Some(Ok(self.finish(&ending))));
        }
    }

    /// Returns the last event, which reports how the response ended.
    fn finish(&mut self, ending: &Ending) -> Bytes {
        match outcome_json(ending) {
            None => {
                self.state = State::Done;
                Bytes::from_static(DONE)
            }
            Some(outcome) => {
                self.state = State::Flushing(Box::pin(compio::time::sleep(FLUSH_DELAY)));
                Bytes::from(format!("event: error\ndata: {outcome}\n\n"))
            }
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        let next = match self.get_mut() {
            CallerBody::Whole(bytes) => bytes.take().map(Ok),
            CallerBody::Stream(stream) => ready!(stream.poll_event(cx)),
        };
        Poll::Ready(next.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Whole(bytes) => bytes.is_none(),
            CallerBody::Stream(stream) => matches!(stream.state, State::Done),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            CallerBody::Stream(_) => SizeHint::default(),
        }
    }
}
