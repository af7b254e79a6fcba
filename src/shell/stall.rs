//! A connection whose writes time out when the peer stops reading.
//!
//! Data is written in parts, each flushed before the next, so that a slow
//! reader of a long response still makes visible progress.

use super::activity::Activity;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// Bytes written before a flush is required.
const MAX_UNFLUSHED_BYTES: usize = 64 << 10;

/// Connection whose pending writes fail after a timeout without progress.
pub(super) struct WriteTimeout<S> {
    inner: S,
    timeout: Duration,
    unflushed: usize,
    stalled_since: Option<Instant>,
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
    activity: Activity,
}

impl<S> WriteTimeout<S> {
    /// Wraps a connection; `timeout` bounds the time without progress, and `activity` learns
    /// whether bytes wait to be written.
    pub(super) fn new(inner: S, timeout: Duration, activity: Activity) -> Self {
        Self {
            inner,
            timeout,
            unflushed: 0,
            stalled_since: None,
            timer: None,
            activity,
        }
    }

    /// Waits for a pending write, and fails once it has made no progress for the timeout.
    ///
    /// The timer is kept after progress, so that one is created per timeout and not per write.
    fn poll_stall<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let since = *self.stalled_since.get_or_insert_with(Instant::now);
        loop {
            let left = self.timeout.saturating_sub(since.elapsed());
            if left.is_zero() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(compio::time::sleep(left)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
    }
}

impl<S> Read for WriteTimeout<S>
where
    S: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S> Write for WriteTimeout<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.set_writing(true);
        if self.unflushed >= MAX_UNFLUSHED_BYTES {
            ready!(self.as_mut().poll_flush(cx))?;
        }
        let part = &buf[..buf.len().min(MAX_UNFLUSHED_BYTES)];
        match Pin::new(&mut self.inner).poll_write(cx, part) {
            Poll::Ready(Ok(written)) => {
                self.stalled_since = None;
                self.unflushed += written;
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_stall(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.inner).poll_flush(cx) {
            Poll::Ready(result) => {
                self.stalled_since = None;
                self.unflushed = 0;
                self.activity.set_writing(false);
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_stall(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.inner).poll_shutdown(cx) {
            Poll::Ready(result) => Poll::Ready(result),
            Poll::Pending => self.poll_stall(cx),
        }
    }
}
