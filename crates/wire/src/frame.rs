use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length of a frame's header, in bytes. The header is the length of the rest of the frame as a
/// little-endian number.
pub const FRAME_HEADER_BYTES: usize = 4;

/// Maximum length of a frame without its header, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Maximum length of an encoded message, in bytes. The rest of a frame is reserved for the
/// authentication code.
pub const MAX_MESSAGE_BYTES: usize = MAX_FRAME_BYTES - 128;

/// The reason why a message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The frame or message exceeds its maximum length.
    TooLong,
    /// The bytes don't decode as exactly one message.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameError::TooLong => "the frame or message exceeds its maximum length",
            FrameError::Malformed => {
                "expected exactly one message; peers must run the same version"
            }
        })
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message, without a frame header.
///
/// # Errors
/// Returns an error if the message is longer than [`MAX_MESSAGE_BYTES`] or `postcard` can't encode
/// it.
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

/// Decodes a message, which must span all of the bytes.
///
/// # Errors
/// Returns an error if the bytes aren't exactly one message of this type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// Parses a frame's length from its header.
///
/// # Errors
/// Returns an error if the frame is longer than [`MAX_FRAME_BYTES`].
pub fn frame_len(header: [u8; FRAME_HEADER_BYTES]) -> Result<usize, FrameError> {
    frame_len_within(header, MAX_FRAME_BYTES)
}

/// Parses a frame's length from its header and checks it against a limit in bytes.
///
/// # Errors
/// Returns an error if the frame is longer than the limit.
pub fn frame_len_within(
    header: [u8; FRAME_HEADER_BYTES],
    limit: usize,
) -> Result<usize, FrameError> {
    let len = u32::from_le_bytes(header) as usize;
    if len > limit {
        return Err(FrameError::TooLong);
    }
    Ok(len)
}
