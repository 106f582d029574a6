use std::future::poll_fn;

use bay_stream::{AnswerSize, Delivery, ReaderState};
use bay_types::ErrorKind;

use super::attempt::body_error;
use super::held_body::HeldBody;
use super::shell_state::ShellState;
use super::stream_source::UnreadBody;
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyReader, Framing};

/// Reads the body of a download, or its first portion if it is streamed. Returns the rest in that
/// case.
///
/// `may_stream` says whether the head may be passed on before the body is complete.
///
/// # Errors
/// Returns an error if the body is malformed, breaks off, or is too long for the memory left.
pub(crate) async fn read_download(
    shell: &ShellState,
    connection: &mut Connection,
    framing: Framing,
    request_id: String,
    may_stream: bool,
    caller: ReaderState,
) -> Result<(HeldBody, Option<UnreadBody>), ErrorKind> {
    let size = match framing {
        Framing::Empty => AnswerSize::Declared(0),
        Framing::Length(length) => AnswerSize::Declared(length),
        Framing::Chunked => AnswerSize::Chunked,
        Framing::UntilClose => AnswerSize::UntilClose,
    };
    let mut reader = BodyReader::new(framing);
    let mut body = HeldBody::new(shell, request_id);
    loop {
        let count = poll_fn(|cx| reader.poll_available(connection, cx)).await;
        let count = count.map_err(body_error)?;
        if count == 0 {
            return Ok((body, None));
        }
        body.queue.append(&connection.buffered()[..count]);
        reader.consume(connection, count);
        body.update_gauge();
        let received = body.queue.held_bytes();
        match shell.download_policy.decide(size, received, may_stream, caller, &mut body.share) {
            Delivery::Whole => {}
            Delivery::Streamed if reader.is_done() => return Ok((body, None)),
            Delivery::Streamed => {
                shell.counters.add("download.streamed", 1);
                let rest = UnreadBody { reader, framing };
                if rest.is_chunked() {
                    body.frame_as_chunk();
                }
                return Ok((body, Some(rest)));
            }
            Delivery::Refused => {
                shell.counters.add("answer.too-long", 1);
                return Err(ErrorKind::BadAnswer);
            }
        }
    }
}
