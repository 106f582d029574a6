use std::time::Duration;

use bay_store::Object;
use bay_types::{Term, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Holder;

/// The keeper and deputy of a service's servers in one zone, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Identifies the write, which resolves a write whose reply was lost.
    pub nonce: u64,
    /// The term's number, which rises when the keeper or the deputy changes.
    pub number: Term,
    /// The number of the first term of the current keeper.
    pub since: Term,
    /// The process that grants and revokes slices and renews leases.
    pub keeper: Holder,
    /// The keeper's deputy, which may renew leases but not grant or revoke slices.
    pub deputy: Option<Holder>,
    /// Number of renewals by the keeper.
    pub renewals: u64,
    /// The length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// How long the keeper may act after its last known renewal, in milliseconds.
    pub hold_ms: u64,
    /// Former holders that may not have learned yet that their role has ended.
    pub former: Vec<FormerHolder>,
}

/// A process that may still renew leases under a former term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The former keeper or deputy.
    pub holder: Holder,
    /// The first term without a role for the holder. A server that accepted this term rejects the
    /// holder's orders.
    pub before: Term,
    /// Whether the holder stopped sending orders before the term was written.
    pub stopped: bool,
    /// The length of the holder's leases, in milliseconds.
    pub lease_ms: u64,
    /// How long the holder may act after its last known renewal, in milliseconds.
    pub hold_ms: u64,
}

impl TermRecord {
    /// Parses the body of a term's object, or returns `None` if it is invalid.
    pub fn parse(object: &Object) -> Option<TermRecord> {
        serde_json::from_str(&object.body).ok()
    }

    /// Serializes the record as the body of its object.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the length of a lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns how long the keeper may act after its last known renewal.
    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Returns the former holders as of term `next`: those of this record and those before them.
    ///
    /// `stopped` is the holder that has already stopped sending orders.
    pub fn former_holders(&self, next: Term, stopped: Option<Holder>) -> Vec<FormerHolder> {
        let mut former = self.former.clone();
        let holders = std::iter::once(self.keeper).chain(self.deputy);
        former.extend(holders.map(|holder| FormerHolder {
            holder,
            before: next,
            stopped: stopped == Some(holder),
            lease_ms: self.lease_ms,
            hold_ms: self.hold_ms,
        }));
        former
    }

    /// Begins a new term with another deputy; the current deputy becomes a former holder.
    pub(crate) fn change_deputy(&mut self, deputy: Option<Holder>) {
        let number = Term(self.number.0 + 1);
        if let Some(former_deputy) = self.deputy {
            self.former.push(FormerHolder {
                holder: former_deputy,
                before: number,
                stopped: false,
                lease_ms: self.lease_ms,
                hold_ms: self.hold_ms,
            });
        }
        self.number = number;
        self.deputy = deputy;
    }
}

/// Parses the service and zone from an object key.
pub(crate) fn parse_term_key(key: &str) -> Option<(bay_types::ServiceName, ZoneName)> {
    let path = key.strip_prefix(bay_store::ObjectKey::TERMS)?;
    let (service, zone) = path.split_once('/')?;
    Some((bay_types::ServiceName::new(service).ok()?, ZoneName::new(zone).ok()?))
}
