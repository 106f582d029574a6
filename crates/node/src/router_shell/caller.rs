use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_executor::Task;
use async_io::Async;
use bay_types::ErrorKind;

use super::reply::Reply;
use super::request::{IncomingRequest, serve_request};
use super::request_head::RequestHead;
use super::shell_state::{Phase, ShellState};
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::raw_head::{RawHeadError, poll_raw_head, read_raw_head};
use crate::http1::watchdog::ReadTimeout;

/// Most requests of one connection that are under way at once.
const MAX_PIPELINE: usize = 16;

/// Most bytes that are read from a caller after a refusal, so that it gets to read it.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Share of the machine's memory that bodies may take.
const BODY_MEMORY_SHARE: u64 = 4;

/// Tells a caller that it may send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A caller's connection.
struct CallerConnection {
    shell: Rc<ShellState>,
    connection: Connection,
    /// Requests under way, in the order of their answers.
    in_flight: VecDeque<InFlightRequest>,
    /// A request that waits until those before it are answered.
    deferred: Option<RequestHead>,
    scanned: usize,
}

struct InFlightRequest {
    task: Task<Reply>,
    /// Whether other requests may be under way beside it.
    overlaps: bool,
    /// Whether the caller wants the connection closed after the answer.
    close: bool,
}

/// What happens next on a connection.
enum ConnectionEvent {
    Reply(Reply, bool),
    Head(Vec<u8>),
    HeadError(RawHeadError),
    Disconnected,
}

/// Counts a connection with requests while it lives.
struct ActiveGuard(Rc<ShellState>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active_connections.set(self.0.active_connections.get() - 1);
    }
}

