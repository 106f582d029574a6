use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Async;
use socket2::{SockRef, TcpKeepalive};

use super::buffer_gauge::BufferGauge;
use super::buffer_pool::{Buffer, BufferPool};
use super::watchdog::{IoTimeout, PeerTimer, Watchdog};

/// Usual length of a connection's buffer, in bytes. It grows while a longer head is read.
pub(crate) const BUFFER_BYTES: usize = 16 * 1024;

/// Time without bytes from the peer before the first keepalive probe.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of unanswered probes after which the connection counts as broken.
const PROBE_COUNT: u32 = 2;

/// Maximum time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// TCP connection with a buffer for bytes that were read and not yet consumed.
///
/// While the buffer is empty it goes back to the pool, so an idle connection costs little memory.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: Async<TcpStream>,
    buffer: Option<Buffer>,
    /// Number of bytes at the start of the buffer that were consumed.
    consumed_len: usize,
    /// Number of bytes in the buffer, those consumed included.
    filled_len: usize,
    /// Whether the peer has closed its side.
    is_read_closed: bool,
    /// Error by which the connection broke. The system reports it once, to the first read or write, and
    /// then ends the peer's bytes as if the peer had closed its side.
    broken_by: Option<io::ErrorKind>,
    /// Whether a response without the identifier of its request is a late copy of an earlier one.
    requires_request_id: bool,
    timer: Arc<PeerTimer>,
    pool: Arc<BufferPool>,
}

/// Resources shared by all connections of a process.
#[derive(Debug)]
pub(crate) struct ConnectionResources {
    /// Times out connections whose peers are too slow.
    pub(crate) watchdog: Watchdog,
    /// Counts the bytes of all buffers.
    pub(crate) buffer_gauge: Arc<BufferGauge>,
    /// Keeps unused buffers for reuse.
    pub(crate) buffer_pool: Arc<BufferPool>,
}

impl Default for ConnectionResources {
    fn default() -> ConnectionResources {
        ConnectionResources::with_memory(u64::MAX)
    }
}

impl ConnectionResources {
    /// Creates resources whose buffers grow only while all of them together take less than this many
    /// bytes.
    pub(crate) fn with_memory(max_held_bytes: u64) -> ConnectionResources {
        let buffer_gauge = Arc::new(BufferGauge::default());
        let pool = BufferPool::new(BUFFER_BYTES, max_held_bytes, Arc::clone(&buffer_gauge));
        ConnectionResources {
            watchdog: Watchdog::default(),
            buffer_gauge,
            buffer_pool: Arc::new(pool),
        }
    }
}

/// Chooses whether closing a connection resets it, so bytes that have not arrived yet are never delivered.
pub(crate) fn set_reset_on_close(stream: &TcpStream, is_reset: bool) {
    if let Err(error) = SockRef::from(stream).set_linger(is_reset.then_some(Duration::ZERO)) {
        log::warn!(error:% = error; "failed to choose whether a connection resets on close");
    }
}

impl Connection {
    /// Wraps a stream, without a timeout.
    pub(crate) fn new(stream: Async<TcpStream>, resources: &ConnectionResources) -> Connection {
        // Without `TCP_NODELAY` the connection is slower but correct.
        let _ = stream.get_ref().set_nodelay(true);
        let timer = resources.watchdog.new_timer();
        let pool = Arc::clone(&resources.buffer_pool);
        Connection {
            stream,
            buffer: None,
            consumed_len: 0,
            filled_len: 0,
            is_read_closed: false,
            broken_by: None,
            requires_request_id: false,
            timer,
            pool,
        }
    }

