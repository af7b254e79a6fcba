//! Body of a request, which tells its connection when it has been read to the end.

use super::activity::Activity;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::{
    pin::Pin,
    task::{Context, Poll},
};

/// Body of a request; the rest of one that is dropped before its end is discarded when the
/// connection closes.
#[derive(Debug)]
pub struct RequestBody {
    inner: Incoming,
    activity: Activity,
}

impl RequestBody {
    /// Wraps a body that arrives on the connection with this activity.
    pub(super) fn new(inner: Incoming, activity: Activity) -> Self {
        let body = Self { inner, activity };
        body.note_end(false);
        body
    }

    /// Notes the end of the body if it has been read, or if its last frame was seen.
    fn note_end(&self, is_read: bool) {
        if is_read || self.inner.is_end_stream() {
            self.activity.request_read();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        self.note_end(matches!(frame, Poll::Ready(None)));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
