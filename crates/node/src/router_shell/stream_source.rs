use std::task::{Context, Poll, ready};

use bay_stream::SendQueue;
use bay_types::ErrorKind;

use super::stream_record::StreamRecord;
use crate::gate_shell::{LAST_CHUNK, PooledConnection, append_body};
use crate::http1::framing::{BodyError, BodyReader, Framing};

/// Maximum length of the size line and the line end of a chunk, in bytes.
const CHUNK_OVERHEAD: usize = 20;

/// Server's connection with the unread rest of an answer's body.
#[derive(Debug)]
pub(crate) struct StreamSource {
    pub(crate) pooled: PooledConnection,
    pub(crate) rest: UnreadBody,
    pub(crate) record: StreamRecord,
    /// Whether the connection can be reused after the body.
    pub(crate) is_reusable: bool,
}

/// Unread rest of an answer's body.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    pub(crate) reader: BodyReader,
    pub(crate) framing: Framing,
}

impl UnreadBody {
    /// Returns whether the caller gets the body in chunks.
    pub(crate) fn is_chunked(&self) -> bool {
        self.framing == Framing::Chunked
    }
}

impl StreamSource {
    /// Reads a portion of the body into the queue, framed for the caller; returns whether it was the
    /// last. The last chunk is appended only after the server's own.
    pub(crate) fn poll_portion(
        &mut self,
        cx: &mut Context<'_>,
        queue: &mut SendQueue,
    ) -> Poll<Result<bool, BodyError>> {
        let connection = &mut self.pooled.connection;
        let count = ready!(self.rest.reader.poll_available(connection, cx))?;
        let bytes = &connection.buffered()[..count];
        match (count, self.rest.is_chunked()) {
            (0, true) => queue.append(LAST_CHUNK),
            (_, true) => {
                let mut chunk = Vec::with_capacity(count + CHUNK_OVERHEAD);
                append_body(&mut chunk, bytes, true);
                queue.append(&chunk);
            }
            (_, false) => queue.append(bytes),
        }
        self.rest.reader.consume(connection, count);
        Poll::Ready(Ok(self.rest.reader.is_done()))
    }

    /// Records that the server has sent the whole body, and returns its connection to the pool.
    pub(crate) fn finish(self) {
        let StreamSource { pooled, record, is_reusable, .. } = self;
        if is_reusable && pooled.connection.buffered().is_empty() {
            pooled.return_to_pool();
        }
        record.complete();
    }

    /// Records that the server did not send the whole body, and closes its connection.
    pub(crate) fn fail(self, kind: ErrorKind) {
        self.record.fail(kind);
    }
}