    /// Opens a connection to `to`.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub(crate) async fn connect(
        to: SocketAddr,
        resources: &ConnectionResources,
    ) -> io::Result<Connection> {
        let stream = Async::<TcpStream>::connect(to).await?;
        Ok(Connection::new(stream, resources))
    }

    /// Enables TCP keepalive probes and a limit on unacknowledged bytes, so a dead peer is detected
    /// within seconds.
    pub(crate) fn enable_probes(&self) {
        let socket = SockRef::from(self.stream.get_ref());
        let probes = TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBE_COUNT);
        let set = socket.set_tcp_keepalive(&probes);
        let set = set.and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
        if let Err(error) = set {
            log::warn!(error:% = error; "failed to enable keepalive probes");
        }
    }

    /// Makes closing reset the connection, so bytes that have not arrived yet are never delivered.
    pub(crate) fn set_reset_on_close(&self) {
        set_reset_on_close(self.stream.get_ref(), true);
    }

    /// Limits the bytes that the system holds unsent for the peer (`TCP_NOTSENT_LOWAT`); those beyond
    /// stay with the process, which counts them.
    pub(crate) fn limit_unsent_bytes(&self, bytes: u32) {
        let socket = SockRef::from(self.stream.get_ref());
        if let Err(error) = socket.set_tcp_notsent_lowat(bytes) {
            log::warn!(error:% = error; "failed to limit the unsent bytes of a connection");
        }
    }

    /// Records that a further response on this connection without the identifier of its request may be
    /// a copy of an earlier one.
    pub(crate) fn set_requires_request_id(&mut self) {
        self.requires_request_id = true;
    }

    /// Returns whether a response without the identifier of its request may be a copy of an earlier
    /// one.
    pub(crate) fn requires_request_id(&self) -> bool {
        self.requires_request_id
    }

    /// Restarts the measurement of waiting times with a new timeout.
    pub(crate) fn set_timeout(&self, timeout: IoTimeout) {
        self.timer.restart(timeout);
    }

    /// Returns whether the timeout has expired.
    pub(crate) fn has_timed_out(&self) -> bool {
        self.timer.has_expired()
    }

    /// Returns the bytes that were read and not yet consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        match &self.buffer {
            Some(buffer) => &buffer.bytes[self.consumed_len..self.filled_len],
            None => &[],
        }
    }

    /// Removes `count` bytes from the start of the buffered bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed_len += count;
        debug_assert!(self.consumed_len <= self.filled_len);
        if self.consumed_len == self.filled_len {
            self.consumed_len = 0;
            self.filled_len = 0;
        }
    }

    /// Reads more bytes into the buffer; zero means that the peer has closed its side.
    ///
    /// What has arrived before the connection broke is read first, then this fails, also if a write has
    /// failed before.
    pub(crate) fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.is_read_closed {
            return Poll::Ready(Ok(0));
        }
        loop {
            if self.buffer.is_none() {
                // An idle connection holds no buffer while it waits.
                match self.stream.poll_readable(cx) {
                    Poll::Ready(result) => result?,
                    Poll::Pending => return self.poll_timeout(cx),
                }
            }
            match self.read_into_buffer() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.release_buffer();
                    match self.stream.poll_readable(cx) {
                        Poll::Ready(result) => result?,
                        Poll::Pending => return self.poll_timeout(cx),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.broken_by.get_or_insert(error.kind());
                    return Poll::Ready(Err(error));
                }
                Ok(0) if let Some(kind) = self.broken_by => return Poll::Ready(Err(kind.into())),
                Ok(count) => {
                    self.is_read_closed = count == 0;
                    self.timer.record_progress(count);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }

    fn poll_timeout<T>(&self, cx: &Context<'_>) -> Poll<io::Result<T>> {
        if self.timer.start_wait(cx) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn read_into_buffer(&mut self) -> io::Result<usize> {
        let buffer = self.buffer.get_or_insert_with(|| self.pool.acquire());
        if self.consumed_len > 0 {
            buffer.bytes.copy_within(self.consumed_len..self.filled_len, 0);
            self.filled_len -= self.consumed_len;
            self.consumed_len = 0;
        }
        if self.filled_len == buffer.bytes.len() {
            // Only a reader of heads makes the buffer grow; others consume what is buffered.
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let count = self.stream.get_ref().read(&mut buffer.bytes[self.filled_len..])?;
        self.filled_len += count;
        Ok(count)
    }

    /// Makes room for more unconsumed bytes if the buffer is full; it grows to `max_bytes` at most.
    /// Returns whether there is room.
    pub(crate) fn make_room(&mut self, max_bytes: usize) -> bool {
        let unconsumed_len = self.filled_len - self.consumed_len;
        let Some(buffer) = self.buffer.as_mut().filter(|each| each.bytes.len() == unconsumed_len)
        else {
            return true;
        };
        let length = (buffer.bytes.len() * 2).min(max_bytes);
        let Some(mut larger) = self.pool.acquire_larger(length, unconsumed_len) else {
            return false;
        };
        larger.bytes[..unconsumed_len].copy_from_slice(&buffer.bytes);
        self.pool.release(std::mem::replace(buffer, larger));
        true
    }

    /// Returns the buffer to the pool if it is empty.
    pub(crate) fn release_buffer(&mut self) {
        if self.consumed_len == self.filled_len {
            self.consumed_len = 0;
            self.filled_len = 0;
            if let Some(buffer) = self.buffer.take() {
                self.pool.release(buffer);
            }
        }
    }

    /// Reads more bytes into the buffer; zero means that the peer has closed its side.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the timeout expired.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Writes some of the bytes and returns how many.
    pub(crate) fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    match self.stream.poll_writable(cx) {
                        Poll::Ready(result) => result?,
                        Poll::Pending => return self.poll_timeout(cx),
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // The peer had closed its side before, so all of its bytes have arrived.
                Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                    return Poll::Ready(Err(error));
                }
                Err(error) => {
                    self.broken_by.get_or_insert(error.kind());
                    return Poll::Ready(Err(error));
                }
                Ok(0) => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                Ok(count) => {
                    self.timer.record_progress(count);
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }

    /// Writes all of the bytes.
    ///
    /// # Errors
    /// Returns an error if the connection broke or the timeout expired.
    pub(crate) async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = poll_fn(|cx| self.poll_write(cx, bytes)).await?;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Returns whether the connection is open and no byte of the peer is unread.
    pub(crate) fn is_idle(&self) -> bool {
        if self.is_read_closed || !self.buffered().is_empty() {
            return false;
        }
        let peeked = self.stream.get_ref().peek(&mut [0; 1]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the write side, then reads and discards up to about `max_bytes` of what the peer
    /// still sends.
    ///
    /// Closing at once would reset the connection, and the peer might lose the response before it
    /// reads it.
    pub(crate) async fn linger(&mut self, timeout: IoTimeout, max_bytes: usize) {
        // Fails if the peer has already closed the connection.
        let _ = self.stream.get_ref().shutdown(std::net::Shutdown::Write);
        self.set_timeout(timeout);
        let mut discarded = 0;
        while discarded <= max_bytes {
            self.consume(self.buffered().len());
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    }

    /// Completes when the peer has closed or reset the connection. Bytes that arrive until then are
    /// buffered.
    pub(crate) fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        // With the buffer released, the wait starts without a read that finds nothing.
        self.release_buffer();
        while self.buffered().len() < BUFFER_BYTES {
            match ready!(self.poll_fill(cx)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
        }
        // Once pipelined bytes fill the buffer, a close is no longer detected.
        Poll::Pending
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(buffer) = self.buffer.take() {
            self.pool.release(buffer);
        }
    }
}
