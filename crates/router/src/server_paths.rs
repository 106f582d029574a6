use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::{HostName, ServerName, ZoneName};

/// How a connection to a server is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPath {
    /// From this router.
    Direct,
    /// Through another router.
    Tunnel,
}

/// Numbers of registered servers and of their zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSpread {
    /// Number of servers, at least 1.
    pub servers: usize,
    /// Number of zones, at least 1.
    pub zones: usize,
}

/// Tells whether this router reaches servers by itself or has to tunnel through another router.
///
/// A router that fails to connect to several servers in a row, in more than one zone, counts as cut
/// off from all of them, until a direct connection succeeds. A single server that fails may have
/// ended, and a zone may have lost its power.
#[derive(Debug, Default)]
pub struct ServerPaths {
    /// Last failure of a direct connection to each server, and the server's zone.
    failures: BTreeMap<ServerName, (Time, ZoneName)>,
    /// When the last direct connection to any server succeeded.
    succeeded_at: Time,
    is_cut_off: bool,
    /// Routers that could not open a tunnel, and until when they are not asked.
    avoided_hosts: BTreeMap<HostName, Time>,
    next_probe_at: Time,
}

impl ServerPaths {
    /// Servers to which direct connections fail in a row before the router counts as cut off.
    const MIN_FAILED_SERVERS: usize = 3;
    /// Zones of these servers.
    const MIN_FAILED_ZONES: usize = 2;
    /// Time for which a failed connection counts.
    const FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
    /// Time for which a router that could not open a tunnel is not asked again.
    const AVOID_TIMEOUT: Duration = Duration::from_secs(1);
    /// Interval between direct connections that probe whether the router is still cut off.
    const PROBE_INTERVAL: Duration = Duration::from_millis(300);
    /// Interval between probes while answers are missing.
    const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns whether this router counts as cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns how to connect to servers.
    ///
    /// A single server that fails is not tried through a tunnel. When a zone's servers end, all routers
    /// would ask each other for thousands of tunnels to them.
    pub fn path(&self) -> ServerPath {
        if self.is_cut_off { ServerPath::Tunnel } else { ServerPath::Direct }
    }

    /// Records that a direct connection was opened; returns whether the router was cut off before.
    pub fn record_success(&mut self, now: Time, server: ServerName) -> bool {
        self.failures.remove(&server);
        self.succeeded_at = now;
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that a direct connection failed; returns whether the router is cut off from now on.
    ///
    /// `known` tells how many servers are registered, and in how many zones.
    pub fn record_failure(
        &mut self,
        now: Time,
        server: ServerName,
        zone: ZoneName,
        known: ServerSpread,
    ) -> bool {
        self.failures.insert(server, (now, zone));
        self.failures.retain(|_, (at, _)| now.since(*at) < ServerPaths::FAILURE_TIMEOUT);
        let failed = self.recent_failures(now).count();
        let zones = self.recent_failures(now).collect::<BTreeSet<ZoneName>>().len();
        let was_cut_off = self.is_cut_off;
        self.is_cut_off |= failed >= ServerPaths::MIN_FAILED_SERVERS.min(known.servers)
            && zones >= ServerPaths::MIN_FAILED_ZONES.min(known.zones);
        self.is_cut_off && !was_cut_off
    }

    /// Returns whether a direct connection is to be opened now only to learn whether that works.
    ///
    /// That is the case at intervals while the router is cut off, and while it may be: answers are
    /// missing, as `has_silent_servers` says, or the last direct connection failed.
    pub fn should_probe(&mut self, now: Time, has_silent_servers: bool) -> bool {
        let is_suspect = has_silent_servers || self.recent_failures(now).next().is_some();
        if now < self.next_probe_at || !(self.is_cut_off || is_suspect) {
            return false;
        }
        let interval = match self.is_cut_off {
            true => ServerPaths::PROBE_INTERVAL,
            false => ServerPaths::SUSPECT_PROBE_INTERVAL,
        };
        self.next_probe_at = now + interval;
        true
    }

    /// Returns whether the last direct connection to a server failed a moment ago.
    pub fn has_failed(&self, now: Time, server: ServerName) -> bool {
        let failure = self.failures.get(&server);
        failure.is_some_and(|(at, _)| now.since(*at) < ServerPaths::FAILURE_TIMEOUT)
    }

    /// Returns the zone of each server that has failed since the last success.
    fn recent_failures(&self, now: Time) -> impl Iterator<Item = ZoneName> {
        let is_recent =
            move |at: Time| at > self.succeeded_at && now.since(at) < ServerPaths::FAILURE_TIMEOUT;
        self.failures.values().filter(move |(at, _)| is_recent(*at)).map(|(_, zone)| *zone)
    }

    /// Records that a router cannot open tunnels at the moment.
    pub fn record_unavailable_host(&mut self, now: Time, host: HostName) {
        self.avoided_hosts.retain(|_, until| now < *until);
        self.avoided_hosts.insert(host, now + ServerPaths::AVOID_TIMEOUT);
    }

    /// Returns whether a router may be asked for a tunnel.
    pub fn is_available(&self, now: Time, host: HostName) -> bool {
        self.avoided_hosts.get(&host).is_none_or(|until| now >= *until)
    }
}
