use tokio_util::codec::LengthDelimitedCodec;

/// Maximum frame length in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Creates the codec for the frames between entry VMs.
///
/// ```
/// assert_eq!(arbutuspick_peer::frame_codec().max_frame_length(), 4 << 20);
/// ```
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(4)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
