use std::net::SocketAddr;

use bay_types::ZoneName;

use crate::OwnerId;

/// A registered server, considered as an owner of keys.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server's process.
    pub owner: OwnerId,
    /// Address at which the server accepts orders.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: ZoneName,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server may own keys: it is ready and registered, and its zone is not out.
    pub eligible: bool,
    /// Whether the server may be cold: it is warming up, or its zone returned recently.
    pub cold: bool,
    /// Time of a request without queueing, in milliseconds, if reported.
    pub service_ms: Option<f64>,
    /// Requests per second that the server takes, if it has named a limit.
    pub rate_limit: Option<f64>,
}

impl Candidate {
    /// Returns the requests per second that the server can run.
    ///
    /// `mean_service_ms` replaces a service time that is not reported.
    pub fn capacity(&self, mean_service_ms: f64) -> f64 {
        let service_ms = self.service_ms.unwrap_or(mean_service_ms).max(1.0);
        let capacity = f64::from(self.slots.max(1)) * 1000.0 / service_ms;
        self.rate_limit.map_or(capacity, |limit| limit.min(capacity))
    }
}
