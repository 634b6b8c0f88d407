use std::future::poll_fn;
use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::ConnectionLease;

/// Reads a frame with a 4-byte length prefix; its memory is reserved before it is read.
///
/// Returns `None` if there is no room for the frame; the rest of it is not read. Fails if the frame is longer than
/// `max_bytes`.
pub async fn read_frame<R>(
    reader: &mut R,
    lease: &ConnectionLease,
    max_bytes: usize,
) -> io::Result<Option<Bytes>>
where
    R: AsyncRead + Unpin,
{
    let mut turn_waiter = lease.turn_waiter();
    poll_fn(|context| turn_waiter.poll_turn(context)).await;
    let length = reader.read_u32().await? as usize;
    if length > max_bytes {
        let message = format!("the frame has {length} bytes, the limit is {max_bytes}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    if !lease.reserve(length) {
        return Ok(None);
    }
    let mut frame = BytesMut::new();
    let mut rest = reader.take(length as u64);
    while frame.len() < length {
        let received = rest.read_buf(&mut frame).await?;
        if received == 0 || !lease.receive(received) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(lease.run().then(|| frame.freeze()))
}
