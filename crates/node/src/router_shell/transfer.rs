use std::future::poll_fn;
use std::task::{Context, Poll};

use async_io::Timer;
use bay_stream::{DeliveryPolicy, Party, ReaderPace, TransferWatch};
use bay_time::{BootClock, Clock};
use bay_types::ErrorKind;
use futures_lite::future;

use super::held_body::HeldBody;
use super::reply_body::DownloadBody;
use super::shell_state::ShellState;
use super::stream_source::StreamSource;
use crate::http1::connection::Connection;

/// Number of portions after which a transfer lets other tasks run.
const PORTIONS_PER_TURN: usize = 8;

/// Bytes of a download from which the system takes no more unsent ones. Its buffers would grow to
/// megabytes for each reader otherwise, outside the budget, and hide for long whether it reads.
const SYSTEM_UNSENT_BYTES: u32 = 16 * 1024;

/// Transfer of a download to its caller.
#[derive(Debug)]
pub(crate) struct Transfer {
    held: HeldBody,
    /// The rest of the body; `None` once it is held completely.
    source: Option<Box<StreamSource>>,
    policy: DeliveryPolicy,
    watch: TransferWatch,
    sent_bytes: u64,
}

/// Reason why a download did not reach its caller completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransferError {
    /// The caller has closed its connection.
    ReaderGone,
    /// The caller read nothing for [`TransferWatch::READER_TIMEOUT`].
    ReaderStalled,
    /// The server did not send the whole body.
    AnswerCut,
    /// A planned stop ended before the body.
    Stopped,
}

impl TransferError {
    /// Returns the name of the counter, which also names the reason in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            TransferError::ReaderGone => "download.reader-gone",
            TransferError::ReaderStalled => "download.reader-stalled",
            TransferError::AnswerCut => "download.answer-cut",
            TransferError::Stopped => "download.stopped",
        }
    }
}

impl Transfer {
    /// Creates a transfer of a head and the body that follows it.
    pub(crate) fn new(policy: DeliveryPolicy, head: Vec<u8>, body: DownloadBody) -> Transfer {
        let DownloadBody { mut held, source } = body;
        held.queue.prepend(head);
        held.update_share();
        let watch = TransferWatch::new(BootClock.now());
        Transfer { held, source, policy, watch, sent_bytes: 0 }
    }

    /// Returns the identifier of the request, empty without one.
    pub(crate) fn request_id(&self) -> &str {
        &self.held.request_id
    }

    /// Returns how many bytes were sent, the head included.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Sends everything and updates the caller's pace.
    ///
    /// # Errors
    /// Returns an error if the caller did not get the whole body. Its connection must then be closed.
    pub(crate) async fn run(
        &mut self,
        shell: &ShellState,
        caller: &mut Connection,
        pace: &mut ReaderPace,
    ) -> Result<(), TransferError> {
        caller.limit_unsent_bytes(SYSTEM_UNSENT_BYTES);
        loop {
            let wait = self.watch.next_check(BootClock.now());
            let is_cut_at_stop = self.source.is_some();
            let pause = async {
                let timer = async {
                    Timer::after(wait).await;
                };
                match is_cut_at_stop {
                    true => future::or(timer, shell.cutoff.wait()).await,
                    false => timer.await,
                }
                None
            };
            let transferred = poll_fn(|cx| self.poll_transfer(caller, cx));
            if let Some(result) = future::or(async { Some(transferred.await) }, pause).await {
                result?;
                pace.record_sent(self.sent_bytes, self.watch.reader_wait());
                return Ok(());
            }
            if self.source.is_some() && shell.cutoff.is_raised() {
                return Err(TransferError::Stopped);
            }
            match self.watch.timed_out(BootClock.now()) {
                Some(Party::Reader) => return Err(TransferError::ReaderStalled),
                Some(Party::Server) => return Err(self.fail_source()),
                None => {}
            }
        }
    }

    /// Moves bytes from the server to the queue and from there to the caller until both wait.
    fn poll_transfer(
        &mut self,
        caller: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), TransferError>> {
        for _ in 0..PORTIONS_PER_TURN {
            let has_sent = self.poll_send(caller, cx)?;
            let has_received = self.poll_receive(cx)?;
            let is_sent = self.held.queue.is_empty();
            if is_sent && self.source.is_none() {
                return Poll::Ready(Ok(()));
            }
            let waits_for = if is_sent { Party::Server } else { Party::Reader };
            self.watch.update(BootClock.now(), waits_for, false);
            if has_sent || has_received {
                continue;
            }
            if is_sent && caller.poll_closed(cx).is_ready() {
                return Poll::Ready(Err(TransferError::ReaderGone));
            }
            return Poll::Pending;
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Sends a portion of the queue; returns whether the caller took any of it.
    fn poll_send(
        &mut self,
        caller: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Result<bool, TransferError> {
        let bytes = self.held.queue.front();
        if bytes.is_empty() {
            return Ok(false);
        }
        match caller.poll_write(cx, bytes) {
            Poll::Ready(Ok(count)) => {
                self.held.queue.consume(count);
                self.held.update_share();
                self.sent_bytes += count as u64;
                self.watch.update(BootClock.now(), Party::Reader, true);
                Ok(true)
            }
            Poll::Ready(Err(_)) => Err(TransferError::ReaderGone),
            Poll::Pending => Ok(false),
        }
    }

    /// Reads a portion from the server if the policy allows; returns whether anything has arrived.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Result<bool, TransferError> {
        let Some(source) = &mut self.source else {
            return Ok(false);
        };
        let HeldBody { queue, share, .. } = &mut self.held;
        let is_stalled = self.watch.is_reader_stalled(BootClock.now());
        if !self.policy.may_read(queue, is_stalled, share) {
            return Ok(false);
        }
        let polled = source.poll_portion(cx, queue);
        self.held.update_share();
        match polled {
            Poll::Ready(Ok(is_last)) => {
                if let Some(source) = self.source.take_if(|_| is_last) {
                    source.finish();
                }
                Ok(true)
            }
            Poll::Ready(Err(_)) => Err(self.fail_source()),
            Poll::Pending => Ok(false),
        }
    }

    fn fail_source(&mut self) -> TransferError {
        if let Some(source) = self.source.take() {
            source.fail(ErrorKind::AnswerCut);
        }
        TransferError::AnswerCut
    }
}
