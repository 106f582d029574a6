use std::future::poll_fn;
use std::task::{Context, Poll, ready};

use super::connection::Connection;

/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why no head could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RawHeadError {
    /// The connection ended before the first byte.
    Ended,
    /// The connection ended or broke within the head.
    Cut,
    /// The peer was too slow.
    Silent,
    /// The head is longer than allowed.
    TooLarge,
}

/// Reads a head, including the empty line at its end.
///
/// # Errors
/// Returns an error if no whole head comes in time.
pub(crate) async fn read_raw_head(
    connection: &mut Connection,
    most: usize,
) -> Result<Vec<u8>, RawHeadError> {
    let mut searched = 0;
    poll_fn(|cx| poll_raw_head(connection, cx, most, &mut searched)).await
}

/// Like [`read_raw_head`]; `searched` is zero at the start and kept between polls.
pub(crate) fn poll_raw_head(
    connection: &mut Connection,
    cx: &mut Context<'_>,
    most: usize,
    searched: &mut usize,
) -> Poll<Result<Vec<u8>, RawHeadError>> {
    loop {
        let unused = connection.unused();
        let from = searched.saturating_sub(HEAD_END.len() - 1);
        if let Some(at) = find(&unused[from..], HEAD_END) {
            let len = from + at + HEAD_END.len();
            if len > most {
                return Poll::Ready(Err(RawHeadError::TooLarge));
            }
            let head = unused[..len].to_vec();
            connection.consume(len);
            return Poll::Ready(Ok(head));
        }
        *searched = unused.len();
        if unused.len() >= most {
            return Poll::Ready(Err(RawHeadError::TooLarge));
        }
        let begun = !unused.is_empty();
        match ready!(connection.poll_fill(cx)) {
            Ok(0) if !begun => return Poll::Ready(Err(RawHeadError::Ended)),
            Ok(0) => return Poll::Ready(Err(RawHeadError::Cut)),
            Ok(_) => {}
            Err(_) if connection.expired() => return Poll::Ready(Err(RawHeadError::Silent)),
            Err(_) if !begun => return Poll::Ready(Err(RawHeadError::Ended)),
            Err(_) => return Poll::Ready(Err(RawHeadError::Cut)),
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
