use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use bay_stream::{ReaderPace, ReaderState};
use bay_time::{BootClock, Clock};
use bay_types::ErrorKind;
use futures_lite::{FutureExt, future};

use super::reply::Reply;
use super::reply_body::DownloadBody;
use super::request::{IncomingRequest, STOP_RETRY_AFTER, serve_request};
use super::request_head::RequestHead;
use super::shell_state::{Phase, ShellState};
use super::transfer::Transfer;
use crate::http1::buffer_gauge::HeldBytes;
use crate::http1::connection::{BUFFER_BYTES, Connection};
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::raw_head::{RawHeadError, poll_raw_head, read_raw_head};
use crate::http1::watchdog::IoTimeout;

/// Maximum number of requests in flight on one connection.
const MAX_PIPELINE: usize = 16;

/// Maximum number of bytes that are read and dropped after the last reply. Closing a connection
/// with unread bytes would reset it, and the caller might lose the reply.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// `Retry-After` of a request that is refused before its body was read.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Divisor of the machine's memory that gives the limit of all buffered bodies and long heads.
pub(crate) const BODY_MEMORY_SHARE: u64 = 4;

/// Interim response that asks a caller to send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Connection of a caller with its pipelined requests.
struct CallerConnection {
    shell: Rc<ShellState>,
    connection: Connection,
    /// Requests in flight, in the order of their replies.
    in_flight: VecDeque<InFlightRequest>,
    /// Request that starts after the replies to all earlier ones are sent.
    deferred: Option<RequestHead>,
    /// Received bytes that were already searched for the end of the next head.
    scanned: usize,
    /// Pace at which downloads were read on this connection.
    pace: ReaderPace,
}

/// Request whose reply has not been sent.
struct InFlightRequest {
    task: Task<Reply>,
    /// Whether other requests may be in flight at the same time.
    may_overlap: bool,
    /// Whether the connection is closed after the reply.
    should_close: bool,
}

/// Next event on a connection with requests in flight.
enum ConnectionEvent {
    /// Reply to the oldest request, and whether to close the connection after it.
    Reply(Reply, bool),
    Head(Vec<u8>),
    HeadError(RawHeadError),
    /// The caller has ended the connection.
    Disconnected,
}

/// Counts a connection as active until it is dropped. The counter is incremented where the guard is
/// created.
struct ActiveGuard(Rc<ShellState>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_connections.set(self.0.active_connections.get() - 1);
    }
}

/// Serves the requests of a caller's connection. Replies are sent in the order of the requests.
pub(crate) async fn serve_caller(shell: Rc<ShellState>, stream: Async<TcpStream>) {
    let connection = Connection::new(stream, &shell.resources);
    let caller = CallerConnection {
        shell,
        connection,
        in_flight: VecDeque::new(),
        deferred: None,
        scanned: 0,
        pace: ReaderPace::default(),
    };
    caller.run().await;
}

impl CallerConnection {
    async fn run(mut self) {
        loop {
            let head = match self.deferred.take() {
                Some(head) => head,
                None => match self.read_first_head().await {
                    Ok(Some(head)) => head,
                    Ok(None) => return,
                    Err(kind) => return self.refuse_and_close(kind).await,
                },
            };
            self.shell.active_connections.set(self.shell.active_connections.get() + 1);
            let guard = ActiveGuard(Rc::clone(&self.shell));
            if let Err(kind) = self.start_request(head).await {
                let Some(kind) = kind else {
                    return;
                };
                return self.refuse_and_close(kind).await;
            }
            while !self.in_flight.is_empty() {
                match self.next_event().await {
                    ConnectionEvent::Reply(reply, close) => {
                        if !self.send_reply(reply, close).await {
                            return;
                        }
                    }
                    ConnectionEvent::Head(head) => {
                        match RequestHead::parse(head, &*self.shell.wire) {
                            Ok(head) if self.can_start(&head) => {
                                match self.start_request(head).await {
                                    Ok(()) => {}
                                    Err(Some(kind)) => self.enqueue_refusal(kind),
                                    Err(None) => return,
                                }
                            }
                            Ok(head) => self.deferred = Some(head),
                            Err(kind) => self.enqueue_refusal(kind),
                        }
                    }
                    ConnectionEvent::HeadError(RawHeadError::TooLarge) => {
                        self.enqueue_refusal(ErrorKind::HeadTooLarge);
                    }
                    ConnectionEvent::HeadError(RawHeadError::NoMemory) => {
                        self.enqueue_refusal(ErrorKind::GateOverloaded);
                    }
                    // Dropping the tasks cancels the requests in flight.
                    ConnectionEvent::HeadError(_) | ConnectionEvent::Disconnected => return,
                }
            }
            drop(guard);
        }
    }

