use bytes::Bytes;
use prost::Message;

use crate::PeerMessage;

/// One message with the number that joins a request and its answer.
///
/// ```
/// use arbutuspick_peer::{ConfigHead, PeerEnvelope, PeerMessage};
/// let envelope = PeerEnvelope::hint(PeerMessage::ConfigHead(ConfigHead { revision: 7 }));
/// assert_eq!(PeerEnvelope::from_frame(&envelope.to_frame()).unwrap(), envelope);
/// ```
#[derive(Clone, PartialEq, Message)]
pub struct PeerEnvelope {
    /// Number of the request, 0 for a hint.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Content.
    #[prost(oneof = "PeerMessage", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub message: Option<PeerMessage>,
}

impl PeerEnvelope {
    /// Wraps a message that expects no answer.
    pub fn hint(message: PeerMessage) -> Self {
        Self::request(0, message)
    }

    /// Wraps a request or its answer.
    pub fn request(number: u64, message: PeerMessage) -> Self {
        Self {
            request: number,
            message: Some(message),
        }
    }

    /// Returns the bytes of the frame.
    pub fn to_frame(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Reads the bytes of a frame.
    pub fn from_frame(frame: &[u8]) -> Result<Self, prost::DecodeError> {
        Self::decode(frame)
    }
}
