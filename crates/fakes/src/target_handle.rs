use std::sync::Arc;

use crate::ResponseFault;
use crate::target_state::{TargetCounts, TargetState, lock};

/// Controls a target that runs in the same process.
#[derive(Debug, Clone)]
pub struct TargetHandle {
    state: Arc<TargetState>,
}

impl TargetHandle {
    pub(crate) fn new(state: Arc<TargetState>) -> TargetHandle {
        TargetHandle { state }
    }

    /// Ends the target: its connections break and new ones are refused.
    pub fn kill(&self) {
        self.state.down.set(true);
    }

    /// Starts the target anew at the same address, without its slices, and cold if it starts so.
    pub fn restart(&self) {
        self.state.restart();
        self.state.frozen.set(false);
        self.state.down.set(false);
    }

    /// Stops the target as if its process were paused: connections stay, nothing is answered.
    pub fn freeze(&self) {
        self.state.frozen.set(true);
    }

    /// Lets a frozen target go on.
    pub fn thaw(&self) {
        self.state.frozen.set(false);
    }

    /// Sets what is wrong with all answers from now on.
    pub fn set_fault(&self, fault: Option<ResponseFault>) {
        *lock(&self.state.fault) = fault;
    }

    /// How often a request was begun, by its `idempotency-key` or else its path.
    pub fn run_count(&self, id: &str) -> u32 {
        lock(&self.state.counts).runs.get(id).copied().unwrap_or_default()
    }

    /// What the target has seen.
    pub fn counts(&self) -> TargetCounts {
        lock(&self.state.counts).clone()
    }
}
