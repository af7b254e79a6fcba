//! A connection that lets other tasks run while its peer sends without a pause.
//!
//! HTTP heads are parsed as long as data can be read. Nothing else on the
//! thread would run while a peer sends interim responses without end.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Reads in a row that find data before other tasks run.
const MAX_READY_READS: u32 = 16;

/// Connection that yields to other tasks after some reads in a row that found data.
pub(super) struct FairReads<S> {
    inner: S,
    ready_reads: u32,
}

impl<S> FairReads<S> {
    /// Wraps a connection.
    pub(super) fn new(inner: S) -> Self {
        Self {
            inner,
            ready_reads: 0,
        }
    }
}

impl<S> Read for FairReads<S>
where
    S: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        match read.is_ready() {
            true => self.ready_reads += 1,
            false => self.ready_reads = 0,
        }
        read
    }
}

impl<S> Write for FairReads<S>
where
    S: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
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
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}
