use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};

use super::http_limits::HttpLimits;
use crate::http1::connection::{Connection, Meters};
use crate::http1::lock;

/// The gate's connections to targets.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    limits: HttpLimits,
    meters: Arc<Meters>,
    targets: Mutex<HashMap<SocketAddr, TargetConnections>>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    open: usize,
    idle: Vec<IdleConnection>,
    suspected: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Time,
}

/// A connection in use; it is closed when dropped unless it is given back.
#[derive(Debug)]
pub(crate) struct Leased {
    /// The connection.
    pub(crate) connection: Connection,
    place: Place,
}

/// Holds one of the gate's connections to a target.
#[derive(Debug)]
struct Place {
    pool: Arc<ConnectionPool>,
    to: SocketAddr,
    /// Connections that this gate may have to the target, this one in use.
    cap: usize,
    suspected: u64,
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
    pub(crate) fn new(limits: HttpLimits, meters: Arc<Meters>) -> ConnectionPool {
        ConnectionPool { limits, meters, targets: Mutex::default() }
    }

    /// Takes an idle connection, or opens one while the gate has fewer than `cap`.
    ///
    /// # Errors
    /// Returns an error if no connection is established.
    pub(crate) async fn lease(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        fresh: bool,
        cap: usize,
    ) -> Result<Leased, ConnectError> {
        if fresh {
            self.suspect(to);
        }
        self.lease_idle_for(to, cap, self.limits.reuse_time).await
    }

    /// Like [`ConnectionPool::lease`], with a connection that was idle for no longer than this.
    ///
    /// # Errors
    /// Returns an error if no connection is established.
    pub(crate) async fn lease_idle_for(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        longest_idle: Duration,
    ) -> Result<Leased, ConnectError> {
        let (place, idle) = self.reserve(to, cap, longest_idle)?;
        if let Some(connection) = idle {
            return Ok(Leased { connection, place });
        }
        let opened = Connection::open(to, &self.meters).await;
        let connection = opened.map_err(|_| ConnectError::Refused)?;
        Ok(Leased { connection, place })
    }

    /// Takes a place and, if there is one, an idle connection to go with it.
    fn reserve(
        self: &Arc<ConnectionPool>,
        to: SocketAddr,
        cap: usize,
        longest_idle: Duration,
    ) -> Result<(Place, Option<Connection>), ConnectError> {
        let cap = cap.min(self.limits.connections_per_target);
        let now = BootClock.now();
        let mut targets = lock(&self.targets);
        let target = targets.entry(to).or_default();
        let place = |suspected| Place { pool: Arc::clone(self), to, cap, suspected };
        while let Some(idle) = target.idle.pop() {
            let young = now.since(idle.since) < longest_idle.min(self.limits.reuse_time);
            if young && idle.connection.is_quiet() {
                return Ok((place(target.suspected), Some(idle.connection)));
            }
            target.open -= 1;
        }
        if target.open >= cap {
            return Err(ConnectError::AtLimit);
        }
        target.open += 1;
        Ok((place(target.suspected), None))
    }

    /// Closes the idle connections to a target, and those in use once they are given back.
    pub(crate) fn suspect(&self, to: SocketAddr) {
        let mut targets = lock(&self.targets);
        if let Some(target) = targets.get_mut(&to) {
            target.open -= target.idle.len();
            target.idle.clear();
            target.suspected += 1;
        }
    }

    /// Closes idle connections that are too old to be used again.
    pub(crate) fn close_old(&self) {
        let now = BootClock.now();
        lock(&self.targets).retain(|_, target| {
            let before = target.idle.len();
            target.idle.retain(|idle| now.since(idle.since) < self.limits.reuse_time);
            target.open -= before - target.idle.len();
            target.open > 0
        });
    }

    /// How many connections to a target are open.
    pub(crate) fn open(&self, to: SocketAddr) -> usize {
        lock(&self.targets).get(&to).map_or(0, |target| target.open)
    }
}

impl Leased {
    /// Lets others use the connection, if nothing speaks against that.
    pub(crate) fn give_back(self) {
        let Leased { mut connection, place } = self;
        connection.release();
        let mut targets = lock(&place.pool.targets);
        let Some(target) = targets.get_mut(&place.to) else {
            return;
        };
        let trusted = target.suspected == place.suspected;
        // An idle connection has no request of its own to allow for it.
        let within_share = target.open < place.cap + place.pool.limits.idle_beyond_cap;
        if trusted && within_share && target.idle.len() < place.pool.limits.idle_per_target {
            target.idle.push(IdleConnection { connection, since: BootClock.now() });
            // The place's end frees one, which the idle connection takes.
            target.open += 1;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut targets = lock(&self.pool.targets);
        if let Some(target) = targets.get_mut(&self.to) {
            target.open -= 1;
        }
    }
}
