use serde::{Deserialize, Serialize};

use crate::{ServerId, TimeCode};

/// Answers of a server that a router has received since it last reported the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySample {
    /// The server.
    pub server: ServerId,
    /// Mean latency, divided by the slowdown that the server has reported.
    pub latency: TimeCode,
    /// Mean number of requests that ran or waited at the server.
    pub concurrency: u8,
    /// Number of answers; 0 if the server has only refused to run requests.
    pub answers: u8,
}
