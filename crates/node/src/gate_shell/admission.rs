use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};

use bay_conf::GateSettings;
use bay_types::ErrorKind;

use crate::http1::lock;

/// Limits the open connections of callers, in total and per peer address.
#[derive(Debug)]
pub(crate) struct AdmissionControl {
    max_total: u32,
    max_per_peer: u32,
    open: Mutex<OpenConnections>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    total: u32,
    by_peer: HashMap<IpAddr, u32>,
}

/// Permission for one open connection; dropping it frees its place.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    admission: Arc<AdmissionControl>,
    peer: IpAddr,
}

impl AdmissionControl {
    /// Creates admission control with the limits in the settings and no open connection.
    pub(crate) fn new(settings: &GateSettings) -> AdmissionControl {
        AdmissionControl {
            max_total: settings.max_connections,
            max_per_peer: settings.max_connections_per_peer,
            open: Mutex::default(),
        }
    }

    /// Admits a connection from `peer` if both limits allow it.
    ///
    /// # Errors
    /// Returns the kind of error with which the connection is rejected.
    pub(crate) fn admit(
        self: &Arc<AdmissionControl>,
        peer: IpAddr,
    ) -> Result<AdmissionPermit, ErrorKind> {
        let mut open = lock(&self.open);
        if open.total >= self.max_total {
            return Err(ErrorKind::GateOverloaded);
        }
        let peer_count = open.by_peer.entry(peer).or_default();
        if *peer_count >= self.max_per_peer {
            return Err(ErrorKind::TooManyConnections);
        }
        *peer_count += 1;
        open.total += 1;
        Ok(AdmissionPermit { admission: Arc::clone(self), peer })
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> u32 {
        lock(&self.open).total
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut open = lock(&self.admission.open);
        open.total -= 1;
        if let Some(peer_count) = open.by_peer.get_mut(&self.peer) {
            *peer_count -= 1;
            if *peer_count == 0 {
                open.by_peer.remove(&self.peer);
            }
        }
    }
}
