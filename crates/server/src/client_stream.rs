use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::ConnectionLease;
use crate::head_watch::LineCounter;

/// A TCP connection whose progress is recorded in the ledger of its listener.
///
/// Once a head turns out to have many headers, its bytes are held back until [`Self::put_back`] is called.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    lease: Arc<ConnectionLease>,
    /// Whether bytes were written since the last flush.
    has_written: bool,
    line_counter: LineCounter,
    /// Bytes that were received and are read next.
    received: Bytes,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, lease: Arc<ConnectionLease>) -> Self {
        Self {
            stream,
            lease,
            has_written: false,
            line_counter: LineCounter::default(),
            received: Bytes::new(),
        }
    }

    /// Puts bytes that were read before those that are held back.
    pub(crate) fn put_back(&mut self, bytes: &[u8]) {
        self.received = [bytes, &self.received].concat().into();
    }

    /// Counts the lines of heads; returns true once, if one has many.
    fn finds_many_headers(&mut self, bytes: &[u8]) -> bool {
        let head_watch = self.lease.head_watch();
        let is_head = head_watch.expects_head() && !head_watch.has_many_headers();
        if is_head && self.line_counter.count(bytes) {
            head_watch.set_many_headers();
            return true;
        }
        false
    }

    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = result {
            self.has_written = true;
            self.lease.send();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.received.has_remaining() {
            let length = self.received.len().min(buffer.remaining());
            buffer.put_slice(&self.received.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - filled;
        if received > 0 && !self.lease.receive(received) {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "no room for the request",
            )));
        }
        if self.finds_many_headers(&buffer.filled()[filled..]) {
            self.received = Bytes::copy_from_slice(&buffer.filled()[filled..]);
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once nothing is left to write.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.has_written) {
            self.line_counter = LineCounter::default();
            self.lease.finish();
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
