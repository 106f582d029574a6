use std::task::{Context, Poll, ready};

use super::connection::Connection;

/// Longest line with a chunk's size and extensions, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Longest trailers, in bytes.
const MAX_TRAILERS: usize = 8 * 1024;

/// Most trailers.
const MAX_TRAILER_COUNT: usize = 32;

/// How a message says where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with its connection; only answers may end so.
    UntilEnd,
}

impl Framing {
    /// The body's length, if the message says it.
    pub(crate) fn len(self) -> Option<u64> {
        match self {
            Framing::Empty => Some(0),
            Framing::Length(len) => Some(len),
            Framing::Chunked | Framing::UntilEnd => None,
        }
    }
}

/// Finds a body's bytes in what a connection brings, and its end.
///
/// The HTTP library's own reader takes a body cut short of its length for a whole one, waits
/// forever for trailers that come in two parts, and reads past the body's end. Chunk heads and
/// trailers are parsed by `httparse`, which the library uses too.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: State,
    received: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length { left: u64 },
    ChunkHead,
    Chunk { left: u64 },
    ChunkEnd,
    Trailers,
    UntilEnd,
    Done,
}

/// Why a body cannot be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection ended or broke first.
    Cut,
    /// The sender was too slow.
    Silent,
    /// The chunks break HTTP.
    Malformed,
}

impl BodyReader {
    /// A reader at the start of a body.
    pub(crate) fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Length { left },
            Framing::Chunked => State::ChunkHead,
            Framing::UntilEnd => State::UntilEnd,
        };
        BodyReader { state, received: 0 }
    }

    /// Whether the body's end was seen.
    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// How many bytes of the body were consumed.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// How many bytes at the start of the connection's unused bytes belong to the body; zero
    /// means that the body is complete.
    pub(crate) fn poll_available(
        &mut self,
        connection: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize, BodyError>> {
        loop {
            if let Some(count) = self.available(connection)? {
                return Poll::Ready(Ok(count));
            }
            match ready!(connection.poll_fill(cx)) {
                Ok(0) if self.state == State::UntilEnd => {
                    self.state = State::Done;
                    return Poll::Ready(Ok(0));
                }
                Ok(0) => return Poll::Ready(Err(BodyError::Cut)),
                Ok(_) => {}
                Err(_) if connection.expired() => return Poll::Ready(Err(BodyError::Silent)),
                Err(_) => return Poll::Ready(Err(BodyError::Cut)),
            }
        }
    }

    /// Marks bytes of the body as used.
    pub(crate) fn consume(&mut self, connection: &mut Connection, count: usize) {
        connection.consume(count);
        self.received += count as u64;
        self.state = match self.state {
            State::Length { left } if left == count as u64 => State::Done,
            State::Length { left } => State::Length { left: left - count as u64 },
            State::Chunk { left } if left == count as u64 => State::ChunkEnd,
            State::Chunk { left } => State::Chunk { left: left - count as u64 },
            state => state,
        };
    }

    /// Like [`BodyReader::poll_available`]; `None` means that more bytes have to come first.
    fn available(&mut self, connection: &mut Connection) -> Result<Option<usize>, BodyError> {
        loop {
            let unused = connection.unused();
            let used = match self.state {
                State::Done => return Ok(Some(0)),
                State::Length { left } | State::Chunk { left } => {
                    let most = usize::try_from(left).unwrap_or(usize::MAX);
                    let count = unused.len().min(most);
                    return Ok((count > 0).then_some(count));
                }
                State::UntilEnd => return Ok((!unused.is_empty()).then_some(unused.len())),
                State::ChunkHead => self.chunk_head(unused)?,
                State::ChunkEnd => self.chunk_end(unused)?,
                State::Trailers => self.trailers(unused)?,
            };
            match used {
                Some(count) => connection.consume(count),
                None => return Ok(None),
            }
        }
    }

    fn chunk_head(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        // The parser takes a line without digits for a last chunk.
        if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(BodyError::Malformed);
        }
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((used, 0))) => {
                self.state = State::Trailers;
                Ok(Some(used))
            }
            Ok(httparse::Status::Complete((used, left))) => {
                self.state = State::Chunk { left };
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_CHUNK_LINE => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }

    fn chunk_end(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        match bytes {
            [b'\r', b'\n', ..] => {
                self.state = State::ChunkHead;
                Ok(Some(2))
            }
            [] | [b'\r'] => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }

    fn trailers(&mut self, bytes: &[u8]) -> Result<Option<usize>, BodyError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_COUNT];
        match httparse::parse_headers(bytes, &mut headers) {
            Ok(httparse::Status::Complete((used, _))) => {
                self.state = State::Done;
                Ok(Some(used))
            }
            Ok(httparse::Status::Partial) if bytes.len() < MAX_TRAILERS => Ok(None),
            _ => Err(BodyError::Malformed),
        }
    }
}
