use std::collections::{BTreeMap, BTreeSet};

use bay_own::Shard;
use bay_store::Object;
use bay_types::{KeyHash, ServerName, ServiceName, SliceId, Token, ZoneName};
use bay_wire::SliceGrant;

/// Watches a run for broken invariants.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// The assignment rows that the store has held with no earlier owner left.
    granted: BTreeMap<(ServiceName, SliceId, Token), ServerName>,
    /// The hot keys that each range's token leaves out, and the key of each slot's token.
    left_out: BTreeMap<(ServiceName, SliceId, Token), BTreeSet<KeyHash>>,
    slot_keys: BTreeMap<(ServiceName, SliceId, Token), (KeyHash, SliceId)>,
    highest: BTreeMap<(ServiceName, SliceId), Token>,
    last: BTreeMap<String, Shard>,
    forbidden_zones: BTreeSet<ZoneName>,
    /// What was found, one line each.
    pub violations: Vec<String>,
}

/// What one server owns.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) service: ServiceName,
    pub(crate) server: ServerName,
    pub(crate) grants: Vec<SliceGrant>,
}

impl InvariantChecker {
    /// From now on, no server of these zones may be given a slice.
    pub(crate) fn forbid_grants(&mut self, zones: BTreeSet<ZoneName>) {
        self.forbidden_zones = zones;
    }

    /// Looks at an assignment that the store has taken.
    pub(crate) fn written(&mut self, service: ServiceName, object: &Object) {
        let Some(shard) = Shard::parse(object) else {
            return;
        };
        let last = self.last.insert(object.key.to_string(), shard.clone());
        for (slice, row) in shard.slices() {
            let highest = self.highest.entry((service, slice)).or_default();
            if row.token < *highest {
                self.violations.push(format!("{service} {slice:?}: token reverted to {row:?}"));
            }
            *highest = row.token.max(*highest);
            let before = last.as_ref().and_then(|last| last.row(slice));
            if before.is_some_and(|before| before.owner.is_some() && row.owner.is_none()) {
                self.violations.push(format!("{service} {slice:?}: assignment lost"));
            }
            let owner = row.owner.and_then(|owner| shard.servers.get(usize::from(owner)));
            if let (Some(owner), None) = (owner, row.previous_owner) {
                let key = (service, slice, row.token);
                let same = self.granted.insert(key, owner.key.name);
                if same.is_some_and(|same| same != owner.key.name) {
                    self.violations.push(format!("{key:?}: two owners of one token"));
                }
            }
            let out: BTreeSet<KeyHash> =
                shard.hot.iter().filter(|hot| hot.base == slice).map(|hot| hot.key).collect();
            let key = (service, slice, row.token);
            let known = self.left_out.entry(key).or_insert_with(|| out.clone());
            if *known != out {
                self.violations.push(format!("{key:?}: hot keys changed under one token"));
            }
        }
        for hot in &shard.hot {
            self.slot_keys.insert((service, hot.slice, hot.row.token), (hot.key, hot.base));
        }
    }

    /// Looks at what a server was just granted.
    pub(crate) fn grants(
        &mut self,
        service: ServiceName,
        server: ServerName,
        zone: ZoneName,
        added: &[SliceGrant],
    ) {
        for grant in added {
            let key = (service, grant.slice, grant.token);
            if self.granted.get(&key) != Some(&server) {
                self.violations.push(format!("{key:?}: granted to {server} without a write"));
            }
            if self.forbidden_zones.contains(&zone) {
                self.violations.push(format!("{key:?}: granted in zone {zone}, which is out"));
            }
        }
    }

    /// Looks for two owners of a key.
    pub(crate) fn holdings(&mut self, now: bay_time::Time, holdings: &[Holding]) {
        let mut owners: BTreeMap<(ServiceName, SliceId), (ServerName, Token)> = BTreeMap::new();
        for holding in holdings {
            for grant in &holding.grants {
                let here = (holding.server, grant.token);
                let other = owners.insert((holding.service, grant.slice), here);
                if let Some((other, token)) = other
                    && self.overlap(holding.service, grant, token)
                {
                    let millis = now.as_nanos() / 1_000_000;
                    self.violations.push(format!(
                        "at {millis} ms {} {grant:?}: owned by {} and {other}",
                        holding.service, holding.server
                    ));
                }
            }
        }
        for ((service, slice), (server, token)) in &owners {
            let Some((key, base)) = self.slot_keys.get(&(*service, *slice, *token)) else {
                continue;
            };
            let Some((other, token)) = owners.get(&(*service, *base)) else {
                continue;
            };
            let out = self.left_out.get(&(*service, *base, *token));
            if other != server && !out.is_some_and(|out| out.contains(key)) {
                self.violations
                    .push(format!("{service} hot {key:?}: owned by {server} and {other}"));
            }
        }
    }

    /// Whether two tokens of a slice share a key.
    fn overlap(&self, service: ServiceName, grant: &SliceGrant, token: Token) -> bool {
        let key = |token| self.slot_keys.get(&(service, grant.slice, token));
        match (key(grant.token), key(token)) {
            (Some(left), Some(right)) => left.0 == right.0,
            _ => true,
        }
    }
}
