use serde::{Deserialize, Serialize};

use crate::{LearnedCapacity, ServerId, TimeCode};

/// The learned capacity of a server, as the granter sends it to the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCapacity {
    /// The server.
    pub server: ServerId,
    /// Time of a request without queueing.
    pub base: TimeCode,
    /// Concurrency up to which the time is kept, in eighths of a request.
    pub concurrency: u8,
}

impl ServerCapacity {
    /// Steps of the concurrency per request.
    const CONCURRENCY_STEPS: f64 = 8.0;

    /// Encodes a learned capacity.
    pub fn new(server: ServerId, learned: LearnedCapacity) -> ServerCapacity {
        let concurrency = learned.concurrency * ServerCapacity::CONCURRENCY_STEPS;
        let base = TimeCode::from_ms(learned.base_ms);
        ServerCapacity { server, base, concurrency: concurrency.round() as u8 }
    }

    /// Returns the learned capacity.
    pub fn learned(&self) -> LearnedCapacity {
        let concurrency = f64::from(self.concurrency) / ServerCapacity::CONCURRENCY_STEPS;
        LearnedCapacity { base_ms: self.base.as_ms(), concurrency: concurrency.max(1.0) }
    }
}
