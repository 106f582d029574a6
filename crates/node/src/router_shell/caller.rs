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
use super::request_head::RequestHead;
use super::serve::{Incoming, serve};
use super::shell::{Phase, Shell};
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::raw_head::{RawHeadError, poll_raw_head, read_raw_head};
use crate::http1::watchdog::IoTimeout;

/// Most requests of one connection that are under way at once.
const MAX_PIPELINE: usize = 16;

/// Most bytes that are read from a caller after a refusal, so that it gets to read it.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Share of the machine's memory that bodies may take.
const BODY_MEMORY_SHARE: u64 = 4;

/// Tells a caller that it may send its body.
const GO_AHEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A caller's connection.
struct Caller {
    shell: Rc<Shell>,
    connection: Connection,
    /// Requests under way, in the order of their answers.
    queue: VecDeque<UnderWay>,
    /// A request that waits until those before it are answered.
    next: Option<RequestHead>,
    searched: usize,
}

struct UnderWay {
    task: Task<Reply>,
    /// Whether other requests may be under way beside it.
    overlaps: bool,
    /// Whether the caller wants the connection closed after the answer.
    close: bool,
}

/// What happens next on a connection.
enum Step {
    Reply(Reply, bool),
    Head(Vec<u8>),
    Failed(RawHeadError),
    Gone,
}

