use std::future::poll_fn;
use std::sync::Arc;

use crate::http1::buffer_gauge::BufferGauge;
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, BodyReader, Framing};

/// Maximum size of the body of an answer, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Length from which a body is large, in bytes. Smaller ones are read whatever the others take.
const LARGE_BODY: usize = 256 * 1024;

/// Limit on the memory for bodies of answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimit<'a> {
    /// Counts all bytes that share the limit.
    pub(crate) gauge: &'a Arc<BufferGauge>,
    /// Number of bytes from which an answer with a large body is given up.
    pub(crate) max_held_bytes: u64,
}

/// Reason why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The body breaks off, is too slow or malformed.
    Broken(BodyError),
    /// The body is too long, or too long for the memory left.
    TooLong,
}

/// Reads a whole body.
///
/// # Errors
/// Returns an error if the body is malformed, breaks off or is too long. Its sender may never stop
/// sending.
pub(crate) async fn read_body(
    connection: &mut Connection,
    framing: Framing,
    limit: BodyLimit<'_>,
) -> Result<Vec<u8>, ReadError> {
    let declared = framing.len().unwrap_or(0);
    if declared > MAX_BODY as u64 {
        return Err(ReadError::TooLong);
    }
    let mut reader = BodyReader::new(framing);
    let mut body = Vec::with_capacity(declared.min(1 << 16) as usize);
    let mut held = limit.gauge.track();
    loop {
        let count = poll_fn(|cx| reader.poll_available(connection, cx)).await;
        let count = count.map_err(ReadError::Broken)?;
        if count == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&connection.buffered()[..count]);
        reader.consume(connection, count);
        held.set(body.capacity());
        let is_memory_short = limit.gauge.held_bytes() > limit.max_held_bytes;
        if body.len() > MAX_BODY || (body.len() > LARGE_BODY && is_memory_short) {
            return Err(ReadError::TooLong);
        }
    }
}
