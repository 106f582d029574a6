/// A gate's limits on requests. Requests beyond them are refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLimits {
    /// Maximum requests in flight.
    pub max_calls: usize,
    /// Maximum requests in flight that wait for an owner, a target or a claim.
    pub max_waiting: usize,
}

impl Default for GateLimits {
    fn default() -> GateLimits {
        GateLimits { max_calls: 16_384, max_waiting: 4_096 }
    }
}
