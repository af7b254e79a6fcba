//! A connection that fails once its other end takes nothing for too long.
//!
//! Bytes are handed down in parts, each flushed before the next, so that a
//! slow reader of a long answer makes progress that can be seen.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// The bytes handed down before they must be flushed.
const PART_BYTES: usize = 64 << 10;

/// A connection whose writes must make progress.
pub(super) struct Guarded<S> {
    inner: S,
    timeout: Duration,
    unflushed: usize,
    stalled: Option<Instant>,
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<S> Guarded<S> {
    /// Guards a connection; `timeout` is the longest time without progress.
    pub(super) fn new(inner: S, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            unflushed: 0,
            stalled: None,
            timer: None,
        }
    }

    /// Waits with the write that is pending, until it has waited for too long.
    ///
    /// A timer is kept past progress, so that there is one for each timeout and not for each write.
    fn poll_stall<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let since = *self.stalled.get_or_insert_with(Instant::now);
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

impl<S> Read for Guarded<S>
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

impl<S> Write for Guarded<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unflushed >= PART_BYTES {
            ready!(self.as_mut().poll_flush(cx))?;
        }
        let part = &buf[..buf.len().min(PART_BYTES)];
        match Pin::new(&mut self.inner).poll_write(cx, part) {
            Poll::Ready(Ok(written)) => {
                self.stalled = None;
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
                self.stalled = None;
                self.unflushed = 0;
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
