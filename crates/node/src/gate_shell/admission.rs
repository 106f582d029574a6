use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};

use bay_conf::GateSettings;
use bay_types::ErrorKind;

use crate::http1::lock;

/// Bounds the open connections of callers.
#[derive(Debug)]
pub(crate) struct Admission {
    most: u32,
    most_per_peer: u32,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    all: u32,
    by_peer: HashMap<IpAddr, u32>,
}

/// One admitted connection; its place is free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Admitted {
    admission: Arc<Admission>,
    peer: IpAddr,
}

impl Admission {
    /// Bounds as the settings name them.
    pub(crate) fn new(settings: &GateSettings) -> Admission {
        Admission {
            most: settings.max_connections,
            most_per_peer: settings.max_connections_per_peer,
            open: Mutex::default(),
        }
    }

    /// Takes a place for a connection.
    ///
    /// # Errors
    /// Returns why the connection cannot be served.
    pub(crate) fn admit(self: &Arc<Admission>, peer: IpAddr) -> Result<Admitted, ErrorKind> {
        let mut open = lock(&self.open);
        if open.all >= self.most {
            return Err(ErrorKind::GateOverloaded);
        }
        let of_peer = open.by_peer.entry(peer).or_default();
        if *of_peer >= self.most_per_peer {
            return Err(ErrorKind::TooManyConnections);
        }
        *of_peer += 1;
        open.all += 1;
        Ok(Admitted { admission: Arc::clone(self), peer })
    }

    /// How many connections are open.
    pub(crate) fn open(&self) -> u32 {
        lock(&self.open).all
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut open = lock(&self.admission.open);
        open.all -= 1;
        if let Some(of_peer) = open.by_peer.get_mut(&self.peer) {
            *of_peer -= 1;
            if *of_peer == 0 {
                open.by_peer.remove(&self.peer);
            }
        }
    }
}
