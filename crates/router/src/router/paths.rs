use std::collections::BTreeSet;
use std::time::Duration;

use bay_time::Time;
use bay_types::{HostName, ServerName, ZoneName};
use rand::seq::IteratorRandom;

use super::Router;
use crate::{ServerPath, ServerSpread};

/// Paths to servers: this router's own, and tunnels through other routers.
impl Router {
    /// Age of an unanswered request from which its server counts as silent.
    const SILENT_AFTER: Duration = Duration::from_millis(400);
    /// Silent servers from which the router suspects that it is cut off from all.
    const MIN_SILENT_SERVERS: usize = 2;

    /// Returns whether this router counts as cut off from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.paths.is_cut_off()
    }

    /// Returns how to connect to servers.
    pub fn server_path(&self) -> ServerPath {
        self.paths.path()
    }

    /// Records that a direct connection was opened; returns whether the router was cut off before.
    pub fn record_direct_success(&mut self, now: Time, server: ServerName) -> bool {
        self.paths.record_success(now, server)
    }

    /// Records that a direct connection failed; returns whether the router is cut off from now on.
    pub fn record_direct_failure(&mut self, now: Time, server: ServerName) -> bool {
        let Some(zone) = self.directory.get(server).map(|server| server.entry.zone) else {
            return false;
        };
        let zones: BTreeSet<ZoneName> =
            self.directory.iter().map(|(_, server)| server.entry.zone).collect();
        let known = ServerSpread { servers: self.directory.iter().count(), zones: zones.len() };
        self.paths.record_failure(now, server, zone, known)
    }

    /// Returns the server to which a direct connection is to be opened now as a probe, if any.
    pub fn next_probe(&mut self, now: Time) -> Option<ServerName> {
        let answered_at = self.answered_at;
        let directory = &self.directory;
        let silent = || {
            directory.iter().filter(|(_, server)| {
                server.oldest_in_flight().is_some_and(|sent| {
                    sent > answered_at && now.since(sent) >= Router::SILENT_AFTER
                })
            })
        };
        // After a recent answer no server is silent, so that the servers need not be searched.
        let has_silent_servers = now.since(answered_at) >= Router::SILENT_AFTER
            && silent().count() >= Router::MIN_SILENT_SERVERS;
        if !self.paths.should_probe(now, has_silent_servers) {
            return None;
        }
        let (paths, rng) = (&self.paths, &mut self.rng);
        let untried = directory.iter().filter(|(name, _)| !paths.has_failed(now, *name));
        let probed = untried.choose(rng).or_else(|| directory.iter().choose(rng));
        probed.map(|(name, _)| name)
    }

    /// Returns a random router through which a tunnel may be opened.
    pub fn tunnel_host(&mut self, now: Time) -> Option<HostName> {
        let (own, paths) = (self.settings.host, &self.paths);
        let others = self.hosts.iter().filter(|host| **host != own);
        others.filter(|host| paths.is_available(now, **host)).choose(&mut self.rng).copied()
    }

    /// Records that a router cannot open tunnels at the moment.
    pub fn record_unavailable_host(&mut self, now: Time, host: HostName) {
        self.paths.record_unavailable_host(now, host);
    }
}
