use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

/// Counters of the process. They are sent to a StatsD address, if one is set, and their totals are
/// kept for the admin page.
#[derive(Debug)]
pub struct Counters {
    client: StatsdClient,
    totals: Mutex<BTreeMap<String, u64>>,
}

impl Counters {
    /// Creates counters whose StatsD names start with `dragonflybay.` and the name of the process.
    ///
    /// # Errors
    /// Returns an error if a UDP socket for the address cannot be opened.
    pub fn new(process: &str, address: Option<SocketAddr>) -> std::io::Result<Counters> {
        let prefix = format!("dragonflybay.{process}");
        let client = match address {
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(&prefix, QueuingMetricSink::from(sink))
            }
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
        };
        Ok(Counters { client, totals: Mutex::default() })
    }

    /// Adds `count` to the counter with a name such as `refused.no-owner`.
    pub fn add(&self, name: &str, count: u64) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        match totals.get_mut(name) {
            Some(total) => *total += count,
            None => {
                totals.insert(name.to_owned(), count);
            }
        }
        drop(totals);
        // If the counter cannot be sent, the totals still include it.
        let _ = self.client.count(name, count);
    }

    /// Returns the totals since the start of the process, by name without the prefix.
    pub fn totals(&self) -> BTreeMap<String, u64> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
