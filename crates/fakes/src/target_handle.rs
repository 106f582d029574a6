use std::sync::Arc;

use crate::ResponseFault;
use crate::target_state::{TargetCounts, TargetState, lock};

/// Handle that controls and inspects a target in the same process.
#[derive(Debug, Clone)]
pub struct TargetHandle {
    state: Arc<TargetState>,
}

impl TargetHandle {
    pub(crate) fn new(state: Arc<TargetState>) -> TargetHandle {
        TargetHandle { state }
    }

    /// Kills the target: open connections break and new ones are refused.
    pub fn kill(&self) {
        self.state.down_switch.set(true);
    }

    /// Restarts the target at the same address, without its slices and with its cold start, if
    /// any.
    pub fn restart(&self) {
        self.state.restart();
        self.state.freeze_switch.set(false);
        self.state.down_switch.set(false);
    }

    /// Freezes the target as if its process were paused: connections stay open without responses.
    pub fn freeze(&self) {
        self.state.freeze_switch.set(true);
    }

    /// Resumes a frozen target.
    pub fn thaw(&self) {
        self.state.freeze_switch.set(false);
    }

    /// Sets the fault of all later responses; a request's `fake-fault` header overrides it.
    pub fn set_fault(&self, fault: Option<ResponseFault>) {
        *lock(&self.state.fault) = fault;
    }

    /// Returns how often a request was started, by its `idempotency-key` or else its path.
    pub fn run_count(&self, id: &str) -> u32 {
        lock(&self.state.counts).runs.get(id).copied().unwrap_or_default()
    }

    /// Returns a copy of the target's counts.
    pub fn counts(&self) -> TargetCounts {
        lock(&self.state.counts).clone()
    }
}
