use std::net::SocketAddr;
use std::sync::mpsc::Sender;

use bay_types::CustomerName;

use crate::TargetId;

/// Holds a slot of a target; dropping it gives the slot back.
#[derive(Debug)]
pub struct Permit {
    address: SocketAddr,
    fresh: bool,
    trial: bool,
    release: Release,
    releases: Sender<Release>,
}

/// A slot that its request no longer needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Release {
    pub(crate) target: TargetId,
    pub(crate) number: u64,
    pub(crate) customer: Option<CustomerName>,
}

impl Permit {
    pub(crate) fn new(
        address: SocketAddr,
        fresh: bool,
        trial: bool,
        release: Release,
        releases: Sender<Release>,
    ) -> Permit {
        Permit { address, fresh, trial, release, releases }
    }

    /// The target.
    pub fn target(&self) -> TargetId {
        self.release.target
    }

    /// The target's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a new connection is to be used, as the target's idle ones are under suspicion.
    pub fn needs_new_connection(&self) -> bool {
        self.fresh
    }

    /// Whether the request tries out a target that was slow; an idempotent one is best hedged at
    /// once, so that its caller does not wait for the trial.
    pub fn is_trial(&self) -> bool {
        self.trial
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // The pool may be gone before its permits; there is nothing to give back then.
        let _ = self.releases.send(self.release);
    }
}
