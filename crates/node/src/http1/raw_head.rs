use std::future::poll_fn;
use std::task::{Context, Poll, ready};

use super::connection::Connection;

/// Line break and empty line that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reason why a head could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RawHeadError {
    /// The connection closed or broke before the first byte.
    Closed,
    /// The connection closed or broke within the head.
    Truncated,
    /// The peer was too slow.
    TimedOut,
    /// The head is longer than `max_bytes`.
    TooLarge,
    /// The buffers of all connections leave no memory for the rest of the head.
    NoMemory,
}

/// Reads and consumes a head, including the empty line at its end.
///
/// # Errors
/// Returns an error if no complete head of at most `max_bytes` arrives before the timeout.
pub(crate) async fn read_raw_head(
    connection: &mut Connection,
    max_bytes: usize,
) -> Result<Vec<u8>, RawHeadError> {
    let mut searched = 0;
    poll_fn(|cx| poll_raw_head(connection, cx, max_bytes, &mut searched)).await
}

/// Polls for a head like [`read_raw_head`]. `searched` is the number of buffered bytes that were
/// already searched for its end: zero before the first poll, and kept between polls.
pub(crate) fn poll_raw_head(
    connection: &mut Connection,
    cx: &mut Context<'_>,
    max_bytes: usize,
    searched: &mut usize,
) -> Poll<Result<Vec<u8>, RawHeadError>> {
    loop {
        let buffered = connection.buffered();
        let from = searched.saturating_sub(HEAD_END.len() - 1);
        if let Some(at) = find_sequence(&buffered[from..], HEAD_END) {
            let len = from + at + HEAD_END.len();
            if len > max_bytes {
                return Poll::Ready(Err(RawHeadError::TooLarge));
            }
            let head = buffered[..len].to_vec();
            connection.consume(len);
            return Poll::Ready(Ok(head));
        }
        *searched = buffered.len();
        if buffered.len() >= max_bytes {
            return Poll::Ready(Err(RawHeadError::TooLarge));
        }
        let has_started = !buffered.is_empty();
        if !connection.make_room(max_bytes) {
            return Poll::Ready(Err(RawHeadError::NoMemory));
        }
        match ready!(connection.poll_fill(cx)) {
            Ok(0) if !has_started => return Poll::Ready(Err(RawHeadError::Closed)),
            Ok(0) => return Poll::Ready(Err(RawHeadError::Truncated)),
            Ok(_) => {}
            Err(_) if connection.has_timed_out() => {
                return Poll::Ready(Err(RawHeadError::TimedOut));
            }
            Err(_) if !has_started => return Poll::Ready(Err(RawHeadError::Closed)),
            Err(_) => return Poll::Ready(Err(RawHeadError::Truncated)),
        }
    }
}

fn find_sequence(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
