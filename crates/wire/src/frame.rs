use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of a frame's head, its length as a little-endian number.
pub const FRAME_HEADER_BYTES: usize = 4;

/// Longest frame without its head, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Longest message, in bytes; it leaves room in a frame for a seal.
pub const MAX_MESSAGE_BYTES: usize = MAX_FRAME_BYTES - 128;

/// Why bytes are not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is longer than it may be.
    TooLong,
    /// The bytes do not decode as a whole message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::TooLong => "expected a shorter frame; a whole message has at most 4 MiB",
            FrameError::Malformed => "expected one whole message; peers must run the same version",
        })
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message.
///
/// # Errors
/// Returns an error if the message is longer than [`MAX_MESSAGE_BYTES`].
pub fn encode<T>(message: &T) -> Result<Vec<u8>, FrameError>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(message).map_err(|_| FrameError::Malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message that fills the bytes.
///
/// # Errors
/// Returns an error if the bytes are not one whole message.
pub fn decode<T>(bytes: &[u8]) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// Reads a frame's length from its head.
///
/// # Errors
/// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
pub fn frame_len(head: [u8; FRAME_HEADER_BYTES]) -> Result<usize, FrameError> {
    frame_len_within(head, MAX_FRAME_BYTES)
}

/// Reads a frame's length from its head, where the frame may have at most this many bytes.
///
/// # Errors
/// Returns an error if the frame is longer.
pub fn frame_len_within(head: [u8; FRAME_HEADER_BYTES], limit: usize) -> Result<usize, FrameError> {
    let len = u32::from_le_bytes(head) as usize;
    if len > limit {
        return Err(FrameError::TooLong);
    }
    Ok(len)
}
