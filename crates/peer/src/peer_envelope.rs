use bytes::Bytes;
use prost::Message;

use crate::PeerMessage;

/// A message with the id that matches a response to its request.
///
/// ```
/// use arbutuspick_peer::{ConfigHead, PeerEnvelope, PeerMessage};
/// let envelope = PeerEnvelope::notification(PeerMessage::ConfigHead(ConfigHead { revision: 7 }));
/// assert_eq!(PeerEnvelope::from_frame(&envelope.to_frame()).unwrap(), envelope);
/// ```
#[derive(Clone, PartialEq, Message)]
pub struct PeerEnvelope {
    /// Request id, or 0 for a notification.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Message, or `None` if its type is unknown.
    #[prost(oneof = "PeerMessage", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub message: Option<PeerMessage>,
}

impl PeerEnvelope {
    /// Wraps a notification, which has no response.
    pub fn notification(message: PeerMessage) -> Self {
        Self::request(0, message)
    }

    /// Wraps a request or its response.
    pub fn request(request_id: u64, message: PeerMessage) -> Self {
        Self {
            request_id,
            message: Some(message),
        }
    }

    /// Encodes the envelope as the content of a frame.
    pub fn to_frame(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes the content of a frame.
    pub fn from_frame(frame: &[u8]) -> Result<Self, prost::DecodeError> {
        Self::decode(frame)
    }
}
