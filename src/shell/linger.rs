//! A connection that closes only after the peer had a chance to read the response.
//!
//! If bytes are unread when a connection closes, TCP resets it, and the peer may
//! lose a response that it has not read yet. After the last response the writing
//! half is therefore closed first, and the rest of a body that nobody read is
//! discarded until the peer closes too (RFC 9112, 9.6), within bounds.

use super::activity::Activity;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

/// Maximum number of bytes that are discarded; a peer that sends more gets a reset, which costs less
/// than reading on.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Maximum time for which bytes are discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(10);

/// Time without bytes after which the peer is taken to have read the response.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(2);

/// Bytes that are discarded at once.
const BLOCK_BYTES: usize = 8 << 10;

/// Connection that discards what is unread before it closes.
pub(super) struct LingeringClose<S> {
    inner: S,
    activity: Activity,
    /// Time of the last read, and of the last write to a peer whose request was not read.
    active_at: Instant,
    /// Set once the writing half is closed and bytes are discarded.
    discard: Option<Discard>,
}

impl<S> LingeringClose<S> {
    /// Wraps a connection; `activity` knows whether its last request was read to the end.
    pub(super) fn new(inner: S, activity: Activity) -> Self {
        Self {
            inner,
            activity,
            active_at: Instant::now(),
            discard: None,
        }
    }
}

/// Bounds of what is still discarded.
struct Discard {
    bytes_left: usize,
    ends: Instant,
    /// Time of the last sign of the peer, or of the response to it.
    active_at: Instant,
    timer: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl Discard {
    fn new(active_at: Instant) -> Self {
        Self {
            bytes_left: MAX_DISCARDED_BYTES,
            ends: Instant::now() + MAX_DISCARD_TIME,
            active_at,
            timer: None,
        }
    }

    /// Counts bytes that were discarded; returns false if no more may be.
    fn count(&mut self, bytes: usize) -> bool {
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        self.active_at = Instant::now();
        self.bytes_left > 0 && self.active_at < self.ends
    }

    /// Waits until the time is over or the peer has been silent for too long.
    ///
    /// The timer is kept after a read, so that one is created per silence and not per read.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let deadline = self.ends.min(self.active_at + MAX_PEER_SILENCE);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(compio::time::sleep(left)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
    }
}

impl<S> Read for LingeringClose<S>
where
    S: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if read.is_ready() {
            self.activity.bytes_arrived();
            self.active_at = Instant::now();
        }
        read
    }
}

impl<S> Write for LingeringClose<S>
where
    S: Read + Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.activity.has_unread() {
            self.active_at = Instant::now();
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.discard.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(cx))?;
            if !this.activity.has_unread() {
                return Poll::Ready(Ok(()));
            }
            this.activity.set_lingering();
        }
        let active_at = this.active_at;
        let discard = this.discard.get_or_insert_with(|| Discard::new(active_at));
        poll_discard(&mut this.inner, discard, cx).map(Ok)
    }
}

/// Discards bytes until the peer closes the connection or a bound is reached.
fn poll_discard<S>(stream: &mut S, discard: &mut Discard, cx: &mut Context<'_>) -> Poll<()>
where
    S: Read + Unpin,
{
    loop {
        let mut block = [0; BLOCK_BYTES];
        let mut buf = ReadBuf::new(&mut block);
        // An error, like the end, leaves nothing to be read.
        let is_open = match Pin::new(&mut *stream).poll_read(cx, buf.unfilled()) {
            Poll::Ready(read) => read.is_ok() && !buf.filled().is_empty(),
            Poll::Pending => return discard.poll_end(cx),
        };
        if !is_open || !discard.count(buf.filled().len()) {
            return Poll::Ready(());
        }
    }
}