    /// Reads a head while no request is in flight; `None` if the connection ends without one.
    async fn read_first_head(&mut self) -> Result<Option<RequestHead>, ErrorKind> {
        let limits = self.shell.router.borrow().caller_limits();
        if self.connection.buffered().is_empty() {
            self.connection.release_buffer();
            self.connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
            if self.shell.phase.get() == Phase::Closing && self.connection.is_idle() {
                return Ok(None);
            }
            while !matches!(self.connection.fill().await, Ok(1..)) {
                // A request that arrives just as the idle timeout expires is still served.
                if !self.connection.has_timed_out() || self.connection.is_idle() {
                    return Ok(None);
                }
                self.connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
            }
        }
        self.connection.set_timeout(IoTimeout::Total(limits.head_timeout));
        let head = match read_raw_head(&mut self.connection, limits.head_bytes).await {
            Ok(head) => head,
            Err(RawHeadError::TimedOut) => return Err(ErrorKind::SlowCaller),
            Err(RawHeadError::TooLarge) => return Err(ErrorKind::HeadTooLarge),
            Err(RawHeadError::NoMemory) => return Err(ErrorKind::GateOverloaded),
            Err(RawHeadError::Closed | RawHeadError::Truncated) => return Ok(None),
        };
        self.connection.set_timeout(IoTimeout::Unlimited);
        RequestHead::parse(head, &*self.shell.wire).map(Some)
    }

    /// Returns whether a request may start while those in flight have no reply yet.
    fn can_start(&self, head: &RequestHead) -> bool {
        let is_first = self.in_flight.is_empty();
        is_first || (head.may_overlap() && self.in_flight.iter().all(|request| request.may_overlap))
    }

    /// Reads a request's body and spawns the task that serves it.
    ///
    /// # Errors
    /// Returns why the request is refused, or `None` if the caller has disconnected.
    async fn start_request(&mut self, head: RequestHead) -> Result<(), Option<ErrorKind>> {
        let may_overlap = head.may_overlap();
        let should_close = head.info.should_close;
        let long_head = self.track_long_head(&head)?;
        let body = self.read_body(&head).await?;
        let is_behind_others = !self.in_flight.is_empty();
        let caller = ReaderState { pace: self.pace, is_behind_others };
        let incoming = IncomingRequest { head, body, caller };
        let work = serve_request(Rc::clone(&self.shell), incoming);
        let shell = Rc::clone(&self.shell);
        let task = self.shell.executor.spawn(async move {
            let _long_head = long_head;
            AssertUnwindSafe(work).catch_unwind().await.unwrap_or_else(|_| {
                shell.record_panic("request");
                // A server may have run the request.
                Reply::refusal(&*shell.wire, ErrorKind::ConnectionLost, None)
            })
        });
        self.in_flight.push_back(InFlightRequest { task, may_overlap, should_close });
        self.scanned = 0;
        Ok(())
    }

    /// Counts a head that is longer than a connection's buffer as long as its request is in flight.
    ///
    /// # Errors
    /// Returns an error if the buffers of all requests leave no memory for it.
    fn track_long_head(&self, head: &RequestHead) -> Result<Option<HeldBytes>, Option<ErrorKind>> {
        if head.bytes.len() <= BUFFER_BYTES {
            return Ok(None);
        }
        let gauge = &self.shell.resources.buffer_gauge;
        let limit = self.shell.settings.memory_bytes / BODY_MEMORY_SHARE;
        if gauge.held_bytes() + head.bytes.len() as u64 > limit {
            return Err(Some(ErrorKind::GateOverloaded));
        }
        let mut held = gauge.track();
        held.set(head.bytes.len());
        Ok(Some(held))
    }