/// Serves a caller's requests; answers keep their order.
pub(crate) async fn serve_caller(shell: Rc<ShellState>, stream: Async<TcpStream>) {
    let connection = Connection::new(stream, &shell.meters);
    let caller = CallerConnection {
        shell,
        connection,
        in_flight: VecDeque::new(),
        deferred: None,
        scanned: 0,
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
                                // A request without a body has nothing to fail on.
                                if self.start_request(head).await.is_err() {
                                    return;
                                }
                            }
                            Ok(head) => self.deferred = Some(head),
                            Err(kind) => {
                                let reply = Reply::refusal(&*self.shell.wire, kind, None);
                                self.enqueue_refusal(reply);
                            }
                        }
                    }
                    ConnectionEvent::HeadError(RawHeadError::TooLarge) => {
                        let kind = ErrorKind::HeadTooLarge;
                        let reply = Reply::refusal(&*self.shell.wire, kind, None);
                        self.enqueue_refusal(reply);
                    }
                    // Dropping the requests under way cancels them.
                    ConnectionEvent::HeadError(_) | ConnectionEvent::Disconnected => return,
                }
            }
            drop(guard);
        }
    }

    /// Reads a head while no request is under way; `None` if the caller is gone.
    async fn read_first_head(&mut self) -> Result<Option<RequestHead>, ErrorKind> {
        let limits = self.shell.router.borrow().caller_limits();
        if self.connection.unused().is_empty() {
            self.connection.release();
            self.connection.set_timeout(ReadTimeout::Idle(limits.idle_timeout));
            if self.shell.phase.get() == Phase::Closing && self.connection.is_quiet() {
                return Ok(None);
            }
            while !matches!(self.connection.fill().await, Ok(1..)) {
                // A request that came as the time ran out is served.
                if !self.connection.expired() || self.connection.is_quiet() {
                    return Ok(None);
                }
                self.connection.set_timeout(ReadTimeout::Idle(limits.idle_timeout));
            }
        }
        self.connection.set_timeout(ReadTimeout::Total(limits.head_timeout));
        let head = match read_raw_head(&mut self.connection, limits.head_bytes).await {
            Ok(head) => head,
            Err(RawHeadError::Silent) => return Err(ErrorKind::SlowCaller),
            Err(RawHeadError::TooLarge) => return Err(ErrorKind::HeadTooLarge),
            Err(RawHeadError::Ended | RawHeadError::Cut) => return Ok(None),
        };
        self.connection.set_timeout(ReadTimeout::Endless);
        RequestHead::parse(head, &*self.shell.wire).map(Some)
    }

    fn can_start(&self, head: &RequestHead) -> bool {
        let alone = self.in_flight.is_empty();
        alone || (head.may_overlap() && self.in_flight.iter().all(|each| each.overlaps))
    }

    /// Reads a request's body and starts to serve it.
    async fn start_request(&mut self, head: RequestHead) -> Result<(), Option<ErrorKind>> {
        let overlaps = head.may_overlap();
        let close = head.facts.close;
        let body = self.read_body(&head).await?;
        let work = serve_request(Rc::clone(&self.shell), IncomingRequest { head, body });
        let task = self.shell.executor.spawn(work);
        self.in_flight.push_back(InFlightRequest { task, overlaps, close });
        self.scanned = 0;
        Ok(())
    }

    async fn read_body(&mut self, head: &RequestHead) -> Result<Vec<u8>, Option<ErrorKind>> {
        let framing = head.facts.framing;
        if framing == Framing::Empty {
            return Ok(Vec::new());
        }
        let most = self.shell.router.borrow().caller_limits().body_bytes;
        if framing.len().is_some_and(|len| len > most) {
            return Err(Some(ErrorKind::BodyTooLarge));
        }
        let share = self.shell.settings.memory_bytes / BODY_MEMORY_SHARE;
        let mut held = self.shell.meters.buffers.share();
        if self.shell.meters.buffers.held() + framing.len().unwrap_or(0) > share {
            return Err(Some(ErrorKind::GateOverloaded));
        }
        if head.facts.expects_continue
            && self.connection.write_all(CONTINUE_RESPONSE).await.is_err()
        {
            return Err(None);
        }
        self.connection.set_timeout(self.shell.limits.body_timeout());
        let mut reader = BodyReader::new(framing);
        let mut body = Vec::with_capacity(framing.len().unwrap_or(0) as usize);
        loop {
            let count = poll_fn(|cx| reader.poll_available(&mut self.connection, cx)).await;
            let count = count.map_err(|error| match error {
                BodyError::Cut => None,
                BodyError::Silent => Some(ErrorKind::SlowCaller),
                BodyError::Malformed => Some(ErrorKind::BadRequest),
            })?;
            if count == 0 {
                break;
            }
            body.extend_from_slice(&self.connection.unused()[..count]);
            reader.consume(&mut self.connection, count);
            held.set(body.capacity());
            if body.len() as u64 > most {
                return Err(Some(ErrorKind::BodyTooLarge));
            }
        }
        self.connection.set_timeout(ReadTimeout::Endless);
        Ok(body)
    }

    fn enqueue_refusal(&mut self, reply: Reply) {
        let task = self.shell.executor.spawn(async move { reply });
        self.in_flight.push_back(InFlightRequest { task, overlaps: false, close: true });
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        poll_fn(|cx| self.poll_event(cx)).await
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        if let Some(front) = self.in_flight.front_mut()
            && let Poll::Ready(reply) = Pin::new(&mut front.task).poll(cx)
        {
            let close = front.close;
            self.in_flight.pop_front();
            return Poll::Ready(ConnectionEvent::Reply(reply, close));
        }
        let can_read = self.deferred.is_none()
            && self.in_flight.len() < MAX_PIPELINE
            && self.in_flight.iter().all(|each| each.overlaps && !each.close);
        if !can_read {
            return self.connection.poll_gone(cx).map(|()| ConnectionEvent::Disconnected);
        }
        let most = self.shell.router.borrow().caller_limits().head_bytes;
        match poll_raw_head(&mut self.connection, cx, most, &mut self.scanned) {
            Poll::Ready(Ok(head)) => {
                self.scanned = 0;
                Poll::Ready(ConnectionEvent::Head(head))
            }
            Poll::Ready(Err(error)) => Poll::Ready(ConnectionEvent::HeadError(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Sends an answer; returns whether the connection stays open.
    async fn send_reply(&mut self, reply: Reply, close: bool) -> bool {
        let stopping = self.shell.phase.get() != Phase::Serving;
        let last = self.in_flight.is_empty() && self.deferred.is_none();
        let close = close || reply.close || (stopping && last);
        let bytes = reply.into_bytes(close);
        self.connection.set_timeout(self.shell.limits.body_timeout());
        let written = self.connection.write_all(&bytes).await;
        self.connection.set_timeout(ReadTimeout::Endless);
        if written.is_err() {
            return false;
        }
        if close {
            self.linger().await;
        }
        !close
    }

    /// Answers a request that is not served, and closes the connection.
    async fn refuse_and_close(mut self, kind: ErrorKind) {
        self.shell.counters.add(kind.counter(), 1);
        let after = kind.retry_after().then_some(Duration::from_millis(300));
        log::info!(error = kind.as_str(); "connection closed after a refusal");
        let reply = Reply::refusal(&*self.shell.wire, kind, after);
        self.send_reply(reply, true).await;
    }

    /// Gives the caller time to read the answer.
    async fn linger(&mut self) {
        let timeout = ReadTimeout::Total(self.shell.limits.linger);
        self.connection.linger(timeout, MAX_LINGER_BYTES).await;
    }
}
