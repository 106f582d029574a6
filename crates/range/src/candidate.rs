use std::net::SocketAddr;

use bay_types::ZoneName;

use crate::OwnerId;

/// A server as the granter sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server and its life.
    pub owner: OwnerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be given keys: neither leaving nor in a zone that is out.
    pub eligible: bool,
    /// Whether it is still cold after its start.
    pub cold: bool,
    /// Time a request takes there without queueing, in milliseconds, if known.
    pub service_ms: Option<f64>,
}

impl Candidate {
    /// Requests a second that the server can run; relative where no time is known.
    pub fn capacity(&self, mean_service_ms: f64) -> f64 {
        let service_ms = self.service_ms.unwrap_or(mean_service_ms).max(1.0);
        f64::from(self.slots.max(1)) * 1000.0 / service_ms
    }
}
