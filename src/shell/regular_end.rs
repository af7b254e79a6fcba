//! A connection whose reads end regularly only if nothing has gone wrong with it.
//!
//! The system reports a reset, or a peer that has fallen silent, to one call of
//! the socket. If that is a write, the reads after it see a regular end. A
//! response that comes while its request is still being written, and whose body
//! ends with the connection, would then pass for complete.

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Bytes that are read at once.
const BLOCK_BYTES: usize = 16 << 10;

/// Connection whose reads fail, instead of ending, once a write has failed.
pub(super) struct RegularEnd<S> {
    inner: S,
    has_failed: bool,
}

impl<S> RegularEnd<S> {
    /// Wraps a connection.
    pub(super) fn new(inner: S) -> Self {
        Self {
            inner,
            has_failed: false,
        }
    }

    /// Notes whether a write has failed, and returns its outcome.
    fn note<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.has_failed |= matches!(written, Poll::Ready(Err(_)));
        written
    }
}

impl<S> RegularEnd<S>
where
    S: Write + Unpin,
{
    /// Checks the end of the connection.
    ///
    /// A write may have failed that nobody has asked for since.
    fn check_end(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if !self.has_failed
            && let Poll::Ready(flushed) = Pin::new(&mut *self).poll_flush(cx)
        {
            return flushed;
        }
        match self.has_failed {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

impl<S> Read for RegularEnd<S>
where
    S: Read + Write + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buf.remaining().min(BLOCK_BYTES);
        let mut block = [MaybeUninit::uninit(); BLOCK_BYTES];
        let mut block = ReadBuf::uninit(&mut block[..length]);
        ready!(Pin::new(&mut self.inner).poll_read(cx, block.unfilled()))?;
        let bytes = block.filled();
        if bytes.is_empty() && length > 0 {
            return Poll::Ready(self.check_end(cx));
        }
        buf.put_slice(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S> Write for RegularEnd<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        self.note(flushed)
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
        self.note(written)
    }
}
