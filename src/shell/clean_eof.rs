//! A connection that reports a clean end of file (EOF) only if no write has failed.
//!
//! The kernel reports a reset, or the timeout of a silent peer, to one call on the
//! socket. If that call is a write, later reads return EOF as if the peer had
//! closed its half. A response that comes while its request is still being
//! written, and whose body ends with the connection, would then look complete.

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Bytes that are read at once.
const BLOCK_BYTES: usize = 16 << 10;

/// Connection whose reads fail, instead of returning EOF, once a write has failed.
pub(super) struct CleanEof<S> {
    inner: S,
    write_failed: bool,
}

impl<S> CleanEof<S> {
    /// Wraps a connection.
    pub(super) fn new(inner: S) -> Self {
        Self {
            inner,
            write_failed: false,
        }
    }

    /// Records whether a write has failed, and returns its outcome.
    fn record<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.write_failed |= matches!(written, Poll::Ready(Err(_)));
        written
    }
}

impl<S> CleanEof<S>
where
    S: Write + Unpin,
{
    /// Fails if a write has failed, also one whose outcome has not been polled since.
    fn check_writes(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if !self.write_failed
            && let Poll::Ready(flushed) = Pin::new(&mut *self).poll_flush(cx)
        {
            return flushed;
        }
        match self.write_failed {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

impl<S> Read for CleanEof<S>
where
    S: Read + Write + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(BLOCK_BYTES);
        let mut storage = [MaybeUninit::uninit(); BLOCK_BYTES];
        let mut block = ReadBuf::uninit(&mut storage[..length]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, block.unfilled()))?;
        let bytes = block.filled();
        let is_eof = bytes.is_empty() && length > 0;
        if is_eof {
            return Poll::Ready(self.check_writes(cx));
        }
        buf.put_slice(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S> Write for CleanEof<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        self.record(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record(written)
    }
}
