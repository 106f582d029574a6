use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};

use super::http_limits::HttpLimits;
use crate::http1::connection::{Connection, ConnectionResources};
use crate::http1::lock;

/// Share of the idle time that a target grants within which a connection is reused. The rest covers
/// the time that the closing of the connection takes to arrive.
const KEEP_ALIVE_SHARE: f64 = 0.85;

/// Pool of connections to targets.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    limits: HttpLimits,
    resources: Arc<ConnectionResources>,
    targets: Mutex<HashMap<SocketAddr, TargetConnections>>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    /// Number of connections, in use or idle.
    open_count: usize,
    idle: Vec<IdleConnection>,
    /// Incremented by each invalidation. A connection of an earlier generation is not reused.
    generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Time,
    /// Idle time up to which the connection is reused.
    reuse_timeout: Duration,
}

/// Connection in use; dropping it closes the connection unless it was returned to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    permit: ConnectionPermit,
    /// Idle time for which the target keeps the connection open, if its last answer said so.
    keep_alive: Option<Duration>,
}

/// Counts one connection to a target until dropped.
#[derive(Debug)]
struct ConnectionPermit {
    pool: Arc<ConnectionPool>,
    to: SocketAddr,
    /// Maximum number of connections to the target, including this one.
    cap: usize,
    generation: u64,
}

/// Reason why no connection to a target was acquired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The limit on connections to the target is reached.
    AtLimit,
    /// The target did not accept the connection.
    Refused,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub(crate) fn new(limits: HttpLimits, resources: Arc<ConnectionResources>) -> ConnectionPool {
        ConnectionPool { limits, resources, targets: Mutex::default() }
    }

    /// Takes an idle connection, or opens one while fewer than `cap` are open. `fresh` first
    /// invalidates the existing connections.
    ///
    /// # Errors
    /// Returns an error if the limit is reached or the target does not accept the connection.
    pub(crate) async fn acquire(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        fresh: bool,
        cap: usize,
    ) -> Result<PooledConnection, ConnectError> {
        if fresh {
            self.invalidate(to);
        }
        self.acquire_with_max_idle(to, cap, self.limits.reuse_timeout).await
    }

    /// Like [`ConnectionPool::acquire`], but only reuses a connection that was idle for less than
    /// `max_idle`.
    ///
    /// # Errors
    /// Returns an error if the limit is reached or the target does not accept the connection.
    pub(crate) async fn acquire_with_max_idle(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        max_idle: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        let opened = Connection::connect(to, &self.resources);
        self.acquire_or_open(to, cap, max_idle, opened).await
    }

    /// Like [`ConnectionPool::acquire_with_max_idle`], with the operation that opens a connection.
    ///
    /// # Errors
    /// Returns an error if the limit is reached or no connection was opened.
    pub(crate) async fn acquire_or_open<F>(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        max_idle: Duration,
        opened: F,
    ) -> Result<PooledConnection, ConnectError>
    where
        F: Future<Output = io::Result<Connection>>,
    {
        let (permit, idle) = self.reserve(to, cap, max_idle)?;
        if let Some(connection) = idle {
            return Ok(PooledConnection { connection, permit, keep_alive: None });
        }
        let connection = opened.await.map_err(|_| ConnectError::Refused)?;
        Ok(PooledConnection { connection, permit, keep_alive: None })
    }

    /// Reserves a permit and takes an idle connection if there is one.
    fn reserve(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        max_idle: Duration,
    ) -> Result<(ConnectionPermit, Option<Connection>), ConnectError> {
        let cap = cap.min(self.limits.max_connections_per_target);
        let now = BootClock.now();
        let mut targets = lock(&self.targets);
        let target = targets.entry(to).or_default();
        let permit = |generation| ConnectionPermit { pool: Arc::clone(self), to, cap, generation };
        while let Some(idle) = target.idle.pop() {
            let is_recent = now.since(idle.idle_since) < max_idle.min(idle.reuse_timeout);
            if is_recent && idle.connection.is_idle() {
                return Ok((permit(target.generation), Some(idle.connection)));
            }
            target.open_count -= 1;
        }
        if target.open_count >= cap {
            return Err(ConnectError::AtLimit);
        }
        target.open_count += 1;
        Ok((permit(target.generation), None))
    }

    /// Closes the idle connections to a target, and those in use as soon as they are returned.
    pub(crate) fn invalidate(&self, to: SocketAddr) {
        let mut targets = lock(&self.targets);
        if let Some(target) = targets.get_mut(&to) {
            target.invalidate();
        }
    }

    /// Like [`ConnectionPool::invalidate`], for all targets.
    pub(crate) fn invalidate_all(&self) {
        for target in lock(&self.targets).values_mut() {
            target.invalidate();
        }
    }

    /// Closes idle connections whose reuse timeout has expired.
    pub(crate) fn close_expired(&self) {
        let now = BootClock.now();
        lock(&self.targets).retain(|_, target| {
            let before = target.idle.len();
            target.idle.retain(|idle| now.since(idle.idle_since) < idle.reuse_timeout);
            target.open_count -= before - target.idle.len();
            target.open_count > 0
        });
    }

    /// Returns the number of open connections to a target.
    pub(crate) fn open_count(&self, to: SocketAddr) -> usize {
        lock(&self.targets).get(&to).map_or(0, |target| target.open_count)
    }
}

impl TargetConnections {
    fn invalidate(&mut self) {
        self.open_count -= self.idle.len();
        self.idle.clear();
        self.generation += 1;
    }
}

impl PooledConnection {
    /// Records for how long the target keeps the connection open while it is idle.
    pub(crate) fn set_keep_alive(&mut self, keep_alive: Option<Duration>) {
        self.keep_alive = keep_alive;
    }

    /// Returns the connection to the pool. Closes it instead if it was invalidated or a limit is
    /// reached.
    pub(crate) fn return_to_pool(self) {
        let PooledConnection { mut connection, permit, keep_alive } = self;
        connection.release_buffer();
        let limits = &permit.pool.limits;
        // While the cap is reached, the idle connections of all callers could fill the target's.
        let reuse_timeout = match keep_alive {
            Some(time) if permit.cap > 1 => {
                time.mul_f64(KEEP_ALIVE_SHARE).max(limits.reuse_timeout)
            }
            _ => limits.reuse_timeout,
        };
        let mut targets = lock(&permit.pool.targets);
        let Some(target) = targets.get_mut(&permit.to) else {
            return;
        };
        let is_current = target.generation == permit.generation;
        // `cap` includes the request that has just ended, so the connection is kept only below the
        // cap.
        let is_within_cap =
            target.open_count < permit.cap + permit.pool.limits.extra_idle_connections;
        if is_current && is_within_cap && target.idle.len() < permit.pool.limits.max_idle_per_target
        {
            let idle_since = BootClock.now();
            target.idle.push(IdleConnection { connection, idle_since, reuse_timeout });
            // Dropping the permit decrements the count, so the idle connection is counted here.
            target.open_count += 1;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut targets = lock(&self.pool.targets);
        if let Some(target) = targets.get_mut(&self.to) {
            target.open_count -= 1;
        }
    }
}
