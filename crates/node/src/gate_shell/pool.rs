use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};

use super::http_limits::HttpLimits;
use crate::http1::connection::{Connection, ConnectionResources};
use crate::http1::lock;

/// The gate's connections to targets.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    limits: HttpLimits,
    resources: Arc<ConnectionResources>,
    targets: Mutex<HashMap<SocketAddr, TargetConnections>>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    open: usize,
    idle: Vec<IdleConnection>,
    generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Time,
}

/// A connection in use; it is closed when dropped unless it is given back.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    /// The connection.
    pub(crate) connection: Connection,
    permit: ConnectionPermit,
}

/// Holds one of the gate's connections to a target.
#[derive(Debug)]
struct ConnectionPermit {
    pool: Arc<ConnectionPool>,
    to: SocketAddr,
    /// Connections that this gate may have to the target, this one in use.
    cap: usize,
    generation: u64,
}

/// What became of a wish for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The gate's connections to the target are used up.
    AtLimit,
    /// The target takes no connection.
    Refused,
}

impl ConnectionPool {
    /// A pool without connections.
    pub(crate) fn new(limits: HttpLimits, resources: Arc<ConnectionResources>) -> ConnectionPool {
        ConnectionPool { limits, resources, targets: Mutex::default() }
    }

    /// Takes an idle connection, or opens one while the gate has fewer than `cap`.
    ///
    /// # Errors
    /// Returns an error if no connection is established.
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

    /// Like [`ConnectionPool::lease`], with a connection that was idle for no longer than this.
    ///
    /// # Errors
    /// Returns an error if no connection is established.
    pub(crate) async fn acquire_with_max_idle(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        max_idle: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        let (permit, idle) = self.reserve(to, cap, max_idle)?;
        if let Some(connection) = idle {
            return Ok(PooledConnection { connection, permit });
        }
        let opened = Connection::connect(to, &self.resources).await;
        let connection = opened.map_err(|_| ConnectError::Refused)?;
        Ok(PooledConnection { connection, permit })
    }

    /// Takes a place and, if there is one, an idle connection to go with it.
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
            let is_recent = now.since(idle.idle_since) < max_idle.min(self.limits.reuse_timeout);
            if is_recent && idle.connection.is_idle() {
                return Ok((permit(target.generation), Some(idle.connection)));
            }
            target.open -= 1;
        }
        if target.open >= cap {
            return Err(ConnectError::AtLimit);
        }
        target.open += 1;
        Ok((permit(target.generation), None))
    }

    /// Closes the idle connections to a target, and those in use once they are given back.
    pub(crate) fn invalidate(&self, to: SocketAddr) {
        let mut targets = lock(&self.targets);
        if let Some(target) = targets.get_mut(&to) {
            target.open -= target.idle.len();
            target.idle.clear();
            target.generation += 1;
        }
    }

    /// Closes idle connections that are too old to be used again.
    pub(crate) fn close_expired(&self) {
        let now = BootClock.now();
        lock(&self.targets).retain(|_, target| {
            let before = target.idle.len();
            target.idle.retain(|idle| now.since(idle.idle_since) < self.limits.reuse_timeout);
            target.open -= before - target.idle.len();
            target.open > 0
        });
    }

    /// How many connections to a target are open.
    pub(crate) fn open_count(&self, to: SocketAddr) -> usize {
        lock(&self.targets).get(&to).map_or(0, |target| target.open)
    }
}

impl PooledConnection {
    /// Lets others use the connection, if nothing speaks against that.
    pub(crate) fn return_to_pool(self) {
        let PooledConnection { mut connection, permit } = self;
        connection.release_buffer();
        let mut targets = lock(&permit.pool.targets);
        let Some(target) = targets.get_mut(&permit.to) else {
            return;
        };
        let is_current = target.generation == permit.generation;
        // An idle connection has no request of its own to allow for it.
        let is_within_cap = target.open < permit.cap + permit.pool.limits.extra_idle_connections;
        if is_current && is_within_cap && target.idle.len() < permit.pool.limits.max_idle_per_target
        {
            target.idle.push(IdleConnection { connection, idle_since: BootClock.now() });
            // The place's end frees one, which the idle connection takes.
            target.open += 1;
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut targets = lock(&self.pool.targets);
        if let Some(target) = targets.get_mut(&self.to) {
            target.open -= 1;
        }
    }
}
