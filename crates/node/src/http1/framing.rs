use std::task::{Context, Poll, ready};

use super::connection::Connection;

/// Maximum length of a chunk's size line with extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum length of all trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Maximum number of trailers.
const MAX_TRAILER_COUNT: usize = 32;

/// How the end of a message's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body has chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes; only valid for responses.
    UntilClose,
}

impl Framing {
    /// Returns the body's length, unless it is only known at its end.
    pub(crate) fn len(self) -> Option<u64> {
        match self {
            Framing::Empty => Some(0),
            Framing::Length(len) => Some(len),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }
}

/// Decodes a body from the bytes of a connection and finds its end.
///
/// The HTTP library's own reader accepts a body that is shorter than its declared length, waits
/// forever for trailers that arrive in two parts, and reads past the body's end. Chunk heads and
/// trailers are parsed by `httparse`, which the library uses too.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: ReadState,
    consumed_bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    Length { remaining: u64 },
    ChunkHead,
    Chunk { remaining: u64 },
    ChunkEnd,
    Trailers,
    UntilClose,
    Done,
}

/// Reason why a body cannot be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection closed or broke before the end of the body.
    Truncated,
    /// The sender was too slow.
    TimedOut,
    /// A chunk or trailer is malformed.
    Malformed,
}

impl BodyReader {
    /// Creates a reader at the start of a body.
    pub(crate) fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => ReadState::Done,
            Framing::Length(remaining) => ReadState::Length { remaining },
            Framing::Chunked => ReadState::ChunkHead,
            Framing::UntilClose => ReadState::UntilClose,
        };
        BodyReader { state, consumed_bytes: 0 }
    }

    /// Returns whether the end of the body was reached.
    pub(crate) fn is_done(&self) -> bool {
        self.state == ReadState::Done
    }

    /// Returns how many bytes of the body were consumed.
    pub(crate) fn consumed_bytes(&self) -> u64 {
        self.consumed_bytes
    }

    /// Returns how many bytes at the start of the connection's buffer belong to the body, reading
    /// more if there are none. Zero means that the body is complete.
    pub(crate) fn poll_available(
        &mut self,
        connection: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize, BodyError>> {
        loop {
            if let Some(count) = self.buffered_count(connection)? {
                return Poll::Ready(Ok(count));
            }
            match ready!(connection.poll_fill(cx)) {
                Ok(0) if self.state == ReadState::UntilClose => {
                    self.state = ReadState::Done;
                    return Poll::Ready(Ok(0));
                }
                Ok(0) => return Poll::Ready(Err(BodyError::Truncated)),
                Ok(_) => {}
                Err(_) if connection.has_timed_out() => {
                    return Poll::Ready(Err(BodyError::TimedOut));
                }
                Err(_) => return Poll::Ready(Err(BodyError::Truncated)),
            }
        }
    }

    /// Consumes `count` bytes of the body.
    pub(crate) fn consume(&mut self, connection: &mut Connection, count: usize) {
        connection.consume(count);
        self.consumed_bytes += count as u64;
        self.state = match self.state {
            ReadState::Length { remaining } if remaining == count as u64 => ReadState::Done,
            ReadState::Length { remaining } => {
                ReadState::Length { remaining: remaining - count as u64 }
            }
            ReadState::Chunk { remaining } if remaining == count as u64 => ReadState::ChunkEnd,
            ReadState::Chunk { remaining } => {
                ReadState::Chunk { remaining: remaining - count as u64 }
            }
            state => state,
        };
    }

    /// Like [`BodyReader::poll_available`] without reading; `None` means that more bytes are
    /// needed.
    fn buffered_count(&mut self, connection: &mut Connection) -> Result<Option<usize>, BodyError> {
        loop {
            let buffered = connection.buffered();
            let used = match self.state {
                ReadState::Done => return Ok(Some(0)),
                ReadState::Length { remaining } | ReadState::Chunk { remaining } => {
                    let max_count = usize::try_from(remaining).unwrap_or(usize::MAX);
                    let count = buffered.len().min(max_count);
                    return Ok((count > 0).then_some(count));
                }
                ReadState::UntilClose => {
                    return Ok((!buffered.is_empty()).then_some(buffered.len()));
                }
                ReadState::ChunkHead => self.parse_chunk_head(buffered)?,
                ReadState::ChunkEnd => self.parse_chunk_end(buffered)?,
                ReadState::Trailers => self.parse_trailers(buffered)?,
            };
            match used {
                Some(count) => connection.consume(count),
                None => return Ok(None),
            }
        }
    }

    fn parse_chunk_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        // The parser accepts a line without digits as the last chunk.
        if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError::Malformed);
        }
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((used, 0))) => {
                self.state = ReadState::Trailers;
                Ok(Some(used))
            }
            Ok(httparse::Status::Complete((used, remaining))) => {
                self.state = ReadState::Chunk { remaining };
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE_BYTES => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }

    fn parse_chunk_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        match bytes {
            [b'\r', b'\n', ..] => {
                self.state = ReadState::ChunkHead;
                Ok(Some(2))
            }
            [] | [b'\r'] => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }

    fn parse_trailers(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_COUNT];
        match httparse::parse_headers(bytes, &mut headers) {
            Ok(httparse::Status::Complete((used, _))) => {
                self.state = ReadState::Done;
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_TRAILER_BYTES => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }
}
