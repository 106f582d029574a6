use std::net::SocketAddr;
use std::sync::mpsc::Sender;

use bay_types::CustomerName;

use crate::TargetId;

/// The right to send one request to a target. Dropping the permit frees its slot.
#[derive(Debug)]
pub struct Permit {
    address: SocketAddr,
    new_connection: bool,
    trial: bool,
    release: Release,
    releases: Sender<Release>,
}

/// Identifies the request of a dropped permit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Release {
    pub(crate) target: TargetId,
    pub(crate) number: u64,
    pub(crate) customer: Option<CustomerName>,
}

impl Permit {
    pub(crate) fn new(
        address: SocketAddr,
        new_connection: bool,
        trial: bool,
        release: Release,
        releases: Sender<Release>,
    ) -> Permit {
        Permit { address, new_connection, trial, release, releases }
    }

    /// Returns the target that the request goes to.
    pub fn target(&self) -> TargetId {
        self.release.target
    }

    /// Returns the target's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the request needs a new connection, since idle ones to the target may be dead.
    pub fn needs_new_connection(&self) -> bool {
        self.new_connection
    }

    /// Whether the request is a trial of a slow target. An idempotent one should be hedged at once,
    /// or its caller waits for the trial.
    pub fn is_trial(&self) -> bool {
        self.trial
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Fails only if the pool was dropped first; then there is no slot to free.
        let _ = self.releases.send(self.release);
    }
}
