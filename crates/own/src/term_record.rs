use std::time::Duration;

use bay_store::Object;
use bay_types::{Term, ZoneName};
use serde::{Deserialize, Serialize};

use crate::Holder;

/// Who keeps the leases of a service's servers in one zone, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// Identifies the write, so that one whose answer was lost can be settled.
    pub nonce: u64,
    /// The term's number; it rises whenever the keeper or its deputy changes.
    pub number: Term,
    /// The number under which the keeper became the keeper.
    pub since: Term,
    /// The keeper.
    pub keeper: Holder,
    /// Its deputy, who may renew leases but never grant or revoke.
    pub deputy: Option<Holder>,
    /// Counts the keeper's renewals of the term.
    pub renewals: u64,
    /// The length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// How long the keeper acts after its last known renewal, in milliseconds.
    pub hold_ms: u64,
    /// Earlier holders that may not know yet that their part has ended.
    pub former: Vec<FormerHolder>,
}

/// A process that may still extend leases under an earlier term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// The process.
    pub holder: Holder,
    /// The first term in which it has no part; a server that has seen this term refuses it.
    pub before: Term,
    /// Whether it stopped sending orders before the term was written.
    pub stopped: bool,
    /// The length of its leases, in milliseconds.
    pub lease_ms: u64,
    /// How long it may act after its last known renewal, in milliseconds.
    pub hold_ms: u64,
}

impl TermRecord {
    /// Reads a term's object.
    pub fn parse(object: &Object) -> Option<TermRecord> {
        serde_json::from_str(&object.body).ok()
    }

    /// Writes the object's text.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The length of a lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long the keeper acts after its last known renewal.
    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// The record's holders and those before them, as seen from the next term.
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

    /// Names another deputy, which begins a term; the earlier one becomes a former holder.
    pub(crate) fn change_deputy(&mut self, deputy: Option<Holder>) {
        let number = Term(self.number.0 + 1);
        if let Some(before) = self.deputy {
            self.former.push(FormerHolder {
                holder: before,
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

/// The service and zone of a term's key.
pub(crate) fn parse_term_key(key: &str) -> Option<(bay_types::ServiceName, ZoneName)> {
    let path = key.strip_prefix(bay_store::ObjectKey::TERMS)?;
    let (service, zone) = path.split_once('/')?;
    Some((bay_types::ServiceName::new(service).ok()?, ZoneName::new(zone).ok()?))
}
