//! The bodies of answers to callers.

use super::{
    super::calls::{CallEvent, OpenCall},
    answer::outcome_json,
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

/// The body of an answer.
pub(super) enum CallerBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Events as they come.
    Stream(EventStream),
}

/// A stream that ended without being complete; the connection is cut.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incomplete;

impl fmt::Display for Incomplete {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer is not complete")
    }
}

impl std::error::Error for Incomplete {}

/// A completion's events.
pub(super) struct EventStream {
    open: OpenCall,
    state: State,
}

enum State {
    Open,
    Done,
    Cut(Pin<Box<dyn Future<Output = ()>>>),
}

/// Time for the last event to be written: the HTTP library drops what waits when a body fails.
const FLUSH_PAUSE: Duration = Duration::from_millis(200);

const DONE: &[u8] = b"data: [DONE]\n\n";

impl CallerBody {
    /// A body known whole.
    pub(super) fn whole(bytes: Bytes) -> Self {
        CallerBody::Whole(Some(bytes))
    }
}

impl EventStream {
    pub(super) fn new(open: OpenCall) -> Self {
        Self {
            open,
            state: State::Open,
        }
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Incomplete>>> {
        match &mut self.state {
            State::Open => {}
            State::Done => return Poll::Ready(None),
            State::Cut(flushed) => {
                ready!(flushed.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Incomplete)));
            }
        }
        loop {
            let event = ready!(Pin::new(&mut self.open.events).poll_next(cx));
            let ending = match event {
                Some(CallEvent::Begin(_)) => continue,
                Some(CallEvent::Data { bytes, .. }) => return Poll::Ready(Some(Ok(bytes))),
                Some(CallEvent::End(ending)) => ending,
                Some(CallEvent::Entries { .. }) | None => Ending::Unknown(Doubt::Cut),
            };
            return Poll::Ready(Some(Ok(self.end(&ending))));
        }
    }

    /// The last event, which says how the answer ended.
    fn end(&mut self, ending: &Ending) -> Bytes {
        match outcome_json(ending) {
            None => {
                self.state = State::Done;
                Bytes::from_static(DONE)
            }
            Some(outcome) => {
                self.state = State::Cut(Box::pin(compio::time::sleep(FLUSH_PAUSE)));
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
