use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use tokio::time::{Instant, Sleep};

use crate::ConnectionLease;

/// Memory of a request per byte of its body: the body itself and the values decoded from it.
const BYTES_PER_BODY_BYTE: usize = 2;
/// First reservation for a body of unknown length, in bytes; it is doubled as often as needed.
const FIRST_RESERVATION_BYTES: usize = 4 * 1024;
/// Time in which a body must have arrived, in seconds; the limits allow 256 KB, which needs less than 10 kB/s.
const BODY_TIMEOUT_S: u64 = 60;

/// Why a body was not read. The request was not processed in any of these cases.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[snafu(display("the body has more than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The requests of clients take too much memory.
    #[snafu(display("there is no room for the body now"))]
    Overloaded,
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {BODY_TIMEOUT_S} s"))]
    TooSlow,
    /// The connection failed, or the framing is invalid.
    #[snafu(display("the body did not arrive whole: {source}"), context(false))]
    Incomplete {
        /// Error of the connection.
        source: hyper::Error,
    },
}

/// The body of a request. It is collected in one buffer, whose memory is reserved before bytes are read.
#[derive(Debug)]
pub struct ClientBody {
    incoming: Incoming,
    lease: Arc<ConnectionLease>,
    /// Maximum size in bytes.
    limit: usize,
    /// Size for which memory is reserved, in bytes.
    reserved: usize,
    buffer: BytesMut,
    has_begun: bool,
    has_ended: bool,
    /// Set when the body is first waited for.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl ClientBody {
    pub(crate) fn new(incoming: Incoming, lease: Arc<ConnectionLease>) -> Self {
        Self {
            has_ended: incoming.is_end_stream(),
            incoming,
            lease,
            limit: usize::MAX,
            reserved: 0,
            buffer: BytesMut::new(),
            has_begun: false,
            deadline: None,
        }
    }

    /// Sets the maximum size in bytes.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Returns the connection on which the request arrived.
    pub fn connection(&self) -> &Arc<ConnectionLease> {
        &self.lease
    }

    /// Reads the whole body.
    pub async fn read(mut self) -> Result<Bytes, BodyError> {
        if self.has_ended {
            return Ok(Bytes::new());
        }
        poll_fn(|context| self.poll_whole(context)).await
    }

    fn poll_whole(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, BodyError>> {
        if !self.has_begun {
            self.begin()?;
        }
        loop {
            let frame = match Pin::new(&mut self.incoming).poll_frame(context) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return self.poll_deadline(context),
            };
            let Some(frame) = frame else {
                self.has_ended = true;
                self.lease.head_watch().end_body();
                // The connection may have been chosen to be closed just before the last bytes arrived.
                let body = std::mem::take(&mut self.buffer).freeze();
                return Poll::Ready(if self.lease.run() {
                    Ok(body)
                } else {
                    Err(BodyError::Overloaded)
                });
            };
            // Trailers are ignored.
            if let Ok(data) = frame?.into_data() {
                self.reserve(self.buffer.len() + data.len())?;
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Reserves memory for the whole body if its length is known, so that it is refused before it is read.
    fn begin(&mut self) -> Result<(), BodyError> {
        self.has_begun = true;
        let declared = self.incoming.size_hint().exact();
        match declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX)) {
            Some(length) => self.reserve(length),
            None => self.reserve(FIRST_RESERVATION_BYTES.min(self.limit)),
        }
    }

    fn reserve(&mut self, size: usize) -> Result<(), BodyError> {
        if size > self.limit {
            return Err(BodyError::TooLarge { limit: self.limit });
        }
        if size > self.reserved {
            let target = if self.reserved == 0 {
                size
            } else {
                size.max(self.reserved * 2).min(self.limit)
            };
            let additional = (target - self.reserved).saturating_mul(BYTES_PER_BODY_BYTE);
            if !self.lease.reserve(additional) {
                return Err(BodyError::Overloaded);
            }
            self.reserved = target;
        }
        Ok(())
    }

    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<Result<Bytes, BodyError>> {
        let deadline = self.deadline.get_or_insert_with(|| {
            let deadline = Instant::now() + Duration::from_secs(BODY_TIMEOUT_S);
            Box::pin(tokio::time::sleep_until(deadline))
        });
        ready!(deadline.as_mut().poll(context));
        Poll::Ready(Err(BodyError::TooSlow))
    }
}

/// Yields the whole body as one frame.
impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let whole = ready!(self.poll_whole(context));
        self.has_ended = true;
        Poll::Ready(Some(whole.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