    /// Reads a request's body within the limits of its length and of all buffers.
    ///
    /// # Errors
    /// Returns why the request is refused, or `None` if the caller has disconnected.
    async fn read_body(&mut self, head: &RequestHead) -> Result<Vec<u8>, Option<ErrorKind>> {
        let framing = head.info.framing;
        if framing == Framing::Empty {
            return Ok(Vec::new());
        }
        let max_bytes = self.shell.router.borrow().caller_limits().body_bytes;
        if framing.len().is_some_and(|len| len > max_bytes) {
            return Err(Some(ErrorKind::BodyTooLarge));
        }
        // A request without a route is refused soon after.
        let max_time = {
            let router = self.shell.router.borrow();
            router.max_time(&head.host, &head.path, head.fields.deadline).unwrap_or_default()
        };
        if !self.shell.may_send(BootClock.now(), max_time, Duration::ZERO) {
            return Err(Some(ErrorKind::NotReady));
        }
        let limit = self.shell.settings.memory_bytes / BODY_MEMORY_SHARE;
        let mut buffered = self.shell.resources.buffer_gauge.track();
        if self.shell.resources.buffer_gauge.held_bytes() + framing.len().unwrap_or(0) > limit {
            return Err(Some(ErrorKind::GateOverloaded));
        }
        if head.info.expects_continue && self.connection.write_all(CONTINUE_RESPONSE).await.is_err()
        {
            return Err(None);
        }
        self.connection.set_timeout(self.shell.limits.body_timeout());
        let shell = Rc::clone(&self.shell);
        let read = async {
            let mut reader = BodyReader::new(framing);
            let mut body = Vec::with_capacity(framing.len().unwrap_or(0) as usize);
            loop {
                let count = poll_fn(|cx| reader.poll_available(&mut self.connection, cx)).await;
                let count = count.map_err(|error| match error {
                    BodyError::Truncated => None,
                    BodyError::TimedOut => Some(ErrorKind::SlowCaller),
                    BodyError::Malformed => Some(ErrorKind::BadRequest),
                })?;
                if count == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&self.connection.buffered()[..count]);
                reader.consume(&mut self.connection, count);
                buffered.set(body.capacity());
                if body.len() as u64 > max_bytes {
                    return Err(Some(ErrorKind::BodyTooLarge));
                }
            }
        };
        let too_late = async {
            shell.wait_until_too_late(max_time).await;
            Err(Some(ErrorKind::NotReady))
        };
        let body = future::or(read, too_late).await?;
        self.connection.set_timeout(IoTimeout::Unlimited);
        Ok(body)
    }

    /// Queues a refusal behind the requests in flight; the connection is closed after it.
    fn enqueue_refusal(&mut self, kind: ErrorKind) {
        let reply = self.refuse(kind);
        let task = self.shell.executor.spawn(async move { reply });
        self.in_flight.push_back(InFlightRequest { task, may_overlap: false, should_close: true });
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        poll_fn(|cx| self.poll_event(cx)).await
    }

    /// Polls for the oldest reply first, then for the next head. While no further request may be
    /// read, it polls for a disconnect instead.
    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        if let Some(front) = self.in_flight.front_mut()
            && let Poll::Ready(reply) = Pin::new(&mut front.task).poll(cx)
        {
            let close = front.should_close;
            self.in_flight.pop_front();
            return Poll::Ready(ConnectionEvent::Reply(reply, close));
        }
        // A stopping router may have to give up what it takes late. Unread requests are sent again.
        let can_read = self.deferred.is_none()
            && self.shell.phase.get() != Phase::Closing
            && self.in_flight.len() < MAX_PIPELINE
            && self.in_flight.iter().all(|request| request.may_overlap && !request.should_close);
        if !can_read {
            return self.connection.poll_closed(cx).map(|()| ConnectionEvent::Disconnected);
        }
        let max_bytes = self.shell.router.borrow().caller_limits().head_bytes;
        match poll_raw_head(&mut self.connection, cx, max_bytes, &mut self.scanned) {
            Poll::Ready(Ok(head)) => {
                self.scanned = 0;
                Poll::Ready(ConnectionEvent::Head(head))
            }
            Poll::Ready(Err(error)) => Poll::Ready(ConnectionEvent::HeadError(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Sends a reply; returns whether the connection stays open.
    async fn send_reply(&mut self, reply: Reply, close: bool) -> bool {
        let is_stopping = self.shell.phase.get() != Phase::Serving;
        let is_last = self.in_flight.is_empty() && self.deferred.is_none();
        let close = close || reply.should_close || (is_stopping && is_last);
        let is_sent = match reply.into_parts(close) {
            (bytes, None) => {
                self.connection.set_timeout(self.shell.limits.body_timeout());
                let written = self.connection.write_all(&bytes).await;
                self.connection.set_timeout(IoTimeout::Unlimited);
                written.is_ok()
            }
            (head, Some(body)) => self.send_download(head, body).await,
        };
        if !is_sent {
            return false;
        }
        if close {
            self.linger().await;
        }
        !close
    }

    /// Sends a download; returns whether the caller got all of it.
    async fn send_download(&mut self, head: Vec<u8>, body: DownloadBody) -> bool {
        let shell = &self.shell;
        let mut transfer = Transfer::new(shell.download_policy, head, body);
        let result = transfer.run(shell, &mut self.connection, &mut self.pace).await;
        if let Err(error) = result {
            shell.counters.add(error.as_str(), 1);
            log::info!(request = transfer.request_id(), reason = error.as_str(),
                sent_bytes = transfer.sent_bytes(); "download not completed");
        }
        result.is_ok()
    }

    /// Counts a refusal, sends it and closes the connection.
    async fn refuse_and_close(mut self, kind: ErrorKind) {
        let reply = self.refuse(kind);
        self.send_reply(reply, true).await;
    }

    /// Counts a refusal and returns its reply, after which the connection is closed.
    fn refuse(&self, kind: ErrorKind) -> Reply {
        self.shell.counters.add(kind.counter(), 1);
        let retry_after = match self.shell.phase.get() {
            Phase::Serving => REFUSED_RETRY_AFTER,
            Phase::Draining | Phase::Closing => STOP_RETRY_AFTER,
        };
        let retry_after = kind.has_retry_after().then_some(retry_after);
        log::info!(error = kind.as_str(); "connection closed after a refusal");
        Reply::refusal(&*self.shell.wire, kind, retry_after)
    }

    /// Keeps the connection until the caller has had time to read the reply.
    async fn linger(&mut self) {
        let timeout = IoTimeout::Total(self.shell.limits.linger_timeout);
        self.connection.linger(timeout, MAX_LINGER_BYTES).await;
    }
}