/// Counts a connection with requests while it lives.
struct Open(Rc<Shell>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Serves a caller's requests; answers keep their order.
pub(crate) async fn serve_caller(shell: Rc<Shell>, stream: Async<TcpStream>) {
    let connection = Connection::new(stream, &shell.meters);
    let caller = Caller { shell, connection, queue: VecDeque::new(), next: None, searched: 0 };
    caller.run().await;
}

impl Caller {
    async fn run(mut self) {
        loop {
            let head = match self.next.take() {
                Some(head) => head,
                None => match self.first_head().await {
                    Ok(Some(head)) => head,
                    Ok(None) => return,
                    Err(kind) => return self.refuse(kind).await,
                },
            };
            self.shell.open.set(self.shell.open.get() + 1);
            let open = Open(Rc::clone(&self.shell));
            if let Err(kind) = self.begin(head).await {
                let Some(kind) = kind else {
                    return;
                };
                return self.refuse(kind).await;
            }
            while !self.queue.is_empty() {
                match self.step().await {
                    Step::Reply(reply, close) => {
                        if !self.reply(reply, close).await {
                            return;
                        }
                    }
                    Step::Head(head) => match RequestHead::read(head, &*self.shell.wire) {
                        Ok(head) if self.may_begin(&head) => {
                            // A request without a body has nothing to fail on.
                            if self.begin(head).await.is_err() {
                                return;
                            }
                        }
                        Ok(head) => self.next = Some(head),
                        Err(kind) => {
                            let reply = Reply::refusal(&*self.shell.wire, kind, None);
                            self.enqueue_refusal(reply);
                        }
                    },
                    Step::Failed(RawHeadError::TooLarge) => {
                        let kind = ErrorKind::HeadTooLarge;
                        let reply = Reply::refusal(&*self.shell.wire, kind, None);
                        self.enqueue_refusal(reply);
                    }
                    // Dropping the requests under way cancels them.
                    Step::Failed(_) | Step::Gone => return,
                }
            }
            drop(open);
        }
    }

    /// Reads a head while no request is under way; `None` if the caller is gone.
    async fn first_head(&mut self) -> Result<Option<RequestHead>, ErrorKind> {
        let limits = self.shell.router.borrow().caller_limits();
        if self.connection.buffered().is_empty() {
            self.connection.release_buffer();
            self.connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
            if self.shell.phase.get() == Phase::Closing && self.connection.is_idle() {
                return Ok(None);
            }
            while !matches!(self.connection.fill().await, Ok(1..)) {
                // A request that came as the time ran out is served.
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
            Err(RawHeadError::Closed | RawHeadError::Truncated) => return Ok(None),
        };
        self.connection.set_timeout(IoTimeout::Unlimited);
        RequestHead::read(head, &*self.shell.wire).map(Some)
    }

    fn may_begin(&self, head: &RequestHead) -> bool {
        let alone = self.queue.is_empty();
        alone || (head.may_overlap() && self.queue.iter().all(|each| each.overlaps))
    }

    /// Reads a request's body and starts to serve it.
    async fn begin(&mut self, head: RequestHead) -> Result<(), Option<ErrorKind>> {
        let overlaps = head.may_overlap();
        let close = head.facts.close;
        let body = self.read_body(&head).await?;
        let work = serve(Rc::clone(&self.shell), Incoming { head, body });
        let task = self.shell.executor.spawn(work);
        self.queue.push_back(UnderWay { task, overlaps, close });
        self.searched = 0;
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
        let mut held = self.shell.meters.buffer_gauge.track();
        if self.shell.meters.buffer_gauge.held_bytes() + framing.len().unwrap_or(0) > share {
            return Err(Some(ErrorKind::GateOverloaded));
        }
        if head.facts.expects_continue && self.connection.write_all(GO_AHEAD).await.is_err() {
            return Err(None);
        }
        self.connection.set_timeout(self.shell.limits.body_timeout());
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
                break;
            }
            body.extend_from_slice(&self.connection.buffered()[..count]);
            reader.consume(&mut self.connection, count);
            held.set(body.capacity());
            if body.len() as u64 > most {
                return Err(Some(ErrorKind::BodyTooLarge));
            }
        }
        self.connection.set_timeout(IoTimeout::Unlimited);
        Ok(body)
    }

    fn enqueue_refusal(&mut self, reply: Reply) {
        let task = self.shell.executor.spawn(async move { reply });
        self.queue.push_back(UnderWay { task, overlaps: false, close: true });
    }

    async fn step(&mut self) -> Step {
        poll_fn(|cx| self.poll_step(cx)).await
    }

    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if let Some(front) = self.queue.front_mut()
            && let Poll::Ready(reply) = Pin::new(&mut front.task).poll(cx)
        {
            let close = front.close;
            self.queue.pop_front();
            return Poll::Ready(Step::Reply(reply, close));
        }
        let reads = self.next.is_none()
            && self.queue.len() < MAX_PIPELINE
            && self.queue.iter().all(|each| each.overlaps && !each.close);
        if !reads {
            return self.connection.poll_closed(cx).map(|()| Step::Gone);
        }
        let most = self.shell.router.borrow().caller_limits().head_bytes;
        match poll_raw_head(&mut self.connection, cx, most, &mut self.searched) {
            Poll::Ready(Ok(head)) => {
                self.searched = 0;
                Poll::Ready(Step::Head(head))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Step::Failed(error)),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Sends an answer; returns whether the connection stays open.
    async fn reply(&mut self, reply: Reply, close: bool) -> bool {
        let stopping = self.shell.phase.get() != Phase::Serving;
        let last = self.queue.is_empty() && self.next.is_none();
        let close = close || reply.close || (stopping && last);
        let bytes = reply.into_bytes(close);
        self.connection.set_timeout(self.shell.limits.body_timeout());
        let written = self.connection.write_all(&bytes).await;
        self.connection.set_timeout(IoTimeout::Unlimited);
        if written.is_err() {
            return false;
        }
        if close {
            self.linger().await;
        }
        !close
    }

    /// Answers a request that is not served, and closes the connection.
    async fn refuse(mut self, kind: ErrorKind) {
        self.shell.counters.add(kind.counter(), 1);
        let after = kind.has_retry_after().then_some(Duration::from_millis(300));
        log::info!(error = kind.as_str(); "connection closed after a refusal");
        let reply = Reply::refusal(&*self.shell.wire, kind, after);
        self.reply(reply, true).await;
    }

    /// Gives the caller time to read the answer.
    async fn linger(&mut self) {
        let timeout = IoTimeout::Total(self.shell.limits.linger_timeout);
        self.connection.linger(timeout, MAX_LINGER_BYTES).await;
    }
}
