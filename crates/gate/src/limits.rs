/// What a gate can take; beyond it, requests are refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLimits {
    /// Requests that have not ended.
    pub max_calls: usize,
    /// Requests among them that wait for an owner, a target or a claim.
    pub max_waiting: usize,
}

impl Default for GateLimits {
    fn default() -> GateLimits {
        GateLimits { max_calls: 16_384, max_waiting: 4_096 }
    }
}
